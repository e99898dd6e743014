package quota

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

// account records what this VM holds of one workspace's allowance.
type account struct {
	workspace string
	limit     plan.Allowance // in force at the last request or recall

	window    uint64    // number in the group's ledger; 0 if unknown
	windowEnd time.Time // by this VM's clock; never later than the group's end of the window
	granted   plan.Amount
	returned  plan.Amount
	spent     plan.Amount
	reserved  plan.Amount

	slots int // concurrency granted to this VM
	inUse int

	left        plan.Amount // not granted to any VM, as of the last grant
	outstanding plan.Amount // granted to any VM and not yet spent, as of the last grant
	slotsLeft   int
	// The allowance was lowered below what is committed in the ledger.
	overTokens, overRequests, overSlots bool
	grantedAt                           time.Time

	waiting    []*Ticket
	reportedAt time.Time // when it was last part of a message

	// Recent use of the workspace on this VM, from which the prefetch is computed.
	recentlyReserved plan.Amount // since rate.at
	peak             int         // maximum of inUse since rate.at
	previousPeak     int         // peak of the period before rate.at
	lastCost         int64
	lastAt           time.Time
	rate             rate
	recall           bool // the allowance was lowered; what is not in use must be returned
	changed          bool // since the last message
}

// rate is the use per second, smoothed over a few periods of measureInterval.
type rate struct {
	tokens, requests float64
	at               time.Time
}

// idle is what was granted and has not been returned, spent or reserved.
func (a *account) idle() plan.Amount {
	return a.granted.Minus(a.returned).Minus(a.spent).Minus(a.reserved)
}

// available is what may be reserved now. Grants of a window that has ended can no
// longer be used. They stay in the account until the group reports the next
// window, which may be a little after the end by this VM's clock.
func (a *account) available(now time.Time) plan.Amount {
	if a.window == 0 || !now.Before(a.windowEnd) {
		return plan.Amount{}
	}
	held := a.idle()
	if a.overTokens {
		held.Tokens = 0
	}
	if a.overRequests {
		held.Requests = 0
	}
	return held
}

// dropWindow removes the window and its grants from the account. Requests of the
// window that still run stay charged to it in the ledger.
func (a *account) dropWindow() {
	a.window = 0
	a.granted, a.returned, a.spent, a.reserved = plan.Amount{}, plan.Amount{}, plan.Amount{}, plan.Amount{}
}

// setLimit sets the allowance in force and reports whether it was lowered, in which
// case grants that are not in use are recalled.
func (a *account) setLimit(limit plan.Allowance) bool {
	lower := !a.limit.Limit().Within(limit.Limit()) || limit.Concurrent < a.limit.Concurrent
	if a.limit.Limit() != limit.Limit() || a.limit.Concurrent != limit.Concurrent {
		// The last grant was computed from the old allowance. Refusing requests by it
		// would contradict a change that was confirmed to the operator.
		a.grantedAt = time.Time{}
	}
	a.limit = limit
	if lower {
		a.recall, a.changed = true, true
	}
	return lower
}

// fits reports whether a request can start with the grants at hand.
func (a *account) fits(now time.Time, cost plan.Amount) bool {
	return cost.Within(a.available(now)) && a.inUse < a.slots && !a.overSlots
}

func (a *account) reserve(t *Ticket, now time.Time) {
	a.reserved = a.reserved.Plus(t.cost)
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	a.recentlyReserved = a.recentlyReserved.Plus(t.cost)
	a.lastCost, a.lastAt = max(t.cost.Tokens, 1), now
	a.changed = true
	t.window = a.window
}

func (a *account) updateRate(now time.Time) {
	dt := now.Sub(a.rate.at).Seconds()
	if dt < measureInterval.Seconds() {
		return
	}
	weight := rateWeight
	if a.rate.at.IsZero() {
		weight, dt = 1, measureInterval.Seconds()
	}
	a.rate.tokens += weight * (float64(a.recentlyReserved.Tokens)/dt - a.rate.tokens)
	a.rate.requests += weight * (float64(a.recentlyReserved.Requests)/dt - a.rate.requests)
	a.rate.at = now
	a.recentlyReserved, a.previousPeak, a.peak = plan.Amount{}, a.peak, a.inUse
}

// prefetch is what to hold for future requests: the expected use during
// prefetchPeriod, and at least one request like the last one. With the latter the
// next request of a workspace with little traffic does not wait for the group.
// When little of the allowance is left, that minimum is not held, since the
// request may not come.
func (a *account) prefetch(now time.Time) plan.Amount {
	if a.recall {
		return plan.Amount{}
	}
	seconds := prefetchPeriod.Seconds()
	out := plan.Amount{Tokens: int64(a.rate.tokens * seconds), Requests: int64(a.rate.requests * seconds)}
	scarce := a.left.Tokens < a.limit.TokensPerWindow/scarceDivisor
	if now.Sub(a.lastAt) < idleAfter && !scarce {
		out.Tokens = max(out.Tokens, a.lastCost)
		out.Requests = max(out.Requests, 1)
	}
	return out
}

// belowPrefetch reports whether to request more grants although no request waits.
func (a *account) belowPrefetch(now time.Time) bool {
	if a.recall || now.Sub(a.reportedAt) < minPrefetchInterval {
		return false
	}
	have, wanted := a.available(now), a.prefetch(now)
	tokens := a.left.Tokens > 0 && have.Tokens < wanted.Tokens/2
	return tokens || a.left.Requests > 0 && have.Requests < wanted.Requests/2
}

// servableCost returns the total cost of the waiting requests and the tokens of the
// cheapest one. Both are zero if no concurrency was left by the last grant: tokens
// held or requested for them would lie idle while another VM could use them.
func (a *account) servableCost() (cost plan.Amount, least int64) {
	for i, t := range a.waiting {
		cost = cost.Plus(t.cost)
		if i == 0 || t.cost.Tokens < least {
			least = t.cost.Tokens
		}
	}
	known := !a.grantedAt.IsZero()
	if known && (a.overSlots || a.inUse >= a.slots+a.slotsLeft) {
		return plan.Amount{}, 0
	}
	return cost, least
}

// need is what the waiting requests need beyond what is available. least is the
// number of tokens that the cheapest of them needs.
func (a *account) need(now time.Time) (need plan.Amount, least int64) {
	cost, least := a.servableCost()
	have := a.available(now)
	need = cost.Minus(have)
	return plan.Amount{Tokens: max(need.Tokens, 0), Requests: max(need.Requests, 0)}, max(least-have.Tokens, 0)
}

// report returns the account's part of a message. What it returns to the ledger is
// no longer available to this VM, whether or not the message arrives.
func (a *account) report(now time.Time) plan.AccountSync {
	a.updateRate(now)
	prefetch := a.prefetch(now)
	a.returnSurplus(now, prefetch)
	need, least := a.need(now)
	have := a.available(now)
	a.slots = min(a.slots, a.wantSlots())
	out := plan.AccountSync{
		Workspace: a.workspace, Window: a.window, Spent: a.spent, Returned: a.returned, Reserved: a.reserved,
		Need: need, MinTokens: least,
		Want: plan.Amount{
			Tokens:   need.Tokens + max(prefetch.Tokens-have.Tokens, 0),
			Requests: need.Requests + max(prefetch.Requests-have.Requests, 0),
		},
		SlotsKeep: a.slots, SlotsNeed: a.inUse + len(a.waiting), SlotsWant: a.wantSlots(),
	}
	a.reportedAt, a.changed, a.recall = now, false, false
	for _, t := range a.waiting {
		t.requested = true
	}
	return out
}

// returnSurplus returns idle grants above twice the prefetch. The range between once
// and twice the prefetch is a hysteresis that avoids alternating requests and
// returns. Grants that can serve waiting requests are kept as well.
func (a *account) returnSurplus(now time.Time, prefetch plan.Amount) {
	have := a.available(now)
	keep := prefetch.Plus(prefetch)
	cost, least := a.servableCost()
	if !a.recall && least <= have.Tokens+a.left.Tokens {
		keep = keep.Plus(cost)
	}
	surplus := have.Minus(keep)
	if a.overTokens {
		surplus.Tokens = a.idle().Tokens
	}
	if a.overRequests {
		surplus.Requests = a.idle().Requests
	}
	a.returned = a.returned.Plus(plan.Amount{Tokens: max(surplus.Tokens, 0), Requests: max(surplus.Requests, 0)})
}

// wantSlots is the concurrency to hold: enough for running and waiting requests or
// the recent peak, and for the requests of the next second. If none is left in the
// ledger, no idle concurrency is held, since requests on another VM may wait for
// it.
func (a *account) wantSlots() int {
	now := a.inUse + len(a.waiting)
	peak := max(a.peak, a.previousPeak)
	switch {
	case a.recall, a.overSlots:
		return a.inUse
	case peak == 0, !a.grantedAt.IsZero() && a.slotsLeft == 0:
		return now
	}
	return max(now, peak) + 1 + int(a.rate.requests*reportInterval.Seconds())
}

// empty reports whether nothing is held or waits, in which case no message is due.
func (a *account) empty() bool {
	return a.slots == 0 && a.inUse == 0 && len(a.waiting) == 0 && a.idle() == plan.Amount{} && a.reserved == plan.Amount{}
}
