package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// dialWith replaces the network's way to connect. Each new connection takes a round trip of 2 ms.
func (f *fixture) dialWith(dial func(ctx context.Context, addr string) (net.Conn, error)) {
	f.pool = upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
		time.Sleep(2 * time.Millisecond)
		return dial(ctx, addr)
	})
	f.fleet = upstream.NewFleet(f.pool, f.log)
	f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
	f.setPlacer(f.placer)
}

// setMaxAttempts bounds how many engines may run a stream, and sets whether they keep copies.
func (f *fixture) setMaxAttempts(n int, copies bool) {
	list := testRoutes().List
	list.Routes[0].MaxAttempts, list.Services[0].Engine.KeepCopies = n, copies
	f.table.Store(routes.NewTable(list))
}

// onSecondRun has act called when the request reaches a second engine. It returns the engines.
func onSecondRun(l *work, n int, act func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool) []*routedengine.Server {
	var reached, first atomic.Pointer[routedengine.Server]
	var engines []*routedengine.Server
	for i := range n {
		e := engine([]string{"a", "b", "a"}[i%3])
		e.ResumeTime = 300 * time.Millisecond
		l.watch(e)
		watched := e.Intercept
		e.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			watched(s, w, r)
			if first.CompareAndSwap(nil, s) || first.Load() == s || !reached.CompareAndSwap(nil, s) {
				return false
			}
			return act(s, w, r)
		}
		engines = append(engines, e)
	}
	return engines
}

// Guards against a stream that is cut off although engines are sound: the one that resumed it from a copy
// dies without a reset, and those that were asked before are not asked again.
func TestSoundEnginesTakeTheStreamOfTwoFailedOnes(t *testing.T) {
	for _, tt := range []struct {
		name    string
		engines int
		state   routedengine.State
		pause   time.Duration // of the first engine; 0: it dies
	}{
		{"the first engine dies", 3, routedengine.Unresponsive, 0},
		{"the first engine is silent for a while", 3, routedengine.Unresponsive, time.Second},
		{"the first engine is live all the while", 3, routedengine.Stalled, 600 * time.Millisecond},
		{"the first engine is live, and the only sound one", 2, routedengine.Stalled, 600 * time.Millisecond},
		{"the first engine is back, and the only sound one", 2, routedengine.Unresponsive, 600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				f := newFixture(t, onSecondRun(&l, tt.engines, func(s *routedengine.Server, _ http.ResponseWriter, _ *http.Request) bool {
					time.AfterFunc(100*time.Millisecond, func() { s.Set(routedengine.Silent) })
					return false
				})...)
				defer f.shutDown()
				f.dialWith(f.net.Dial)
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2 * time.Second)
				first := f.engineRunning("r1")
				first.Set(tt.state)
				if tt.pause > 0 {
					time.Sleep(tt.pause)
					first.Set(routedengine.Alive)
				}
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against a refusal that comes late: the engine before was closed for it, is sound again, and is
// not asked again.
func TestLateRefusalCutsNoStreamOfASoundEngine(t *testing.T) {
	for _, begun := range []bool{true, false} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				engines := onSecondRun(&l, 2, func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					time.Sleep(400 * time.Millisecond)
					s.Refuse(w, r)
					return true
				})
				if !begun {
					engines[0].PrefillTime, engines[1].PrefillTime = 2500*time.Millisecond, 2500*time.Millisecond
				}
				f := newFixture(t, engines...)
				defer f.shutDown()
				f.dialWith(f.net.Dial)
				silence := 2 * time.Second
				a := f.send("POST", "/s/1", "r1", "log")
				if begun {
					f.keepNoCopies()
					time.Sleep(2 * time.Second)
				} else {
					time.Sleep(1400 * time.Millisecond)
					silence = 600 * time.Millisecond
				}
				first := f.engineRunning("r1")
				first.Set(routedengine.Unresponsive)
				time.Sleep(silence)
				first.Set(routedengine.Alive)
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against a dead engine before the first event: another one that is sound is taken for silent,
// since it answers its probe in the moment of the request.
func TestStreamWithoutAnEventLeavesADeadEngine(t *testing.T) {
	for _, prefill := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(prefill), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				f := newFixture(t, onSecondRun(&l, 2, func(s *routedengine.Server, _ http.ResponseWriter, _ *http.Request) bool {
					s.PrefillTime = prefill
					return false
				})...)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(500 * time.Millisecond)
				f.engineRunning("r1").Set(routedengine.Unresponsive)
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against a copy at a dead engine that nobody has missed yet: the request is sent there again and
// again, and no other engine is asked.
func TestCopyAtADeadEngineIsTriedOnce(t *testing.T) {
	for _, tt := range []struct {
		name     string
		state    routedengine.State // of the first engine
		attempts int
	}{
		{"the first engine is dead", routedengine.Unresponsive, 5},
		{"the first engine is live", routedengine.Stalled, 5},
		{"the first engine is dead, 3 attempts", routedengine.Unresponsive, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				engines := onSecondRun(&l, 3, func(*routedengine.Server, http.ResponseWriter, *http.Request) bool { return false })
				f := newFixture(t, engines...)
				defer f.shutDown()
				f.setMaxAttempts(tt.attempts, true)
				f.dialWith(f.net.Dial)
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2 * time.Second)
				first := f.engineRunning("r1")
				keeper := f.net.ServerAt(first.Runs()[0].Header.Get(forward.HeaderCopyTo))
				first.Set(tt.state)
				keeper.Set(routedengine.Silent)
				if tt.state == routedengine.Stalled {
					time.Sleep(2 * time.Second)
					first.Set(routedengine.Alive)
				}
				a.requireCompleteStream(t, 100)
				if n := f.handler.Stats.ResumesFromCopy.Get(); n > 2 {
					t.Errorf("sent %d times from a copy, want at most 2", n)
				}
			})
		})
	}
}

// Guards against sends that are used up by an engine that is silent for half a second just after it took
// the request: the engine before is dead, and none may be sent any more.
func TestEngineThatIsSilentForAMomentKeepsTheRequest(t *testing.T) {
	for _, attempts := range []int{2, 5} {
		for _, begun := range []bool{true, false} {
			for _, quiet := range []time.Duration{350 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("%d attempts, begun %t, silent for %v", attempts, begun, quiet), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var l work
						f := newFixture(t, onSecondRun(&l, 2, func(s *routedengine.Server, _ http.ResponseWriter, _ *http.Request) bool {
							s.Set(routedengine.Silent)
							time.AfterFunc(quiet, func() { s.Set(routedengine.Alive) })
							return false
						})...)
						defer f.shutDown()
						f.setMaxAttempts(attempts, false)
						f.dialWith(f.net.Dial)
						a := f.send("POST", "/s/1", "r1", "log")
						if begun {
							time.Sleep(2 * time.Second)
						} else {
							time.Sleep(500 * time.Millisecond)
						}
						f.engineRunning("r1").Set(routedengine.Unresponsive)
						a.requireCompleteStream(t, 100)
					})
				})
			}
		}
	}
}

// Guards against an engine that takes the last connection it accepts: it resets the probe, and its run is
// taken for none.
func TestEngineAtItsLimitOfConnectionsKeepsTheStream(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, state := range []routedengine.State{routedengine.Unresponsive, routedengine.Stalled} {
			t.Run(fmt.Sprintf("copies %t, stalled %t", copies, state == routedengine.Stalled), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var l work
					engines := onSecondRun(&l, 2, func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
						s.TakeConnections(true)
						context.AfterFunc(r.Context(), func() { s.TakeConnections(false) })
						return false
					})
					for _, e := range engines {
						e.ResumeTime = 600 * time.Millisecond
					}
					f := newFixture(t, engines...)
					defer f.shutDown()
					if !copies {
						f.keepNoCopies()
					}
					f.dialWith(f.net.Dial)
					a := f.send("POST", "/s/1", "r1", "log")
					time.Sleep(2 * time.Second)
					first := f.engineRunning("r1")
					first.Set(state)
					time.Sleep(2500 * time.Millisecond)
					if state == routedengine.Stalled {
						first.Set(routedengine.Alive)
					}
					a.requireCompleteStream(t, 100)
					if got := l.longestBeside(); state == routedengine.Stalled && copies && got > maxTwoRuns {
						t.Errorf("the engine before worked for %v after another one went on from a copy, want at most %v", got, maxTwoRuns)
					}
				})
			})
		}
	}
}

// Guards against a stream that waits for an engine that is known to be dead: the list names it no more, or
// its host refuses connections.
func TestKnownDeathIsNotWaitedFor(t *testing.T) {
	for _, how := range []string{"left the list", "refuses connections"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var refuses atomic.Pointer[string]
				f := newFixture(t, engine("a"), engine("b"))
				defer f.shutDown()
				f.keepNoCopies()
				f.dialWith(func(ctx context.Context, addr string) (net.Conn, error) {
					if dead := refuses.Load(); dead != nil && *dead == addr {
						return nil, fmt.Errorf("test: %w", syscall.ECONNREFUSED)
					}
					return f.net.Dial(ctx, addr)
				})
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2 * time.Second)
				first := f.engineRunning("r1")
				first.Set(routedengine.Unresponsive)
				switch how {
				case "refuses connections":
					refuses.Store(&first.Address)
				case "left the list":
					time.Sleep(300 * time.Millisecond)
					var left []upstream.Backend
					for _, b := range f.net.Backends() {
						if b.ID != first.ID {
							left = append(left, b)
						}
					}
					f.fleet.Apply(upstream.List{Backends: left, AsOf: time.Now()})
				}
				a.requireCompleteStream(t, 100)
				if limit := 1500 * time.Millisecond; a.longestPause() > limit {
					t.Errorf("got a pause of %v, want at most %v", a.longestPause(), limit)
				}
			})
		})
	}
}

// Guards against two engines that work on one request while the version of the stream is recorded: the
// record is late, and the engine before is closed only after it.
func TestRunBeforeEndsWhileTheVersionIsRecorded(t *testing.T) {
	for _, slow := range []bool{false, true} {
		t.Run(fmt.Sprint("slow disks ", slow), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				o := newSharedOrigins()
				o.delay, o.slow = 1300*time.Millisecond, slow
				all := onSecondRun(&l, 3, func(s *routedengine.Server, _ http.ResponseWriter, _ *http.Request) bool {
					s.PrefillTime = 250 * time.Millisecond
					return false
				})
				for i, e := range all {
					e.Version, e.PrefillTime = []string{"v1", "v1", "v2"}[i], 4*time.Second
				}
				f := newSharedFixture(t, o, all...)
				defer f.shutDown()
				f.dialWith(f.net.Dial)
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(500 * time.Millisecond)
				first := f.engineRunning("r1")
				first.Set(routedengine.Unresponsive)
				time.Sleep(3 * time.Second)
				first.Set(routedengine.Alive) // it goes on with the prefill
				a.requireCompleteStream(t, 100)
				if got := l.overlap(time.Time{}); got > maxTwoRuns {
					t.Errorf("two engines worked for %v, want at most %v", got, maxTwoRuns)
				}
			})
		})
	}
}

// Guards against answers that are cut or cost a prefill since all engines are silent for some seconds.
func TestSilenceOfAllEnginesThatAcceptConnections(t *testing.T) {
	for _, state := range []routedengine.State{routedengine.Silent, routedengine.Unresponsive} {
		for _, copies := range []bool{true, false} {
			for _, begun := range []bool{true, false} {
				for _, attempts := range []int{2, 5} {
					for _, silence := range []time.Duration{600, 1000, 1500, 2000, 2500, 2900} {
						silence *= time.Millisecond
						if !begun && silence > 2000*time.Millisecond {
							continue
						}
						t.Run(fmt.Sprintf("accept %t, copies %t, begun %t, %d attempts, %v", state == routedengine.Silent, copies, begun, attempts, silence), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								var l work
								f := newFixture(t, onSecondRun(&l, 3, func(*routedengine.Server, http.ResponseWriter, *http.Request) bool { return false })...)
								defer f.shutDown()
								f.setMaxAttempts(attempts, copies)
								f.dialWith(f.net.Dial)
								a := f.send("POST", "/s/1", "r1", "log")
								if begun {
									time.Sleep(2 * time.Second)
								} else {
									time.Sleep(500 * time.Millisecond)
								}
								setAll(f, state)
								time.Sleep(silence)
								setAll(f, routedengine.Alive)
								a.requireCompleteStream(t, 100)
								time.Sleep(time.Second)
								if got := l.overlap(time.Time{}); got > maxTwoRuns {
									t.Errorf("two engines worked for %v", got)
								}
							})
						})
					}
				}
			}
		}
	}
}

// Guards against a rest that is not handed off: the engines accept connections, and answer nothing.
func TestRestIsHandedOffIfAllEnginesAreSilent(t *testing.T) {
	for _, n := range []int{1, 2, 3} {
		for _, state := range []routedengine.State{routedengine.Silent, routedengine.Unresponsive} {
			t.Run(fmt.Sprint(n, state), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var engines []*routedengine.Server
					for range n {
						engines = append(engines, engine("a"))
					}
					f := newFixture(t, engines...)
					f.keepNoCopies()
					defer f.shutDown()
					r := &relays{}
					f.handOff = r
					f.dialWith(f.net.Dial)
					a := f.send("POST", "/s/1", "r1", "log")
					time.Sleep(2 * time.Second)
					setAll(f, state)
					a.requireCompleteStream(t, 100)
				})
			})
		}
	}
}

// Guards against sound engines that are taken for silent: each connection takes longer than a probe may,
// as on a slow VM or a link that loses packets.
func TestSecondEngineWithSlowConnectionsKeepsTheRequest(t *testing.T) {
	for _, copies := range []bool{true, false} {
		t.Run(fmt.Sprint("copies ", copies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l work
				engines := onSecondRun(&l, 2, func(*routedengine.Server, http.ResponseWriter, *http.Request) bool { return false })
				for _, e := range engines {
					e.ResumeTime, e.PrefillTime = 350*time.Millisecond, 600*time.Millisecond
				}
				f := newFixture(t, engines...)
				defer f.shutDown()
				f.setMaxAttempts(5, copies)
				f.dialWith(func(ctx context.Context, addr string) (net.Conn, error) {
					time.Sleep(160 * time.Millisecond)
					return f.net.Dial(ctx, addr)
				})
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2 * time.Second)
				f.engineRunning("r1").Set(routedengine.Unresponsive)
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against two engines that work on one request, and use that is never released, by faults and
// refusals that no table has: all engines are silent or stalled at drawn moments.
func TestDrawnFaultsLeaveOneEngineAtWork(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { drawnFaults(t, rand.New(rand.NewPCG(seed, 70))) })
		})
	}
}

func drawnFaults(t *testing.T, rng *rand.Rand) {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
	}
	works := map[string]*work{}
	record := map[string]func(*routedengine.Server, http.ResponseWriter, *http.Request) bool{}
	for i := range 1 + rng.IntN(4) {
		var recorder routedengine.Server
		l := new(work)
		l.watch(&recorder)
		id := fmt.Sprint("r", i)
		works[id], record[id] = l, recorder.Intercept
	}
	var engines []*routedengine.Server
	for i := range 2 + rng.IntN(3) {
		e := engine([]string{"a", "b", "c"}[i%3])
		e.ResumeTime, e.PrefillTime, e.HeadAtOnce = ms(0, 1200), ms(200, 1700), rng.IntN(2) == 0
		refusesEach, refuseTime := int64(rng.IntN(9)), ms(1, 600) // each of 1, 2 or 3 requests; otherwise none
		var asked atomic.Int64
		e.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			if n := asked.Add(1); refusesEach > 0 && refusesEach <= 3 && n%refusesEach == 0 {
				time.Sleep(refuseTime)
				s.Refuse(w, r)
				return true
			}
			return record[r.Header.Get(forward.HeaderRequestID)](s, w, r)
		}
		engines = append(engines, e)
	}
	f := newFixture(t, engines...)
	defer f.shutDown()
	f.setMaxAttempts(5, rng.IntN(3) > 0)
	f.dialWith(f.net.Dial)
	for _, s := range f.servers {
		for range 2 {
			state := []routedengine.State{routedengine.Unresponsive, routedengine.Silent, routedengine.Stalled}[rng.IntN(3)]
			at, lasts := ms(200, 6000), ms(200, 2700)
			time.AfterFunc(at, func() { s.Set(state) })
			time.AfterFunc(at+lasts, func() { s.Set(routedengine.Alive) })
		}
	}
	var answers []*answer
	for i := range len(works) {
		answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), "log"))
		time.Sleep(ms(0, 700))
	}
	for _, a := range answers {
		<-a.done
	}
	time.Sleep(10 * time.Second)
	for id, l := range works {
		if got := l.overlap(time.Time{}); got > maxTwoRuns {
			t.Errorf("two engines worked on %s for %v, want at most %v", id, got, maxTwoRuns)
		}
	}
	if use := f.fleet.OwnUse(); len(use) > 0 {
		t.Errorf("got %v in use after all answers, want nothing", use)
	}
}
