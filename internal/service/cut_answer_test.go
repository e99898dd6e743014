package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
)

// serveCut answers each connection with a text, and closes or resets it, until it is stopped.
func serveCut(t *testing.T, text string, reset bool) (addr string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }
}

// Guards against a part of an answer that passes for the whole, wherever its server stops.
func TestAnswersCutAtEveryByte(t *testing.T) {
	const interim, ok, text = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "the answer"
	c := service.NewClient()
	for _, whole := range []string{
		ok + "Content-Length: 10\r\n\r\n" + text, ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nthe a\r\n5\r\nnswer\r\n0\r\n\r\n",
		ok + "Connection: close\r\n\r\n" + text, interim + ok + "Content-Length: 10\r\n\r\n" + text, "HTTP/1.0 200 OK\r\n\r\n" + text,
	} {
		for _, reset := range []bool{false, true} {
			for n := range len(whole) + 1 {
				addr, stop := serveCut(t, whole[:n], reset)
				r := &service.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("x")}
				relayed, err := c.Relay(t.Context(), addr, r)
				check := func(way string, a *call.Answer, err error) {
					if err == nil && string(a.Body) != text {
						t.Errorf("%s: got %d %q without error from %q, reset: %t", way, a.Status, a.Body, whole[:n], reset)
					}
				}
				check("relay", relayed, err)
				conn, err := c.Dial(t.Context(), addr)
				if err != nil {
					t.Fatal(err)
				}
				once, _, err := conn.Send(t.Context(), r, nil)
				check("once", once, err)
				conn.Close()
				stop()
			}
		}
	}
}
