package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// answeredWithin is longer than the time to the head of the stand-ins' answers.
const answeredWithin = 1200 * time.Millisecond

// A server that has stated that it leaves must receive no new request, whatever older or
// newer lists of backend servers say, also if it is the only one. What runs there ends
// whole.
func TestNoNewRequestReachesALeavingServer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		servers []*routedengine.Server
	}{
		{"calls", "/vote/x", []*routedengine.Server{voteServer("a"), voteServer("b")}},
		{"streams", "/s/x", []*routedengine.Server{engine("a"), engine("b")}},
		{"the only server", "/vote/x", []*routedengine.Server{voteServer("a")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, tt.servers...)
				defer func() {
					time.Sleep(30 * time.Second)
					f.shutDown()
				}()
				leaving := f.servers[0]
				leaving.StateLeaving()
				for i := range 40 {
					f.send(http.MethodPost, tt.path, fmt.Sprint("r", i), "x")
					time.Sleep(100 * time.Millisecond)
					f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
				}
				if len(leaving.Runs()) == 0 {
					t.Fatal("the server got no request, want it to state that it leaves")
				}
				first := leaving.Runs()[0].At
				for _, r := range leaving.Runs() {
					if after := r.At.Sub(first); after > answeredWithin {
						t.Fatalf("request %s reached the server %v after the first one, whose answer stated that it leaves", r.RequestID, after)
					}
				}
			})
		})
	}
}

// A stream must not resume at an engine that leaves, nor have its copy made there, although
// the engine is listed as ready.
func TestStreamDoesNotResumeAtALeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		a := f.send(http.MethodPost, "/s/x", "r1", "x")
		time.Sleep(2 * time.Second)
		var runs, keeper *routedengine.Server
		for _, s := range f.servers {
			switch {
			case len(s.Runs()) > 0:
				runs = s
			case s.Copies() > 0:
				keeper = s
			}
		}
		if runs == nil || keeper == nil {
			t.Fatal("the stream does not run, or has no backup copy")
		}
		keeper.StateLeaving()
		for i := range 10 {
			f.send(http.MethodPost, "/s/x", fmt.Sprint("other", i), "x")
		}
		time.Sleep(1500 * time.Millisecond)
		runs.Set(routedengine.Dead)
		a.requireCompleteStream(t, 100)
		for _, r := range keeper.Runs() {
			if r.RequestID == "r1" {
				t.Error("the stream resumed at the engine that leaves")
			}
		}
		for _, s := range f.servers {
			for _, r := range s.Runs() {
				if r.RequestID == "r1" && s != runs && r.Header.Get(forward.HeaderCopyTo) == keeper.Address {
					t.Error("the resumed run's copy was made at the engine that leaves")
				}
			}
		}
	})
}
