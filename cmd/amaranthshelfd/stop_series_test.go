package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Sizes of the test of routers and control VMs that are stopped one after the other.
const (
	seriesRounds     = 2
	seriesApart      = 2500 * time.Millisecond // between the stops of two routers
	seriesControlLag = 400 * time.Millisecond  // from the stop of a router to that of a control VM
	seriesWarmUp     = 6 * time.Second
	seriesStreamGap  = 150 * time.Millisecond // of the streams to one router
	seriesCallGap    = 60 * time.Millisecond  // of the calls to one router
	// A rare request takes as many times as long as the others.
	seriesRareStream, seriesRareCall = 15, 60
	seriesOneIn                      = 30
	// seriesUnreadFor is how long a request may lie unread at a router that closes its connection.
	seriesUnreadFor = 200 * time.Millisecond
)

// seriesRequest is what became of a request that was sent to a router.
type seriesRequest struct {
	id          string
	router      int
	sent, ended time.Time
	whole       bool
	status      int // 0: there was no answer
	err         error
}

// stopSeries is a run of the test.
type stopSeries struct {
	*soakClients

	mu       sync.Mutex
	requests []seriesRequest
	stops    [soakRouters][]time.Time // SIGTERMs of each router
}

func (w *stopSeries) add(q *seriesRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q.ended = time.Now()
	w.requests = append(w.requests, *q)
}

// send sends requests to one router until ctx ends, whether those before have ended or not.
func (w *stopSeries) send(ctx context.Context, kind string, router int, gap time.Duration, do func(q *seriesRequest)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; timer.Sleep(ctx, gap) == nil; n++ {
		wg.Go(func() {
			q := seriesRequest{id: fmt.Sprintf("%s-%d-%d", kind, router, n), router: router, sent: time.Now()}
			do(&q)
			w.add(&q)
		})
	}
}

func (w *stopSeries) stream(q *seriesRequest) {
	r := routedlocal.StreamRequest{Addr: w.s.callers[q.router], Path: "/s/" + q.id, ID: q.id, Key: soakWorkspaces[0].key()}
	got, err := r.Do(w.t.Context())
	q.status, q.err = got.Status, err
	q.whole = err == nil && got.Complete && routedlocal.HasAllEvents(got.EventIDs, stopEvents)
}

func (w *stopSeries) call(q *seriesRequest) {
	resp, _, err := w.roundTrip(w.t.Context(), http.MethodPost, "http://"+w.s.callers[q.router]+"/vote/x", q.id, "yes")
	q.err = err
	if err == nil {
		q.status, q.whole = resp.StatusCode, resp.StatusCode == http.StatusOK
	}
}

// stopInTurn stops the routers one after the other, and a control VM shortly after each, and starts them
// again once they have ended.
func (w *stopSeries) stopInTurn(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range seriesRounds * soakRouters {
		router := n % soakRouters
		w.mu.Lock()
		w.stops[router] = append(w.stops[router], time.Now())
		w.mu.Unlock()
		wg.Go(func() { w.restart(soakControls + router) })
		_ = timer.Sleep(ctx, seriesControlLag)
		wg.Go(func() { w.restart(n % soakControls) })
		_ = timer.Sleep(ctx, seriesApart-seriesControlLag)
		if router == soakRouters-1 {
			wg.Wait()
		}
	}
}

func (w *stopSeries) restart(process int) {
	<-w.s.signal(process, syscall.SIGTERM)
	w.s.start(process)
}

// stopBefore returns how long before t the router was last stopped.
func (w *stopSeries) stopBefore(router int, t time.Time) (time.Duration, bool) {
	for i := len(w.stops[router]) - 1; i >= 0; i-- {
		if at := w.stops[router][i]; !at.After(t) {
			return t.Sub(at), true
		}
	}
	return 0, false
}

// check reports the requests that were neither answered nor refused, and returns how many were whole,
// refused, and sent early in a stop and cut off.
func (w *stopSeries) check() (whole, refused, excused int) {
	ran := w.s.runsByRequest()
	for i := range w.requests {
		q := &w.requests[i]
		after, stopping := w.stopBefore(q.router, q.ended)
		sent := after - q.ended.Sub(q.sent)
		switch {
		case q.whole:
			whole++
		case ran[q.id] == 0 && (q.status != 0 || q.ended.Sub(q.sent) <= seriesUnreadFor):
			refused++
		case stopping && after <= stopGrace && sent <= stopExcusedFor && after > stopGrace*5/6:
			excused++
		default:
			w.t.Errorf("%s: sent %v after SIGTERM to its router (stopped %t), ended %v after it with status %d, error %v, %d runs; want it whole or refused", q.id, sent, stopping, after, q.status, q.err, ran[q.id])
		}
	}
	return whole, refused, excused
}

// Guards against requests that a router takes late in a stop and cuts off, since all that it has seen
// were short: routers and control VMs are stopped in turn, and a few requests take much longer.
func TestRoutersStoppedInTurnCutOffNoRareLongRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &soakSystem{t: t, mixed: true, slots: 16, grace: stopGrace, events: stopEvents, rareTimes: func(service string) func(string) int {
		if service == "models" {
			return routedengine.RareLong(scenarioSeed(), seriesOneIn, seriesRareStream)
		}
		return routedengine.RareLong(scenarioSeed(), seriesOneIn, seriesRareCall)
	}}
	w := &stopSeries{soakClients: s.startServing()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for router := range soakRouters {
		w.wg.Go(func() { w.send(ctx, "stream", router, seriesStreamGap, w.stream) })
		w.wg.Go(func() { w.send(ctx, "call", router, seriesCallGap, w.call) })
	}
	_ = timer.Sleep(ctx, seriesWarmUp)
	w.stopInTurn(ctx)
	cancel()
	w.wg.Wait()
	whole, refused, excused := w.check()
	t.Logf("%d requests whole, %d not run, %d sent in the first %v and cut off", whole, refused, excused, stopExcusedFor)
	if whole == 0 {
		t.Error("no request is whole")
	}
}
