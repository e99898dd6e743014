package routed

import (
	"context"
	"math/rand/v2"
	"net/http"
	runtimemetrics "runtime/metrics"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/endpoints"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// balanceMaxAge is how long what a control VM told of the mean load is valid: four heartbeats.
const balanceMaxAge = 2 * time.Second

// vmLoad measures the load of a router's VM, refuses requests near its limits, and closes
// connections while the VM is loaded far above the mean. It does nothing without limits, and
// refuses and closes nothing while VMs are not weighted. Safe for concurrent use.
type vmLoad struct {
	limits   capacity.Limits
	traffic  traffic
	requests func() int // in flight
	log      zerolog.Logger

	refusals, closings *metrics.Counter

	mu         sync.Mutex
	meter      *capacity.Meter
	gate       capacity.Gate
	rebalancer capacity.Rebalancer
	balance    cluster.Balance
	balanceAt  time.Time
}

func newVMLoad(o *RouterOptions, requests func() int) *vmLoad {
	l := &vmLoad{limits: o.Limits, requests: requests, log: o.RoutineLog, meter: capacity.NewMeter(o.Limits)}
	if !l.limits.Stated() {
		return l
	}
	o.Metrics.NewGauge("shelf_vm_load", l.load)
	o.Metrics.NewGauge("shelf_vm_weight", l.weight)
	l.refusals = o.Metrics.NewCounter("shelf_vm_overload_refusals_total")
	l.closings = o.Metrics.NewCounter("shelf_connections_rebalanced_total")
	return l
}

// pool returns a pool of connections to servers, which are counted if limits are stated.
func (l *vmLoad) pool() *upstream.Pool {
	if !l.limits.Stated() {
		return upstream.NewPool()
	}
	return upstream.NewWrappedPool(l.traffic.count)
}

// size returns the VM's size for heartbeats.
func (l *vmLoad) size() capacity.Size {
	if !l.limits.Stated() {
		return capacity.Size{}
	}
	return l.limits.Size()
}

// load returns the smoothed load; 0: unknown.
func (l *vmLoad) load() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if load, ok := l.meter.Load(time.Now()); ok {
		return load
	}
	return 0
}

// thousandths returns the load for heartbeats; 0: unknown.
func (l *vmLoad) thousandths() uint16 { return capacity.Thousandths(l.load()) }

// weight returns the weight of this VM relative to the mean; 0: VMs are not weighted.
func (l *vmLoad) weight() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isWeighted(time.Now()) {
		return 0
	}
	return float64(l.balance.Weight) / endpoints.MeanWeight
}

// learn takes how the VM's load compares with that of others.
func (l *vmLoad) learn(b cluster.Balance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance, l.balanceAt = b, time.Now()
}

// isWeighted reports whether VMs are weighted. It needs l.mu.
func (l *vmLoad) isWeighted(now time.Time) bool { return now.Sub(l.balanceAt) <= balanceMaxAge }

// run measures until ctx ends.
func (l *vmLoad) run(ctx context.Context) {
	if !l.limits.Stated() {
		return
	}
	tick := time.NewTicker(capacity.SampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.add(time.Now(), l.sample())
		case <-ctx.Done():
			return
		}
	}
}

// add adds a sample and sets the share of requests to refuse.
func (l *vmLoad) add(now time.Time, s capacity.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Add(now, s)
	share, ok := l.meter.Recent(now)
	l.gate.Update(share, ok && l.isWeighted(now))
}

// liveHeap and stacks are the memory that the process needs. The rest of it is garbage that
// the collector frees when memory is short.
const (
	liveHeap = "/gc/heap/live:bytes"
	stacks   = "/memory/classes/heap/stacks:bytes"
)

// sample reads what the process has used.
func (l *vmLoad) sample() capacity.Sample {
	s := capacity.Sample{
		Received: l.traffic.received.Load(), Sent: l.traffic.sent.Load(), Writing: l.traffic.writingTime(),
		Connections: int(l.traffic.open.Load()), Requests: l.requests(),
	}
	var usage syscall.Rusage
	// Without the processor time the meter counts as stuck, and the load is unknown.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		s.Processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	memory := []runtimemetrics.Sample{{Name: liveHeap}, {Name: stacks}}
	runtimemetrics.Read(memory)
	for _, m := range memory {
		if m.Value.Kind() == runtimemetrics.KindUint64 {
			s.MemoryBytes += int64(m.Value.Uint64())
		}
	}
	return s
}

// decision is what happens to one request.
type decision struct {
	refused, closes bool
	share           float64 // of the requests that are refused
	load, mean      float64
}

// decide decides on a request. mayClose is set if no other request has come behind it. open is the number of
// callers' connections.
func (l *vmLoad) decide(now time.Time, mayClose bool, open func() int) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isWeighted(now) {
		return decision{}
	}
	load, ok := l.meter.Load(now)
	d := decision{share: l.gate.Refused(), load: load, mean: float64(l.balance.MeanLoad) / 1000}
	d.refused = l.gate.Refuses(rand.Float64())
	d.closes = ok && mayClose && capacity.Overloaded(load, d.mean) && l.rebalancer.Closes(now, open())
	return d
}

// limit refuses a part of the requests near the VM's limits, with refuse, and closes a part of
// the connections after their request while the VM is loaded far above the mean.
func (l *vmLoad) limit(next http.Handler, refuse func(http.ResponseWriter, *http.Request, error), open func() int) http.Handler {
	if !l.limits.Stated() {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d := l.decide(time.Now(), !headlimit.HasNext(r.Context()), open)
		if d.closes {
			w.Header().Set("Connection", "close")
			l.closings.Inc()
			l.log.Info().Str("caller", r.RemoteAddr).Float64("load", d.load).Float64("mean", d.mean).Msg("connection is closed after this request")
		}
		if d.refused {
			l.refusals.Inc()
			after := capacity.RetryAfter(rand.Float64())
			l.log.Info().Str("caller", r.RemoteAddr).Str("path", r.URL.Path).Float64("load", d.load).Float64("share", d.share).
				Int("code", int(result.VMOverloaded)).Dur("retry_after", after).Msg("not admitted")
			refuse(w, r, result.New(result.VMOverloaded).WithRetryAfter(after))
			return
		}
		next.ServeHTTP(w, r)
	})
}
