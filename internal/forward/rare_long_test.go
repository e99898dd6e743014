package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Sizes of the drawn stops. The grace period is that of the router without its margin.
const (
	drawnGrace = 7600 * time.Millisecond
	drawnEarly = 3 * drawnGrace / 10
	drawnGap   = 25 * time.Millisecond // between two requests
	longTimes  = 15                    // a rare request takes as many times as long as the others
)

// drawnStop counts what became of the requests that were sent during a stop.
type drawnStop struct{ whole, refused, excused, cutOff int }

func (d *drawnStop) add(o drawnStop) {
	d.whole += o.whole
	d.refused += o.refused
	d.excused += o.excused
	d.cutOff += o.cutOff
}

// playDrawnStop sends requests before a stop and during it.
func playDrawnStop(t *testing.T, kind routes.Kind, before int, timeout time.Duration, times func(string) int) (out drawnStop) {
	synctest.Test(t, func(t *testing.T) {
		var servers []*routedengine.Server
		for range 6 {
			s := engine("a")
			s.Events, s.PrefillTime, s.EventInterval = 10, 50*time.Millisecond, 30*time.Millisecond
			if kind != routes.Stream {
				s = voteServer("a")
				s.CallTime, s.Slots = 100*time.Millisecond, 64
			}
			s.Times = times
			servers = append(servers, s)
		}
		f := newFixture(t, servers...)
		defer f.shutDown()
		f.setTimeouts(timeout)
		path := map[routes.Kind]string{routes.Stream: "/s/1", routes.Once: "/vote/1"}[kind]
		send := func(id string) *answer {
			defer time.Sleep(drawnGap)
			return f.send(http.MethodPost, path, id, id)
		}
		var earlier, during []*answer
		for i := range before {
			earlier = append(earlier, send(fmt.Sprint("before", i)))
		}
		f.endAt(time.Now().Add(drawnGrace))
		for i := range int(drawnGrace / drawnGap) {
			during = append(during, send(fmt.Sprint("q", i)))
		}
		for _, a := range slices.Concat(earlier, during) {
			<-a.done
		}
		for i, a := range during {
			out.add(f.drawnOutcome(i, a))
		}
	})
	return out
}

// setTimeouts replaces the timeouts of all routes.
func (f *fixture) setTimeouts(d time.Duration) {
	list := *f.table.Load().List
	list.Routes = slices.Clone(list.Routes)
	for i := range list.Routes {
		list.Routes[i].Timeout = d
	}
	f.table.Store(routes.NewTable(&list))
}

// drawnOutcome returns what became of the request with a number.
func (f *fixture) drawnOutcome(i int, a *answer) drawnStop {
	sent, id := time.Duration(i)*drawnGap, fmt.Sprint("q", i)
	end := f.stop.Load().endsAt()
	cutOff := a.broken || a.status != http.StatusOK || len(a.arrived) == 0 || a.arrived[len(a.arrived)-1].After(end)
	switch {
	case a.status == http.StatusServiceUnavailable && f.totalRuns(id) == 0:
		return drawnStop{refused: 1}
	case !cutOff:
		return drawnStop{whole: 1}
	case sent <= drawnEarly && sent+a.took >= drawnGrace:
		return drawnStop{excused: 1}
	}
	f.t.Logf("%s, sent after %v: status %d, %d writes, cut off after %v", id, sent, a.status, len(a.arrived), a.took)
	return drawnStop{cutOff: 1}
}

// Guards against a request that a VM takes late in a stop, since all that it has seen were short, and
// cuts off: a few take much longer, and the VM has seen few requests or many.
func TestRareLongRequestsAreNotCutOffLateInAStop(t *testing.T) {
	seeds := 6
	if testing.Short() {
		seeds = 1
	}
	for _, tt := range []struct {
		name    string
		kind    routes.Kind
		timeout time.Duration
		oneIn   int
	}{
		{"streams", routes.Stream, 25 * time.Second, 40},
		{"calls", routes.Once, 20 * time.Second, 150},
	} {
		for _, before := range []int{0, 12, 60, 400} {
			t.Run(fmt.Sprintf("%s after %d others", tt.name, before), func(t *testing.T) {
				var sum drawnStop
				for seed := range uint64(seeds) {
					sum.add(playDrawnStop(t, tt.kind, before, tt.timeout, routedengine.RareLong(seed, tt.oneIn, longTimes)))
				}
				t.Logf("%d stops: %d whole, %d refused, %d taken early and cut off, %d taken late and cut off", seeds, sum.whole, sum.refused, sum.excused, sum.cutOff)
				if sum.whole == 0 {
					t.Error("no request is whole")
				}
				if sum.cutOff > 0 {
					t.Errorf("%d requests were taken late and cut off, want none", sum.cutOff)
				}
			})
		}
	}
}
