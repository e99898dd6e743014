package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/overload"
)

// refusal is the state of a service's refusal level.
type refusal struct {
	tracker    overload.Tracker
	observedAt time.Time
}

// Levels returns the refusal levels of the services whose streams are ranked. It must be
// called regularly while it returns any.
func (s *Scheduler) Levels(now time.Time) map[string]overload.Level {
	var out map[string]overload.Level
	for name, v := range s.services {
		if len(v.ranks) == 0 {
			continue
		}
		if now.Sub(v.refusal.observedAt) >= rescanInterval {
			s.observeQueues(v, now)
		}
		if l, ok := v.refusal.tracker.Level(); ok {
			if out == nil {
				out = map[string]overload.Level{}
			}
			l.RetryAfter = min(max(l.RetryAfter, minRetryAfter), maxRetryAfter)
			out[name] = l
		}
	}
	return out
}

// RefusalStep returns the highest step of the refusal level of any service; see
// overload.Tracker.
func (s *Scheduler) RefusalStep() int {
	step := 0
	for _, v := range s.services {
		step = max(step, v.refusal.tracker.Step())
	}
	return step
}

func (s *Scheduler) observeQueues(v *service, now time.Time) {
	v.refusal.observedAt = now
	v.refusal.tracker.Observe(v.queues(s.startRate(v, now), now), slices.Sorted(maps.Keys(v.surging(now))), now)
}

// minLimit is the least limit of a wait. A wait below it ends with the next grants and is no
// queue.
const minLimit = 500 * time.Millisecond

// startRate is the highest rate, per second, at which streams are expected to start, as
// missesDeadline assumes it. The measured rate alone is far too low for seconds after all
// engines were filled at once, and the level would refuse streams that can be served.
func (s *Scheduler) startRate(v *service, now time.Time) float64 {
	rate := max(v.grantTimes.rate(now), minStartRate)
	if len(v.waiting) > 0 {
		rate = max(rate, newRound(v, s, now).maxStartRate(v.waiting[0]))
	}
	return rate
}

// queues returns, for each rank, how long a new stream waits behind those that are served
// before it: all of higher priorities, and those of its own that can be in time. The late
// ones of its own priority are behind it. If they counted, streams would be refused that can
// be in time.
func (v *service) queues(rate float64, now time.Time) []overload.Queue {
	first, lates := make([]int, len(v.ranks)), make([]int, len(v.ranks))
	for _, w := range v.waiting {
		i, ok := slices.BinarySearchFunc(v.ranks, w.Priority, compareRank)
		switch {
		case !ok:
		case v.classOf(w, now) == late:
			lates[i]++
		default:
			first[i]++
		}
	}
	out, ahead := make([]overload.Queue, len(v.ranks)), 0
	for i, k := range v.ranks {
		ahead += first[i]
		out[i] = overload.Queue{Priority: k.priority, Wait: time.Duration(float64(ahead) / rate * float64(time.Second)), Limit: max(minLimit, k.patience)}
		ahead += lates[i]
	}
	return out
}
