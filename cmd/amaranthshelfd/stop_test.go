package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Sizes of the test of a router that is stopped.
const (
	stopGrace      = 8 * time.Second
	stopEvents     = 10
	stopCallers    = 4
	stopSendGap    = 100 * time.Millisecond // of each caller
	stopWarmUp     = 8 * time.Second
	stopSlowTimes  = 12 // an engine takes as many times as long as the others
	stopExcusedFor = 3 * time.Second
)

// stoppedStream is what became of a stream that was sent to a router after SIGTERM.
type stoppedStream struct {
	id    string
	sent  time.Duration // after SIGTERM
	ended time.Duration // after SIGTERM
	got   routedlocal.StreamResult
	err   error
}

// stopCaller sends streams until ctx ends, whether the ones before have ended or not.
func (w *soakClients) stopCaller(ctx context.Context, caller int, stopped time.Time, ended func(stoppedStream)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; timer.Sleep(ctx, stopSendGap) == nil; n++ {
		sent := time.Now()
		wg.Go(func() {
			id := fmt.Sprintf("stop-%d-%d", caller, n)
			q := routedlocal.StreamRequest{Addr: w.s.callers[0], Path: "/s/" + id, ID: id, Key: soakWorkspaces[0].key()}
			got, err := q.Do(w.t.Context())
			ended(stoppedStream{id, sent.Sub(stopped), time.Since(stopped), got, err})
		})
	}
}

// Guards against streams that a router takes after SIGTERM and cuts off in the middle, since the
// engine that they get is slower than the others.
func TestStoppedRouterCutsOffNoStream(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &soakSystem{t: t, mixed: true, slots: 8, grace: stopGrace, events: stopEvents}
	c := s.startServing()
	s.servers[0].Slow(stopSlowTimes)
	stopped := time.Now().Add(stopWarmUp)
	var mu sync.Mutex
	var all []stoppedStream
	ctx, cancel := context.WithDeadline(t.Context(), stopped.Add(stopGrace))
	defer cancel()
	for i := range stopCallers {
		c.wg.Go(func() {
			c.stopCaller(ctx, i, stopped, func(e stoppedStream) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, e)
			})
		})
	}
	_ = timer.Sleep(ctx, time.Until(stopped))
	exited := s.signal(soakControls, syscall.SIGTERM)
	c.wg.Wait()
	<-exited
	ran := s.runsByRequest()
	whole, refused, excused := 0, 0, 0
	for _, e := range all {
		switch {
		case e.sent < 0:
		case e.err == nil && e.got.Complete && routedlocal.HasAllEvents(e.got.EventIDs, stopEvents):
			whole++
		case ran[e.id] == 0:
			refused++
		case e.sent <= stopExcusedFor && e.ended > stopGrace*5/6:
			excused++
		default:
			t.Errorf("%s, sent %v after SIGTERM: status %d, %d events, error %v, ended at %v, %d runs; want it whole or refused", e.id, e.sent, e.got.Status, len(e.got.EventIDs), e.err, e.ended, ran[e.id])
		}
	}
	t.Logf("%d streams whole, %d not run, %d sent in the first %v and cut off", whole, refused, excused, stopExcusedFor)
	if whole == 0 {
		t.Error("no stream is whole")
	}
}

// runsByRequest counts the runs of all servers.
func (s *soakSystem) runsByRequest() map[string]int {
	out := map[string]int{}
	for _, e := range s.servers {
		for _, r := range e.Runs() {
			out[r.RequestID]++
		}
	}
	return out
}
