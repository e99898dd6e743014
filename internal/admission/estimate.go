package admission

import (
	"math"
	"time"
)

// wait estimates the time in the queue of a request that enters now. The rate
// is slots times the measured speed of one slot, so that it falls at once when
// engines are lost. A flow gets at least its share of its class's share; when
// the others run dry it gets more, up to the whole rate.
func (q *Queue) wait(it *Item, f *flow) time.Duration {
	free := q.capacity - q.running
	if it.Class == Long {
		free = min(free, q.longLimit()-q.classes[Long].running)
	}
	if q.count == 0 && free > 0 {
		return 0
	}
	c := f.class
	rate := q.slotRate * float64(max(1, q.capacity))
	if it.Class == Long {
		rate = q.slotRate * float64(q.longLimit())
	}
	share := q.classShare(it.Class) * f.weight / (c.weight + q.absent(f))
	own := (f.backlog + it.Cost) / (rate * share)
	all := (q.backlog() + it.Cost) / rate
	return seconds(min(own, all))
}

// absent is the weight that joins the class with f's first item.
func (q *Queue) absent(f *flow) float64 {
	if f.pos < 0 {
		return f.weight
	}
	return 0
}

func (q *Queue) classShare(class Class) float64 {
	var sum float64
	for i := range classCount {
		if i == class || q.classes[i].count > 0 {
			sum += policies[i].weight
		}
	}
	return policies[class].weight / sum
}

func (q *Queue) backlog() float64 {
	var sum float64
	for i := range q.classes {
		sum += q.classes[i].backlog
	}
	return sum
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}

// Wait estimates the wait of a request as Enter would.
func (q *Queue) Wait(it *Item) time.Duration { return q.wait(it, q.flow(it)) }

// retryAfter tells a refused caller when to come back: when the excess will
// have been served, longer in proportion to the overload, since that many times
// more callers were told the same; and spread, so that callers refused together
// do not come back together.
func (q *Queue) retryAfter(excess time.Duration) time.Duration {
	pressure := 1.0
	if q.served.rate > 0 {
		pressure = min(10, max(1, q.offered.rate/q.served.rate))
	}
	spread := 0.5 + q.rng.Float64()
	d := time.Duration(float64(max(minRetry, excess)) * pressure * spread)
	return min(maxRetry, max(minRetry, d))
}

// meter is an exponentially smoothed rate per second.
type meter struct {
	rate float64
	last time.Time
}

func (m *meter) add(amount float64, now time.Time) {
	if !m.last.IsZero() {
		m.rate *= math.Exp(-float64(now.Sub(m.last)) / float64(pressureTime))
	}
	m.last = now
	m.rate += amount / pressureTime.Seconds()
}
