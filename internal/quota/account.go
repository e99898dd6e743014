package quota

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

// account is what this VM holds of one workspace's allowance.
type account struct {
	workspace string
	limit     plan.Allowance // as of the last request

	window   uint64    // of the group's ledger; 0: none known
	endsAt   time.Time // on this VM's clock, early rather than late
	granted  plan.Amount
	returned plan.Amount
	spent    plan.Amount
	reserved plan.Amount

	slots int // concurrency held
	inUse int

	left        plan.Amount // in the ledger, as last heard
	outstanding plan.Amount
	slotsLeft   int
	// More is committed than a lowered allowance admits.
	overTokens, overRequests, overSlots bool
	heardAt                             time.Time

	waiting []*Ticket
	askedAt time.Time // when it was last in a message

	// What the workspace used here of late, to ask ahead.
	taken    plan.Amount // reserved since rate.at
	peak     int         // most concurrency in use since rate.at
	before   int         // peak of the period before
	lastCost int64
	lastAt   time.Time
	rate     rate
	recall   bool // the allowance was lowered: give back what is not in use
	changed  bool // since the last message
}

// rate is use per second, smoothed over a few periods.
type rate struct {
	tokens, requests float64
	at               time.Time
}

// held is what was granted and is neither given back, spent nor reserved.
func (a *account) held() plan.Amount {
	return a.granted.Minus(a.returned).Minus(a.spent).Minus(a.reserved)
}

// available is what may be handed out now. What is left of a window that has
// ended lapses; it stays counted until the group names the next window, which
// it may do a little later than this VM's clock.
func (a *account) available(now time.Time) plan.Amount {
	if a.window == 0 || !now.Before(a.endsAt) {
		return plan.Amount{}
	}
	held := a.held()
	if a.overTokens {
		held.Tokens = 0
	}
	if a.overRequests {
		held.Requests = 0
	}
	return held
}

// lapse forgets a window. Its running requests stay charged to it.
func (a *account) lapse() {
	a.window = 0
	a.granted, a.returned, a.spent, a.reserved = plan.Amount{}, plan.Amount{}, plan.Amount{}, plan.Amount{}
}

// setLimit takes the allowance in force. A lowered one recalls grants.
func (a *account) setLimit(limit plan.Allowance) bool {
	lower := !a.limit.Limit().Within(limit.Limit()) || limit.Concurrent < a.limit.Concurrent
	if a.limit.Limit() != limit.Limit() || a.limit.Concurrent != limit.Concurrent {
		// What the ledger told counted by the old allowance: a refusal by it would
		// contradict a change that the operator was told is in force.
		a.heardAt = time.Time{}
	}
	a.limit = limit
	if lower {
		a.recall, a.changed = true, true
	}
	return lower
}

// fits reports whether a request can start from what is held.
func (a *account) fits(now time.Time, cost plan.Amount) bool {
	return cost.Within(a.available(now)) && a.inUse < a.slots && !a.overSlots
}

func (a *account) take(t *Ticket, now time.Time) {
	a.reserved = a.reserved.Plus(t.cost)
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	a.taken = a.taken.Plus(t.cost)
	a.lastCost, a.lastAt = max(t.cost.Tokens, 1), now
	a.changed = true
	t.window = a.window
}

func (a *account) measure(now time.Time) {
	dt := now.Sub(a.rate.at).Seconds()
	if dt < measureEvery.Seconds() {
		return
	}
	weight := rateWeight
	if a.rate.at.IsZero() {
		weight, dt = 1, measureEvery.Seconds()
	}
	a.rate.tokens += weight * (float64(a.taken.Tokens)/dt - a.rate.tokens)
	a.rate.requests += weight * (float64(a.taken.Requests)/dt - a.rate.requests)
	a.rate.at = now
	a.taken, a.before, a.peak = plan.Amount{}, a.peak, a.inUse
}

// ahead is what to hold for requests to come: the use of the next seconds, and
// at least one request like the last, so that a quiet workspace's next request
// need not wait for the group. Near the window's end nothing is held for
// requests that may not come.
func (a *account) ahead(now time.Time) plan.Amount {
	if a.recall {
		return plan.Amount{}
	}
	seconds := holdAhead.Seconds()
	out := plan.Amount{Tokens: int64(a.rate.tokens * seconds), Requests: int64(a.rate.requests * seconds)}
	scarce := a.left.Tokens < a.limit.TokensPerWindow/scarceDivisor
	if now.Sub(a.lastAt) < quietAfter && !scarce {
		out.Tokens = max(out.Tokens, a.lastCost)
		out.Requests = max(out.Requests, 1)
	}
	return out
}

// low reports whether it is time to ask for more although nobody waits.
func (a *account) low(now time.Time) bool {
	if a.recall || now.Sub(a.askedAt) < askEvery {
		return false
	}
	have, ahead := a.available(now), a.ahead(now)
	tokens := a.left.Tokens > 0 && have.Tokens < ahead.Tokens/2
	return tokens || a.left.Requests > 0 && have.Requests < ahead.Requests/2
}

// servable sums what the waiting requests cost and gives the least of them; it
// is nothing where, by what the ledger last told, no concurrency is left: tokens
// kept or asked for would lie idle here while another VM could use them.
func (a *account) servable() (cost plan.Amount, least int64) {
	for i, t := range a.waiting {
		cost = cost.Plus(t.cost)
		if i == 0 || t.cost.Tokens < least {
			least = t.cost.Tokens
		}
	}
	known := !a.heardAt.IsZero()
	if known && (a.overSlots || a.inUse >= a.slots+a.slotsLeft) {
		return plan.Amount{}, 0
	}
	return cost, least
}

// need is what the waiting requests lack.
func (a *account) need(now time.Time) (need plan.Amount, least int64) {
	cost, least := a.servable()
	have := a.available(now)
	need = cost.Minus(have)
	return plan.Amount{Tokens: max(need.Tokens, 0), Requests: max(need.Requests, 0)}, max(least-have.Tokens, 0)
}

// report makes the account's part of a message. What it gives back is gone for
// this VM from now on.
func (a *account) report(now time.Time) plan.AccountSync {
	a.measure(now)
	ahead := a.ahead(now)
	a.giveBack(now, ahead)
	need, least := a.need(now)
	have := a.available(now)
	a.slots = min(a.slots, a.wantSlots())
	out := plan.AccountSync{
		Workspace: a.workspace, Window: a.window, Spent: a.spent, Returned: a.returned, Reserved: a.reserved,
		Need: need, MinTokens: least,
		Want: plan.Amount{
			Tokens:   need.Tokens + max(ahead.Tokens-have.Tokens, 0),
			Requests: need.Requests + max(ahead.Requests-have.Requests, 0),
		},
		SlotsKeep: a.slots, SlotsNeed: a.inUse + len(a.waiting), SlotsWant: a.wantSlots(),
	}
	a.askedAt, a.changed, a.recall = now, false, false
	for _, t := range a.waiting {
		t.asked = true
	}
	return out
}

// giveBack returns what stands above twice the amount to hold ahead; in between
// it is kept, so that grants do not swing to and fro. What can serve those that
// wait is kept as well.
func (a *account) giveBack(now time.Time, ahead plan.Amount) {
	have := a.available(now)
	keep := ahead.Plus(ahead)
	cost, least := a.servable()
	if !a.recall && least <= have.Tokens+a.left.Tokens {
		keep = keep.Plus(cost)
	}
	surplus := have.Minus(keep)
	if a.overTokens {
		surplus.Tokens = a.held().Tokens
	}
	if a.overRequests {
		surplus.Requests = a.held().Requests
	}
	a.returned = a.returned.Plus(plan.Amount{Tokens: max(surplus.Tokens, 0), Requests: max(surplus.Requests, 0)})
}

// wantSlots is the concurrency to hold: for those that run and wait, or the
// recent peak, and for the requests of the next second. Where none is left in
// the ledger nothing is held idle: another VM's callers may wait for it.
func (a *account) wantSlots() int {
	now := a.inUse + len(a.waiting)
	peak := max(a.peak, a.before)
	switch {
	case a.recall, a.overSlots:
		return a.inUse
	case peak == 0, !a.heardAt.IsZero() && a.slotsLeft == 0:
		return now
	}
	return max(now, peak) + 1 + int(a.rate.requests*flushEvery.Seconds())
}

// empty reports whether nothing is held, so that no message is due.
func (a *account) empty() bool {
	return a.slots == 0 && a.inUse == 0 && len(a.waiting) == 0 && a.held() == plan.Amount{} && a.reserved == plan.Amount{}
}
