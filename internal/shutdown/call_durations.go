package shutdown

import (
	"maps"
	"sync"
	"time"
)

// A VM that has just been ordered to stop must not take a call that its servers usually answer only
// after the process has ended: nobody could tell the caller what became of it. Nor may it refuse
// every call whose deadline is far away, since callers still hold its address. The longest call of
// the last minutes tells the two apart. A mean would not: a route may lead to short and long calls.

const (
	// minDurations is the number of requests from which durations are known.
	minDurations = 10
	// durationMargin allows for requests that take longer than those before them.
	durationMargin = 1.5
)

// CallDurations estimates how long the calls of each route take. The zero value is empty. It is
// safe for concurrent use.
type CallDurations struct {
	mu      sync.Mutex
	periods periods
	routes  map[string]*routeDurations
}

type routeDurations struct {
	ended   recentMax[time.Duration]
	pending map[*time.Time]struct{} // when the calls in progress began
}

// Begin records that a call begins. The returned function records its end. sent is set if it has
// reached a server.
func (c *CallDurations) Begin(route string, now time.Time) func(end time.Time, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = map[string]*routeDurations{}
		}
		current := c.periods.number(now)
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
			r.ended.add(c.periods.number(end), end.Sub(*began))
		}
	}
}

// isStale reports whether nothing is known of the calls of a route any more.
func (r *routeDurations) isStale(current int64) bool {
	calls, _ := r.ended.at(current)
	return calls == 0 && len(r.pending) == 0
}

// Expected returns how long a call of a route takes, by the longest of late and a margin; 0: not
// known. A call in progress counts with its age, since its servers may just have become slow.
func (c *CallDurations) Expected(route string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return 0
	}
	calls, longest := r.ended.at(c.periods.number(now))
	if calls < minDurations {
		return 0
	}
	for began := range r.pending {
		longest = max(longest, now.Sub(*began))
	}
	return time.Duration(durationMargin * float64(longest))
}
