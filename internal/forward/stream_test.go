package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// pauseObjective equals the PauseObjective of the stream route in testRoutes: the target for
// the longest pause between two events.
const pauseObjective = 700 * time.Millisecond

// engineRunning returns the server that has a run of the request; nil: none has.
func (f *fixture) engineRunning(id string) *routedengine.Server {
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			if r.RequestID == id {
				return s
			}
		}
	}
	return nil
}

func TestStreamUndisturbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"))
		defer f.shutDown()
		a := f.send("POST", "/s/1?x=%2f", "r1", "unit log")
		a.requireCompleteStream(t, 100)
		run := f.engineRunning("r1").Runs()[0]
		if run.Path != "/s/1?x=%2f" || run.Body != "unit log" {
			t.Errorf("the engine got path %q, body %q, want those of the caller", run.Path, run.Body)
		}
		if got := run.Header.Get("Authorization"); got != "" {
			t.Errorf("the engine got the caller's key in %q, want none", got)
		}
		if got := run.Header.Get(forward.HeaderWorkspace); got != "nelson" {
			t.Errorf("the engine got workspace %q, want nelson", got)
		}
	})
}

// Guards against a long pause when an engine dies. It dies after half of the events, with
// or without a reset. The backup engine in another zone must resume after the last
// complete event. A new prefill of 8,000 tokens would take a second, which is more than
// the pause objective.
func TestStreamResumesFromBackupCopy(t *testing.T) {
	for _, state := range []routedengine.State{routedengine.Dead, routedengine.Unresponsive} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"), engine("a"), engine("b"), engine("b"))
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2500 * time.Millisecond)
				first := f.engineRunning("r1")
				first.Set(state)
				a.requireCompleteStream(t, 100)
				if pause := a.longestPause(); pause > pauseObjective {
					t.Errorf("got a pause of %v, want at most %v", pause, pauseObjective)
				}
				for _, s := range f.servers {
					for _, r := range s.Runs() {
						if s != first && (r.Prefilled || s.Zone == first.Zone) {
							t.Errorf("resumed in zone %s, prompt prefilled again: %t; want another zone and no prefill", s.Zone, r.Prefilled)
						}
					}
				}
			})
		})
	}
}

// Guards against a stream that fails if its engine and its backup engine die together, as
// in a loss of two zones. A third engine must prefill the prompt again and resume after
// the last event.
func TestStreamResumesWithoutBackupCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2500 * time.Millisecond)
		for _, s := range f.servers {
			if len(s.Runs()) > 0 || s.Copies() > 0 {
				s.Set(routedengine.Dead)
			}
		}
		a.requireCompleteStream(t, 100)
	})
}

// Guards against a truncated event at the caller. The engine dies in the middle of an
// event; the part that came must not be forwarded, since the next engine generates the
// event again.
func TestTruncatedEventIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := engine("a")
		cut.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 1, true)
			w.Header().Set(forward.HeaderSignature, s.ID)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: piece 1\n\nid: 2\ndata: pie")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		f := newFixture(t, cut, engine("b"))
		defer f.shutDown()
		f.servers[1].Set(routedengine.Dead)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(10 * time.Millisecond)
		f.servers[1].Set(routedengine.Alive)
		a.requireCompleteStream(t, 100)
	})
}

// Guards against an incomplete stream that looks complete. The only engine dies in
// mid-stream, and the caller's connection must be aborted.
func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		f.servers[0].Set(routedengine.Dead)
		<-a.done
		if !a.broken {
			t.Error("an incomplete stream ended regularly, want an aborted connection")
		}
	})
}

// Guards against a stream that leaves a slow, live engine. The engine pauses for most of a
// second before each event, as it does while it prefills long prompts, and reports the
// run when it is probed. No copy exists. A move would repeat the prefill on an engine
// that is as busy, and increase the overload.
func TestSlowEngineIsNotTakenForDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := engine("a")
		slow.Events, slow.EventInterval = 10, 650*time.Millisecond
		f := newFixture(t, slow)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		a.requireCompleteStream(t, 10)
		if n := f.totalRuns("r1"); n != 1 {
			t.Errorf("got %d runs of one stream on a live engine, want 1", n)
		}
	})
}

// Guards against a stream that never starts. A live engine loses the request, as one that
// restarts at the same address does. It answers each probe with a complete report that
// does not list the run. A probe for liveness alone would leave the stream waiting until
// the caller's deadline.
func TestRequestLostByALiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Int32
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		for _, s := range f.servers {
			s.Intercept = func(_ *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
				if lost.Add(1) > 1 {
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body is read
				<-r.Context().Done()
				return true
			}
		}
		a := f.send("POST", "/s/1", "r1", "log")
		began := time.Now()
		a.requireCompleteStream(t, 100)
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("the complete stream took %v, want at most 10 s", took)
		}
		if lost.Load() != 2 {
			t.Errorf("got %d sends, want 2", lost.Load())
		}
	})
}

// Guards against an engine that keeps working for a caller that has left.
func TestCallerLeavesAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		a.leave()
		<-a.done
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		use := f.fleet.OwnUse()
		if len(use) != 0 {
			t.Errorf("got use %v after the caller left, want none", use)
		}
	})
}

// Guards against repeated events if a caller asks for the rest of its stream: the answer
// must start after the caller's last event.
func TestCallerResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r2", "log", "Last-Event-Id", "97")
		<-a.done
		want := "id: 98\ndata: piece 98\n\nid: 99\ndata: piece 99\n\nid: 100\ndata: piece 100\n\n"
		if got := a.text.String(); got != want || a.broken {
			t.Errorf("got %q, want the events after 97", got)
		}
	})
}

// Guards against long pauses and lost streams when a zone is lost. More than thirty streams
// run in three zones, and all engines of one zone die at once, half of them without a
// reset. The streams there must resume from copies in other zones, and no new stream may
// be lost to the dead engines, which are still listed.
func TestZoneOfEnginesIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers []*routedengine.Server
		for i := range 18 {
			servers = append(servers, engine(string(rune('a'+i%3))))
		}
		f := newFixture(t, servers...)
		defer f.shutDown()
		var answers []*answer
		for i := range 36 {
			if i == 18 {
				for k, s := range f.servers {
					if s.Zone == "b" {
						s.Set([]routedengine.State{routedengine.Unresponsive, routedengine.Dead}[k%2])
					}
				}
			}
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log", i)))
			time.Sleep(100 * time.Millisecond)
		}
		late := 0
		for _, a := range answers {
			a.requireCompleteStream(t, 100)
			if a.longestPause() > pauseObjective {
				late++
			}
		}
		if late > 1 {
			t.Errorf("%d of %d streams paused for more than %v, want at most 1", late, len(answers), pauseObjective)
		}
	})
}

// Guards against a new prefill when a router dies. The first router carries the stream for
// two seconds and reports where its copy is. The second router finds the copy, whether or not
// the caller names the first attempt: no other request has this content. The caller must not
// wait longer than for a pause.
func TestOrphanedStreamResumesFromBackupCopy(t *testing.T) {
	for _, headers := range [][]string{nil, {forward.HeaderFirstAttempt, "r1"}} {
		t.Run(fmt.Sprint("names ", headers), func(t *testing.T) { testOrphanedStream(t, headers) })
	}
}

func testOrphanedStream(t *testing.T, headers []string) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		first := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		f.reportRuns()
		first.leave()
		<-first.done
		afterwards := slices.DeleteFunc(f.handler.ResumableRuns(), func(r forward.ResumableRun) bool { return r.Ended && r.Copy == (forward.Copy{}) })
		if len(f.reported) != 1 || f.reported[0].Copy.Address == "" || len(afterwards) != 0 {
			t.Fatalf("reported %+v, want one copy; of an ended stream %+v, want no copy", f.reported, afterwards)
		}
		began := time.Now()
		got := strings.Count(first.text.String(), "id: ")
		second := f.send("POST", "/s/1", "r2", "log", append([]string{"Last-Event-Id", fmt.Sprint(got), forward.HeaderDeadline, "20000"}, headers...)...)
		<-second.done
		if second.broken || strings.Count(second.text.String(), "id: ") != 100-got {
			t.Fatalf("the rest has %d events, want all that the first router did not send", strings.Count(second.text.String(), "id: "))
		}
		if pause := second.arrived[0].Sub(began); pause > 300*time.Millisecond {
			t.Errorf("resumed after %v, want at most 300 ms", pause)
		}
		other := f.send("POST", "/s/1", "r3", "another log", "Last-Event-Id", "5")
		<-other.done
		if run := f.engineRunning("r3").Runs(); !run[len(run)-1].Prefilled {
			t.Error("another request resumed from the copy of this one")
		}
	})
}

// killBackupEngines kills the engines that hold copies and returns their ids.
func (f *fixture) killBackupEngines() []string {
	var dead []string
	for _, s := range f.servers {
		if s.Copies() > 0 {
			s.Set(routedengine.Dead)
			dead = append(dead, s.ID)
		}
	}
	return dead
}

// Guards against a long pause when two zones are lost one after the other. The backup
// engine dies and leaves the list while the run continues. Two seconds later the run's
// engine dies. The run must resume from a copy that was ordered in between.
func TestLostBackupCopyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(1500 * time.Millisecond)
		first := f.engineRunning("r1")
		dead := f.killBackupEngines()
		rows := slices.DeleteFunc(f.net.Backends(), func(b upstream.Backend) bool { return slices.Contains(dead, b.ID) })
		f.fleet.Apply(upstream.List{Backends: rows, AsOf: time.Now()})
		time.Sleep(2 * time.Second)
		first.Set(routedengine.Dead)
		a.requireCompleteStream(t, 100)
		if pause := a.longestPause(); pause > pauseObjective {
			t.Errorf("got a pause of %v, want at most the objective of 700 ms", pause)
		}
	})
}

// Guards against a long pause when a second zone is lost before the list drops the engines
// of the first. The backup engine dies, stays listed for two more seconds and is reported
// dead by another VM. 1.2 s later the run's engine dies. Zones are lost three seconds
// apart, and the list, the check of it and the order together take as long.
func TestBackupEngineReportedDeadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(1500 * time.Millisecond)
		first := f.engineRunning("r1")
		f.fleet.PeerReportedDead(f.killBackupEngines())
		time.Sleep(1200 * time.Millisecond)
		first.Set(routedengine.Dead)
		a.requireCompleteStream(t, 100)
		if pause := a.longestPause(); pause > pauseObjective {
			t.Errorf("got a pause of %v, want at most the objective of 700 ms", pause)
		}
	})
}

// Guards against an ordered copy that stays at its backup engine after the stream, also if
// the stream ends while the copy is being made.
func TestOrderedCopyIsDropped(t *testing.T) {
	for _, copyTime := range []time.Duration{0, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			first := engine("a")
			first.Events, first.CopyTime = 60, copyTime
			f := newFixture(t, first)
			defer f.shutDown()
			a := f.send("POST", "/s/1", "r1", "log")
			time.Sleep(1200 * time.Millisecond)
			backup := engine("c")
			backup.ID, backup.Address = "i9", "10.0.0.9:80"
			f.servers = append(f.servers, f.net.Add(backup))
			f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
			time.Sleep(1200 * time.Millisecond)
			if copyTime == 0 && backup.Copies() != 1 {
				t.Fatalf("got %d copies ordered, want 1", backup.Copies())
			}
			a.requireCompleteStream(t, 60)
			time.Sleep(time.Second)
			if n := backup.Copies(); n != 0 {
				t.Errorf("got %d copies after the run, want none", n)
			}
		})
	}
}

// Guards against an incomplete answer that is taken for complete. An answer without a
// length ends with its connection after two events, since its engine died. The next
// engine must resume it.
func TestUnframedStreamOfDeadEngineResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dying := engine("a")
		dying.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 1, true)
			conn, _, _ := http.NewResponseController(w).Hijack()
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nConnection: close\r\n\r\n"+
				"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
			go s.Set(routedengine.Dead)
			return true
		}
		f := newFixture(t, dying, engine("b"))
		defer f.shutDown()
		f.servers[1].Set(routedengine.Dead)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(5 * time.Millisecond)
		f.servers[1].Set(routedengine.Alive)
		a.requireCompleteStream(t, 100)
	})
}
