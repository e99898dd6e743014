package gateway

import (
	"net/http"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
)

type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}
func (w *nullWriter) Flush()                      {}

// Measures one event with one token to one caller.
func BenchmarkSSERelay(b *testing.B) {
	w := &nullWriter{http.Header{}}
	s := &stream{w: w, flush: http.NewResponseController(w), key: "5f0c4e7a-diag"}
	c := relay.Chunk{Span: generation.Span{Tokens: []int32{70123}, Texts: []string{" boiler"}}}
	b.ReportAllocs()
	for range b.N {
		c.Span.From, c.Prefix = s.index, s.digest
		if err := s.send(c); err != nil {
			b.Fatal(err)
		}
	}
}
