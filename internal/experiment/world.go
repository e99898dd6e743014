// Package experiment runs the admission, routing and recovery modules against a
// model of engines and callers on a virtual clock, beside baselines without
// them. It serves `amaranthshelf experiment` and the load scenarios. The model
// has no network; decisions are those of the real modules, and every run with
// the same seed gives the same figures.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// world is one run: clock, engines, routers, callers.
type world struct {
	now     time.Time
	events  eventHeap
	seq     int
	rng     *rand.Rand
	policy  Policy
	figures EngineFigures
	engines []*engineModel
	routers []router
	out     *Outcome
	blamed  *blameBoard
}

// began is the virtual time at which every run starts.
var began = time.Unix(1_000_000, 0)

func newWorld(p Policy, seed uint64) *world {
	return &world{now: began, policy: p, rng: rand.New(rand.NewPCG(seed, 7)), out: &Outcome{}, figures: DefaultFigures}
}

func (w *world) elapsed() time.Duration { return w.now.Sub(began) }

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after runs do in d from now.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(max(0, d)), w.seq, do})
}

// run plays events until the given time since the start.
func (w *world) run(until time.Duration) {
	end := began.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}
