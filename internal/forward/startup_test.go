package forward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// newWithoutLists returns a router that has just started and has no route list.
// provideLists gives it one.
func newWithoutLists(t *testing.T) (f *fixture, provideLists func()) {
	f = newFixture(t, voteServer("a"))
	table := f.table.Load()
	f.table.Store(nil)
	ready := make(chan struct{})
	f.newHandler(ready)
	return f, func() {
		f.table.Store(table)
		close(ready)
	}
}

// Guards against lost requests when all routers restart at once. A caller comes back with
// its only retry before the route list arrives; it must be held and served. The lists reach
// the last of a thousand routers two seconds after the first.
func TestRequestWaitsForListsAtStartup(t *testing.T) {
	for deadline, arrive := range map[string]time.Duration{"3000": 300 * time.Millisecond, "25000": 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f, provideLists := newWithoutLists(t)
			defer f.shutDown()
			a := f.send("POST", "/vote/1", "r1", "yes", forward.HeaderDeadline, deadline)
			time.Sleep(arrive)
			provideLists()
			<-a.done
			if a.status != http.StatusOK {
				t.Errorf("deadline of %s ms, lists after %v: got status %d, want 200", deadline, arrive, a.status)
			}
		})
	}
}

// Guards against a long hold while the lists are missing. After a fifth of its deadline at
// most, and after a tenth if that is more than 0.6 s, a caller must be refused as not run, with
// a Retry-After.
func TestStartupWaitIsBounded(t *testing.T) {
	for deadline, most := range map[string]time.Duration{"600": 120 * time.Millisecond, "3000": 600 * time.Millisecond, "6000": 600 * time.Millisecond, "25000": 2500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newWithoutLists(t)
			defer f.shutDown()
			began := time.Now()
			a := f.send("POST", "/vote/1", "r1", "yes", forward.HeaderDeadline, deadline)
			<-a.done
			took := time.Since(began)
			if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || took > most {
				t.Errorf("got status %d after %v, want 503 with a Retry-After within the maximum wait", a.status, took)
			}
		})
	}
}

// Guards against a closed connection in place of an answer: a router is stopped before it holds its lists.
// A request that waits for them must be refused as not run before the connections are closed.
func TestRouterThatEndsWithoutListsRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newWithoutLists(t)
		defer f.shutDown()
		const end = time.Second
		f.endAt(time.Now().Add(end))
		a := f.send("POST", "/vote/1", "r1", "yes", forward.HeaderDeadline, "25000")
		<-a.done
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.took > end {
			t.Errorf("got status %d after %v, want 503 with a Retry-After by the end of the router after %v", a.status, a.took, end)
		}
	})
}
