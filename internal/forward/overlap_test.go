package forward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// maxTwoRuns is how long the engine before may work on a request that goes on at another one.
const maxTwoRuns = 400 * time.Millisecond

// longestBeside returns the longest time for which a run works on after the next one of its request
// has begun, whatever becomes of the next one.
func (l *work) longestBeside() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for i, before := range l.spans[:max(0, len(l.spans)-1)] {
		longest = max(longest, before.ended().Sub(l.spans[i+1].begin))
	}
	return longest
}

// Guards against two engines that work on one request: the engine before is silent or stalled for a
// while, and the next one makes its first event late.
func TestRunBeforeEndsOnceTheRequestGoesOnElsewhere(t *testing.T) {
	states := map[string]routedengine.State{"stalled": routedengine.Stalled, "silent": routedengine.Unresponsive}
	for name, state := range states {
		for _, copies := range []bool{true, false} {
			for _, headAtOnce := range []bool{true, false} {
				for _, pause := range []time.Duration{600, 1000, 1600, 2500, 3000} {
					for _, resume := range []time.Duration{100, 300, 600, 1000, 2000} {
						tt := lateResume{state, copies, headAtOnce, pause * time.Millisecond, resume * time.Millisecond}
						t.Run(fmt.Sprintf("%s for %v, copies %t, head at once %t, resumes in %v", name, tt.pause, copies, headAtOnce, tt.resume), func(t *testing.T) {
							synctest.Test(t, tt.run)
						})
					}
				}
			}
		}
	}
}

// lateResume is a case of an engine that is silent or stalled while a late one may take its stream.
type lateResume struct {
	state      routedengine.State
	copies     bool
	headAtOnce bool
	pause      time.Duration // of the first engine
	resume     time.Duration // until the other engine makes the next event
}

func (tt lateResume) run(t *testing.T) {
	var l work
	engines := []*routedengine.Server{engine("a"), engine("b")}
	for _, e := range engines {
		e.HeadAtOnce, e.ResumeTime, e.PrefillTime = tt.headAtOnce, tt.resume, max(time.Second, tt.resume)
		l.watch(e)
	}
	f := newFixture(t, engines...)
	defer f.shutDown()
	if !tt.copies {
		f.keepNoCopies()
	}
	a := f.send("POST", "/s/1", "r1", "log")
	time.Sleep(engines[0].PrefillTime + time.Second)
	first := f.engineRunning("r1")
	first.Set(tt.state)
	time.Sleep(tt.pause)
	first.Set(routedengine.Alive)
	a.requireCompleteStream(t, 100)
	time.Sleep(time.Second)
	if got := l.overlap(time.Time{}); got > maxTwoRuns {
		t.Errorf("two engines worked for %v, want at most %v", got, maxTwoRuns)
	}
	if got := l.longestBeside(); tt.copies && got > maxTwoRuns {
		t.Errorf("the engine before worked for %v after another one went on from a copy, want at most %v", got, maxTwoRuns)
	}
	if runs := f.totalRuns("r1"); runs > 2 {
		t.Errorf("got %d runs of the request, want at most 2", runs)
	}
}

// Guards against a second engine that counts as dead although it works: a stream without an event has
// left a dead engine, and the answer of the other one is long in coming.
func TestStreamOfADeadEngineBeginsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("a"))
		defer f.shutDown()
		a := silentStream(f, false, 0)
		f.engineRunning("r1").Set(routedengine.Unresponsive)
		a.requireCompleteStream(t, 100)
		if runs := f.totalRuns("r1"); runs != 2 {
			t.Errorf("got %d runs, want 2", runs)
		}
	})
}

// Guards against an engine that works on while the first event of another one waits for a slow disk.
func TestRunBeforeEndsWhileTheRecordIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		engines := mixedEngines()
		for _, e := range engines {
			e.PrefillTime = 100 * time.Millisecond
			l.watch(e)
		}
		o := newSharedOrigins()
		o.delay, o.slow = time.Second, true
		f := newSharedFixture(t, o, engines...)
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(50 * time.Millisecond)
		f.engineRunning("r1").Set(routedengine.Unresponsive)
		a.requireCompleteStream(t, 100)
		if got := l.overlap(time.Time{}); got == 0 || got > maxTwoRuns {
			t.Errorf("two engines worked for %v, want more than none and at most %v", got, maxTwoRuns)
		}
	})
}
