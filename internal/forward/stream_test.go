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

// pauseObjective is that of testRoutes' stream.
const pauseObjective = 700 * time.Millisecond

// runningOn returns the server that runs a request now, or nil.
func (w *world) runningOn(id string) *routedengine.Server {
	for _, s := range w.servers {
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
		w := newWorld(t, engine("a"), engine("b"))
		defer w.end()
		a := w.send("POST", "/s/1?x=%2f", "r1", "unit log")
		a.wholeStream(t, 100)
		run := w.runningOn("r1").Runs()[0]
		if run.Path != "/s/1?x=%2f" || run.Body != "unit log" {
			t.Errorf("the engine got %q with body %q", run.Path, run.Body)
		}
		if got := run.Header.Get("Authorization"); got != "" {
			t.Errorf("the caller's key reached the engine: %q", got)
		}
		if got := run.Header.Get(forward.HeaderWorkspace); got != "nelson" {
			t.Errorf("workspace %q", got)
		}
	})
}

// The caller sees a short pause and then the rest of the answer. In order: the
// engine dies after half of the events, with a reset or without a word; the router
// closes the run, and the engine in another zone that keeps a copy of its memory
// goes on behind the last whole event. Why a copy: a prompt of 8,000 tokens read
// anew takes a second, more than the pause that a caller accepts.
func TestStreamResumesFromBackupCopy(t *testing.T) {
	for _, state := range []routedengine.State{routedengine.Dead, routedengine.Dark} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, engine("a"), engine("a"), engine("b"), engine("b"))
				defer w.end()
				a := w.send("POST", "/s/1", "r1", "log")
				time.Sleep(2500 * time.Millisecond)
				first := w.runningOn("r1")
				first.Set(state)
				a.wholeStream(t, 100)
				if pause := a.longestPause(); pause > pauseObjective {
					t.Errorf("a pause of %v, more than %v", pause, pauseObjective)
				}
				for _, s := range w.servers {
					for _, r := range s.Runs() {
						if s != first && (r.ReadAnew || s.Zone == first.Zone) {
							t.Errorf("went on in zone %s, prompt read anew: %t", s.Zone, r.ReadAnew)
						}
					}
				}
			})
		})
	}
}

// The caller gets the whole answer, later. In order: engine and keeper die
// together, as where two zones are lost; a third engine reads the prompt anew and
// goes on behind the last event.
func TestStreamResumesWithoutBackupCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(2500 * time.Millisecond)
		for _, s := range w.servers {
			if len(s.Runs()) > 0 || s.Copies() > 0 {
				s.Set(routedengine.Dead)
			}
		}
		a.wholeStream(t, 100)
	})
}

// The caller gets each event once. In order: the engine breaks off in the middle
// of an event; the part that came is not passed on, and the next engine makes the
// event again. Passed on, the caller would have a torn event before the whole one.
func TestTruncatedEventIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := engine("a")
		cut.Answer = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.Note(r, 1, true)
			w.Header().Set(forward.HeaderSignature, s.ID)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: piece 1\n\nid: 2\ndata: pie")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w := newWorld(t, cut, engine("b"))
		defer w.end()
		w.servers[1].Set(routedengine.Dead)
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(10 * time.Millisecond)
		w.servers[1].Set(routedengine.Alive)
		a.wholeStream(t, 100)
	})
}

// The caller's connection breaks off and does not end as if the answer were whole.
// In order: the only engine dies in mid-stream and no other comes.
func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"))
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		w.servers[0].Set(routedengine.Dead)
		<-a.done
		if !a.broken {
			t.Error("a part of the stream ended like a whole answer")
		}
	})
}

// The caller sees no second run. In order: the engine pauses for most of a second
// in each event, as beside long prompts, and reports the run when it is asked; no
// copy of the run exists. Leaving it would read the prompt anew on an engine that
// is as busy, and feed the overload.
func TestSlowEngineIsNotTakenForDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := engine("a")
		slow.Events, slow.EventTime = 10, 650*time.Millisecond
		w := newWorld(t, slow)
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		a.wholeStream(t, 10)
		if n := w.totalRuns("r1"); n != 1 {
			t.Errorf("%d runs of one stream on a live engine", n)
		}
	})
}

// The caller sees a stream that starts late, not one that never does. In order: the
// request is lost in an engine that lives, as one that starts again at its address
// has nothing of before; the engine answers each question, and names all that it has,
// which is nothing. Asked only whether it lives, it would be waited for until the
// caller's time is over.
func TestRequestLostByALiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Int32
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		for _, s := range w.servers {
			s.Answer = func(_ *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
				if lost.Add(1) > 1 {
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body) // until then the end of the connection is not seen
				<-r.Context().Done()
				return true
			}
		}
		a := w.send("POST", "/s/1", "r1", "log")
		began := time.Now()
		a.wholeStream(t, 100)
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("the whole stream took %v", took)
		}
		if lost.Load() != 2 {
			t.Errorf("%d sends", lost.Load())
		}
	})
}

// The engine stops working within half a second of the caller's leaving.
func TestCallerLeavesAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"))
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		a.leave()
		<-a.done
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		use := w.fleet.OwnUse()
		if len(use) != 0 {
			t.Errorf("still counted as running: %v", use)
		}
	})
}

// A resumed request of a caller starts behind the caller's own last event.
func TestCallerResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"))
		defer w.end()
		a := w.send("POST", "/s/1", "r2", "log", "Last-Event-Id", "97")
		<-a.done
		want := "id: 98\ndata: piece 98\n\nid: 99\ndata: piece 99\n\nid: 100\ndata: piece 100\n\n"
		if got := a.text.String(); got != want || a.broken {
			t.Errorf("got %q", got)
		}
	})
}

// Callers of all streams get whole answers with short pauses. In order: thirty
// streams run over three zones, and all engines of one zone die at once, some
// without a word. The streams there go on from copies in the others, and no new
// stream is lost to the engines that are still listed.
func TestZoneOfEnginesIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers []*routedengine.Server
		for i := range 18 {
			servers = append(servers, engine(string(rune('a'+i%3))))
		}
		w := newWorld(t, servers...)
		defer w.end()
		var answers []*answer
		for i := range 36 {
			if i == 18 {
				for k, s := range w.servers {
					if s.Zone == "b" {
						s.Set([]routedengine.State{routedengine.Dark, routedengine.Dead}[k%2])
					}
				}
			}
			answers = append(answers, w.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log", i)))
			time.Sleep(100 * time.Millisecond)
		}
		late := 0
		for _, a := range answers {
			a.wholeStream(t, 100)
			if a.longestPause() > pauseObjective {
				late++
			}
		}
		if late > 1 {
			t.Errorf("%d of %d streams paused for more than %v", late, len(answers), pauseObjective)
		}
	})
}

// A router dies with a stream; its caller asks another for the rest and waits no
// longer than for a pause. In order: the first router carries the stream for two
// seconds and has told where its copy is; it is gone, and the second finds the copy
// by what the two attempts have in common.
func TestOrphanedStreamResumesFromBackupCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		first := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		w.left = map[uint64]forward.Copy{}
		for _, k := range w.handler.ResumableRuns() {
			w.left[k.Identity] = k.Copy
		}
		first.leave()
		<-first.done
		if len(w.left) != 1 || len(w.handler.ResumableRuns()) != 0 {
			t.Fatalf("%d copies told, %d of a stream that has ended", len(w.left), len(w.handler.ResumableRuns()))
		}
		began := time.Now()
		got := strings.Count(first.text.String(), "id: ")
		second := w.send("POST", "/s/1", "r2", "log", "Last-Event-Id", fmt.Sprint(got), forward.HeaderDeadline, "20000")
		<-second.done
		if second.broken || strings.Count(second.text.String(), "id: ") != 100-got {
			t.Fatalf("the rest has %d events", strings.Count(second.text.String(), "id: "))
		}
		if pause := second.arrived[0].Sub(began); pause > 300*time.Millisecond {
			t.Errorf("went on after %v", pause)
		}
		other := w.send("POST", "/s/1", "r3", "another log", "Last-Event-Id", "5")
		<-other.done
		if run := w.runningOn("r3").Runs(); !run[len(run)-1].ReadAnew {
			t.Error("another request went on from this one's memory")
		}
	})
}

// loseKeepers ends the engines that keep copies, and returns their ids.
func (w *world) loseKeepers() []string {
	var dead []string
	for _, s := range w.servers {
		if s.Copies() > 0 {
			s.Set(routedengine.Dead)
			dead = append(dead, s.ID)
		}
	}
	return dead
}

// The caller sees a short pause, though two zones are lost one after the other. In
// order: the engine that keeps the run's copy dies and leaves the list; the run
// goes on; two seconds later its own engine dies, and it goes on from a copy that
// was ordered meanwhile.
func TestLostBackupCopyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(1500 * time.Millisecond)
		first := w.runningOn("r1")
		dead := w.loseKeepers()
		rows := slices.DeleteFunc(w.net.List(), func(b upstream.Backend) bool { return slices.Contains(dead, b.ID) })
		w.fleet.Apply(upstream.List{Backends: rows, AsOf: time.Now()})
		time.Sleep(2 * time.Second)
		first.Set(routedengine.Dead)
		a.wholeStream(t, 100)
		if pause := a.longestPause(); pause > pauseObjective {
			t.Errorf("a pause of %v", pause)
		}
	})
}

// The caller sees a short pause, though a second zone is lost before the list names
// the engines of the first as gone. In order: the keeper dies and stays listed for two
// seconds more; another VM judges it dead; 1.2 s later the run's own engine dies. Why
// the list is not waited for: zones are lost three seconds apart, and the list, the
// look at it and the order itself take as long.
func TestBackupEngineReportedDeadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(1500 * time.Millisecond)
		first := w.runningOn("r1")
		w.fleet.PeerReportedDead(w.loseKeepers())
		time.Sleep(1200 * time.Millisecond)
		first.Set(routedengine.Dead)
		a.wholeStream(t, 100)
		if pause := a.longestPause(); pause > pauseObjective {
			t.Errorf("a pause of %v", pause)
		}
	})
}

// A copy that was ordered and not needed does not stay at its keeper, also where
// the stream ends while the copy is being made.
func TestOrderedCopyIsDropped(t *testing.T) {
	for _, copyTime := range []time.Duration{0, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			first := engine("a")
			first.Events, first.CopyTime = 60, copyTime
			w := newWorld(t, first)
			defer w.end()
			a := w.send("POST", "/s/1", "r1", "log")
			time.Sleep(1200 * time.Millisecond)
			keeper := engine("c")
			keeper.ID, keeper.Address = "i9", "10.0.0.9:80"
			w.servers = append(w.servers, w.net.Add(keeper))
			w.fleet.Apply(upstream.List{Backends: w.net.List(), AsOf: time.Now()})
			time.Sleep(1200 * time.Millisecond)
			if copyTime == 0 && keeper.Copies() != 1 {
				t.Fatalf("%d copies ordered", keeper.Copies())
			}
			a.wholeStream(t, 60)
			time.Sleep(time.Second)
			if n := keeper.Copies(); n != 0 {
				t.Errorf("%d copies after the run", n)
			}
		})
	}
}

// An answer without a length that ends with its connection is whole only if its
// engine lives. In order: the engine sends two events and its connection ends; it is
// dead, and the next engine goes on.
func TestUnframedStreamOfDeadEngineResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dying := engine("a")
		dying.Answer = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.Note(r, 1, true)
			conn, _, _ := http.NewResponseController(w).Hijack()
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nConnection: close\r\n\r\n"+
				"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
			go s.Set(routedengine.Dead)
			return true
		}
		w := newWorld(t, dying, engine("b"))
		defer w.end()
		w.servers[1].Set(routedengine.Dead)
		a := w.send("POST", "/s/1", "r1", "log")
		time.Sleep(5 * time.Millisecond)
		w.servers[1].Set(routedengine.Alive)
		a.wholeStream(t, 100)
	})
}
