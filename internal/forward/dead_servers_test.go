package forward_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// voteFor counts the answers of callers that send one vote after the other, by status.
func (f *fixture) voteFor(d time.Duration, callers int, retryAfter time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	byStatus := map[int]int{}
	end := time.Now().Add(d)
	for caller := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := f.send("POST", "/vote/1", fmt.Sprint("v", caller, "-", end.UnixMilli(), "-", n), fmt.Sprint("vote", caller, n))
				<-a.done
				mu.Lock()
				byStatus[a.status]++
				mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(retryAfter)
				}
			}
		})
	}
	wg.Wait()
	return byStatus
}

// Guards against calls that end with an unknown outcome at a server that is known to be dead.
// It breaks each connection within a millisecond, looks idle, and draws the calls of callers in a
// closed loop while the other server accepts a few requests a second.
func TestServerThatBreaksConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("a"))
		defer f.shutDown()
		const callers = 6
		f.servers[0].StateRateLimit("20")
		f.voteFor(time.Second, callers, 10*time.Millisecond)
		f.servers[1].Set(routedengine.Breaking)
		got := f.voteFor(5*time.Second, callers, 10*time.Millisecond)
		if unknown := got[http.StatusBadGateway]; unknown > callers {
			t.Errorf("%d of the calls ended with an unknown outcome, want at most the %d that were in flight at the first break: %v", unknown, callers, got)
		}
		if got[http.StatusOK] < 40 {
			t.Errorf("%d calls were answered, want most of the 50 that this VM may send to the other server in 5 s: %v", got[http.StatusOK], got)
		}
	})
}

func setAll(f *fixture, state routedengine.State) {
	for _, s := range f.servers {
		s.Set(state)
	}
}

// Guards against a service that is lost for good because all of its servers were judged dead by
// mistake. Calls are refused as not run meanwhile, and served soon after the servers answer again.
func TestAllServersAreJudgedDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("b"))
		defer f.shutDown()
		setAll(f, routedengine.Breaking)
		got := f.voteFor(3*time.Second, 4, 10*time.Millisecond)
		if got[http.StatusBadGateway] > 8 || got[http.StatusServiceUnavailable] == 0 {
			t.Errorf("got answers %v, want at most 8 of unknown outcome and the others refused", got)
		}
		a := f.send("POST", "/vote/1", "refused", "yes")
		<-a.done
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q, want 503 with a time", a.status, a.header.Get("Retry-After"))
		}
		setAll(f, routedengine.Alive)
		time.Sleep(600 * time.Millisecond)
		if got := f.voteFor(time.Second, 4, 10*time.Millisecond); len(got) != 1 || got[http.StatusOK] == 0 {
			t.Errorf("got answers %v after the servers answer again, want 200 only", got)
		}
	})
}
