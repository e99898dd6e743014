package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// work records when servers work on a request.
type work struct {
	mu    sync.Mutex
	spans []span
}

type span struct {
	begin, end time.Time
}

// ended returns the end of a run; now, if it is in progress.
func (s *span) ended() time.Time {
	if s.end.IsZero() {
		return time.Now()
	}
	return s.end
}

// watch records the runs of an engine.
func (l *work) watch(s *routedengine.Server) {
	s.Intercept = func(_ *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
		l.mu.Lock()
		i := len(l.spans)
		l.spans = append(l.spans, span{begin: time.Now()})
		l.mu.Unlock()
		go func() {
			<-r.Context().Done()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.spans[i].end = time.Now()
		}()
		return false
	}
}

// firstEnd returns the end of the first run; now, if it is in progress.
func (l *work) firstEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spans[0].ended()
}

// overlap returns the longest time from a moment for which two runs are in progress.
func (l *work) overlap(from time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for i, a := range l.spans {
		for _, b := range l.spans[i+1:] {
			begin, end := b.begin, a.ended()
			if b.ended().Before(end) {
				end = b.ended()
			}
			if begin.Before(from) {
				begin = from
			}
			longest = max(longest, end.Sub(begin))
		}
	}
	return longest
}

// watched returns engines of one zone whose work is recorded, and that make no copies of runs.
func (l *work) watched(t *testing.T, n int) *fixture {
	var engines []*routedengine.Server
	for range n {
		e := engine("a")
		l.watch(e)
		engines = append(engines, e)
	}
	f := newFixture(t, engines...)
	f.keepNoCopies()
	return f
}

// soon is how long a server may work on a run that is not needed any more.
const soon = 50 * time.Millisecond

// Guards against the end of all streams of a silent engine but the one that probes it.
func TestAllStreamsOfASilentEngineGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		var answers []*answer
		for i := range 8 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), "log"))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		answers = append(answers, f.send("POST", "/s/1", "r8", "log")) // it has no event yet
		time.Sleep(100 * time.Millisecond)
		silentFor(time.Second, f.servers...)
		for i, a := range answers {
			a.requireCompleteStream(t, 100)
			if runs := f.totalRuns(fmt.Sprint("r", i)); runs != 1 {
				t.Errorf("got %d runs of stream %d, want 1", runs, i)
			}
		}
	})
}

// Guards against an engine that works on for nobody: another one has brought the next event.
func TestHeldRunIsClosedOnceTheStreamGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		f := l.watched(t, 2)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		silent := time.Now()
		f.engineRunning("r1").Set(routedengine.Silent)
		a.requireCompleteStream(t, 100)
		if got := l.overlap(silent.Add(a.longestPause())); got > soon {
			t.Errorf("two runs for %v after the stream went on, want at most %v", got, soon)
		}
	})
}

// Guards against a second engine that works on for nobody: the first one has spoken again.
func TestOvertakenRunIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		f := l.watched(t, 2)
		defer f.shutDown()
		a := silentStream(f, true, 1600*time.Millisecond) // another engine prefills the prompt after 1.5 s
		again := time.Now()
		a.requireCompleteStream(t, 100)
		if runs := f.totalRuns("r1"); runs != 2 {
			t.Errorf("got %d runs, want one that was overtaken", runs)
		}
		if got := l.overlap(again); got > soon {
			t.Errorf("two runs for %v after the first engine spoke again, want at most %v", got, soon)
		}
	})
}

// Guards against an engine that works on for a caller who has left while the run was held.
func TestHeldRunEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		f := l.watched(t, 1)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		f.servers[0].Set(routedengine.Silent)
		time.Sleep(time.Second)
		left := time.Now()
		a.leave()
		<-a.done
		time.Sleep(time.Second)
		if use := f.fleet.OwnUse(); len(use) > 0 {
			t.Errorf("got %v in use after the caller had left, want nothing", use)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if end := l.spans[0].end; end.IsZero() || end.Sub(left) > soon {
			t.Errorf("the run ended %v after its caller had left, want at most %v", end.Sub(left), soon)
		}
	})
}

// Guards against a crash of the handler: the connection of the only held run breaks while no other
// engine takes the stream.
func TestHeldRunBreaksWhileNoEngineIsFree(t *testing.T) {
	for _, begun := range []bool{true, false} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"))
				defer f.shutDown()
				f.servers[0].PrefillTime = 4 * time.Second
				if begun {
					f.servers[0].PrefillTime = time.Second
				}
				a := silentStream(f, begun, 0)
				f.servers[0].Set(routedengine.Unresponsive)
				if begun {
					time.Sleep(600 * time.Millisecond) // it is held
				} else {
					time.Sleep(1500 * time.Millisecond)
				}
				f.servers[0].Set(routedengine.Dead)
				<-a.done
				if begun != a.broken || !begun && a.status != http.StatusBadGateway {
					t.Errorf("got status %d, aborted: %t", a.status, a.broken)
				}
			})
		})
	}
}

// slowGrants is a Placer that grants i0 and then i1. While the second grant is made, or its use is
// reported, it calls a function.
type slowGrants struct {
	scriptedPlacer
	atReport bool
	during   func()
}

func newSlowGrants(atReport bool, during func()) *slowGrants {
	p, grant := &slowGrants{atReport: atReport, during: during}, grantInTurn("i0", "i1")
	p.decide = func() (scheduler.Answer, bool) {
		answer, ok := grant()
		if answer.Number == 2 && !atReport {
			during()
		}
		return answer, ok
	}
	return p
}

func (p *slowGrants) Took(n uint64) {
	p.scriptedPlacer.Took(n)
	if n == 2 && p.atReport {
		p.during()
	}
}

// Guards against a stream that no engine is searched for any more: its silent engine answers again, which
// ends the search beside it, and dies at once.
func TestStreamOutlivesAnEngineThatAnswersAgainAndDies(t *testing.T) {
	for _, begun := range []bool{true, false} {
		for _, atReport := range []bool{true, false} {
			t.Run(fmt.Sprintf("begun %t, at report %t", begun, atReport), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					first, second := engine("a"), engine("a")
					if !begun {
						first.PrefillTime = 4 * time.Second
					}
					f := newFixture(t, first, second)
					defer f.shutDown()
					f.keepNoCopies()
					f.setPlacer(newSlowGrants(atReport, func() {
						first.Set(routedengine.Stalled)
						time.Sleep(time.Second)
						first.Set(routedengine.Dead)
						time.Sleep(soon)
					}))
					a := f.send("POST", "/s/1", "r1", "log")
					time.Sleep(2 * time.Second)
					first.Set(routedengine.Unresponsive)
					a.requireCompleteStream(t, 100)
				})
			})
		}
	}
}

// Guards against a complete answer that is cut: its engine falls silent between the last event and the
// end of the answer, and no other engine takes the stream.
func TestHeldRunThatEndsIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := engine("a")
		slow.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 1, true)
			w.Header().Set("X-Backend-Signature", s.ID)
			for i := 1; i <= 3; i++ {
				fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			}
			http.NewResponseController(w).Flush()
			s.Set(routedengine.Unresponsive)
			time.Sleep(time.Second)
			s.Set(routedengine.Alive)
			return true
		}
		f := newFixture(t, slow)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		a.requireCompleteStream(t, 3)
	})
}

// Guards against a request that is worked on twice: its engine was silent before the first event and
// answers again, and another engine prefills the same prompt.
func TestEngineThatAnswersAgainSharesNoRequest(t *testing.T) {
	for _, engines := range []int{1, 2} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				var all []*routedengine.Server
				for range engines {
					e := engine("a")
					e.PrefillTime = 4 * time.Second
					l.watch(e)
					all = append(all, e)
				}
				f := newFixture(t, all...)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(1400 * time.Millisecond)
				first := f.engineRunning("r1")
				first.Set(routedengine.Unresponsive)
				time.Sleep(600 * time.Millisecond)
				first.Set(routedengine.Alive)
				again := time.Now()
				a.requireCompleteStream(t, 100)
				time.Sleep(time.Second)
				if got := l.overlap(again); got > 400*time.Millisecond {
					t.Errorf("two runs for %v after the engine answered again, want at most 400 ms", got)
				}
			})
		})
	}
}

// Guards against the end of a sound run before its first event: the engine was silent for 0.6 s,
// answers probes again, and would make the first event within the objective.
func TestEngineThatAnswersAgainKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*routedengine.Server
		for range 3 {
			e := engine("a")
			e.PrefillTime = 4 * time.Second
			all = append(all, e)
		}
		f := newFixture(t, all...)
		defer f.shutDown()
		f.noRetries = true
		f.setPlacer(nil)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(1400 * time.Millisecond)
		first := f.engineRunning("r1")
		first.Set(routedengine.Unresponsive)
		time.Sleep(600 * time.Millisecond)
		first.Set(routedengine.Alive)
		a.requireCompleteStream(t, 100)
	})
}

// Guards against a run that is kept beside another: a live engine makes its events late, the copy of the
// run is gone, and another engine prefills the prompt.
func TestLiveEngineThatIsLeftDropsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		slow, keeper := engine("a"), engine("b")
		slow.EventInterval, slow.Events = 4*time.Second, 3
		keeper.EventInterval, keeper.Events, keeper.PrefillTime = 4*time.Second, 3, 3*time.Second
		l.watch(slow)
		l.watch(keeper)
		f := newFixture(t, slow, keeper)
		defer f.shutDown()
		f.servers[1].Set(routedengine.Dead)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		f.servers[1].Set(routedengine.Alive)
		began := time.Now()
		time.Sleep(3500 * time.Millisecond) // the first event, and a copy on order
		f.servers[1].DropCopies()
		a.requireCompleteStream(t, 3)
		time.Sleep(time.Second)
		if got := l.overlap(began); got > 400*time.Millisecond {
			t.Errorf("two live engines worked on the request for %v, want at most 400 ms", got)
		}
	})
}

// Guards against a stream that is sent again to the engine of its held run: the engine answers a probe
// before its next event, which the prefill of another prompt holds up.
func TestEngineOfAHeldRunIsNotTakenAgain(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := engine("a")
				e.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					after, _ := strconv.Atoi(r.Header.Get(forward.HeaderLastEvent))
					s.RecordRun(r, uint64(after+1), true)
					w.Header().Set(forward.HeaderSignature, s.ID)
					time.Sleep(time.Second)
					for n := after + 1; n <= 100; n++ {
						if n == 20 && after == 0 {
							s.Set(routedengine.Unresponsive)
							time.Sleep(600 * time.Millisecond)
							s.Set(routedengine.Alive)
							time.Sleep(gap)
						}
						fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
						if http.NewResponseController(w).Flush() != nil {
							return true
						}
						time.Sleep(30 * time.Millisecond)
					}
					return true
				}
				f := newFixture(t, e)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				<-a.done
				time.Sleep(time.Second)
				if runs := f.totalRuns("r1"); runs != 1 || a.broken {
					t.Errorf("got %d runs at the engine of the held run, broken %t, want 1", runs, a.broken)
				}
			})
		})
	}
}

// Guards against a stream that loses an engine that answers: another one was to resume it from a copy,
// and refuses.
func TestHeldRunOutlivesAResumeThatIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, keeper := engine("a"), engine("b")
		first.EventInterval, first.Events = 700*time.Millisecond, 10
		keeper.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			time.Sleep(250 * time.Millisecond)
			s.Refuse(w, r)
			return true
		}
		f := newFixture(t, first, keeper)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(1700*time.Millisecond + 10*time.Millisecond) // just behind an event
		first.Set(routedengine.Silent)
		time.Sleep(600 * time.Millisecond) // the keeper was asked
		first.Set(routedengine.Alive)
		a.requireCompleteStream(t, 10)
		if runs, asked := f.totalRuns("r1"), len(keeper.Arrivals()); runs != 1 || asked == 0 {
			t.Errorf("got %d runs, and %d requests at the keeper; want 1 run, and the keeper asked", runs, asked)
		}
	})
}

// Guards against runs that end each other: all engines that a stream tried fall silent, one after
// the other, and answer again at once.
func TestSilenceOfAllEnginesCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engines []*routedengine.Server
		for i := range 4 {
			e := engine([]string{"a", "b"}[i%2])
			e.EventInterval, e.Events = 300*time.Millisecond, 20
			engines = append(engines, e)
		}
		f := newFixture(t, engines...)
		defer f.shutDown()
		var answers []*answer
		for i := range 6 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), "log"))
			time.Sleep(70 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, s := range f.servers {
			s.Set(routedengine.Silent)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, s := range f.servers {
			s.DropCopies()
			s.Set(routedengine.Alive)
		}
		again := time.Now()
		for _, a := range answers {
			a.requireCompleteStream(t, 20)
		}
		for _, s := range f.servers {
			for _, r := range s.Runs() {
				if r.Prefilled && r.At.After(again) {
					t.Errorf("%s prefilled %s again, %v after the silence", s.ID, r.RequestID, r.At.Sub(again))
				}
			}
		}
	})
}
