package routed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// callerOf serves one in-memory connection under conns, and returns the caller's end.
func callerOf(t *testing.T, conns *callerConns) net.Conn {
	near, far := net.Pipe()
	l := pipeListener{make(chan net.Conn, 1)}
	l.conns <- far
	s := &http.Server{
		Handler:   conns.limitHeader(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })),
		ConnState: conns.onStateChange,
	}
	go func() { _ = s.Serve(callerListener{l, conns}) }()
	t.Cleanup(func() {
		close(l.conns)
		_ = s.Close()
		_ = near.Close()
	})
	return near
}

// askOn sends one request and returns its status, or 0 if the connection is closed.
func askOn(c net.Conn, header string) int {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: shelf\r\n%s\r\n", header); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

var testLimits = ServerLimits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Guards against an idle timeout that is fixed when the connection opens. A caller must be
// able to reuse a connection that was idle for four fifths of the limit in force, whether
// the limit was raised or lowered meanwhile. A connection that was idle for longer must be
// closed.
func TestIdleLimitFollowsTheList(t *testing.T) {
	tests := []struct {
		name   string
		change time.Duration // the new limit, or 0 for no change
		after  time.Duration // idle time before the change
		idle   time.Duration // idle time in total
		want   int
	}{
		{"within the limit", 0, 0, 12 * time.Second, http.StatusNoContent},
		{"beyond the limit", 0, 0, 16 * time.Second, 0},
		{"raised", time.Minute, 5 * time.Second, 48 * time.Second, http.StatusNoContent},
		{"lowered, from then on", 5 * time.Second, 8 * time.Second, 12 * time.Second, http.StatusNoContent},
		{"lowered, and exceeded", 5 * time.Second, 2 * time.Second, 8 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns := newCallerConns(testLimits)
				c := callerOf(t, conns)
				if got := askOn(c, ""); got != http.StatusNoContent {
					t.Fatalf("first request got status %d, want 204", got)
				}
				time.Sleep(tt.after)
				if tt.change > 0 {
					l := testLimits
					l.IdleTimeout = tt.change
					conns.setLimits(l)
				}
				time.Sleep(tt.idle - tt.after)
				if got := askOn(c, ""); got != tt.want {
					t.Errorf("second request got status %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against connections that are held open without a request. One that sends nothing,
// or stops in the middle of a header, must be closed at its limit, both on the first
// request and on a later one.
func TestHeaderTimeIsBounded(t *testing.T) {
	for _, begun := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		for _, second := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q sent, second request %t", begun, second), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := callerOf(t, newCallerConns(testLimits))
					limit := testLimits.HeaderTimeout
					if second {
						askOn(c, "")
						if begun == "" {
							limit = testLimits.IdleTimeout
						}
					}
					if begun != "" {
						_, _ = c.Write([]byte(begun))
					}
					began := time.Now()
					_, _ = c.Read(make([]byte, 1))
					if took := time.Since(began); took != limit {
						t.Errorf("connection closed after %v, want %v", took, limit)
					}
				})
			})
		}
	}
}

func TestHeaderSizeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := newCallerConns(testLimits)
		header := "X-Long: " + strings.Repeat("x", 1000) + "\r\n"
		if got := askOn(callerOf(t, conns), header); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("got status %d, want 431", got)
		}
		l := testLimits
		l.MaxHeaderBytes = 2 << 10
		conns.setLimits(l)
		if got := askOn(callerOf(t, conns), header); got != http.StatusNoContent {
			t.Errorf("got status %d after the limit was raised, want 204", got)
		}
	})
}

func TestLimitsOfAList(t *testing.T) {
	tests := []struct {
		name string
		list routes.Limits
		want ServerLimits
	}{
		{"none stated", routes.Limits{}, DefaultLimits},
		{"all", routes.Limits{MaxHeaderBytes: 1, HeaderTimeout: 2, IdleTimeout: 3}, ServerLimits{1, 2, 3}},
		{"below zero", routes.Limits{MaxHeaderBytes: -1, HeaderTimeout: -2, IdleTimeout: -3}, DefaultLimits},
		{"far too large a header", routes.Limits{MaxHeaderBytes: 1 << 30}, ServerLimits{maxConfigurableHeaderBytes, DefaultLimits.HeaderTimeout, DefaultLimits.IdleTimeout}},
	}
	for _, tt := range tests {
		if got := serverLimits(tt.list); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
