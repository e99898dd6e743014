package scheduler

import "time"

// Which waiting streams a decision examines.
//
// The overload. Hundreds of streams wait and some engines are idle without memory for any of
// them. Each report then examined, ordered and judged all waiting streams, although it had
// changed nothing for them, and the one VM that decides was busy with that alone.
//
// All waiting streams are examined every rescanInterval. In between, a report is followed by
// decisions only if an engine became idle or got more memory, and only such engines are
// offered to the streams that were examined before, in the order of the last full pass. New
// and changed streams are examined at once, with all idle engines. What a full pass would
// have decided differently, such as the refusal of a stream whose deadline has passed, is
// decided at most rescanInterval later.

// serve decides about the waiting streams of one service.
func (s *Scheduler) serve(v *service, now time.Time) []Decision {
	if now.Sub(v.rescannedAt) >= rescanInterval {
		v.findStalled(now)
	}
	r := newRound(v, s, now)
	full := now.Sub(v.rescannedAt) >= rescanInterval || (s.examineAll || v.changed) && r.idle.n > 0
	if changed := r.gained.n > 0 || v.unexamined > 0; !full && (!changed || s.examineAll) {
		return nil
	}
	r.findSlow()
	var out []Decision
	if full {
		v.rescannedAt, v.changed = now, false
		order := v.order(now)
		r.ranked = r.beginRanked(order)
		out = s.examine(order, r)
	} else {
		v.insertAdded(now)
		order := v.alternate()
		r.ranked = r.beginRanked(order)
		out = s.examineChanged(order, r)
	}
	clear(v.gained)
	if len(out) > 0 {
		v.remove(func(w *waiter) bool { return w.decided })
	}
	return out
}

// examine decides about streams in this order.
func (s *Scheduler) examine(order []*waiter, r *round) []Decision {
	var out []Decision
	for _, w := range order {
		out = s.appendOwed(out, r)
		if !w.decided && !w.tried {
			out = s.appendDecision(out, w, r)
		}
	}
	return out
}

// examineChanged decides about the streams for which something changed since the last pass.
func (s *Scheduler) examineChanged(order []*waiter, r *round) []Decision {
	var out []Decision
	for _, w := range order {
		if r.gained.n == 0 && r.service.unexamined == 0 {
			break
		}
		if out = s.appendOwed(out, r); w.decided || w.tried {
			continue
		}
		r.offer(w)
		if w.unexamined || r.mayFit(r.offered, w) {
			out = s.appendDecision(out, w, r)
			continue
		}
		r.reserve(w)
		r.ahead++
	}
	return out
}

// offer chooses the engines that are offered to a stream between full passes.
func (r *round) offer(w *waiter) {
	r.offered = &r.gained
	if w.unexamined {
		r.offered = &r.idle
	}
}

func (s *Scheduler) appendDecision(out []Decision, w *waiter, r *round) []Decision {
	r.service.setUnexamined(w, false)
	d := s.decideStream(w, r)
	if d.Outcome == Waiting {
		return out
	}
	w.decided = true
	return append(out, d)
}
