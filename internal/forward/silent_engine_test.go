package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// silentStream sends a stream whose engine falls silent for a time and then goes on. It returns
// once the engine answers again.
func silentStream(f *fixture, begun bool, silence time.Duration) *answer {
	a := f.send("POST", "/s/1", "r1", "log")
	if begun {
		time.Sleep(2 * time.Second)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	first := f.engineRunning("r1")
	first.Set(routedengine.Unresponsive)
	time.Sleep(silence)
	first.Set(routedengine.Alive)
	return a
}

// Guards against the end of a sound run: an engine is silent for a while, no other engine can
// take its stream, and the caller's answer is cut off or refused.
func TestSilentEngineKeepsItsStream(t *testing.T) {
	tests := []struct {
		name      string
		engines   int
		begun     bool
		noRetries bool
	}{
		{"no other engine", 1, true, false},
		{"no other engine, no event yet", 1, false, false},
		{"no retry left", 3, true, true},
		{"no retry left, no event yet", 3, false, true},
	}
	for _, tt := range tests {
		for _, silence := range []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", tt.name, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var engines []*routedengine.Server
					for range tt.engines {
						engines = append(engines, engine("a"))
					}
					f := newFixture(t, engines...)
					defer f.shutDown()
					f.noRetries = tt.noRetries
					f.setPlacer(nil)
					a := silentStream(f, tt.begun, silence)
					a.requireCompleteStream(t, 100)
					if runs := f.totalRuns("r1"); runs != 1 {
						t.Errorf("got %d runs, want the one that was sound", runs)
					}
				})
			})
		}
	}
}

// Guards against a caller that waits for a dead engine for as long as its deadline allows: it
// could go on through another VM.
func TestStreamOfADeadEngineIsGivenBackInTime(t *testing.T) {
	for _, tt := range []struct {
		name  string
		begun bool
		limit time.Duration // from the engine's death to the end of the answer
	}{
		{"after the first event", true, 3100 * time.Millisecond},
		{"before the first event", false, 2600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"))
				defer f.shutDown()
				a := silentStream(f, tt.begun, 0)
				died := time.Now()
				f.servers[0].Set(routedengine.Unresponsive)
				<-a.done
				if tt.begun != a.broken || !tt.begun && a.status != http.StatusBadGateway {
					t.Errorf("got status %d, aborted: %t, want a 502, or an aborted answer if it has begun", a.status, a.broken)
				}
				if got := time.Since(died); got > tt.limit {
					t.Errorf("the answer ended %v after its engine died, want at most %v", got, tt.limit)
				}
			})
		})
	}
}

// Guards against a router that panics: the connection of a held run ends while another engine is
// searched for, and there is none.
func TestHeldRunEndsDuringTheSearch(t *testing.T) {
	for _, begun := range []bool{true, false} {
		t.Run(fmt.Sprintf("begun: %t", begun), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"))
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				if begun {
					time.Sleep(1500 * time.Millisecond)
				}
				f.servers[0].Set(routedengine.Unresponsive)
				time.Sleep(time.Second)
				f.servers[0].Set(routedengine.Dead)
				<-a.done
				if begun != a.broken || !begun && a.status < http.StatusInternalServerError {
					t.Errorf("got status %d, aborted: %t, want a failure", a.status, a.broken)
				}
			})
		})
	}
}

// Guards against engines that stand idle for seconds after a silence of one second, while the
// others carry their load: one that goes on with its streams takes new ones at once.
func TestSilentEngineIsUsedAgain(t *testing.T) {
	for _, engines := range []int{1, 3} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var list []*routedengine.Server
				for range engines {
					list = append(list, engine("a"))
				}
				f := newFixture(t, list...)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(2 * time.Second)
				silentFor(time.Second, f.servers...)
				time.Sleep(500 * time.Millisecond)
				if o := f.fleet.Report(); len(o.Avoid) > 0 {
					t.Errorf("engines %v are avoided 0.5 s after the silence, want none", o.Avoid)
				}
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against a pause that a new prefill makes longer than the silence of the engine: the
// stream goes on with whichever run brings the next event first.
func TestStreamGoesOnWithTheFirstRunThatSpeaks(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"), engine("a"))
				defer f.shutDown()
				f.keepNoCopies()
				a := silentStream(f, true, silence)
				a.requireCompleteStream(t, 100)
				if limit := silence + 100*time.Millisecond; a.longestPause() > limit {
					t.Errorf("got a pause of %v, want at most %v", a.longestPause(), limit)
				}
			})
		})
	}
}
