package scheduler

import "time"

// window counts the events of the last rateWindow and sums their values. Its work is
// constant per event: each is added once and removed once, since times do not decrease.
// It keeps the exact times, at most maxCounted, because counts in buckets would make rates
// jump by a bucket's content at once.
type window struct {
	events []event
	first  int // index of the oldest event that still counts
	sum    int
}

type event struct {
	at    time.Time
	value int
}

func (w *window) add(now time.Time, value int) {
	if w.count(now) >= maxCounted {
		return
	}
	w.events, w.sum = append(w.events, event{now, value}), w.sum+value
}

// count is the number of events in the window.
func (w *window) count(now time.Time) int {
	for w.first < len(w.events) && now.Sub(w.events[w.first].at) > rateWindow {
		w.sum -= w.events[w.first].value
		w.first++
	}
	if w.first > len(w.events)/2 {
		w.events = w.events[:copy(w.events, w.events[w.first:])]
		w.first = 0
	}
	return len(w.events) - w.first
}

// rate is the number of events per second.
func (w *window) rate(now time.Time) float64 {
	return float64(w.count(now)) / rateWindow.Seconds()
}

// expectedMemory is the memory in tokens that runs will hold at the present arrival rate,
// if the values are the tokens that arriving streams need: the rate times how long a run
// holds its memory (Little's law).
func (w *window) expectedMemory(now time.Time, p EngineTiming) float64 {
	n := w.count(now)
	if n == 0 {
		return 0
	}
	hold := p.prefillTime(w.sum/n) + p.RunDuration
	return float64(w.sum) / rateWindow.Seconds() * hold.Seconds()
}
