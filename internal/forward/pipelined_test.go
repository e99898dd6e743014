package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
)

// oneConn is a listener that accepts a single connection.
type oneConn struct{ conns chan net.Conn }

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (oneConn) Close() error   { return nil }
func (oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// connect serves one in-memory connection, and returns the caller's end.
func (f *fixture) connect() net.Conn {
	near, far := net.Pipe()
	l := oneConn{make(chan net.Conn, 1)}
	l.conns <- far
	s := &http.Server{Handler: f.handler}
	guarded := headlimit.NewAccount(0, 0).Guard(s, l, func() int { return 16 << 10 })
	go func() { _ = s.Serve(guarded) }()
	f.t.Cleanup(func() {
		close(l.conns)
		_ = s.Close()
		_ = near.Close()
	})
	return near
}

// pipelined is the text of n requests of a path, one behind the other.
func pipelined(path string, n int) string {
	var out strings.Builder
	for i := range n {
		body := fmt.Sprint("yes ", i)
		fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: shelf\r\nAuthorization: Bearer key-of-nelson\r\n%s: q%d\r\n%s: 8000,1000\r\nContent-Length: %d\r\n\r\n%s",
			path, forward.HeaderRequestID, i, forward.HeaderTokens, len(body), body)
	}
	return out.String()
}

// Guards against a request that a router has read, and leaves unanswered since it closes the connection
// after the answer before: it came behind another one on a connection to a router that shuts down.
func TestPipelinedRequestsAreAnsweredDuringAShutdown(t *testing.T) {
	const requests = 3
	for _, tt := range []struct {
		name, path string
		ends       bool // the requests cannot be finished
		status     int
	}{
		{"calls", "/vote/1", false, http.StatusOK},
		{"streams", "/s/1", false, http.StatusOK},
		{"refused", "/vote/1", true, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"), voteServer("a"))
				defer f.shutDown()
				c := f.connect()
				if tt.ends {
					f.setEnd(time.Now())
				}
				f.closing = true
				go func() { _, _ = io.WriteString(c, pipelined(tt.path, requests)) }() // it fails if the connection is closed
				in := bufio.NewReader(c)
				for i := range requests {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatalf("request %d of %d: %v, want an answer", i+1, requests, err)
					}
					if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != tt.status {
						t.Errorf("request %d of %d: status %d, error %v, want %d", i+1, requests, resp.StatusCode, err, tt.status)
					}
					if isLast := i == requests-1; resp.Close != isLast {
						t.Errorf("request %d of %d: the connection is closed: %t, want %t", i+1, requests, resp.Close, isLast)
					}
				}
			})
		})
	}
}
