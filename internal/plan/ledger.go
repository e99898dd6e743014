package plan

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// When a router's incarnation is declared dead, and when the concurrency it held
// may be given to others. A router syncs every few seconds while it holds
// anything. Its running answers may go on for a while after the group has lost
// sight of it: the delay lets a dead VM's engines notice their broken
// connections (seconds) and a paused VM come back. Tokens need no delay: a dead
// incarnation's grants count as spent until the window's end.
const (
	DeadAfterMS        = 30_000
	SlotReleaseDelayMS = 30_000
	activeMS           = 10_000 // a VM that named an account within this time counts as asking
	sweepMS            = 1_000
)

// holding is what one incarnation holds of an account.
type holding struct {
	Granted  Amount `cbor:"1,keyasint"`
	Returned Amount `cbor:"2,keyasint"`
	Spent    Amount `cbor:"3,keyasint"`
	Slots    int    `cbor:"4,keyasint"`
	SeenMS   int64  `cbor:"5,keyasint"`
}

func (h *holding) outstanding() Amount { return h.Granted.Minus(h.Returned).Minus(h.Spent) }

// account is one workspace's allowance in its present window.
type account struct {
	Window    uint64              `cbor:"1,keyasint"`
	EndMS     int64               `cbor:"2,keyasint"`
	LengthMS  int64               `cbor:"3,keyasint"`
	Carried   Amount              `cbor:"4,keyasint"` // committed before the window's length changed
	Committed Amount              `cbor:"5,keyasint"` // Carried, and granted - returned of each holding
	Slots     int                 `cbor:"6,keyasint"`
	Holdings  map[string]*holding `cbor:"7,keyasint"` // by incarnation
	Broken    bool                `cbor:"8,keyasint,omitempty"`
}

// incarnation is a router process as the ledger knows it.
type incarnation struct {
	VM     string `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Reply  []byte `cbor:"3,keyasint"`
	SeenMS int64  `cbor:"4,keyasint"`
	DeadMS int64  `cbor:"5,keyasint,omitempty"` // when it was declared dead
}

// Ledger is the replicated state of what is spent and granted of each
// workspace's allowance (control.PartLedger). The allowance of a plan holds for
// each workspace that bought it, not for all of them together.
//
// Invariant, checked at every step: spent + outstanding <= allowance in each
// window, and slots held <= concurrency. After an allowance was lowered the sum
// may stand above it, and then only falls.
type Ledger struct {
	book         *Registry
	onBroken     func(error)
	accounts     map[string]*account
	incarnations map[string]*incarnation
	windows      uint64 // windows opened so far
	sweptMS      int64
}

// InvariantError reports a broken invariant of the ledger.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "plan: invariant broken: " + e.What }

// NewLedger returns an empty ledger over the lists. onBroken is told of broken
// invariants; the account concerned gets no more grants.
func NewLedger(book *Registry, onBroken func(error)) *Ledger {
	return &Ledger{book: book, onBroken: onBroken, accounts: map[string]*account{}, incarnations: map[string]*incarnation{}}
}

// Apply implements control.Part.
func (l *Ledger) Apply(nowMS int64, data []byte) []byte {
	var s Sync
	if err := cbor.Unmarshal(data, &s); err != nil {
		return encode(SyncReply{Status: SyncRefused, Message: err.Error()})
	}
	return l.Do(nowMS, s)
}

// Do takes a router's message and returns the encoded SyncReply.
func (l *Ledger) Do(nowMS int64, s Sync) []byte {
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
		grant, err := l.settle(nowMS, s.Incarnation, a)
		if err != nil {
			reply.Status, reply.Message = SyncRefused, err.Error()
			l.onBroken(err)
		}
		reply.Accounts = append(reply.Accounts, grant)
	}
	inc.Seq, inc.SeenMS = s.Seq, nowMS
	inc.Reply = encode(reply)
	return inc.Reply
}

// admit finds the incarnation of a message. A new incarnation of a VM declares
// the earlier ones dead: they were the same machine.
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

// settle takes the report on one account, and grants.
func (l *Ledger) settle(nowMS int64, name string, s AccountSync) (AccountGrant, error) {
	limit, known := l.book.lookup(s.Workspace)
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
	err := a.check(committed.most(limit.Limit()), max(slots, limit.Concurrent))
	return a.describe(nowMS, s.Workspace, h, limit), err
}

// account returns a workspace's account in the window of nowMS; nil where the
// workspace is unknown and nothing of it is held.
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
		l.open(a, nowMS, length, Amount{})
	case known && length != a.LengthMS:
		// What is committed stays committed: else an operator who changes the
		// window's length would refill the allowance each time.
		l.open(a, nowMS, length, a.Committed)
	}
	return a
}

// open begins a window. Windows are aligned to the group's clock. What was
// granted in the window before was charged to it and lapses with it, also where
// the work still runs; concurrency goes on.
func (l *Ledger) open(a *account, nowMS, length int64, carried Amount) {
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

// report takes what a router says of its holding. A report on a window that has
// ended changes nothing: its grants have lapsed.
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
	heads := a.heads(nowMS)
	left := limit.Limit().Minus(a.Committed)
	if s.MinTokens > max(left.Tokens, 0) {
		// Part of a request's cost would lie idle with this VM, while a smaller
		// request elsewhere could use it.
		return
	}
	idle := h.outstanding().Minus(s.Reserved)
	g := Amount{
		Tokens:   size(limit.TokensPerWindow, left.Tokens, idle.Tokens, s.Need.Tokens, s.Want.Tokens, heads),
		Requests: size(limit.RequestsPerWindow, left.Requests, idle.Requests, s.Need.Requests, s.Want.Requests, heads),
	}
	h.Granted = h.Granted.Plus(g)
	a.Committed = a.Committed.Plus(g)
}

func (a *account) grantSlots(nowMS int64, h *holding, s AccountSync, limit Allowance) {
	free := int64(limit.Concurrent - a.Slots)
	need, want := int64(max(s.SlotsNeed-h.Slots, 0)), int64(max(s.SlotsWant-h.Slots, 0))
	slots := int(size(holdDivisor*free, free, 0, need, want, a.heads(nowMS)))
	h.Slots += slots
	a.Slots += slots
}

// heads counts the VMs that ask.
func (a *account) heads(nowMS int64) int {
	n := 0
	for _, h := range a.Holdings {
		if nowMS-h.SeenMS <= activeMS {
			n++
		}
	}
	return n
}

// check recounts the holdings against the sums and against what the step was
// allowed to reach.
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

func (a *account) describe(nowMS int64, workspace string, h *holding, limit Allowance) AccountGrant {
	return AccountGrant{
		Workspace: workspace, Window: a.Window, RemainingMS: max(a.EndMS-nowMS, 0),
		Granted: h.Granted, Spent: h.Spent, Returned: h.Returned, Left: limit.Limit().Minus(a.Committed).most(Amount{}),
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

// sweep declares silent incarnations dead, frees the concurrency of those dead
// for the safe delay, and forgets accounts with nothing in them.
func (l *Ledger) sweep(nowMS int64) {
	if nowMS-l.sweptMS < sweepMS {
		return
	}
	l.sweptMS = nowMS
	for name, inc := range l.incarnations {
		if inc.DeadMS == 0 && nowMS-inc.SeenMS > DeadAfterMS {
			inc.DeadMS = nowMS
		}
		if inc.DeadMS != 0 && nowMS-inc.DeadMS > SlotReleaseDelayMS {
			l.bury(name)
		}
	}
	for workspace, a := range l.accounts {
		if nowMS >= a.EndMS && a.Slots == 0 {
			delete(l.accounts, workspace)
		}
	}
}

func (l *Ledger) bury(name string) {
	delete(l.incarnations, name)
	for _, a := range l.accounts {
		if h := a.Holdings[name]; h != nil {
			a.Slots -= h.Slots
			h.Slots = 0
		}
	}
}
