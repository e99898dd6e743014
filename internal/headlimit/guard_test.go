package headlimit

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// serveGuarded serves h on loopback, with heads of up to 1,000 bytes, and returns a function that
// connects to it.
func serveGuarded(t *testing.T, a *Account, h http.HandlerFunc) (connect func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(a.Guard(s, l, func() int { return 1000 })) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// Guards against a head over its limit that is read to its end, or refused without a code.
func TestLargeHeadIsRefusedAsItArrives(t *testing.T) {
	connect := serveGuarded(t, NewAccount(0, 0), func(http.ResponseWriter, *http.Request) {})
	c := connect()
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 20_000)) // it is refused
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var e result.Error
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || e.Code != result.HeaderTooLarge || e.Ran != result.RanNo {
		t.Errorf("got status %d, code %d, ran %q, error %v; want the code of a head that is too large", resp.StatusCode, e.Code, e.Ran, err)
	}
}

// Guards against counts that grow with each request on a connection, and against bytes of an upgraded
// connection that count as heads.
func TestKeptAndUpgradedConnections(t *testing.T) {
	a := NewAccount(0, 0)
	var held, conns int
	connect := serveGuarded(t, a, func(w http.ResponseWriter, r *http.Request) {
		held, conns = a.Usage().Bytes, a.Usage().Connections
		if !Serve(r.Context()) {
			t.Error("an ordinary request is refused")
		}
		if r.URL.Path != "/upgrade" {
			_, _ = io.Copy(io.Discard, r.Body) // a part of the test's requests
			return
		}
		c, in, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		_, _ = io.CopyN(c, in, 50_000)
	})
	c := connect()
	in := bufio.NewReader(c)
	for range 50 {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("\n", 9000))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if held != 0 || conns != 1 {
			t.Fatalf("%d bytes and %d connections are counted, want an ordinary head that does not count and one connection", held, conns)
		}
	}
	_, _ = io.WriteString(c, "GET /upgrade HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("\n", 50_000))
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("the upgrade failed: %v", err)
	}
	if n, err := io.CopyN(io.Discard, in, 50_000); err != nil {
		t.Errorf("%d of 50000 bytes came back, error %v", n, err)
	}
	if u := a.Usage(); u.Connections != 0 || u.Bytes != 0 {
		t.Errorf("got usage %+v of an upgraded connection, want nothing", u)
	}
}

// roomyListener gives its connections room for a whole answer.
type roomyListener struct {
	net.Listener
	bytes int
}

func (l roomyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(l.bytes)
}

// Guards against an answer that a reset takes away: the client reads slowly and has sent another request
// when the connection is closed, of which the server reads the beginning only.
func TestAnswerBeforeAnUnreadRequestArrives(t *testing.T) {
	const size = 150 << 10 // more than the client's side holds, less than the server's
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun, closed := make(chan struct{}), make(chan struct{})
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			close(begun)
			for !HasNext(r.Context()) {
				runtime.Gosched()
			}
			_, _ = w.Write(make([]byte, size)) // the client checks it
		}),
		ConnState: func(_ net.Conn, to http.ConnState) {
			if to == http.StateClosed {
				close(closed)
			}
		},
	}
	guarded := NewAccount(0, 0).Guard(s, roomyListener{l, 2 * size}, func() int { return 1000 })
	go func() { _ = s.Serve(guarded) }()
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = io.WriteString(c, request)
	<-begun
	_, _ = io.WriteString(c, request)
	<-closed
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("got %d bytes of the answer, error %v, want %d", n, err, size)
	}
}
