package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// The order of waiting.
//
// The load pattern: more prompts arrive than the engines read, for seconds. First
// come, first served, every stream waits for as long as the queue is, and soon all of
// them are late. By the time that is left (earliest due first) each is begun at the
// last moment that it can be in time, and what cannot be in time any more goes behind:
// as many streams are in time as the engines can begin, and the late ones are served
// as soon as there is room. They are not dropped: their callers wait for them.
//
// A stream that was interrupted goes first: its caller watches an answer stand still.
// A lost zone interrupts dozens at once, which would push all new ones past their
// objective, so every other grant is for a new one where both wait.

// class of a waiting stream, first to be served first.
type class uint8

const (
	interrupted class = iota
	inTime
	late
)

// lateMemory is the share of an engine's memory that may be taken once a late stream
// is begun there. What is left is for those that can be in time and come while it
// runs, some seconds: a quarter is two or three runs.
const lateMemory = 0.75

func (v *service) classOf(w *waiter, now time.Time) class {
	switch {
	case w.Interrupted:
		return interrupted
	case now.Add(v.pace.reading(w.Need.Prompt)).After(w.Due):
		return late
	}
	return inTime
}

// order returns the waiting streams, first to be served first.
func (v *service) order(now time.Time) []*waiter {
	for _, w := range v.waiting {
		w.class = v.classOf(w, now)
	}
	pressing := v.pressing(now)
	out := slices.Clone(v.waiting)
	slices.SortStableFunc(out, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class), cmp.Compare(a.Priority, b.Priority),
			compareBool(pressing[a.Workspace], pressing[b.Workspace]), compareDue(a, b),
		)
	})
	if v.yields {
		yieldOnce(out)
	}
	return out
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

// compareDue orders streams of one class.
func compareDue(a, b *waiter) int {
	if a.class == late {
		return a.since.Compare(b.since)
	}
	return a.Due.Compare(b.Due)
}

// yieldOnce moves the first new stream that can be in time to the front.
func yieldOnce(out []*waiter) {
	i := slices.IndexFunc(out, func(w *waiter) bool { return w.class == inTime })
	if i > 0 {
		w := out[i]
		copy(out[1:i+1], out[:i])
		out[0] = w
	}
}
