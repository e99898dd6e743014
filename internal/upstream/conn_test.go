package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newAnsweringPool returns a pool over an in-memory server that answers each request with
// the next of the texts, and the heads of the requests that the server read.
func newAnsweringPool(t *testing.T, texts ...string) (*Pool, *[]string) {
	var heads []string
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			br := bufio.NewReader(far)
			for len(texts) > 0 {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				heads = append(heads, fmt.Sprintf("%s %s %s %q", req.Method, req.RequestURI, req.Host, body))
				text := texts[0]
				texts = texts[1:]
				_, _ = io.WriteString(far, text)
			}
		}()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	}
	return NewPoolWith(dial), &heads
}

// exchange sends one request and reads the complete response.
func exchange(t *testing.T, p *Pool, r *Request) (string, *Conn) {
	t.Helper()
	c, err := p.Get(t.Context(), "i1", "10.0.0.1:80", false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Send(r); err != nil {
		t.Fatal(err)
	}
	resp, err := c.ReadHead(r.Method)
	if err != nil {
		t.Fatal(err)
	}
	body, err := ReadBody(resp, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(c, resp)
	return string(body), c
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// Guards against a response that is taken for the response to the next request: a server
// left bytes of the first exchange on a reused connection.
func TestReuse(t *testing.T) {
	tests := []struct {
		name, response string
		wait           time.Duration
		reused         bool
	}{
		{"complete response", okHead + "\r\nok", 0, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, true},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + "\r\nok", 0, true},
		{"bytes after the response", okHead + "\r\nokHTTP/1.1 200 OK\r\n", 0, false},
		{"asks to close", okHead + "Connection: close\r\n\r\nok", 0, false},
		{"older protocol", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 0, false},
		{"within the stated time", okHead + "Keep-Alive: timeout=5\r\n\r\nok", 2 * time.Second, true},
		{"near the stated time", okHead + "Keep-Alive: timeout=5\r\n\r\nok", 4 * time.Second, false},
		{"no time stated", okHead + "\r\nok", 3 * time.Second, false},
		{"stated time of zero", okHead + "Keep-Alive: timeout=0\r\n\r\nok", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newAnsweringPool(t, tt.response, okHead+"\r\nok")
				r := &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}
				if got, _ := exchange(t, p, r); got != "ok" {
					t.Fatalf("got body %q, want ok", got)
				}
				time.Sleep(tt.wait)
				c, err := p.Get(t.Context(), "i1", "10.0.0.1:80", false)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if c.Reused() != tt.reused {
					t.Errorf("got reused %t, want the opposite", c.Reused())
				}
			})
		})
	}
}

// Guards against a request whose path, query or body is normalised on the way.
func TestRequestIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, heads := newAnsweringPool(t, okHead+"\r\nok", okHead+"\r\nok")
		exchange(t, p, &Request{Method: "POST", URI: "/a/../b//%2f?q=%zz", Host: "h.example", Header: http.Header{}, Body: []byte("x y")})
		_, c := exchange(t, p, &Request{Method: "GET", URI: "/c", Host: "h.example", Header: http.Header{}})
		c.Close()
		want := []string{`POST /a/../b//%2f?q=%zz h.example "x y"`, `GET /c h.example ""`}
		if strings.Join(*heads, "|") != strings.Join(want, "|") {
			t.Errorf("got requests %v at the server, want them as sent", *heads)
		}
	})
}

// Guards against a truncated response that passes for a complete one: the connection ends
// before all bytes of the stated length, or before the last chunk.
func TestTruncatedResponses(t *testing.T) {
	for _, text := range []string{okHead + "\r\no", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := ReadBody(resp, 100); err == nil {
			t.Errorf("got body %q without error from a truncated response", body)
		}
	}
}

// Guards against idle connections that stay open after their server has left the list.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newAnsweringPool(t, okHead+"\r\nok")
		exchange(t, p, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		p.Sweep()
		if p.Idle() != 1 {
			t.Fatal("got a usable connection closed by Sweep, want it kept")
		}
		time.Sleep(defaultIdle)
		p.Sweep()
		if n := p.Idle(); n != 0 {
			t.Errorf("got %d idle connections, want 0", n)
		}
	})
}

// Guards against malformed responses: whatever a server sends, a response is complete or an
// error, and within its size limit.
func FuzzAnswer(f *testing.F) {
	f.Add(okHead + "\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!")
	f.Fuzz(func(t *testing.T, text string) {
		const limit = 64
		c := &Conn{br: bufio.NewReader(strings.NewReader(text))}
		resp, err := c.ReadHead(http.MethodGet)
		if err != nil {
			return
		}
		if resp.StatusCode < http.StatusOK {
			t.Errorf("got interim response %d, want a final one", resp.StatusCode)
		}
		if body, err := ReadBody(resp, limit); err == nil && len(body) > limit {
			t.Errorf("got %d bytes, want at most 64", len(body))
		}
	})
}
