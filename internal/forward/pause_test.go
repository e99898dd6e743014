package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// arrivalsWithin counts the requests that reached a server within a time.
func arrivalsWithin(s *routedengine.Server, from, to time.Time) int {
	n := 0
	for _, at := range s.Arrivals() {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// A server that answers 503 with a Retry-After must not be sent any request of this VM until
// then, although it looks idle, whether the other servers are free, avoided or at pause as
// well. Its requests are served elsewhere.
func TestNoRequestReachesAServerAtPause(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		servers []*routedengine.Server
		answer  func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool // nil: a refusal
	}{
		{"calls", "/vote/x", []*routedengine.Server{voteServer("a"), voteServer("b"), voteServer("c")}, nil},
		{"idempotent calls", "/tally/x", []*routedengine.Server{voteServer("a"), voteServer("b"), voteServer("c")}, nil},
		{"streams", "/s/x", []*routedengine.Server{engine("a"), engine("b"), engine("c")}, nil},
		{"failure of the server's own", "/vote/x", []*routedengine.Server{voteServer("a"), voteServer("b"), voteServer("c")}, func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Retry-After", "3")
			s.AnswerCall(w, r, http.StatusServiceUnavailable)
			return true
		}},
		{"all servers", "/vote/x", []*routedengine.Server{voteServer("a")}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, tt.servers...)
				server := f.servers[0]
				if tt.answer != nil {
					server.Intercept = tt.answer
				} else {
					server.RefuseUntil("3")
				}
				for i := range 60 {
					f.send(http.MethodPost, tt.path, fmt.Sprint("r", i), "x")
					time.Sleep(50 * time.Millisecond)
				}
				first := server.Arrivals()[0]
				if n := arrivalsWithin(server, first.Add(500*time.Millisecond), first.Add(3*time.Second)); n > 0 {
					t.Errorf("%d requests reached the server during its pause of 3 s, want none", n)
				}
				time.Sleep(30 * time.Second)
				f.shutDown()
			})
		})
	}
}

// A request that no server accepts now must be refused at once, as not run, with the time
// after which a server accepts requests again.
func TestRequestIsRefusedWhileAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("b"))
		for _, s := range f.servers {
			s.RefuseUntil("2.5")
		}
		<-f.send(http.MethodPost, "/vote/x", "r1", "x").done
		time.Sleep(time.Second)
		began := time.Now()
		a := f.send(http.MethodPost, "/vote/x", "r2", "x")
		<-a.done
		if held := time.Since(began); held > 50*time.Millisecond {
			t.Errorf("the request was held for %v, want it refused at once", held)
		}
		after, err := strconv.Atoi(a.header.Get("Retry-After"))
		if a.status != http.StatusServiceUnavailable || err != nil || after < 2 {
			t.Errorf("got status %d with Retry-After %q, want 503 and 2 s or more", a.status, a.header.Get("Retry-After"))
		}
		if f.totalRuns("r2") != 0 || a.header.Get(forward.HeaderSignature) != "" {
			t.Error("the refusal is a server's, want the system's own for a request that was not sent")
		}
		f.shutDown()
	})
}

// A request that still waits for its connection when the server asks for a pause must not be
// sent any more. It has not run and goes elsewhere.
func TestPauseStopsARequestThatWaitsForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].RefuseUntil("3")
		var dials atomic.Int64
		f.pool = upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				time.Sleep(100 * time.Millisecond) // the connection of the first request is slow
			}
			return f.net.Dial(ctx, addr)
		})
		f.setPlacer(nil)
		slow := f.send(http.MethodPost, "/vote/x", "slow", "x")
		time.Sleep(10 * time.Millisecond)
		<-f.send(http.MethodPost, "/vote/x", "told", "x").done
		<-slow.done
		if n := len(f.servers[0].Arrivals()); n != 1 {
			t.Errorf("%d requests reached the server, want only the one that was told of the pause", n)
		}
		if slow.status != http.StatusServiceUnavailable || slow.header.Get(forward.HeaderSignature) != "" {
			t.Errorf("got status %d for the request that waited, want the system's own 503", slow.status)
		}
	})
}
