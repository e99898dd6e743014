package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The order of streams that differ in priority by their routes.
//
// The overload. For some seconds more prompts arrive than the engines can prefill. In the
// order of order.go, a less urgent stream that can still be in time goes before an urgent
// one that is late. A flood of the least urgent streams, which have the longest
// objectives, then keeps late urgent streams waiting until it ends.
//
// Therefore the priority comes first, and then the order of order.go. Lower priorities use
// what higher ones leave: see reserve.go. So that none waits forever, a priority that waits
// gets one grant in minShare.

const (
	// minShare is the number of grants of which a priority that waits gets at least one.
	minShare = 16
	// maxRanks bounds the number of priorities that are told apart. Routes state few.
	maxRanks = 16
)

// rank holds what is known of the streams of one priority of a service.
type rank struct {
	priority int
	demand   window // of arriving streams, with the tokens that they need
	// held estimates the tokens that granted runs hold, as of heldAt. They decay with the
	// mean time for which a run holds its memory.
	held   float64
	heldAt time.Time
	// patience is the time from the arrival of the last stream until it must have started
	// in order to end by its deadline.
	patience   time.Duration
	patienceAt time.Time
	// slack is the time from the arrival of the last stream until it must have started in
	// order to be in time.
	slack time.Duration
	// waiting counts the waiting streams as of the last pass, interrupted or not.
	waiting int
	// passedOver counts the grants to other priorities while new streams of this one wait.
	passedOver int
}

func compareRank(k *rank, priority int) int { return cmp.Compare(k.priority, priority) }

// rankIndex returns the position of a priority's rank, which it adds if needed. Priorities
// beyond maxRanks share the last one.
func (v *service) rankIndex(priority int) int {
	i, ok := slices.BinarySearchFunc(v.ranks, priority, compareRank)
	if !ok && len(v.ranks) < maxRanks {
		v.ranks = slices.Insert(v.ranks, i, &rank{priority: priority})
	}
	return min(i, len(v.ranks)-1)
}

// recordRank counts an arriving stream.
func (v *service) recordRank(st *Stream, now time.Time) {
	if !st.Ranked {
		return
	}
	k := v.ranks[v.rankIndex(st.Priority)]
	k.demand.add(now, st.Need.Tokens())
	k.slack = max(0, st.Due.Sub(now)-v.timing.prefillTime(st.Need.Prompt))
	k.recordPatience(st.Deadline.Sub(now)-v.timing.prefillTime(st.Need.Prompt)-time.Duration(v.timing.remainingShare(st.EventsReceived)*float64(v.timing.RunDuration)), now)
}

// recordPatience keeps the longest patience within rateWindow. Callers who come back after a
// loss have a part of their time left; taken for that of new streams, it would raise the
// refusal level although no stream waits.
func (k *rank) recordPatience(patience time.Duration, now time.Time) {
	if patience >= k.patience || now.Sub(k.patienceAt) > rateWindow {
		k.patience, k.patienceAt = patience, now
	}
}

// compareRanked is the order of ranked streams.
func compareRanked(a, b *waiter) int {
	if c := compareBool(!a.Interrupted, !b.Interrupted); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareWaiters(a, b))
}

// rankedPass is the part of a round that concerns ranked streams.
type rankedPass struct {
	round *round
	// next are the positions in order of the first new stream of each rank, or later.
	next     []int
	order    []*waiter
	growth   []float64 // by rank; see service.growth
	reserves []float64 // for new and for late streams of each rank; negative: not computed
}

// beginRanked returns the pass over ranked streams; nil: none of the waiting streams is ranked.
func (r *round) beginRanked(order []*waiter) *rankedPass {
	if !r.service.ranked {
		return nil
	}
	v := r.service
	for _, w := range order {
		v.rankIndex(w.Priority)
	}
	leastUrgent := order[len(order)-1].Priority
	p := &rankedPass{round: r, order: order, next: make([]int, len(v.ranks))}
	for i, k := range v.ranks {
		p.next[i], k.waiting = len(order), 0
	}
	for i, w := range slices.Backward(order) {
		k := v.rankIndex(w.Priority)
		v.ranks[k].waiting++
		// Late streams of the most urgent priority would otherwise find no memory while in-time
		// ones of lower priorities fill it. Other priorities leave it to
		// streams that can be in time.
		w.tried, w.takesLast = false, k == 0 && w.Priority < leastUrgent
		if !w.Interrupted {
			p.next[k] = i
		}
	}
	for i, k := range v.ranks {
		if p.next[i] == len(order) {
			k.passedOver = 0
		}
	}
	p.growth, p.reserves = v.growth(r.now), make([]float64, 2*len(v.ranks))
	p.forgetReserves()
	return p
}

// mayStart reports whether a stream may start now if an engine has room for it.
func (p *rankedPass) mayStart(w *waiter) bool {
	return p.owes(p.round.service.rankIndex(w.Priority)) || p.leavesReserve(w)
}

// owes reports whether the next grant is due to a rank that was passed over.
func (p *rankedPass) owes(rank int) bool {
	return p.round.service.ranks[rank].passedOver >= minShare-1
}

// owed returns a stream of a priority that was passed over minShare-1 times; nil: there is
// none, or it was tried in this pass.
func (p *rankedPass) owed() *waiter {
	ranks := p.round.service.ranks
	if p.round.offered.n == 0 {
		return nil
	}
	for i := range slices.Backward(ranks) {
		if !p.owes(i) {
			continue
		}
		for at := p.next[i]; at < len(p.order); at++ {
			if w := p.order[at]; !w.Interrupted && !w.decided && p.round.service.rankIndex(w.Priority) == i {
				p.next[i] = at + 1
				return w
			}
		}
		p.next[i] = len(p.order)
	}
	return nil
}

// appendOwed decides about the streams that are owed a grant.
func (s *Scheduler) appendOwed(out []Decision, r *round) []Decision {
	if r.ranked == nil {
		return out
	}
	for w := r.ranked.owed(); w != nil; w = r.ranked.owed() {
		if r.offered != &r.idle {
			r.offer(w)
		}
		ahead := r.ahead
		out, w.tried = s.appendDecision(out, w, r), true
		if !w.decided { // no other stream of its rank is tried before its turn
			r.ahead, r.ranked.next[r.service.rankIndex(w.Priority)] = ahead, len(r.ranked.order)
		}
	}
	return out
}

// granted counts a grant.
func (p *rankedPass) granted(w *waiter) {
	v := p.round.service
	own := v.rankIndex(w.Priority)
	for i, k := range v.ranks {
		switch {
		case i == own:
			if !w.Interrupted {
				k.passedOver = 0
			}
			k.hold(w.Need.Tokens(), v.holdTime(), p.round.now)
			p.growth[i] = max(0, p.growth[i]-float64(w.Need.Tokens()))
		case k.waiting > 0:
			k.passedOver++
		}
	}
	v.free -= float64(w.Need.Tokens())
	p.forgetReserves()
}

// hold adds the tokens of a granted run.
func (k *rank) hold(tokens int, hold time.Duration, now time.Time) {
	k.held, k.heldAt = k.holds(hold, now)+float64(tokens), now
}

// holds estimates the tokens that granted runs hold.
func (k *rank) holds(hold time.Duration, now time.Time) float64 {
	if hold <= 0 {
		return 0
	}
	return k.held * math.Exp(-now.Sub(k.heldAt).Seconds()/hold.Seconds())
}
