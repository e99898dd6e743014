package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// The order of waiting streams.
//
// The overload. For some seconds more prompts arrive than the engines can prefill. If the
// first to arrive is served first, every stream waits for the length of the queue, and
// soon all of them are late. With the earliest due time first, each stream starts at the
// last moment at which it can be in time, and streams that can no longer be in time move
// behind the others. As many streams are in time as the engines can start, and the late
// ones are served as soon as there is room. They are not dropped, since their callers
// wait for them.
//
// An interrupted stream is served first, since its caller sees the answer stall. A lost
// zone interrupts dozens of streams at once, which would push all new ones past their
// objective. Every other grant therefore goes to a new stream if both kinds wait.

// class is the class of a waiting stream. Lower values are served first.
type class uint8

const (
	interrupted class = iota
	inTime
	late
)

// lateMemoryShare is the share of an engine's memory that may be taken once a late stream
// starts there. The rest is for streams that can be in time and arrive during the seconds
// for which it runs: a quarter of the memory is two or three runs.
const lateMemoryShare = 0.75

func (v *service) classOf(w *waiter, now time.Time) class {
	switch {
	case w.Interrupted:
		return interrupted
	case now.Add(v.timing.prefillTime(w.Need.Prompt)).After(w.Due):
		return late
	}
	return inTime
}

// order returns the waiting streams in the order in which they are served. It sorts
// v.waiting itself, since the order of one call is nearly that of the next: sorting is then
// linear.
func (v *service) order(now time.Time) []*waiter {
	surging := v.surging(now)
	v.ranked = slices.ContainsFunc(v.waiting, func(w *waiter) bool { return w.Ranked })
	for _, w := range v.waiting {
		w.class, w.surges, w.tried = v.classOf(w, now), surging[w.Workspace], false
	}
	slices.SortFunc(v.waiting, v.compare())
	v.added = 0
	return v.alternate()
}

// compare returns the order of the waiting streams.
func (v *service) compare() func(a, b *waiter) int {
	if v.ranked {
		return compareRanked
	}
	return compareWaiters
}

// insertAdded moves the streams that were enqueued since the last pass to their places in the
// order of that pass.
func (v *service) insertAdded(now time.Time) {
	for ; v.added > 0; v.added-- {
		i := len(v.waiting) - v.added
		w := v.waiting[i]
		w.class = v.classOf(w, now)
		if f := v.arrivals[w.Workspace]; f != nil {
			w.surges = f.surges(now)
		}
		to, _ := slices.BinarySearchFunc(v.waiting[:i], w, v.compare())
		copy(v.waiting[to+1:i+1], v.waiting[to:i])
		v.waiting[to] = w
	}
}

// alternate returns the waiting streams in the order in which they are served, as sorted.
func (v *service) alternate() []*waiter {
	if !v.newStreamNext {
		return v.waiting
	}
	out := slices.Clone(v.waiting)
	moveFirstToFront(out, func(w *waiter) bool { return w.class == inTime || v.ranked && !w.Interrupted })
	return out
}

// compareWaiters is a total order: of equal streams the earlier arrival comes first.
func compareWaiters(a, b *waiter) int {
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return cmp.Or(compareBool(a.surges, b.surges), compareDue(a, b), cmp.Compare(a.arrival, b.arrival))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// compareDue compares two streams of the same class. The earlier due time comes first. In
// the class late the earlier arrival comes first, since no due time can be met there.
func compareDue(a, b *waiter) int {
	if a.class == late {
		return a.enqueuedAt.Compare(b.enqueuedAt)
	}
	return a.Due.Compare(b.Due)
}

// moveFirstToFront moves the first new stream that can be in time before the interrupted
// streams, or of ranked streams the first new one. order does this after each grant to an
// interrupted stream, so interrupted streams get at most every other grant while such new
// streams wait.
func moveFirstToFront(out []*waiter, mayBeFirst func(*waiter) bool) {
	i := slices.IndexFunc(out, mayBeFirst)
	if i > 0 {
		w := out[i]
		copy(out[1:i+1], out[:i])
		out[0] = w
	}
}
