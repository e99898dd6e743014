package admission

import (
	"math"
	"time"
)

// arrivals: while a request waits, others arrive whose turn comes before it; at
// most about as much again as waits already, since the rest is refused.
const arrivals = 2

// wait estimates the time in the queue of a request that enters now. The rate
// is slots times the measured speed of one slot, so that it falls at once when
// engines are lost. A flow gets at least its share of its class's share; when
// the others run dry it gets more, up to the whole rate. A turn is a request of
// typical cost: the request's own cost counts after its start, and a large one
// was refused for it while slots came free every few milliseconds.
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
	turn := q.typical
	if turn == 0 {
		turn = it.Cost
	}
	own := (f.backlog + turn) / (rate * share)
	all := (q.backlog() + turn) / rate
	return seconds(min(own, arrivals*all))
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
func (q *Queue) EstimateWait(it *Item) time.Duration { return q.wait(it, q.flow(it)) }

// retryAfter tells a refused caller when to come back: when what waits now will
// have been served; and spread, so that callers refused together do not come
// back together. Told the excess over its deadline only, a caller meets the same
// full queue until its tries are used up. Told more in proportion to the
// overload, it comes back when the peak is over and keeps the queue full for
// another minute.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	spread := 0.5 + q.rng.Float64()
	d := time.Duration(float64(max(minRetry, wait)) * spread)
	return min(maxRetry, max(minRetry, d))
}
