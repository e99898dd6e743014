// Package quota is the router's side of the allowances. It holds grants of the
// control group's ledger and reserves them for requests without a message per
// request.
//
// Load pattern: thousands of requests a second, most of them from a few hot
// workspaces that send to many VMs at once. With a commit per request the control
// group would process every request of the system. With a fixed share per VM a
// hot workspace could not use what it paid for. Grants therefore cover the
// expected use of the next two seconds. They are requested before they are needed
// and returned when use falls, in one message per VM for all its workspaces.
//
// Safety does not depend on this VM's clock: each grant belongs to a window of the
// ledger, which counts it as used until it is returned.
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
	prefetchPeriod      = 2 * time.Second // covers several commits and a change of leader
	measureInterval     = time.Second
	rateWeight          = 0.5                    // weight of the newest period
	reportInterval      = time.Second            // between reports of a changed account
	heartbeatInterval   = 3 * time.Second        // between reports of an unchanged account; a tenth of plan.DeadAfterMS
	idleAfter           = 30 * time.Second       // a workspace without requests for this long holds no grants
	minPrefetchInterval = 100 * time.Millisecond // between prefetches of an account
	denialTTL           = 500 * time.Millisecond // a refusal by the ledger is repeated to callers without a new message
	retryDelay          = time.Second            // after which other VMs may have returned grants
	scarceDivisor       = 20                     // less than 5% of the allowance left: only the measured rate is prefetched
	maxWaiting          = 1024                   // requests of one workspace waiting for a grant
	maxAccounts         = 10_000

	// maxConfirmAge bounds the age of the last confirmation by the group. It is a
	// third of plan.DeadAfterMS. A VM that the group may have declared dead admits
	// no requests, since its concurrency may have been granted to another VM.
	maxConfirmAge = deadAfter / 3
	deadAfter     = plan.DeadAfterMS * time.Millisecond
)

// Request describes a request for which grants are to be reserved.
type Request struct {
	ID        string // unique in the workspace; a running request is reserved only once
	Workspace string
	Allowance plan.Allowance
	Tokens    int64 // upper bound of its use
}

// Ticket is a request's reservation, or its place in the queue for one.
type Ticket struct {
	id          string
	account     *account
	cost        plan.Amount
	window      uint64
	incarnation int // Core.incarnations when it was reserved
	granted     bool
	settled     bool
	requested   bool // was waiting when a message was sent
	err         error
	done        chan struct{} // closed once granted or refused
}

// Core is the state of a router's grants. It is pure: time is an argument. It is
// not safe for concurrent use.
type Core struct {
	vm, process  string // names of the VM and of its router process; parts of the incarnation
	incarnations int    // number of earlier incarnations, which the group declared dead
	seq          uint64
	inflight     *plan.Sync
	sentAt       time.Time
	confirmedAt  time.Time // send time of the last message that the group answered
	urgent       bool
	accounts     map[string]*account
	tickets      map[string]*Ticket
	Counts       Counts
}

// Counts are totals since the Core was created. Overruns counts requests that used
// more tokens than they had reserved.
type Counts struct {
	Reserved, Refused, Messages, LostIncarnations, Overruns int64
}

// NewCore returns the state of a VM that holds no grants. process names the router
// process and is part of the incarnation that the ledger sees.
func NewCore(vm, process string) *Core {
	return &Core{vm: vm, process: process, accounts: map[string]*account{}, tickets: map[string]*Ticket{}}
}

// Reserve reserves the cost of a request, refuses it with a coded error, or queues
// it for the next grant. The ticket's done channel is closed when the request is
// decided. Reserving the same request again while it waits or runs returns the same
// ticket, and it is charged once.
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
	t := &Ticket{id: key, account: a, cost: plan.Amount{Tokens: r.Tokens, Requests: 1}, done: make(chan struct{})}
	if c.confirmedAlive(now) && len(a.waiting) == 0 && a.fits(now, t.cost) {
		c.admit(t, now)
		return t, nil
	}
	if now.Sub(a.grantedAt) < denialTTL {
		if err := a.denial(now, t); err != nil {
			c.Counts.Refused++
			return nil, err
		}
	}
	if len(a.waiting) >= maxWaiting {
		c.Counts.Refused++
		return nil, result.New(result.WorkspaceBacklog).WithRetryAfter(retryDelay)
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
			return nil, result.New(result.QueueFull).WithRetryAfter(retryDelay)
		}
		a = &account{workspace: r.Workspace}
		c.accounts[r.Workspace] = a
	}
	if a.setLimit(r.Allowance) {
		c.urgent = true
	}
	return a, nil
}

// confirmedAlive reports whether the group certainly counts this incarnation as
// alive.
func (c *Core) confirmedAlive(now time.Time) bool { return now.Sub(c.confirmedAt) < maxConfirmAge }

func (c *Core) admit(t *Ticket, now time.Time) {
	t.account.reserve(t, now)
	t.incarnation, t.granted = c.incarnations, true
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

// denial returns the error for a request that the ledger cannot grant now, judged by
// its last grant. It returns nil if the ledger may be able to grant the request.
func (a *account) denial(now time.Time, t *Ticket) error {
	have := a.available(now).Plus(a.left)
	untilEnd := max(a.windowEnd.Sub(now), time.Millisecond)
	// Running requests may use less than they reserved. If that could suffice, a
	// retry before the end of the window can succeed.
	wait := untilEnd
	if t.cost.Within(have.Plus(a.outstanding)) {
		wait = min(retryDelay, untilEnd)
	}
	switch {
	case t.cost.Tokens > have.Tokens:
		return result.New(result.TokensExhausted).WithRetryAfter(wait)
	case t.cost.Requests > have.Requests:
		return result.New(result.RequestsExhausted).WithRetryAfter(wait)
	case a.overSlots, a.inUse >= a.slots+a.slotsLeft:
		return result.New(result.ConcurrencyLimit).WithRetryAfter(retryDelay)
	}
	return nil
}

// Settle ends a reservation with the tokens that were used; only the first call
// counts. If ran is false, nothing was placed on a backend server and the whole
// reservation is released. A ticket that still waits is removed from the queue.
func (c *Core) Settle(t *Ticket, ran bool, tokens int64) {
	if t.settled {
		return
	}
	t.settled = true
	if !t.granted {
		c.dequeue(t)
		return
	}
	delete(c.tickets, t.id)
	a := t.account
	a.inUse--
	a.changed = true
	if t.incarnation != c.incarnations || t.window != a.window {
		return // charged to a window or an incarnation that has ended
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

// dequeue removes a request that no longer waits from the queue.
func (c *Core) dequeue(t *Ticket) {
	t.account.waiting = slices.DeleteFunc(t.account.waiting, func(w *Ticket) bool { return w == t })
	delete(c.tickets, t.id)
}

// Recall applies the allowances in force. Workspaces whose allowance was lowered or
// removed return what is not in use with the next message.
func (c *Core) Recall(lookup func(workspace string) (plan.Allowance, bool)) {
	for _, a := range c.accounts {
		limit, _ := lookup(a.workspace)
		if a.setLimit(limit) {
			c.urgent = true
		}
	}
}

// Urgent reports whether a message should be sent now rather than at the next tick,
// because a request waits or grants were recalled. Prefetches wait for the tick:
// half of the prefetch lasts longer than a tick, and one message then covers all
// workspaces.
func (c *Core) Urgent() bool { return c.urgent && c.inflight == nil }

// Next returns the message to send, if one is due. While a message is unanswered,
// Next returns that message again, unchanged; the ledger applies it only once.
func (c *Core) Next(now time.Time) (*plan.Sync, bool) {
	if c.inflight != nil {
		return c.inflight, true
	}
	c.urgent = false
	if c.seq > 0 && now.Sub(c.confirmedAt) > deadAfter && c.idle() {
		c.startIncarnation() // the group has declared this incarnation dead, or is about to
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

func (c *Core) incarnation() string { return fmt.Sprintf("%s.%s.%d", c.vm, c.process, c.incarnations) }

func (c *Core) due(a *account, now time.Time) bool {
	since := now.Sub(a.reportedAt)
	switch {
	case len(a.waiting) > 0, a.recall:
		return true
	case a.changed:
		return since >= reportInterval || a.belowPrefetch(now)
	case a.empty():
		if since > idleAfter {
			delete(c.accounts, a.workspace)
		}
		return false
	}
	return since >= heartbeatInterval
}

// ApplyReply applies the reply to the message in flight, and admits or refuses
// waiting requests. It ignores replies to other messages.
func (c *Core) ApplyReply(now time.Time, r plan.SyncReply) {
	if c.inflight == nil || r.Seq != c.inflight.Seq {
		return
	}
	sent := c.sentAt
	c.inflight = nil
	if r.Status != plan.SyncOK {
		c.Counts.LostIncarnations++
		c.startIncarnation()
		return
	}
	c.confirmedAt = sent
	for _, g := range r.Accounts {
		if a := c.accounts[g.Workspace]; a != nil {
			a.apply(sent, now, g)
			c.serveWaiting(a, now)
		}
	}
}

// idle reports whether no account holds grants.
func (c *Core) idle() bool {
	for _, a := range c.accounts {
		if a.slots > 0 || a.inUse > 0 || a.idle() != (plan.Amount{}) || a.reserved != (plan.Amount{}) {
			return false
		}
	}
	return true
}

// startIncarnation continues as a new incarnation. The group has declared the old
// one dead, and its grants are lost. Running requests stay charged to the old one.
func (c *Core) startIncarnation() {
	c.incarnations++
	c.seq = 0
	for _, a := range c.accounts {
		a.dropWindow()
		a.slots, a.changed = 0, true
	}
}

// apply applies a grant. The end of the window is computed from the send time of the
// message. The group read its clock later, so the result is never too late.
func (a *account) apply(sent, now time.Time, g plan.AccountGrant) {
	if g.Window != a.window {
		a.dropWindow()
		a.window, a.spent, a.returned = g.Window, g.Spent, g.Returned
	}
	a.granted = g.Granted
	a.windowEnd = sent.Add(time.Duration(g.RemainingMS) * time.Millisecond)
	a.slots, a.slotsLeft = g.Slots, g.SlotsLeft
	a.left, a.outstanding, a.grantedAt = g.Left, g.Outstanding, now
	a.overTokens, a.overRequests, a.overSlots = g.OverTokens, g.OverRequests, g.OverSlots
}

// serveWaiting admits waiting requests in order. It refuses requests that were part
// of the message and for which the ledger has nothing left, since waiting would
// not help them.
func (c *Core) serveWaiting(a *account, now time.Time) {
	var rest []*Ticket
	for _, t := range a.waiting {
		switch {
		case c.confirmedAlive(now) && a.fits(now, t.cost):
			c.admit(t, now)
		case t.requested && a.denial(now, t) != nil:
			c.refuse(t, a.denial(now, t))
		default:
			rest = append(rest, t)
		}
	}
	a.waiting = rest
	c.urgent = c.urgent || len(rest) > 0
}
