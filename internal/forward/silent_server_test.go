package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

func voteServers(n int) []*routedengine.Server {
	var out []*routedengine.Server
	for range n {
		out = append(out, voteServer("a"))
	}
	return out
}

// Guards against a call that is ended although its server is sound: the server falls silent while
// it runs the call, and goes on long before the deadline. The others are silent too, refuse, or
// may not be sent a retry.
func TestCallOutlivesTheSilenceOfItsServer(t *testing.T) {
	tests := []struct {
		name        string
		servers     int
		othersSound bool
		othersFull  bool
		noRetries   bool
	}{
		{name: "no other server", servers: 1},
		{name: "all are silent", servers: 3},
		{name: "the others are full", servers: 3, othersSound: true, othersFull: true},
		{name: "no retry left", servers: 3, othersSound: true, noRetries: true},
	}
	for _, call := range []struct{ method, path string }{{"POST", "/vote/1"}, {"GET", "/tally/1"}} {
		for _, tt := range tests {
			for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%v", call.path, tt.name, silence), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFixture(t, voteServers(tt.servers)...)
						defer f.shutDown()
						f.noRetries = tt.noRetries
						f.setPlacer(nil)
						a := f.send(call.method, call.path, "r1", "")
						time.Sleep(30 * time.Millisecond)
						for _, s := range f.servers {
							runs := len(s.Runs()) > 0
							if runs || !tt.othersSound {
								s.Set(routedengine.Unresponsive)
							} else if tt.othersFull {
								s.RefuseUntil("1")
							}
						}
						time.Sleep(silence)
						setAll(f, routedengine.Alive)
						back := time.Now()
						<-a.done
						if a.status != http.StatusOK {
							t.Errorf("got status %d, want 200", a.status)
						}
						if late := time.Since(back); late > 100*time.Millisecond {
							t.Errorf("the answer came %v after the servers went on, want at most 100ms", late)
						}
					})
				})
			}
		}
	}
}

// Guards against a call that is reported as possibly run although its silent server has refused
// it in the end.
func TestCallRefusedAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := voteServer("a")
		s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			time.Sleep(time.Second)
			s.Refuse(w, r)
			return true
		}
		f := newFixture(t, s)
		defer f.shutDown()
		a := f.send("GET", "/tally/1", "r1", "")
		<-a.done
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q, want 503 with a time", a.status, a.header.Get("Retry-After"))
		}
	})
}

// Guards against a caller that waits for a dead server for as long as its deadline allows: it
// could be served through another VM.
func TestCallOfADeadServerIsGivenBackInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		list := testRoutes().List
		list.Routes[2].Timeout = 25 * time.Second
		f.table.Store(routes.NewTable(list))
		a := f.send("GET", "/tally/1", "r1", "")
		time.Sleep(30 * time.Millisecond)
		f.servers[0].Set(routedengine.Unresponsive)
		died := time.Now()
		<-a.done
		if got := time.Since(died); a.status != http.StatusBadGateway || got > 3100*time.Millisecond {
			t.Errorf("got status %d %v after the server died, want 502 after at most 3.1s", a.status, got)
		}
	})
}

// Guards against a call that runs on more servers than its route allows because late exchanges
// are held, and against a slow server whose answer is delivered beside another one.
func TestHeldCallsStayWithinTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServers(4)...)
		defer f.shutDown()
		for _, s := range f.servers {
			s.CallTime = 700 * time.Millisecond
		}
		a := f.send("GET", "/tally/1", "r1", "")
		<-a.done
		time.Sleep(time.Second)
		if n := f.totalRuns("r1"); a.status != http.StatusOK || n != 2 {
			t.Errorf("got status %d and %d runs, want 200 and 2", a.status, n)
		}
		for _, s := range f.servers {
			if use := f.fleet.OwnUse()[s.ID]; use.Requests != 0 {
				t.Errorf("%d requests count as running on %s, want none", use.Requests, s.ID)
			}
		}
	})
}
