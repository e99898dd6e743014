package shutdown

import (
	"cmp"
	"time"
)

const (
	// recentPeriod and recentPeriods bound what is remembered of requests that have ended.
	recentPeriod  = 20 * time.Second
	recentPeriods = 9
)

// recentMax is the largest of the values of the last minutes, as a ring of periods.
type recentMax[T cmp.Ordered] [recentPeriods]periodMax[T]

type periodMax[T cmp.Ordered] struct {
	number int64 // of the period, from 1
	count  int
	max    T
}

func (m *recentMax[T]) add(number int64, v T) {
	p := &m[number%recentPeriods]
	if p.number != number {
		*p = periodMax[T]{number: number}
	}
	p.count++
	p.max = max(p.max, v)
}

// at returns how many values are remembered in a period, and the largest of them.
func (m *recentMax[T]) at(current int64) (count int, largest T) {
	return m.within(recentPeriods, current)
}

// within does the same for the last n periods.
func (m *recentMax[T]) within(n, current int64) (count int, largest T) {
	for i := range m {
		if p := &m[i]; p.number > current-n {
			count += p.count
			largest = max(largest, p.max)
		}
	}
	return count, largest
}

// periods numbers the periods from the first moment that it is asked for. They follow the monotonic
// clock.
type periods struct{ epoch time.Time }

func (p *periods) number(now time.Time) int64 {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return 1 + int64(now.Sub(p.epoch)/recentPeriod)
}
