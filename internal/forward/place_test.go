package forward_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// decider is a Placer that a test scripts.
type decider struct {
	mu      sync.Mutex
	asked   []scheduler.Stream
	taken   []uint64
	decide  func() (scheduler.Answer, bool)
	refresh func()
}

func (d *decider) Place(_ context.Context, st scheduler.Stream, _ func() bool) (scheduler.Answer, bool) {
	d.mu.Lock()
	d.asked = append(d.asked, st)
	d.mu.Unlock()
	return d.decide()
}

func (d *decider) Took(n uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken = append(d.taken, n)
}

func (d *decider) UseChanged() {}

func (d *decider) Refresh(context.Context) {
	if d.refresh != nil {
		d.refresh()
	}
}

// grants the engines in turn.
func grants(ids ...string) func() (scheduler.Answer, bool) {
	n := 0
	return func() (scheduler.Answer, bool) {
		n++
		return scheduler.Answer{Outcome: scheduler.Granted, Number: uint64(n), Server: ids[min(n, len(ids))-1]}, true
	}
}

// A stream runs on the engine that was granted, and its copy is kept where that was
// granted, not where this VM would choose.
func TestGrantedEngineIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"), engine("c"))
		defer w.end()
		d := &decider{decide: func() (scheduler.Answer, bool) {
			return scheduler.Answer{Outcome: scheduler.Granted, Number: 1, Server: "i2", BackupEngine: "i0"}, true
		}}
		w.place(d)
		a := w.send(http.MethodPost, "/s/x", "q1", "unit 12")
		time.Sleep(2 * time.Second)
		if runs, kept, other := len(w.servers[2].Runs()), w.servers[0].Copies(), w.servers[1].Copies(); runs != 1 || kept != 1 || other != 0 {
			t.Errorf("%d runs where granted, %d copies where granted, %d elsewhere", runs, kept, other)
		}
		a.wholeStream(t, 100)
		if len(d.taken) != 1 || d.taken[0] != 1 {
			t.Errorf("taken: %v", d.taken)
		}
		ask := d.asked[0]
		if ask.Due.Sub(ask.Deadline) >= 0 || ask.Need.Prompt != 8000 || ask.KVTokens != 88_000 || !ask.WantsCopy {
			t.Errorf("asked %+v", ask)
		}
	})
}

// An engine has just started: the control VM's list names it, this VM's does not yet.
// The stream waits for the list. Placed elsewhere, every stream that waits would be at
// the same moment, on the engines that are full.
func TestGrantOfAnEngineThatIsNotListedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"))
		defer w.end()
		all := w.net.List()
		w.fleet.Apply(upstream.List{Backends: all[:1], AsOf: time.Now().Add(time.Millisecond)})
		d := &decider{decide: grants("i1")}
		d.refresh = func() { w.fleet.Apply(upstream.List{Backends: all, AsOf: time.Now().Add(2 * time.Millisecond)}) }
		w.place(d)
		w.send(http.MethodPost, "/s/x", "q1", "unit 12").wholeStream(t, 100)
		if len(w.servers[1].Runs()) != 1 || len(w.servers[0].Runs()) != 0 {
			t.Error("the stream did not run on the engine that was granted")
		}
	})
}

// What cannot be served is refused at once, with the promise that it has not run and the
// time to come again; what no engine can hold, without one.
func TestRefusedByTheScheduler(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome scheduler.Outcome
		after   time.Duration
		want    string
	}{
		{"no time left", scheduler.Refused, 1500 * time.Millisecond, "2"},
		{"larger than an engine", scheduler.TooLarge, 0, ""},
		{"still waiting, and this VM shuts down", scheduler.Waiting, 0, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, engine("a"))
				defer w.end()
				w.place(&decider{decide: func() (scheduler.Answer, bool) {
					return scheduler.Answer{Outcome: tt.outcome, RetryAfter: tt.after}, true
				}})
				began := time.Now()
				a := w.send(http.MethodPost, "/s/x", "q1", "unit 12")
				<-a.done
				if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") != tt.want || time.Since(began) > 10*time.Millisecond {
					t.Errorf("status %d, retry after %q, %v", a.status, a.header.Get("Retry-After"), time.Since(began))
				}
				if n := w.totalRuns("q1"); n != 0 {
					t.Errorf("refused as not run, and ran %d times", n)
				}
			})
		})
	}
}

// Where nobody decides, this VM does, by what it knows.
func TestLocalPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"))
		defer w.end()
		w.place(&decider{decide: func() (scheduler.Answer, bool) { return scheduler.Answer{}, false }})
		w.send(http.MethodPost, "/s/x", "q1", "unit 12").wholeStream(t, 100)
	})
}

// A shutdown cuts a stream off. Its caller comes for the rest at another router a moment
// later, and finds the copy that was ordered: it is not dropped, as it is when a caller
// leaves.
func TestShutdownKeepsBackupCopies(t *testing.T) {
	for _, closing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a"))
			defer w.end()
			w.closing = closing
			a := w.send(http.MethodPost, "/s/x", "q1", "unit 12")
			time.Sleep(1200 * time.Millisecond)
			keeper := engine("c")
			keeper.ID, keeper.Address = "i9", "10.0.0.9:80"
			w.servers = append(w.servers, w.net.Add(keeper))
			w.fleet.Apply(upstream.List{Backends: w.net.List(), AsOf: time.Now()})
			time.Sleep(1200 * time.Millisecond)
			ordered := keeper.Copies()
			a.leave()
			time.Sleep(100 * time.Millisecond)
			if left := keeper.Copies() == 1; ordered != 1 || left != closing {
				t.Errorf("shutting down: %t; %d copies ordered, left: %t", closing, ordered, left)
			}
		})
	}
}

// A caller gets half of an answer from a router that shuts down. In order: the router
// has carried a stream of four seconds; its shutdown begins, with three seconds left; a
// caller sends the same again, and one who has nearly all of it comes for the rest. The
// first is refused as not run and served elsewhere, the second is served.
func TestShutdownAdmitsWhatItCanFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"), engine("b"))
		defer w.end()
		first := w.send(http.MethodPost, "/s/x", "q1", "unit 12")
		<-first.done
		if first.status != http.StatusOK {
			t.Fatalf("status %d", first.status)
		}
		w.grace = 3 * time.Second
		late := w.send(http.MethodPost, "/s/x", "q2", "unit 13")
		<-late.done
		if late.status != http.StatusServiceUnavailable || late.header.Get("Retry-After") == "" || w.totalRuns("q2") != 0 {
			t.Errorf("status %d, retry after %q, %d runs", late.status, late.header.Get("Retry-After"), w.totalRuns("q2"))
		}
		rest := w.send(http.MethodPost, "/s/x", "q3", "unit 14", forward.HeaderLastEvent, "90")
		<-rest.done
		if rest.status != http.StatusOK {
			t.Errorf("status %d for the rest of a stream", rest.status)
		}
	})
}

// The same for a router that has carried no stream yet, and goes by what all others
// observed.
func TestShutdownUsesPeerPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a"))
		defer w.end()
		w.grace = 3 * time.Second
		w.handler.SetPaces(map[string]scheduler.EngineTiming{"models": {PrefillPerToken: 125 * time.Microsecond, RunDuration: 3 * time.Second, EventsPerRun: 100}})
		late := w.send(http.MethodPost, "/s/x", "q1", "unit 12")
		<-late.done
		if late.status != http.StatusServiceUnavailable || w.totalRuns("q1") != 0 {
			t.Errorf("status %d, %d runs", late.status, w.totalRuns("q1"))
		}
	})
}
