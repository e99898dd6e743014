package plan

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Timeouts of a router's incarnation. DeadAfterMS is the silence after which an
// incarnation is declared dead; a router sends a Sync every few seconds while it
// holds grants. SlotReleaseDelayMS is the further delay until the concurrency that
// it held may be granted to other VMs. Its requests may still run after the group
// has lost contact: the engines of a dead VM take seconds to notice their broken
// connections, and a paused VM may come back. Tokens need no delay, since the grants
// of a dead incarnation count as spent until the window ends.
const (
	DeadAfterMS        = 30_000
	SlotReleaseDelayMS = 30_000
	activeHolderMS     = 10_000 // a VM that reported an account within this time counts as asking
	sweepIntervalMS    = 1_000
)

// holding is what one incarnation holds of an account in the current window.
type holding struct {
	Granted  Amount `cbor:"1,keyasint"`
	Returned Amount `cbor:"2,keyasint"`
	Spent    Amount `cbor:"3,keyasint"`
	Slots    int    `cbor:"4,keyasint"`
	SeenMS   int64  `cbor:"5,keyasint"`
}

func (h *holding) outstanding() Amount { return h.Granted.Minus(h.Returned).Minus(h.Spent) }

// account records how much of one workspace's allowance is granted in the current window,
// and to which incarnations of routers.
type account struct {
	Window    uint64              `cbor:"1,keyasint"`
	EndMS     int64               `cbor:"2,keyasint"`
	LengthMS  int64               `cbor:"3,keyasint"`
	Carried   Amount              `cbor:"4,keyasint"` // committed when the window length was last changed within the window
	Committed Amount              `cbor:"5,keyasint"` // Carried plus granted minus returned of each holding
	Slots     int                 `cbor:"6,keyasint"`
	Holdings  map[string]*holding `cbor:"7,keyasint"` // by incarnation
	// Broken is set when check finds that an invariant is violated. The account then gets
	// no more grants until its next window opens.
	Broken bool `cbor:"8,keyasint,omitempty"`
}

// incarnation is the ledger's record of a router process.
type incarnation struct {
	VM     string `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Reply  []byte `cbor:"3,keyasint"`
	SeenMS int64  `cbor:"4,keyasint"`
	DeadMS int64  `cbor:"5,keyasint,omitempty"` // time at which it was declared dead, or 0
}

// Ledger is the control group's replicated state machine for what is spent and
// granted of each workspace's allowance. The allowance of a plan applies to each
// workspace with that plan separately.
//
// Invariant, checked at every step: spent + outstanding <= allowance in each
// window, and slots held <= concurrency. After an allowance was lowered the sums
// may exceed it, and then only fall.
type Ledger struct {
	registry         *Registry
	onInvariantError func(error)
	accounts         map[string]*account
	incarnations     map[string]*incarnation
	windows          uint64 // number of windows opened
	lastSweepMS      int64
}

// InvariantError reports a violated invariant of the ledger, or a report that
// contradicts what was granted.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "plan: invariant broken: " + e.What }

// NewLedger returns an empty ledger for the allowances in the registry. It calls
// onInvariantError with each InvariantError. An account whose invariant is violated
// gets no more grants in its window.
func NewLedger(registry *Registry, onInvariantError func(error)) *Ledger {
	return &Ledger{registry: registry, onInvariantError: onInvariantError, accounts: map[string]*account{}, incarnations: map[string]*incarnation{}}
}

// Apply implements control.StateMachine. data is an encoded Sync, the result an
// encoded SyncReply.
func (l *Ledger) Apply(nowMS int64, data []byte) []byte {
	var s Sync
	if err := cbor.Unmarshal(data, &s); err != nil {
		return encode(SyncReply{Status: SyncRefused, Message: err.Error()})
	}
	return l.Execute(nowMS, s)
}

// Execute applies a router's message and returns the encoded SyncReply. A repeated
// message is not applied again and gets its first reply.
func (l *Ledger) Execute(nowMS int64, s Sync) []byte {
	l.sweep(nowMS)
	inc, status := l.admit(nowMS, s)
	if status != SyncOK {
		return encode(SyncReply{Status: status, Seq: s.Seq})
	}
	if s.Seq == inc.Seq {
		return inc.Reply
	}
	reply := SyncReply{Seq: s.Seq}
	for _, a := range s.Accounts {
		grant, err := l.syncAccount(nowMS, s.Incarnation, a)
		if err != nil {
			reply.Status, reply.Message = SyncRefused, err.Error()
			l.onInvariantError(err)
		}
		reply.Accounts = append(reply.Accounts, grant)
	}
	inc.Seq, inc.SeenMS = s.Seq, nowMS
	inc.Reply = encode(reply)
	return inc.Reply
}

// admit returns the incarnation of a message. A new incarnation of a VM declares the
// VM's earlier ones dead.
func (l *Ledger) admit(nowMS int64, s Sync) (*incarnation, SyncStatus) {
	inc := l.incarnations[s.Incarnation]
	switch {
	case inc == nil && s.Seq != 1:
		return nil, SyncDead
	case inc == nil:
		for _, other := range l.incarnations {
			if other.VM == s.VM && other.DeadMS == 0 {
				other.DeadMS = nowMS
			}
		}
		inc = &incarnation{VM: s.VM, SeenMS: nowMS}
		l.incarnations[s.Incarnation] = inc
	case inc.DeadMS != 0:
		return nil, SyncDead
	case s.Seq < inc.Seq:
		return nil, SyncStale
	}
	return inc, SyncOK
}

// syncAccount applies the report on one account and makes grants.
func (l *Ledger) syncAccount(nowMS int64, name string, s AccountSync) (AccountGrant, error) {
	limit, known := l.registry.lookup(s.Workspace)
	a := l.account(nowMS, s.Workspace, limit, known)
	if a == nil {
		return AccountGrant{Workspace: s.Workspace}, nil
	}
	h := a.Holdings[name]
	if h == nil {
		h = &holding{}
		a.Holdings[name] = h
	}
	h.SeenMS = nowMS
	if err := a.report(h, s); err != nil {
		return AccountGrant{Workspace: s.Workspace, Window: a.Window}, err
	}
	committed, slots := a.Committed, a.Slots
	if !a.Broken {
		a.grantSlots(nowMS, h, s, limit)
		a.grant(nowMS, h, s, limit)
	}
	err := a.check(committed.maximum(limit.Limit()), max(slots, limit.Concurrent))
	return a.grantReply(nowMS, s.Workspace, h, limit), err
}

// account returns a workspace's account in the window of nowMS, or nil if the
// workspace is unknown and has no account.
func (l *Ledger) account(nowMS int64, workspace string, limit Allowance, known bool) *account {
	a := l.accounts[workspace]
	if a == nil && !known {
		return nil
	}
	if a == nil {
		a = &account{Holdings: map[string]*holding{}}
		l.accounts[workspace] = a
	}
	length := limit.Window().Milliseconds()
	switch {
	case nowMS >= a.EndMS && known:
		l.openWindow(a, nowMS, length, Amount{})
	case known && length != a.LengthMS:
		// What is committed is carried over. Otherwise each change of the window
		// length would refill the allowance.
		l.openWindow(a, nowMS, length, a.Committed)
	}
	return a
}

// openWindow starts a window, aligned to the group's clock. Grants of the previous
// window were charged to it and expire with it, also those of requests that still
// run. Concurrency remains held across windows.
func (l *Ledger) openWindow(a *account, nowMS, length int64, carried Amount) {
	l.windows++
	a.Window, a.LengthMS, a.EndMS = l.windows, length, (nowMS/length+1)*length
	a.Carried, a.Committed = carried, carried
	a.Slots, a.Broken = 0, false
	for name, h := range a.Holdings {
		h.Granted, h.Returned, h.Spent = Amount{}, Amount{}, Amount{}
		a.Slots += h.Slots
		if h.Slots == 0 {
			delete(a.Holdings, name)
		}
	}
}

// report applies a router's report on its holding. Amounts of a window that has
// ended are ignored, since its grants have expired.
func (a *account) report(h *holding, s AccountSync) error {
	if keep := max(s.SlotsKeep, 0); keep < h.Slots {
		a.Slots -= h.Slots - keep
		h.Slots = keep
	}
	if s.Window != a.Window {
		return nil
	}
	grows := h.Returned.Within(s.Returned) && h.Spent.Within(s.Spent)
	bounded := s.Returned.Within(h.Granted) && s.Spent.Within(h.Granted)
	if !grows || !bounded || !s.Returned.Plus(s.Spent).Within(h.Granted) {
		return &InvariantError{fmt.Sprintf("%s reports spent %+v and returned %+v of granted %+v", s.Workspace, s.Spent, s.Returned, h.Granted)}
	}
	a.Committed = a.Committed.Minus(s.Returned.Minus(h.Returned))
	h.Returned, h.Spent = s.Returned, s.Spent
	return nil
}

func (a *account) grant(nowMS int64, h *holding, s AccountSync, limit Allowance) {
	holders := a.activeHolders(nowMS)
	left := limit.Limit().Minus(a.Committed)
	if s.MinTokens > max(left.Tokens, 0) {
		// A part of a request's cost would lie idle on this VM, while a smaller
		// request on another VM could use it.
		return
	}
	idle := h.outstanding().Minus(s.Reserved)
	g := Amount{
		Tokens:   grantSize(limit.TokensPerWindow, left.Tokens, idle.Tokens, s.Need.Tokens, s.Want.Tokens, holders),
		Requests: grantSize(limit.RequestsPerWindow, left.Requests, idle.Requests, s.Need.Requests, s.Want.Requests, holders),
	}
	h.Granted = h.Granted.Plus(g)
	a.Committed = a.Committed.Plus(g)
}

func (a *account) grantSlots(nowMS int64, h *holding, s AccountSync, limit Allowance) {
	free := int64(limit.Concurrent - a.Slots)
	need, want := int64(max(s.SlotsNeed-h.Slots, 0)), int64(max(s.SlotsWant-h.Slots, 0))
	slots := int(grantSize(idleDivisor*free, free, 0, need, want, a.activeHolders(nowMS)))
	h.Slots += slots
	a.Slots += slots
}

// activeHolders counts the incarnations that reported the account within
// activeHolderMS.
func (a *account) activeHolders(nowMS int64) int {
	n := 0
	for _, h := range a.Holdings {
		if nowMS-h.SeenMS <= activeHolderMS {
			n++
		}
	}
	return n
}

// check compares the sums of the holdings with the account's totals, and with the
// limits that the step had to keep.
func (a *account) check(limit Amount, slotLimit int) error {
	sum, slots := a.Carried, 0
	for name, h := range a.Holdings {
		out := h.outstanding()
		if out.Tokens < 0 || out.Requests < 0 || h.Slots < 0 {
			a.Broken = true
			return &InvariantError{fmt.Sprintf("%s holds %+v", name, *h)}
		}
		sum = sum.Plus(h.Granted.Minus(h.Returned))
		slots += h.Slots
	}
	if sum != a.Committed || slots != a.Slots {
		a.Broken = true
		return &InvariantError{fmt.Sprintf("committed %+v and %d slots, holdings are %+v and %d", a.Committed, a.Slots, sum, slots)}
	}
	if !sum.Within(limit) || slots > slotLimit {
		a.Broken = true
		return &InvariantError{fmt.Sprintf("committed %+v and %d slots above %+v and %d", sum, slots, limit, slotLimit)}
	}
	return nil
}

func (a *account) grantReply(nowMS int64, workspace string, h *holding, limit Allowance) AccountGrant {
	return AccountGrant{
		Workspace: workspace, Window: a.Window, RemainingMS: max(a.EndMS-nowMS, 0),
		Granted: h.Granted, Spent: h.Spent, Returned: h.Returned, Left: limit.Limit().Minus(a.Committed).maximum(Amount{}),
		Outstanding: a.outstanding(), Slots: h.Slots, SlotsLeft: max(limit.Concurrent-a.Slots, 0),
		OverTokens: a.Committed.Tokens > limit.TokensPerWindow, OverRequests: a.Committed.Requests > limit.RequestsPerWindow,
		OverSlots: a.Slots > limit.Concurrent,
	}
}

func (a *account) outstanding() Amount {
	var sum Amount
	for _, h := range a.Holdings {
		sum = sum.Plus(h.outstanding())
	}
	return sum
}

// sweep declares silent incarnations dead, releases the concurrency of those dead for
// longer than SlotReleaseDelayMS, and removes accounts that hold nothing.
func (l *Ledger) sweep(nowMS int64) {
	if nowMS-l.lastSweepMS < sweepIntervalMS {
		return
	}
	l.lastSweepMS = nowMS
	for name, inc := range l.incarnations {
		if inc.DeadMS == 0 && nowMS-inc.SeenMS > DeadAfterMS {
			inc.DeadMS = nowMS
		}
		if inc.DeadMS != 0 && nowMS-inc.DeadMS > SlotReleaseDelayMS {
			l.removeIncarnation(name)
		}
	}
	for workspace, a := range l.accounts {
		if nowMS >= a.EndMS && a.Slots == 0 {
			delete(l.accounts, workspace)
		}
	}
}

func (l *Ledger) removeIncarnation(name string) {
	delete(l.incarnations, name)
	for _, a := range l.accounts {
		if h := a.Holdings[name]; h != nil {
			a.Slots -= h.Slots
			h.Slots = 0
		}
	}
}
