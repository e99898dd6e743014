package callqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
)

const (
	// surplusShare is the part of the objective for which calls beyond the slots keep a
	// server busy. The answer to a call, the report of it and the next grant take a few
	// milliseconds, which are much for calls of 15 ms: with one call beyond 6 slots, a server
	// would be idle for a quarter of the time. A longer queue at the server could not be
	// ordered any more.
	surplusShare = 1.0 / 12
	// tailFactor is the time that is reserved for a call, relative to its mean. With the mean
	// alone, calls would be sent that are answered shortly after they are due. With twice the
	// mean or more, a server that is 2.5 times slower than usual would get none of the calls
	// whose objective is five times the mean.
	tailFactor = 1.8
	// minLeftover is the part of the servers' rate that calls in time must leave for others.
	// With less, late calls would wait for their whole time limit and then be refused.
	minLeftover = 0.05
)

// timeAt returns the mean time of a call at a server at its usual speed; 0: unknown.
func (s *service) timeAt(v *server) time.Duration {
	if v.callTime > 0 {
		return v.callTime
	}
	return s.callTime
}

// window returns how many calls a server takes from all routers together.
func (v *server) window(s *service, now time.Time) float64 {
	slots, t := float64(max(1, v.Slots)), s.timeAt(v)
	if s.isFragile(now) {
		return s.fragileWindow(v, now)
	}
	if t <= 0 {
		return slots + 1
	}
	surplus := surplusShare * float64(s.objective) / float64(t)
	return slots + max(1, math.Ceil(slots*min(1, surplus)))
}

// free returns the servers that take a call, those that answer it first before others.
func (s *service) free(now time.Time) []*server {
	var out []*server
	for _, v := range s.servers {
		if !v.avoided() && !v.fragility.paused(now) && v.load(now, s)+1 <= v.window(s, now) {
			v.finish = v.finishTime(now, s)
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *server) int { return cmp.Compare(a.finish, b.finish) })
	return out
}

// queueTime returns the expected wait for a slot of the server.
func (v *server) queueTime(now time.Time, s *service) time.Duration {
	slots := float64(max(1, v.Slots))
	return scale(s.timeAt(v), max(0, v.load(now, s)+1-slots)/slots*v.slowdownNow(now))
}

// finishTime returns the expected time to the answer of a call that is sent now.
func (v *server) finishTime(now time.Time, s *service) time.Duration {
	return v.queueTime(now, s) + scale(s.timeAt(v), v.slowdownNow(now))
}

// tailTime is finishTime for a call that takes long.
func (v *server) tailTime(now time.Time, s *service) time.Duration {
	return v.queueTime(now, s) + scale(s.timeAt(v), tailFactor*v.slowdownNow(now))
}

// tailTime returns the time for a call that takes long at the fastest server.
func (s *service) tailTime(now time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, v := range s.servers {
		if !v.avoided() {
			least = min(least, scale(s.timeAt(v), tailFactor*v.slowdownNow(now)))
		}
	}
	return least
}

// rate returns how many calls the servers can answer in a second; 0: unknown.
func (s *service) rate(now time.Time) float64 {
	sum := 0.0
	for _, v := range s.servers {
		if t := s.timeAt(v); t > 0 && !v.avoided() {
			sum += float64(max(1, v.Slots)) / (t.Seconds() * v.slowdownNow(now))
		}
	}
	return sum
}

// wait returns the expected time in the queue of a call that enters now.
func (s *service) wait(c *Call, now time.Time) time.Duration {
	return s.timeFor(float64(s.inTime.ahead(c)), s.rate(now))
}

// lateWait returns the expected time in the queue of a call that enters behind those that can
// be in time. It is served at the rate that the others leave.
func (s *service) lateWait(now time.Time) time.Duration {
	rate := s.rate(now)
	left := rate - s.arrivals.rate(now)
	if rate > 0 && left < minLeftover*rate {
		return math.MaxInt32 * time.Millisecond
	}
	return s.timeFor(float64(s.inTime.count+s.late.count), left)
}

func (*service) timeFor(calls, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return scale(time.Second, calls/rate)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// retryAfter returns when a refused caller may retry: once the calls that wait now are
// served, plus a random part of up to as much.
func (q *Queue) retryAfter(s *service, now time.Time) time.Duration {
	return admission.SpreadRetry(s.timeFor(float64(s.inTime.count+s.late.count), s.rate(now)), q.draw())
}
