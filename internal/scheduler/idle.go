package scheduler

import "math"

// idleEngines are the engines that one pass may grant.
type idleEngines struct {
	set engineSet
	n   int
	// If bounded is set, no engine of the set that is not slow has less memory taken than
	// usualTokens, and no slow one less than slowTokens or a slowdown below slowdown.
	bounded                 bool
	usualTokens, slowTokens int
	slowdown                float64
}

func (i *idleEngines) remove(pos int) {
	if i.set.has(pos) {
		i.set.set(pos, false)
		i.n--
		i.bounded = false
	}
}

// mayFit reports whether some engine may have memory for the stream and be fast enough for
// it. Most streams that find none are rejected by the bounds, in constant time.
func (r *round) mayFit(i *idleEngines, w *waiter) bool {
	if i.n == 0 {
		return false
	}
	if i.bounded {
		slow := w.hasMemory(i.slowTokens) && r.fastEnough(w, i.slowdown)
		return slow || w.hasMemory(i.usualTokens)
	}
	i.usualTokens, i.slowTokens, i.slowdown = math.MaxInt/2, math.MaxInt/2, maxSlowdown
	for pos := i.set.next(0); pos >= 0; pos = i.set.next(pos + 1) {
		e := r.servers[pos]
		slowdown := r.slowdown(e)
		if w.hasMemory(e.usage.Tokens) && r.fastEnough(w, slowdown) {
			return true
		}
		if slowdown > 1 {
			i.slowTokens, i.slowdown = min(i.slowTokens, e.usage.Tokens), min(i.slowdown, slowdown)
			continue
		}
		i.usualTokens = min(i.usualTokens, e.usage.Tokens)
	}
	i.bounded = true
	return false
}
