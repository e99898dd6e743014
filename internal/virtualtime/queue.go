// Package virtualtime plays events in the order of their times on a clock of its
// own, for simulations: nothing sleeps, and a run with the same seed is the same
// run.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is a clock and what is to happen on it. It is not safe for concurrent use.
type Queue struct {
	now    time.Time
	seq    int
	events events
}

// New returns a queue whose clock stands at now.
func New(now time.Time) *Queue { return &Queue{now: now} }

// Now is the time of the event that runs, or where Run ended.
func (q *Queue) Now() time.Time { return q.now }

// After runs do in d from now; events of one instant run in the order in which
// they were given. d below zero counts as zero.
func (q *Queue) After(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{q.now.Add(max(0, d)), q.seq, do})
}

// Run plays all events up to end and those that they bring about until then.
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
