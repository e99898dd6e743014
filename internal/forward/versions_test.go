package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// ofVersion sets a server's version.
func ofVersion(version string, s *routedengine.Server) *routedengine.Server {
	s.Version = version
	return s
}

// rollOut has a service in a phase of a roll-out to v2, which gets a share of the
// requests during the trial.
func (w *world) rollOut(service string, phase rollout.Phase, share float64) {
	next := rollout.State{Records: map[string]rollout.Record{}}
	for name, r := range w.state.Load().Records {
		next.Records[name] = r
	}
	next.Records[service] = rollout.Record{
		Order: rollout.Order{Service: service, To: "v2", Duration: time.Minute}, Number: uint64(len(service)), Phase: phase, DefaultShare: share,
	}
	w.state.Store(&next)
	w.book.Watch(next.UnderWay())
}

// runsOn counts the runs on servers of a version.
func (w *world) runsOn(service, version string) int {
	n := 0
	for _, s := range w.servers {
		if s.Service == service && s.Version == version {
			n += len(s.Runs())
		}
	}
	return n
}

func (w *world) calls(path string, n int) (failed int) {
	for i := range n {
		a := w.send("GET", path, fmt.Sprintf("%s-%d-%d", path, i, time.Now().UnixNano()), "")
		<-a.done
		if a.status != http.StatusOK {
			failed++
		}
	}
	return failed
}

// Guards against a version whose servers are listed before a router knows its order, and
// against a service that stands still once all of its servers are replaced by others.
func TestVersionWithoutRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, ofVersion("v1", voteServer("a")), ofVersion("v2", voteServer("a")))
		defer w.end()
		w.fleet.Apply(upstream.List{Backends: []upstream.Backend{w.servers[0].Backend}, AsOf: time.Now().Add(time.Millisecond)})
		time.Sleep(time.Second)
		both := []upstream.Backend{w.servers[0].Backend, w.servers[1].Backend}
		w.fleet.Apply(upstream.List{Backends: both, AsOf: time.Now()})
		if failed := w.calls("/tally/1", 20); failed > 0 || w.runsOn("votes", "v2") > 0 {
			t.Errorf("%d of 20 failed, %d ran on a version that nobody ordered", failed, w.runsOn("votes", "v2"))
		}
		time.Sleep(time.Second)
		w.fleet.Apply(upstream.List{Backends: both[1:], AsOf: time.Now()})
		if failed := w.calls("/tally/1", 5); failed > 0 {
			t.Errorf("%d of 5 failed once all servers were replaced", failed)
		}
	})
}

// Guards against a caller that pays for a trial: what failed there and may be repeated goes
// back to the other version, what may not be runs once, and a trial whose servers are gone
// leaves the requests where they were.
func TestFailedTrialRequestFallsBack(t *testing.T) {
	tests := []struct {
		name         string
		path         string
		gone         bool
		status, runs int
	}{
		{"may be repeated", "/tally/1", false, http.StatusOK, 2},
		{"may not", "/vote/1", false, http.StatusInternalServerError, 1},
		{"no servers", "/vote/1", true, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, ofVersion("v1", voteServer("a")), ofVersion("v2", voteServer("a")))
				defer w.end()
				w.servers[1].Answer = func(s *routedengine.Server, rw http.ResponseWriter, r *http.Request) bool {
					s.Call(rw, r, http.StatusInternalServerError)
					return true
				}
				if tt.gone {
					w.fleet.Apply(upstream.List{Backends: []upstream.Backend{w.servers[0].Backend}, AsOf: time.Now().Add(time.Millisecond)})
				}
				w.rollOut("votes", rollout.Trial, 1)
				a := w.send("GET", tt.path, "r1", "")
				<-a.done
				if a.status != tt.status || w.totalRuns("r1") != tt.runs {
					t.Errorf("status %d after %d runs", a.status, w.totalRuns("r1"))
				}
			})
		})
	}
}

// Guards against a stream that goes on at a version which was reverted while it ran, from
// its copy or anew.
func TestStreamLeavesARevertedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, ofVersion("v1", engine("a")), ofVersion("v1", engine("b")), ofVersion("v2", engine("a")), ofVersion("v2", engine("b")))
		defer w.end()
		w.rollOut("models", rollout.Trial, 1)
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		if n := w.runsOn("models", "v2"); n != 1 {
			t.Fatalf("%d runs on the new version", n)
		}
		w.rollOut("models", rollout.Reverted, 0)
		for _, s := range w.servers {
			if s.Version == "v2" && len(s.Runs()) > 0 {
				s.Set(routedengine.Dead)
			}
		}
		a.wholeStream(t, 100)
		if v1, v2 := w.runsOn("models", "v1"), w.runsOn("models", "v2"); v1 != 1 || v2 != 1 {
			t.Errorf("%d runs on the old version, %d on the new one", v1, v2)
		}
	})
}

// Guards against roll-outs of two services that are taken for one.
func TestTwoRollouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, ofVersion("v1", voteServer("a")), ofVersion("v2", voteServer("a")), ofVersion("v1", engine("a")), ofVersion("v2", engine("a")))
		defer w.end()
		w.rollOut("votes", rollout.Completed, 0)
		w.rollOut("models", rollout.Reverted, 0)
		if failed := w.calls("/tally/1", 10); failed > 0 || w.runsOn("votes", "v1") > 0 {
			t.Errorf("%d failed, %d on the old version of a service that was rolled out", failed, w.runsOn("votes", "v1"))
		}
		w.send("POST", "/s/1", "r1", "log").wholeStream(t, 100)
		if n := w.runsOn("models", "v2"); n > 0 {
			t.Errorf("%d runs on a version that was reverted", n)
		}
	})
}

// Guards against evidence that is missing or counted twice: each request that came, was
// sent and was answered shows once in what the router tells.
func TestTrialObservationsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, ofVersion("v1", voteServer("a")), ofVersion("v2", voteServer("a")))
		defer w.end()
		w.rollOut("votes", rollout.Trial, 0.5)
		w.calls("/tally/1", 60)
		l := rollout.NewLedger()
		l.Note(1, w.book.Reports(), time.Now())
		e := l.Sum("votes", uint64(len("votes")), time.Now())
		cell := rollout.Cell{Route: "tally"}
		answered := 0
		for _, servers := range []rollout.CountsByServer{e.Former[cell], e.Target[cell]} {
			for _, c := range servers {
				answered += c.Answers
			}
		}
		if e.Requests["tally"] != 60 || answered != 60 || e.Sent != w.runsOn("votes", "v2") || e.Sent == 0 {
			t.Errorf("%d came, %d answered, %d sent, %d ran on the new version", e.Requests["tally"], answered, e.Sent, w.runsOn("votes", "v2"))
		}
	})
}

// Guards against a version that is slow from one event to the next, and shows it only when
// its long answers end.
func TestSlowPaceIsReportedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, ofVersion("v1", engine("a")), ofVersion("v2", engine("a")))
		defer w.end()
		w.servers[1].EventTime *= 5
		w.rollOut("models", rollout.Trial, 1)
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(4 * time.Second)
		l := rollout.NewLedger()
		l.Note(1, w.book.Reports(), time.Now())
		e := l.Sum("models", uint64(len("models")), time.Now())
		if c := e.Target[rollout.Cell{Route: "summary", Measure: rollout.Pace}]["i1"]; c.Answers != 1 {
			t.Errorf("told after four seconds: %+v", e.Target)
		}
		a.leave()
		<-a.done
	})
}
