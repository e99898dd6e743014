package forward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// newUnprepared is a router that has just started and holds no route list; prepare
// gives it one.
func newUnprepared(t *testing.T) (w *world, prepare func()) {
	w = newWorld(t, voteServer("a"))
	table := w.table.Load()
	w.table.Store(nil)
	ready := make(chan struct{})
	w.rebuild(ready)
	return w, func() {
		w.table.Store(table)
		close(ready)
	}
}

// All routers restart at once, and a caller comes back with its one retry before
// the route list does. It is kept for that moment and served, not refused.
func TestRequestWaitsForListsAtStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, prepare := newUnprepared(t)
		defer w.end()
		a := w.send("POST", "/vote/1", "r1", "yes", forward.HeaderDeadline, "3000")
		time.Sleep(300 * time.Millisecond)
		prepare()
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		}
	})
}

// A caller is not kept beyond a fifth of its own time, nor for more than 0.6 s: it is
// told that nothing ran and when to come again.
func TestStartupWaitIsBounded(t *testing.T) {
	for deadline, most := range map[string]time.Duration{"600": 120 * time.Millisecond, "25000": 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w, _ := newUnprepared(t)
			defer w.end()
			began := time.Now()
			a := w.send("POST", "/vote/1", "r1", "yes", forward.HeaderDeadline, deadline)
			<-a.done
			took := time.Since(began)
			if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || took > most {
				t.Errorf("status %d after %v", a.status, took)
			}
		})
	}
}
