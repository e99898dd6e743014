package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/callqueue"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// requireRefused fails the test unless a request was refused as not run after a time.
func (f *fixture) requireRefused(a *answer, id string, after time.Duration) {
	f.t.Helper()
	<-a.done
	if a.broken || a.status != http.StatusServiceUnavailable || a.took != after || f.totalRuns(id) != 0 {
		f.t.Errorf("got status %d after %v, cut off %t, %d runs; want a refusal after %v and no run", a.status, a.took, a.broken, f.totalRuns(id), after)
	}
}

// secondPlacer is a Placer that grants the first engine at once, and leaves the second request to
// another Placer.
type secondPlacer struct {
	forward.Placer
	asked atomic.Bool
}

func (p *secondPlacer) Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	if p.asked.Swap(true) {
		return p.Placer.Place(ctx, st, abandon)
	}
	return scheduler.Answer{Outcome: scheduler.Granted, Number: 1, Server: "i0"}, true
}

// Guards against a stream that one engine refused, and that is sent again late in a stop and cut off:
// it has not run, and another VM can serve it.
func TestRefusedStreamIsNotSentLateInAStop(t *testing.T) {
	const late = 4 * time.Second
	lateGrant := func() (scheduler.Answer, bool) {
		time.Sleep(late)
		return scheduler.Answer{Outcome: scheduler.Granted, Number: 2, Server: "i1"}, true
	}
	for _, tt := range []struct {
		name    string
		second  forward.Placer
		refused time.Duration
	}{
		{"granted late", &scriptedPlacer{decide: lateGrant}, late},
		{"waits for an engine", &fullPlacer{}, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full := engine("a")
				full.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					s.Refuse(w, r)
					return true
				}
				f := newFixture(t, full, engine("a"))
				defer f.shutDown()
				f.setPlacer(&secondPlacer{Placer: tt.second})
				f.endAt(time.Now().Add(drawnGrace))
				f.requireRefused(f.send(http.MethodPost, "/s/1", "q1", "dossier"), "q1", tt.refused)
			})
		})
	}
}

// breakLate makes a server break off each call some time after it began.
func breakLate(s *routedengine.Server, after time.Duration) {
	s.Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
		s.RecordRun(r, 0, false)
		time.Sleep(after)
		panic(http.ErrAbortHandler)
	}
}

// Guards against a call that may have run and fails although another server could still answer it: its
// server breaks it off late in a stop. To refuse it gains nothing, since its caller cannot be told that
// it has not run. One that must run once is not sent again.
func TestBrokenCallGoesOnLateInAStop(t *testing.T) {
	for _, tt := range []struct {
		method, path string
		status, runs int
	}{
		{http.MethodGet, "/tally/1", http.StatusOK, 2},
		{http.MethodPost, "/vote/1", http.StatusBadGateway, 1},
	} {
		for _, granted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, granted %t", tt.path, granted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					grants := &scriptedGrants{all: granted}
					f := rankedFixture(t, grants)
					defer f.shutDown()
					f.setVoteTimeout(20 * time.Second)
					n := 0
					grants.answer = func() (callqueue.Answer, bool) {
						n++
						return callqueue.Answer{Outcome: callqueue.Granted, Server: fmt.Sprint("i", n-1)}, true
					}
					breakLate(f.servers[0], 4*time.Second)
					f.endAt(time.Now().Add(drawnGrace))
					a := f.send(tt.method, tt.path, "q1", "")
					<-a.done
					if a.broken || a.status != tt.status || f.totalRuns("q1") != tt.runs {
						t.Errorf("got status %d after %v, cut off %t, %d runs; want status %d and %d runs", a.status, a.took, a.broken, f.totalRuns("q1"), tt.status, tt.runs)
					}
				})
			})
		}
	}
}

// Guards against a stream that is handed off late in a stop and cut off with this VM, which holds its
// caller: it waited for an engine until this VM had lost all of them.
func TestUnsentStreamIsNotHandedOffLateInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		r := &relays{}
		f.handOff = r
		f.setPlacer(&scriptedPlacer{decide: func() (scheduler.Answer, bool) {
			time.Sleep(4 * time.Second)
			f.servers[0].Set(routedengine.Unresponsive)
			f.loseServices(t, "models")
			return scheduler.Answer{}, false
		}})
		f.endAt(time.Now().Add(drawnGrace))
		a := f.send(http.MethodPost, "/s/1", "q1", "dossier")
		<-a.done
		if a.status != http.StatusServiceUnavailable || len(r.offers) > 0 {
			t.Errorf("got status %d after %v and %d offers, want a refusal and none", a.status, a.took, len(r.offers))
		}
	})
}

// servedUntilCancelled is a HandOff whose VM serves a stream until the context ends.
type servedUntilCancelled struct{}

func (servedUntilCancelled) Serve(ctx context.Context, w http.ResponseWriter, _ handoff.Request) handoff.Outcome {
	for n := 1; n <= 100; n++ {
		if timer.Sleep(ctx, 10*time.Millisecond) != nil {
			return handoff.Broken
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return handoff.Answered
}

// Guards against a stream with events that is cut off earlier than need be, as if it had none, since
// another VM serves it: the last answers are still written after the drain has ended.
func TestHandedOffStreamEndsWithTheConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		f.handOff = servedUntilCancelled{}
		f.setPlacer(nil)
		f.servers[0].Set(routedengine.Unresponsive)
		f.loseServices(t, "models")
		a := f.send(http.MethodPost, "/s/1", "q1", "dossier")
		time.Sleep(500 * time.Millisecond)
		f.endAt(time.Now().Add(450 * time.Millisecond))
		a.requireCompleteStream(t, 100) // the fixture's connections stay open
	})
}

// answersAs is a HandOff whose VM answers with a header Connection; empty: without.
type answersAs string

func (o answersAs) Serve(_ context.Context, w http.ResponseWriter, _ handoff.Request) handoff.Outcome {
	if o != "" {
		w.Header().Set("Connection", string(o))
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("id: 1\ndata: piece 1\n\n"))
	return handoff.Answered
}

// Guards against callers that keep their connections to a VM which shuts down, and those that close
// them for the shutdown of another VM: that one serves their requests.
func TestHandedOffAnswerStatesWhetherItsOwnVMShutsDown(t *testing.T) {
	for _, tt := range []struct {
		other   answersAs
		closing bool
		want    string
	}{{"", true, "close"}, {"close", true, "close"}, {"close", false, ""}, {"", false, ""}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, engine("a"), voteServer("a"))
			defer f.shutDown()
			f.handOff = tt.other
			f.setPlacer(nil)
			for _, s := range f.servers {
				s.Set(routedengine.Unresponsive)
			}
			f.loseServices(t, "models", "votes")
			f.closing = tt.closing
			for _, path := range []string{"/s/1", "/tally/1"} {
				a := f.send(http.MethodPost, path, "q1", "dossier")
				<-a.done
				if got := a.header.Get("Connection"); a.status != http.StatusOK || got != tt.want {
					t.Errorf("%s, other VM %q, closing %t: got status %d and Connection %q, want 200 and %q", path, tt.other, tt.closing, a.status, got, tt.want)
				}
			}
		})
	}
}

// restartInTurn restarts all engines as planned, one after the other: each states that it leaves, is
// listed as draining, ends with what still runs there, and comes back as another instance.
func (f *fixture) restartInTurn(drain, down time.Duration) {
	listed := f.net.Backends()
	list := func() { f.fleet.Apply(upstream.List{Backends: slices.Clone(listed), AsOf: time.Now()}) }
	for i, old := range slices.Clone(f.servers) {
		at := slices.IndexFunc(listed, func(b upstream.Backend) bool { return b.ID == old.ID })
		old.StateLeaving()
		listed[at].Draining = true
		list()
		time.Sleep(drain)
		old.Set(routedengine.Dead)
		listed = slices.Delete(listed, at, at+1)
		list()
		time.Sleep(down)
		next := &routedengine.Server{
			Backend: old.Backend, Events: old.Events, PrefillTime: old.PrefillTime, EventInterval: old.EventInterval, HeadAtOnce: old.HeadAtOnce,
		}
		next.ID, next.Address = fmt.Sprint("next", i), fmt.Sprintf("10.0.1.%d:80", i)
		f.servers, listed = append(f.servers, f.net.Add(next)), append(listed, next.Backend)
		list()
	}
}

// Guards against streams that are broken off, or run into their end without an answer, when engines
// are restarted in turn beside a stop: that the engines leave as planned is no excuse.
func TestStreamsOutliveEnginesThatAreRestartedBesideAStop(t *testing.T) {
	for _, headAtOnce := range []bool{false, true} {
		for _, keepCopies := range []bool{false, true} {
			t.Run(fmt.Sprintf("head at once %t, copies %t", headAtOnce, keepCopies), func(t *testing.T) {
				if testing.Short() && (headAtOnce || !keepCopies) {
					t.Skip("the race run plays one case")
				}
				synctest.Test(t, func(t *testing.T) {
					var engines []*routedengine.Server
					for range 6 {
						e := engine("a")
						e.Events, e.PrefillTime, e.EventInterval, e.HeadAtOnce = 100, 300*time.Millisecond, 30*time.Millisecond, headAtOnce
						engines = append(engines, e)
					}
					f := newFixture(t, engines...)
					if !keepCopies {
						f.keepNoCopies()
					}
					defer f.shutDown()
					f.endAt(time.Now().Add(drawnGrace))
					restarted := make(chan struct{})
					go func() {
						defer close(restarted)
						f.restartInTurn(800*time.Millisecond, 400*time.Millisecond)
					}()
					var answers []*answer
					for range int(drawnGrace / drawnGap) {
						id := fmt.Sprint("q", len(answers))
						answers = append(answers, f.send(http.MethodPost, "/s/1", id, id))
						time.Sleep(drawnGap)
					}
					<-restarted
					for i, a := range answers {
						if time.Duration(i)*drawnGap <= drawnEarly {
							a.requireCompleteStream(t, 100)
							continue
						}
						f.requireRefused(a, fmt.Sprint("q", i), 0)
					}
				})
			})
		}
	}
}

// lateTrial are ContentTrials that grant the second trial that is asked for; none without grants.
type lateTrial struct {
	mu     sync.Mutex
	wait   time.Duration // that is stated otherwise
	grants bool
	asked  int
	ended  []forward.ContentTrialEnd
}

// reset forgets what was asked, and grants the second trial from now on.
func (l *lateTrial) reset(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wait, l.grants, l.asked, l.ended = wait, true, 0, nil
}

func (l *lateTrial) RequestTrial(context.Context, forward.ContentTrialRequest) (forward.ContentTrialAnswer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked++; l.asked == 1 || !l.grants {
		return forward.ContentTrialAnswer{Wait: l.wait}, true
	}
	return forward.ContentTrialAnswer{Granted: true}, true
}

func (l *lateTrial) EndTrial(_ string, e forward.ContentTrialEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, e)
}

// Guards against a request that waits for a trial of its content until it can no more be finished, and
// is sent all the same.
func TestLateTrialIsNotUsed(t *testing.T) {
	const wait = 900 * time.Millisecond
	for _, path := range []string{"/s/1", "/tally/1", "/vote/1"} {
		synctest.Test(t, func(t *testing.T) {
			var servers []*routedengine.Server
			for range 2 {
				servers = append(servers, engine("a"), voteServer("a"))
			}
			f := newFixture(t, servers...)
			defer f.shutDown()
			trials := &lateTrial{wait: time.Minute}
			f.trials = trials
			f.setPlacer(nil)
			f.setVoteTimeout(20 * time.Second)
			for i := range 40 {
				f.send(http.MethodPost, path, fmt.Sprint("before", i), "dossier")
			}
			time.Sleep(20 * time.Millisecond)
			for _, s := range servers {
				s.Set(routedengine.Dead)
			}
			time.Sleep(2 * time.Second)
			for _, s := range servers {
				s.Set(routedengine.Alive)
			}
			time.Sleep(time.Second)
			trials.reset(wait)
			f.endAt(time.Now().Add(drawnGrace))
			time.Sleep(drawnEarly - wait/2)
			f.requireRefused(f.send(http.MethodPost, path, "q1", "dossier"), "q1", wait)
			if trials.asked != 2 || len(trials.ended) != 1 || !trials.ended[0].NotRun {
				t.Errorf("%s: %d requests for a trial, ends %+v; want two, and one end without a run", path, trials.asked, trials.ended)
			}
		})
	}
}

// longAtAnotherVM is a HandOff whose VM serves the first stream for long.
type longAtAnotherVM struct{ offers atomic.Int64 }

func (l *longAtAnotherVM) Serve(ctx context.Context, w http.ResponseWriter, _ handoff.Request) handoff.Outcome {
	_, _ = w.Write([]byte("id: 1\ndata: piece 1\n\n"))
	if l.offers.Add(1) == 1 {
		_ = timer.Sleep(ctx, 20*time.Second)
	}
	return handoff.Answered
}

// Guards against streams that a VM refuses early in a stop, since it takes a stream that another VM
// serves for one that waits for an engine.
func TestHandedOffStreamDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine("a")
		e.Events = 10
		f := newFixture(t, e)
		defer f.shutDown()
		other := &longAtAnotherVM{}
		f.handOff = other
		f.setPlacer(nil)
		for i := range 20 {
			<-f.send(http.MethodPost, "/s/1", fmt.Sprint("before", i), "dossier").done
		}
		e.Set(routedengine.Unresponsive)
		f.loseServices(t, "models")
		long := f.send(http.MethodPost, "/s/1", "q1", "dossier")
		time.Sleep(10 * time.Second)
		f.endAt(time.Now().Add(drawnGrace))
		a := f.send(http.MethodPost, "/s/1", "q2", "dossier")
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("got status %d, want the stream served by another VM", a.status)
		}
		<-long.done
	})
}
