package routed

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
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

// largest counts the answers to a VM's calls, and keeps the largest's size.
type largest struct {
	peer.Transport
	mu            sync.Mutex
	answers, most int
}

func (l *largest) Call(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
	err := l.Transport.Call(ctx, vm, kind, body, reply)
	data, encoding := codec.Marshal(reply)
	if encoding != nil {
		return encoding
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers, l.most = l.answers+1, max(l.most, len(data))
	return err
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
		link := &largest{Transport: n.VM("observer")}
		r := &textReader{t: link, voters: func() []string { return []string{"silent", "voter"} }, log: zerolog.Nop()}
		for _, now = range texts {
			got, err := r.read(t.Context())
			if err != nil || !bytes.Equal(got, now) {
				t.Fatalf("read %d bytes of %d, %v", len(got), len(now), err)
			}
			before := link.answers
			if got, err := r.read(t.Context()); err != nil || !bytes.Equal(got, now) {
				t.Fatalf("second read: %d bytes of %d, %v", len(got), len(now), err)
			}
			if again := link.answers - before; again > 2 {
				t.Errorf("%d answers for a text that was read before", again)
			}
		}
		if link.most > most {
			t.Errorf("an answer of %d bytes, at most %d", link.most, most)
		}
	})
}
