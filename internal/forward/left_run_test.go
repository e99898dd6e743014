package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// deafConn is a connection that delivers nothing from a moment on.
type deafConn struct {
	net.Conn
	from time.Time
}

func (c *deafConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || time.Now().Before(c.from) {
			return n, err
		}
	}
}

// Guards against an engine that works on for a stream that was taken off it, since its events do not
// arrive or another incarnation answers in its place.
func TestRunIsClosedBeforeTheStreamGoesOn(t *testing.T) {
	for _, replaced := range []bool{true, false} {
		t.Run(fmt.Sprintf("another incarnation answers: %t", replaced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				f := l.watched(t, 2)
				defer f.shutDown()
				if !replaced {
					f.firstConnDeafAfter(1500 * time.Millisecond)
				}
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(1500 * time.Millisecond)
				if first := f.engineRunning("r1"); replaced {
					first.Set(routedengine.Stalled)
					other := engine("a")
					other.ID, other.Address = "i9", first.Address
					f.net.Add(other)
				}
				a.requireCompleteStream(t, 100)
				if got, runs := l.overlap(time.Time{}), f.totalRuns("r1"); got > soon || runs != 2 {
					t.Errorf("%d runs, two of them for %v, want two runs one after the other", runs, got)
				}
			})
		})
	}
}

// firstConnDeafAfter makes the first connection to an engine deliver nothing after d.
func (f *fixture) firstConnDeafAfter(d time.Duration) {
	from, first := time.Now().Add(d), true
	f.pool = upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := f.net.Dial(ctx, addr)
		if err != nil || !first {
			return c, err
		}
		first = false
		return &deafConn{c, from}, nil
	})
	f.setPlacer(f.placer)
}

// Guards against a request that two engines run, since the first one answers but has lost it.
func TestLostRequestIsClosedBeforeItIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		f := l.watched(t, 3)
		defer f.shutDown()
		for _, s := range f.servers {
			watch := s.Intercept
			s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
				_ = watch(s, w, r)
				l.mu.Lock()
				isFirst := len(l.spans) == 1
				l.mu.Unlock()
				if isFirst {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
				}
				return isFirst
			}
		}
		a := f.send("POST", "/s/1", "r1", "log")
		a.requireCompleteStream(t, 100)
		if got := l.overlap(time.Time{}); got > soon || len(l.spans) != 2 {
			t.Errorf("%d runs, two of them for %v, want two runs one after the other", len(l.spans), got)
		}
	})
}
