package handoff

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// BenchmarkCall measures a handed-off call with an answer of 800 bytes, both VMs together, and
// the bytes of its messages.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	n := peertest.New(1)
	answer := make([]byte, 800)
	NewServer(ctx, n.VM("a"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }), func(string) bool { return true }, memory.NewAccount(0), zerolog.Nop())
	c := NewClient(n.VM("cut"), func(string) []string { return []string{"a"} }, memory.NewAccount(0), zerolog.Nop())
	q := Request{Service: "votes", Method: http.MethodPost, URI: "/vote/1", Host: "shelf.example", Header: http.Header{"X-Request-Id": {"9c41d07be2a35f68"}}, Body: []byte("yes")}
	b.ReportAllocs()
	for b.Loop() {
		if got := c.Serve(ctx, httptest.NewRecorder(), q); got != Answered {
			b.Fatalf("got outcome %d, want Answered", got)
		}
	}
	bytes := 0
	for _, m := range []any{q, OfferReply{Taken: true}, ReadRequest{ID: 1}, Piece{Known: true, Status: 200, Data: answer, End: true}} {
		encoded, err := codec.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(encoded)
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}
