package forward_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// withVersion sets a server's version.
func withVersion(version string, s *routedengine.Server) *routedengine.Server {
	s.Version = version
	return s
}

// setRollout sets the phase of a service's roll-out to v2. share is the part of the
// requests that v2 gets during the trial.
func (f *fixture) setRollout(service string, phase rollout.Phase, share float64) {
	next := rollout.State{Records: map[string]rollout.Record{}, Known: f.state.Load().Known}
	for name, r := range f.state.Load().Records {
		next.Records[name] = r
	}
	next.Records[service] = rollout.Record{
		Order: rollout.Order{Service: service, To: "v2", Duration: time.Minute}, Number: uint64(len(service)), Phase: phase, DefaultShare: share,
	}
	f.state.Store(&next)
	f.recorder.Watch(next.UnderWay())
}

// setStandings sets the known versions of a service.
func (f *fixture) setStandings(service string, known rollout.KnownVersions) {
	next := *f.state.Load()
	next.Known = maps.Clone(next.Known)
	next.Known[service] = known
	f.state.Store(&next)
}

// applyWithout applies the list without the servers of a version.
func (f *fixture) applyWithout(version string) {
	list := slices.DeleteFunc(f.net.Backends(), func(b upstream.Backend) bool { return b.Version == version })
	f.fleet.Apply(upstream.List{Backends: list, AsOf: time.Now()})
}

// runsOnVersion counts the runs on the servers of a version.
func (f *fixture) runsOnVersion(service, version string) int {
	n := 0
	for _, s := range f.servers {
		if s.Service == service && s.Version == version {
			n += len(s.Runs())
		}
	}
	return n
}

func (f *fixture) sendCalls(path string, n int) (failed int) {
	for i := range n {
		a := f.send("GET", path, fmt.Sprintf("%s-%d-%d", path, i, time.Now().UnixNano()), "")
		<-a.done
		if a.status != http.StatusOK {
			failed++
		}
	}
	return failed
}

// Guards against requests to a version whose servers are listed before the router knows of
// a roll-out to it, and against a service that stops once all of its servers are replaced by an
// admitted version.
func TestVersionWithoutRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", voteServer("a")), withVersion("v2", voteServer("a")))
		defer f.shutDown()
		f.setStandings("votes", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.InForce})
		if failed := f.sendCalls("/tally/1", 20); failed > 0 || f.runsOnVersion("votes", "v2") > 0 {
			t.Errorf("%d of 20 calls failed, %d ran on a version without a roll-out; want none of either", failed, f.runsOnVersion("votes", "v2"))
		}
		f.setStandings("votes", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.Admitted})
		f.applyWithout("v1")
		if failed := f.sendCalls("/tally/1", 5); failed > 0 {
			t.Errorf("%d of 5 calls failed after all servers were replaced, want none", failed)
		}
	})
}

// Guards against failed requests because of a trial. An idempotent call that fails on the
// trial version is retried on the former one, and any other call runs once. If the trial
// version has no servers left, its requests go to the former version.
func TestFailedTrialRequestFallsBack(t *testing.T) {
	tests := []struct {
		name         string
		path         string
		gone         bool
		status, runs int
	}{
		{"may be repeated", "/tally/1", false, http.StatusOK, 2},
		{"may not be repeated", "/vote/1", false, http.StatusInternalServerError, 1},
		{"no servers", "/vote/1", true, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, withVersion("v1", voteServer("a")), withVersion("v2", voteServer("a")))
				defer f.shutDown()
				f.servers[1].Intercept = func(s *routedengine.Server, rw http.ResponseWriter, r *http.Request) bool {
					s.AnswerCall(rw, r, http.StatusInternalServerError)
					return true
				}
				if tt.gone {
					f.fleet.Apply(upstream.List{Backends: []upstream.Backend{f.servers[0].Backend}, AsOf: time.Now().Add(time.Millisecond)})
				}
				f.setRollout("votes", rollout.Trial, 1)
				a := f.send("GET", tt.path, "r1", "")
				<-a.done
				if a.status != tt.status || f.totalRuns("r1") != tt.runs {
					t.Errorf("got status %d after %d runs, want those of the table", a.status, f.totalRuns("r1"))
				}
			})
		})
	}
}

// Guards against a stream of a version which was reverted while it ran, and that is resumed at
// that version, or at another one.
func TestStreamOfARevertedVersionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", engine("a")), withVersion("v1", engine("b")), withVersion("v2", engine("a")), withVersion("v2", engine("b")))
		defer f.shutDown()
		f.setRollout("models", rollout.Trial, 1)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		if n := f.runsOnVersion("models", "v2"); n != 1 {
			t.Fatalf("got %d runs on the new version, want 1", n)
		}
		f.setRollout("models", rollout.Reverted, 0)
		for _, s := range f.servers {
			if s.Version == "v2" && len(s.Runs()) > 0 {
				s.Set(routedengine.Dead)
			}
		}
		<-a.done
		if v1, v2 := f.runsOnVersion("models", "v1"), f.runsOnVersion("models", "v2"); v1 != 0 || v2 != 1 || !a.broken {
			t.Errorf("got %d runs on the old version, %d on the new one, broken off: %t; want the answer broken off after 1 run on the new one", v1, v2, a.broken)
		}
	})
}

// Guards against roll-outs of two services that are mixed up.
func TestTwoRollouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", voteServer("a")), withVersion("v2", voteServer("a")), withVersion("v1", engine("a")), withVersion("v2", engine("a")))
		defer f.shutDown()
		f.setRollout("votes", rollout.Completed, 0)
		f.setRollout("models", rollout.Reverted, 0)
		if failed := f.sendCalls("/tally/1", 10); failed > 0 || f.runsOnVersion("votes", "v1") > 0 {
			t.Errorf("%d calls failed, %d ran on the old version of a service that was rolled out; want none of either", failed, f.runsOnVersion("votes", "v1"))
		}
		f.send("POST", "/s/1", "r1", "log").requireCompleteStream(t, 100)
		if n := f.runsOnVersion("models", "v2"); n > 0 {
			t.Errorf("got %d runs on a reverted version, want none", n)
		}
	})
}

// Guards against observations that are missing or counted twice. Each request that was
// received, sent and answered must be counted once in what the router reports.
func TestTrialObservationsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", voteServer("a")), withVersion("v2", voteServer("a")))
		defer f.shutDown()
		f.setRollout("votes", rollout.Trial, 0.5)
		f.sendCalls("/tally/1", 60)
		l := rollout.NewLedger()
		l.Note(1, f.recorder.Reports(), time.Now())
		e := l.Sum("votes", uint64(len("votes")), time.Now())
		cell := rollout.Cell{Route: "tally"}
		answered := 0
		for _, servers := range []rollout.CountsByServer{e.Former[cell], e.Target[cell]} {
			for _, c := range servers {
				answered += c.Answers
			}
		}
		if e.Requests["tally"] != 60 || answered != 60 || e.Sent != f.runsOnVersion("votes", "v2") || e.Sent == 0 {
			t.Errorf("got %d requests, want 60; %d answers, want 60; %d sends, want the %d runs on the new version", e.Requests["tally"], answered, e.Sent, f.runsOnVersion("votes", "v2"))
		}
	})
}

// Guards against a version with slow events that is noticed only when its long answers end.
// The pace must be reported after the first events.
func TestSlowPaceIsReportedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", engine("a")), withVersion("v2", engine("a")))
		defer f.shutDown()
		f.servers[1].EventInterval *= 5
		f.setRollout("models", rollout.Trial, 1)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(4 * time.Second)
		l := rollout.NewLedger()
		l.Note(1, f.recorder.Reports(), time.Now())
		e := l.Sum("models", uint64(len("models")), time.Now())
		if c := e.Target[rollout.Cell{Route: "summary", Measure: rollout.Pace}]["i1"]; c.Answers != 1 {
			t.Errorf("got observations %+v after four seconds, want one pace of i1", e.Target)
		}
		a.leave()
		<-a.done
	})
}
