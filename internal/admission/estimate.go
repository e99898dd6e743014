package admission

import (
	"math"
	"time"
)

// arrivalFactor bounds the wait by requests that arrive later but are served first: at
// most about as many as wait already, since further ones are refused.
const arrivalFactor = 2

// wait estimates the time in the queue of a request that enters now. The rate is the
// number of slots times the measured rate of one slot, and falls at once when engines are
// lost. A flow gets at least its share of its class's share, and up to the whole rate
// when the other flows are empty. The request itself counts with the typical cost, since
// its own cost is served after its start. With its own cost, large requests would be
// refused while slots become free every few milliseconds.
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
	share := q.classShare(it.Class) * f.weight / (c.weight + q.joiningWeight(f))
	typical := q.typicalCost
	if typical == 0 {
		typical = it.Cost
	}
	own := (f.backlog + typical) / (rate * share)
	all := (q.backlog() + typical) / rate
	return seconds(min(own, arrivalFactor*all))
}

// joiningWeight is the weight that f adds to its class with its first item.
func (q *Queue) joiningWeight(f *flow) float64 {
	if f.heapIndex < 0 {
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

// EstimateWait estimates the time in the queue as Enter does, without entering the request.
func (q *Queue) EstimateWait(it *Item) time.Duration { return q.wait(it, q.flow(it)) }

// retryAfter returns the time after which a refused caller should retry: when the
// requests that wait now will have been served, with random spread to separate the
// retries of callers that were refused together. If only the excess over its deadline
// were returned, a caller would meet the same full queue until its retries are used up.
// If more were returned in proportion to the overload, callers would return after the
// peak and keep the queue full for another minute.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	spread := 0.5 + q.rng.Float64()
	d := time.Duration(float64(max(minRetry, wait)) * spread)
	return min(maxRetry, max(minRetry, d))
}
