package shutdown

import (
	"maps"
	"sync"
	"time"
)

// A VM that is stopped must not take a call that its servers answer only after the process has
// ended: nobody could tell the caller what became of it. Nor may it refuse every call whose
// deadline is far away, since most are answered within a small part of it. The longest call of
// the last minutes tells the two apart. A mean would not: a route may lead to short and long
// calls.

const (
	// durationPeriod and durationPeriods bound what is remembered of calls that have ended.
	durationPeriod  = 20 * time.Second
	durationPeriods = 9
	// minDurations is the number of calls from which a bound is known.
	minDurations = 10
	// durationMargin allows for calls that take longer than those before them.
	durationMargin = 1.5
)

// CallDurations bounds how long the calls of each route take. The zero value is empty. It is
// safe for concurrent use.
type CallDurations struct {
	mu     sync.Mutex
	epoch  time.Time // start of the first period; periods follow the monotonic clock
	routes map[string]*routeDurations
}

type routeDurations struct {
	periods [durationPeriods]durationMax // a ring
	pending map[*time.Time]struct{}      // when the calls in progress began
}

// durationMax is the longest call that ended within a period.
type durationMax struct {
	number int64 // of the period, from 1
	calls  int
	max    time.Duration
}

// Begin records that a call begins. The returned function records its end. sent is set if it has
// reached a server.
func (c *CallDurations) Begin(route string, now time.Time) func(end time.Time, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch.IsZero() {
		c.epoch = now
	}
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = map[string]*routeDurations{}
		}
		current := c.period(now)
		maps.DeleteFunc(c.routes, func(_ string, r *routeDurations) bool { return r.isStale(current) })
		r = &routeDurations{pending: map[*time.Time]struct{}{}}
		c.routes[route] = r
	}
	began := &now
	r.pending[began] = struct{}{}
	return func(end time.Time, sent bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(r.pending, began)
		if sent {
			r.add(c.period(end), end.Sub(*began))
		}
	}
}

// period returns the number of a moment's period.
func (c *CallDurations) period(now time.Time) int64 {
	return 1 + int64(now.Sub(c.epoch)/durationPeriod)
}

// isStale reports whether nothing is known of the calls of a route any more.
func (r *routeDurations) isStale(current int64) bool {
	calls, _ := r.recent(current)
	return calls == 0 && len(r.pending) == 0
}

// recent returns how many calls are remembered, and the longest of them.
func (r *routeDurations) recent(current int64) (calls int, longest time.Duration) {
	for i := range r.periods {
		if p := &r.periods[i]; p.number > current-durationPeriods {
			calls += p.calls
			longest = max(longest, p.max)
		}
	}
	return calls, longest
}

func (r *routeDurations) add(number int64, took time.Duration) {
	p := &r.periods[number%durationPeriods]
	if p.number != number {
		*p = durationMax{number: number}
	}
	p.calls++
	p.max = max(p.max, took)
}

// Bound returns how long a call of a route takes at most; 0: not known. A call in progress counts
// with its age, since its servers may just have become slow.
func (c *CallDurations) Bound(route string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return 0
	}
	calls, longest := r.recent(c.period(now))
	if calls < minDurations {
		return 0
	}
	for began := range r.pending {
		longest = max(longest, now.Sub(*began))
	}
	return time.Duration(durationMargin * float64(longest))
}
