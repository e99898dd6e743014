// Package quota is the router's side of the allowances: it holds grants of the
// group's ledger and hands them out to requests without a message each.
//
// Load pattern: thousands of requests a second, most of them from a few hot
// workspaces that call on many VMs at once. With a commit per request the
// control group would carry every request of the system; with a share fixed per
// VM a hot workspace could not use what it paid for. Grants are held for the
// use of the next two seconds, asked for ahead of need and given back when use
// falls, in one message a VM for all its workspaces.
//
// Safety does not rest on this package's clock: each grant belongs to a window
// of the ledger, which counts it as used until it is given back.
package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Timings and bounds.
const (
	holdAhead     = 2 * time.Second // covers several commits, also over a change of leader
	measureEvery  = time.Second
	rateWeight    = 0.5                    // of the newest period
	flushEvery    = time.Second            // reports of changed accounts
	heartbeat     = 3 * time.Second        // of unchanged ones; a tenth of plan.DeadAfterMS
	quietAfter    = 30 * time.Second       // a workspace without requests holds nothing
	askEvery      = 100 * time.Millisecond // asking ahead of need, at most
	denyFor       = 500 * time.Millisecond // a refusal by the ledger stands this long without asking again
	retrySoon     = time.Second            // when others may have given something back
	scarceDivisor = 20                     // left below 5% of the allowance: near the window's end
	maxWaiting    = 1024                   // requests of one workspace that wait for a grant
	maxAccounts   = 10_000

	// confirmLimit is a third of plan.DeadAfterMS: a VM that the group may have
	// declared dead admits nothing, since its concurrency may be another's.
	confirmLimit = deadAfter / 3
	deadAfter    = plan.DeadAfterMS * time.Millisecond
)

// Request is what is to be reserved.
type Request struct {
	ID        string // unique in the workspace; reserved once while it runs
	Workspace string
	Allowance plan.Allowance
	Tokens    int64 // the most it may use
}

// Ticket is a request's reservation, or its place among those that wait for one.
type Ticket struct {
	id      string
	acct    *account
	cost    plan.Amount
	window  uint64
	life    int // of the Core's incarnation when it was reserved
	held    bool
	settled bool
	asked   bool // was part of the last message
	err     error
	done    chan struct{} // closed once held or refused
}

// Core is the pure state of a router's grants. It is not safe for concurrent
// use; time is an argument.
type Core struct {
	vm, base  string
	life      int // incarnations used up: the group declared them dead
	seq       uint64
	inflight  *plan.Sync
	sentAt    time.Time
	confirmed time.Time // the group has seen this VM after this time
	urgent    bool
	accounts  map[string]*account
	tickets   map[string]*Ticket
	Counts    Counts
}

// Counts are what happened so far.
type Counts struct {
	Reserved, Refused, Messages, LostIncarnations, Overruns int64
}

// NewCore returns the state of a VM's incarnation that holds nothing.
func NewCore(vm, incarnation string) *Core {
	return &Core{vm: vm, base: incarnation, accounts: map[string]*account{}, tickets: map[string]*Ticket{}}
}

// Reserve reserves a request, refuses it, or queues it for the next grant; done
// of the ticket tells when it is decided. The same request reserved again while
// it runs is the same ticket: it is charged once.
func (c *Core) Reserve(now time.Time, r Request) (*Ticket, error) {
	key := r.Workspace + "/" + r.ID
	if t := c.tickets[key]; t != nil {
		return t, nil
	}
	if r.Tokens > r.Allowance.TokensPerWindow {
		c.Counts.Refused++
		return nil, result.Newf(result.RequestTooCostly, "the request may use %d tokens; the plan has %d a window", r.Tokens, r.Allowance.TokensPerWindow)
	}
	a, err := c.account(r)
	if err != nil {
		return nil, err
	}
	t := &Ticket{id: key, acct: a, cost: plan.Amount{Tokens: r.Tokens, Requests: 1}, done: make(chan struct{})}
	if c.fresh(now) && len(a.waiting) == 0 && a.fits(now, t.cost) {
		c.hold(t, now)
		return t, nil
	}
	if now.Sub(a.heardAt) < denyFor {
		if err := a.denied(now, t); err != nil {
			c.Counts.Refused++
			return nil, err
		}
	}
	if len(a.waiting) >= maxWaiting {
		c.Counts.Refused++
		return nil, result.New(result.WorkspaceBacklog).WithRetryAfter(retrySoon)
	}
	c.urgent = true
	a.waiting = append(a.waiting, t)
	c.tickets[key] = t
	return t, nil
}

func (c *Core) account(r Request) (*account, error) {
	a := c.accounts[r.Workspace]
	if a == nil {
		if len(c.accounts) >= maxAccounts {
			return nil, result.New(result.QueueFull).WithRetryAfter(retrySoon)
		}
		a = &account{workspace: r.Workspace}
		c.accounts[r.Workspace] = a
	}
	if a.setLimit(r.Allowance) {
		c.urgent = true
	}
	return a, nil
}

// fresh reports whether the group surely counts this incarnation as alive.
func (c *Core) fresh(now time.Time) bool { return now.Sub(c.confirmed) < confirmLimit }

func (c *Core) hold(t *Ticket, now time.Time) {
	t.acct.take(t, now)
	t.life, t.held = c.life, true
	c.tickets[t.id] = t
	c.Counts.Reserved++
	close(t.done)
}

func (c *Core) refuse(t *Ticket, err error) {
	t.err = err
	delete(c.tickets, t.id)
	c.Counts.Refused++
	close(t.done)
}

// denied says why a request cannot have a grant, by what the ledger last told.
func (a *account) denied(now time.Time, t *Ticket) error {
	have := a.available(now).Plus(a.left)
	untilEnd := max(a.endsAt.Sub(now), time.Millisecond)
	// Requests that run may use less than they reserved; where that could be
	// enough it is worth asking again before the window ends.
	wait := untilEnd
	if t.cost.Within(have.Plus(a.outstanding)) {
		wait = min(retrySoon, untilEnd)
	}
	switch {
	case t.cost.Tokens > have.Tokens:
		return result.New(result.TokensExhausted).WithRetryAfter(wait)
	case t.cost.Requests > have.Requests:
		return result.New(result.RequestsExhausted).WithRetryAfter(wait)
	case a.overSlots, a.inUse >= a.slots+a.slotsLeft:
		return result.New(result.ConcurrencyLimit).WithRetryAfter(retrySoon)
	}
	return nil
}

// Settle ends a reservation; only the first call counts. ran false gives all of
// it back: nothing was placed on a backend server.
func (c *Core) Settle(t *Ticket, ran bool, tokens int64) {
	if t.settled {
		return
	}
	t.settled = true
	if !t.held {
		c.abandon(t)
		return
	}
	delete(c.tickets, t.id)
	a := t.acct
	a.inUse--
	a.changed = true
	if t.life != c.life || t.window != a.window {
		return // charged to a window, or an incarnation, that has ended
	}
	a.reserved = a.reserved.Minus(t.cost)
	if !ran {
		return
	}
	if tokens > t.cost.Tokens {
		c.Counts.Overruns++
	}
	a.spent = a.spent.Plus(plan.Amount{Tokens: min(max(tokens, 0), t.cost.Tokens), Requests: 1})
}

// abandon takes a request that no longer waits out of the queue.
func (c *Core) abandon(t *Ticket) {
	t.acct.waiting = slices.DeleteFunc(t.acct.waiting, func(w *Ticket) bool { return w == t })
	delete(c.tickets, t.id)
}

// Recall marks workspaces whose allowance was lowered or taken away: what is
// not in use goes back with the next message.
func (c *Core) Recall(lookup func(workspace string) (plan.Allowance, bool)) {
	for _, a := range c.accounts {
		limit, _ := lookup(a.workspace)
		if a.setLimit(limit) {
			c.urgent = true
		}
	}
}

// Urgent reports whether a message should leave now rather than at the next
// tick: somebody waits, or grants were recalled. Grants that run low wait for the
// tick: half of what is held ahead lasts longer, and one message then asks for
// all workspaces.
func (c *Core) Urgent() bool { return c.urgent && c.inflight == nil }

// Next returns the message to send, if one is due. While a message is
// unanswered it is returned again, unchanged: its repetition is harmless.
func (c *Core) Next(now time.Time) (*plan.Sync, bool) {
	if c.inflight != nil {
		return c.inflight, true
	}
	c.urgent = false
	if c.seq > 0 && now.Sub(c.confirmed) > deadAfter && c.idle() {
		c.renew() // the group has forgotten this incarnation, or is about to
	}
	s := &plan.Sync{VM: c.vm, Incarnation: c.incarnation(), Seq: c.seq + 1}
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a := c.accounts[name]
		if c.due(a, now) {
			s.Accounts = append(s.Accounts, a.report(now))
		}
	}
	if len(s.Accounts) == 0 {
		return nil, false
	}
	c.seq++
	c.inflight, c.sentAt = s, now
	c.Counts.Messages++
	return s, true
}

func (c *Core) incarnation() string { return fmt.Sprintf("%s.%s.%d", c.vm, c.base, c.life) }

func (c *Core) due(a *account, now time.Time) bool {
	since := now.Sub(a.askedAt)
	switch {
	case len(a.waiting) > 0, a.recall:
		return true
	case a.changed:
		return since >= flushEvery || a.low(now)
	case a.empty():
		if since > quietAfter {
			delete(c.accounts, a.workspace)
		}
		return false
	}
	return since >= heartbeat
}

// Take applies the reply to the message in flight and decides who waited.
func (c *Core) ApplyReply(now time.Time, r plan.SyncReply) {
	if c.inflight == nil || r.Seq != c.inflight.Seq {
		return
	}
	sent := c.sentAt
	c.inflight = nil
	if r.Status != plan.SyncOK {
		c.Counts.LostIncarnations++
		c.renew()
		return
	}
	c.confirmed = sent
	for _, g := range r.Accounts {
		if a := c.accounts[g.Workspace]; a != nil {
			a.apply(sent, now, g)
			c.decide(a, now)
		}
	}
}

// idle reports whether nothing is held of any account.
func (c *Core) idle() bool {
	for _, a := range c.accounts {
		if a.slots > 0 || a.inUse > 0 || a.held() != (plan.Amount{}) || a.reserved != (plan.Amount{}) {
			return false
		}
	}
	return true
}

// renew goes on as a new incarnation: the group has given this one up, and what
// it held is gone. Running requests stay charged to the old one.
func (c *Core) renew() {
	c.life++
	c.seq = 0
	for _, a := range c.accounts {
		a.lapse()
		a.slots, a.changed = 0, true
	}
}

// apply takes a grant. The window's end is counted from when the message was
// sent: the group stamped it later, so this VM stops early rather than late.
func (a *account) apply(sent, now time.Time, g plan.AccountGrant) {
	if g.Window != a.window {
		a.lapse()
		a.window, a.spent, a.returned = g.Window, g.Spent, g.Returned
	}
	a.granted = g.Granted
	a.endsAt = sent.Add(time.Duration(g.RemainingMS) * time.Millisecond)
	a.slots, a.slotsLeft = g.Slots, g.SlotsLeft
	a.left, a.outstanding, a.heardAt = g.Left, g.Outstanding, now
	a.overTokens, a.overRequests, a.overSlots = g.OverTokens, g.OverRequests, g.OverSlots
}

// decide hands grants to those that wait, in order, and refuses at once those
// that were asked for and got nothing: they can do better than wait.
func (c *Core) decide(a *account, now time.Time) {
	var rest []*Ticket
	for _, t := range a.waiting {
		switch {
		case c.fresh(now) && a.fits(now, t.cost):
			c.hold(t, now)
		case t.asked && a.denied(now, t) != nil:
			c.refuse(t, a.denied(now, t))
		default:
			rest = append(rest, t)
		}
	}
	a.waiting = rest
	c.urgent = c.urgent || len(rest) > 0
}
