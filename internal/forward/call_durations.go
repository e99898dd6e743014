package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
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

// callDurations bounds how long the calls of each route take. The zero value is empty. It is
// safe for concurrent use.
type callDurations struct {
	mu     sync.Mutex
	routes map[string]*routeDurations
}

type routeDurations struct {
	periods [durationPeriods]durationMax // a ring
	pending map[*time.Time]struct{}      // when the calls in progress began
}

// durationMax is the longest call that ended within a period.
type durationMax struct {
	number int64 // of the period since the Unix epoch
	calls  int
	max    time.Duration
}

// begin records that a call begins. The returned function records its end. sent is set if it has
// reached a server.
func (c *callDurations) begin(route string, now time.Time) func(end time.Time, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = map[string]*routeDurations{}
		}
		maps.DeleteFunc(c.routes, func(_ string, r *routeDurations) bool { return r.isStale(now) })
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
			r.add(end, end.Sub(*began))
		}
	}
}

// isStale reports whether nothing is known of the calls of a route any more.
func (r *routeDurations) isStale(now time.Time) bool {
	calls, _ := r.recent(now)
	return calls == 0 && len(r.pending) == 0
}

// recent returns how many calls are remembered, and the longest of them.
func (r *routeDurations) recent(now time.Time) (calls int, longest time.Duration) {
	oldest := now.UnixNano()/int64(durationPeriod) - durationPeriods
	for i := range r.periods {
		if p := &r.periods[i]; p.number > oldest {
			calls += p.calls
			longest = max(longest, p.max)
		}
	}
	return calls, longest
}

func (r *routeDurations) add(now time.Time, took time.Duration) {
	number := now.UnixNano() / int64(durationPeriod)
	p := &r.periods[number%durationPeriods]
	if p.number != number {
		*p = durationMax{number: number}
	}
	p.calls++
	p.max = max(p.max, took)
}

// bound returns how long a call of a route takes at most; 0: not known. A call in progress counts
// with its age, since its servers may just have become slow.
func (c *callDurations) bound(route string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return 0
	}
	calls, longest := r.recent(now)
	if calls < minDurations {
		return 0
	}
	for began := range r.pending {
		longest = max(longest, now.Sub(*began))
	}
	return time.Duration(durationMargin * float64(longest))
}

// PendingWork is how long a request takes from now on.
type PendingWork struct {
	Expected time.Duration // what few exceed; 0: not known
	AtMost   time.Duration // what none is known to exceed; 0: not known
	Left     time.Duration // until its deadline
}

// Multiples of the mean duration of a run.
const (
	// longRunFactor is the duration of a long run.
	longRunFactor = 1.5
	// longestRunFactor is the duration that no run exceeds, whatever its length.
	longestRunFactor = 4
)

// cannotFinish reports that a request cannot be finished before this VM shuts down.
func (h *Handler) cannotFinish(q *request) bool {
	return h.opts.Closing() && h.opts.CannotFinish(h.pendingWork(q))
}

func (h *Handler) pendingWork(q *request) PendingWork {
	if q.route.Kind == routes.Stream {
		return PendingWork{Expected: h.runDuration(q, longRunFactor), AtMost: h.runDuration(q, longestRunFactor), Left: q.left()}
	}
	bound := h.durations.bound(q.route.Name, time.Now())
	return PendingWork{Expected: bound, AtMost: bound, Left: q.left()}
}

// runDuration returns the duration of a stream of the service that takes a multiple of the mean; 0:
// not known.
func (h *Handler) runDuration(q *request, multiple float64) time.Duration {
	return h.paces.pace(q.service.Name).ExpectedDuration(q.PromptTokens, eventCount(q.After), multiple)
}
