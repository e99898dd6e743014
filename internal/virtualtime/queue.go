// Package virtualtime executes simulated events in the order of their times on a virtual
// clock. Nothing sleeps, and simulations with the same seed give the same run.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is a virtual clock with its pending events. It is not safe for concurrent use.
type Queue struct {
	now    time.Time
	seq    int
	events events
}

// New returns an empty queue whose clock shows now.
func New(now time.Time) *Queue { return &Queue{now: now} }

// Now returns the time of the running event, or the end of the last Run.
func (q *Queue) Now() time.Time { return q.now }

// After schedules do at d from now. Events with the same time run in the order of their
// calls to After. A negative d counts as zero.
func (q *Queue) After(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{q.now.Add(max(0, d)), q.seq, do})
}

// Run executes all events up to end, including those that other events schedule.
func (q *Queue) Run(end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = end
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
