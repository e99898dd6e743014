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

// longText is a text of many lines that differ.
func longText(lines int) []byte {
	var out []byte
	for i := range lines {
		out = strconv.AppendInt(append(out, "route "...), int64(i)*2654435761, 36)
	}
	return out
}

// Guards against a long text that comes after its time limit from every voter.
func TestLongTextIsReadInPieces(t *testing.T) {
	const most = 40 << 10 // a tenth of a second's worth of a link of 10 Mbit/s, and less
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New(1)
		texts := [][]byte{longText(50_000), longText(60_000), []byte("{}"), nil}
		var now []byte
		shared := &sharedText{values: bulk.NewStore()}
		voter := n.VM("voter")
		voter.Handle(peer.KindPiece, shared.values.Serve)
		voter.Handle(peer.KindRoutes, func(context.Context, string, []byte) (any, error) { return shared.answer(now) })
		link := peertest.NewMeter(n.VM("observer"))
		largest := 0
		r := &textReader{t: link, voters: func() []string { return []string{"silent", "voter"} }, log: zerolog.Nop()}
		for _, now = range texts {
			got, err := r.read(t.Context())
			if err != nil || !bytes.Equal(got, now) {
				t.Fatalf("read %d bytes of %d, %v", len(got), len(now), err)
			}
			largest = max(largest, link.ReadAndReset().Largest)
			if got, err := r.read(t.Context()); err != nil || !bytes.Equal(got, now) {
				t.Fatalf("second read: %d bytes of %d, %v", len(got), len(now), err)
			}
			again := link.ReadAndReset()
			if again.Replies > 2 {
				t.Errorf("%d answers for a text that was read before", again.Replies)
			}
			largest = max(largest, again.Largest)
		}
		if largest > most {
			t.Errorf("an answer of %d bytes, at most %d", largest, most)
		}
	})
}
