package routed

import (
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
)

// cordonFeed applies the cordons on a router, and ends them by itself. It is safe for
// concurrent use.
type cordonFeed struct {
	apply func(cordon.InForce)

	mu      sync.Mutex
	tracker cordon.Tracker
	next    *time.Timer // until the next cordon ends; nil: none was set
}

// learn takes the encoded cordons of a change.
func (f *cordonFeed) learn(data []byte) error {
	var s cordon.State
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Learn(&s, time.Now(), false)
	f.applyNow()
	return nil
}

// applyNow applies what is in force, and again when the next cordon ends. It needs f.mu.
func (f *cordonFeed) applyNow() {
	now := time.Now()
	if f.next != nil {
		f.next.Stop()
	}
	if end := f.tracker.NextEnd(now); !end.IsZero() {
		f.next = time.AfterFunc(end.Sub(now), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applyNow()
		})
	}
	f.apply(f.tracker.InForce(now))
}

// stop ends the timer.
func (f *cordonFeed) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != nil {
		f.next.Stop()
	}
}

// count returns the number of cordons in force.
func (f *cordonFeed) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.tracker.List(time.Now()))
}

// applyCordons applies the cordons that the feed received.
func (r *Router) applyCordons(data []byte) {
	if err := r.cordons.learn(data); err != nil {
		r.o.Log.Error().Err(err).Msg("cordons could not be decoded; keeping those in force")
	}
}

// setCordons sets the servers that get no new work. This VM itself needs no change if it is
// cordoned: it keeps serving callers that still know its address.
func (r *Router) setCordons(f cordon.InForce) {
	r.fleet.SetCordoned(f.Engines)
	r.o.Log.Info().Int("engines", len(f.Engines)).Int("vms", len(f.VMs)).Msg("cordons applied")
}

// registerCordonGauges registers the metrics of the cordons.
func (r *Router) registerCordonGauges() {
	r.o.Metrics.NewGauge("shelf_cordons", func() float64 { return float64(r.cordons.count()) })
	r.o.Metrics.NewGauge("shelf_cordoned_requests_withheld_total", func() float64 { return float64(r.fleet.CordonWithheld()) })
}
