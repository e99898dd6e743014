package routed

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// longText returns a text with a given number of different entries.
func longText(lines int) []byte {
	var out []byte
	for i := range lines {
		out = strconv.AppendInt(append(out, "route "...), int64(i)*2654435761, 36)
	}
	return out
}

// Guards against a long text in one answer, which exceeds the timeout with every voter on a
// slow link. The text must be fetched in small pieces, and only if it has changed.
func TestLongTextIsReadInPieces(t *testing.T) {
	const maxBytes = 40 << 10 // under a tenth of a second on a link of 10 Mbit/s
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New(1)
		texts := [][]byte{longText(50_000), longText(60_000), []byte("{}"), nil}
		var current []byte
		server := &routeListServer{values: bulk.NewStore()}
		voter := n.VM("voter")
		voter.Handle(peer.KindPiece, server.values.Serve)
		voter.Handle(peer.KindRoutes, func(context.Context, string, []byte) (any, error) { return server.answer(current) })
		link := peertest.NewMeter(n.VM("observer"))
		largest := 0
		r := &routeListReader{t: link, voters: func() []string { return []string{"silent", "voter"} }, log: zerolog.Nop()}
		for _, current = range texts {
			got, err := r.read(t.Context())
			if err != nil || !bytes.Equal(got, current) {
				t.Fatalf("read %d bytes, want %d; error %v", len(got), len(current), err)
			}
			largest = max(largest, link.ReadAndReset().Largest)
			if got, err := r.read(t.Context()); err != nil || !bytes.Equal(got, current) {
				t.Fatalf("second read got %d bytes, want %d; error %v", len(got), len(current), err)
			}
			again := link.ReadAndReset()
			if again.Replies > 2 {
				t.Errorf("got %d answers for a text that was read before, want at most 2", again.Replies)
			}
			largest = max(largest, again.Largest)
		}
		if largest > maxBytes {
			t.Errorf("largest answer has %d bytes, want at most %d", largest, maxBytes)
		}
	})
}
