package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// BenchmarkRoutersChange measures a change of the router set at a router that knows 330
// routers and 710 engines. While all VMs are restarted in turn, such a change comes with
// every notice.
func BenchmarkRoutersChange(b *testing.B) {
	f := NewFleet(NewPool(), zerolog.Nop())
	var rows []Backend
	for i := range 710 {
		rows = append(rows, Backend{ID: fmt.Sprintf("i-%010x", i*7919), Service: "m", Zone: "a", Address: fmt.Sprint("10.0.0.1:", i)})
	}
	f.Apply(List{Backends: rows, AsOf: time.Now()})
	var routers []string
	for i := range 330 {
		routers = append(routers, fmt.Sprintf("10.%d.%d.10:7221", i/40, i%40))
	}
	for i := range b.N {
		f.SetRouters(routers[0], routers[:329+i%2])
	}
}

// BenchmarkReadHead measures the head and the body of a short response on a connection that is
// reused.
func BenchmarkReadHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: r1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
	r := strings.NewReader("")
	c := newConn(&readConn{r: r}, "i1")
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(text)
		resp, err := c.ReadHead(http.MethodGet)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ReadBody(resp, 100); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSend measures the write of a short request.
func BenchmarkSend(b *testing.B) {
	r := Request{Method: http.MethodPost, URI: "/a/b", Host: "h.example", Header: http.Header{}, Body: []byte("body")}
	for i := range 12 {
		r.Header.Set(fmt.Sprint("X-Header-", i), "a value of some thirty bytes...")
	}
	c := newConn(&writeConn{}, "i1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Send(&r); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnframedAnswer measures a request over TCP, on a connection of its own, and its response
// without a length: one whose body is written before the response is read, and one beside it.
func BenchmarkUnframedAnswer(b *testing.B) {
	for _, size := range []int{100, 256 << 10} {
		b.Run(fmt.Sprintf("request_of_%d", size), func(b *testing.B) {
			p, body := NewPool(), make([]byte, size)
			addr := rawserver.StartSame(b, rawserver.Answer{Text: unframedHead + unframedBody})
			b.ReportAllocs()
			for b.Loop() {
				if got, err := upload(b, p, addr, body); err != nil || got != unframedBody {
					b.Fatalf("got %q, error %v", got, err)
				}
			}
		})
	}
}

// BenchmarkStreamedChunks measures the read of a response in many chunks.
func BenchmarkStreamedChunks(b *testing.B) {
	const chunk = "20\r\ndata: an event of a stream.....\n\r\n"
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 1000) + "0\r\n\r\n"
	r := strings.NewReader("")
	c := newConn(&readConn{r: r}, "i1")
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(text)
		resp, err := c.ReadHead(http.MethodGet)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{resp.Body}, buf); err != nil {
			b.Fatal(err)
		}
	}
}
