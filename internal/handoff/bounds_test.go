package handoff

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
)

// Guards against a large answer that waits as one piece: it exceeds the memory stated for it, and a
// slow link cannot carry it within the time of a read, at any try.
func TestWaitingBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		account := memory.NewAccount(0)
		e := &exchange{ctx: ctx, header: http.Header{}, memory: account.BeginAnswer(false, cancel), changed: make(chan struct{})}
		answer := make([]byte, 1<<20)
		for i := range answer {
			answer[i] = byte(i * 31 >> 3)
		}
		go func() {
			if n, err := e.Write(answer); n != len(answer) || err != nil {
				t.Errorf("wrote %d bytes, error %v; want all", n, err)
			}
			e.end(false)
		}()
		var got []byte
		defer func() {
			if held := account.Usage().Bytes; held != 0 {
				t.Errorf("%d bytes are held after all were read, want none", held)
			}
		}()
		for p := (Piece{}); !p.End || len(p.Data) > 0; {
			p = e.read(ctx, &ReadRequest{Offset: int64(len(got)), HasHead: true})
			if len(p.Data) > maxWaiting {
				t.Fatalf("got a piece of %d bytes, want at most %d", len(p.Data), maxWaiting)
			}
			got = append(got, p.Data...)
		}
		if !bytes.Equal(got, answer) {
			t.Errorf("got %d bytes, want the answer of %d", len(got), len(answer))
		}
	})
}
