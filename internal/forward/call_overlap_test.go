package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Guards against two servers that work on one call: the first one is late, silent or slow, and the
// next one takes long.
func TestLateCallEndsOnceAnotherServerHasIt(t *testing.T) {
	for _, attempts := range []int{2, 3, 5} {
		for _, silence := range []time.Duration{0, 400, 1000, 1500} {
			for _, nextSilence := range []time.Duration{0, 600, 1400} {
				for _, callTime := range []time.Duration{100, 300, 600, 1000, 2000} {
					tt := lateCall{attempts, silence * time.Millisecond, nextSilence * time.Millisecond, callTime * time.Millisecond}
					t.Run(fmt.Sprintf("%d attempts, silent for %v, the next for %v, calls take %v", attempts, tt.silence, tt.nextSilence, tt.callTime), func(t *testing.T) {
						synctest.Test(t, tt.run)
					})
				}
			}
		}
	}
}

// lateCall is a case of a call whose servers are slow, and silent in turn.
type lateCall struct {
	attempts    int
	silence     time.Duration // of its first server
	nextSilence time.Duration // of the others, once the call is late at the first one
	callTime    time.Duration
}

func (tt lateCall) run(t *testing.T) {
	var l work
	servers := voteServers(4)
	for _, s := range servers {
		s.CallTime = tt.callTime
		l.watch(s)
	}
	f := newFixture(t, servers...)
	defer f.shutDown()
	list := testRoutes().List
	list.Routes[2].MaxAttempts, list.Routes[2].Timeout = tt.attempts, 20*time.Second
	f.table.Store(routes.NewTable(list))
	a := f.send("GET", "/tally/1", "r1", "")
	time.Sleep(30 * time.Millisecond)
	first := f.engineRunning("r1")
	silentFrom(first, tt.silence)
	time.Sleep(200 * time.Millisecond) // it is late
	for _, s := range servers {
		if s != first {
			silentFrom(s, tt.nextSilence)
		}
	}
	<-a.done
	if a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
	time.Sleep(time.Second)
	if got := l.overlap(time.Time{}); got > maxTwoRuns {
		t.Errorf("two servers worked for %v, want at most %v", got, maxTwoRuns)
	}
}

// silentFrom makes a server silent from now on for some time.
func silentFrom(s *routedengine.Server, d time.Duration) {
	if d == 0 {
		return
	}
	s.Set(routedengine.Silent)
	time.AfterFunc(d, func() { s.Set(routedengine.Alive) })
}
