package forward

import (
	"slices"
	"sync"
	"time"
)

// The load pattern of the retry budget: a zone's engines die, or a service is
// full, and every request there is sent once more, by every VM at once. Without a
// common bound the second sends fill what is left, which refuses in turn, and the
// overload outlives its cause.
//
// The allowance is one over all VMs. Split evenly it would fail the VM that has
// the most to mend: the streams of a lost zone, and the callers of dead routers,
// do not come evenly. So VMs tell one another of each second send as they make it,
// and each spends from what is left. What the others may have spent since they told
// is taken to be what this VM spent itself meanwhile: they see the same loss.
//
// That guess must cover the time that news takes, and no more. Taken over a second or
// two it counts twice what the others have told since: among dozens of VMs one that
// sent three streams again takes it that the others sent hundreds, and breaks its next
// one off while much of the allowance is left.
//
// What is left last goes where it saves most. A stream in mid-answer with a copy goes
// on within its pause, and a caller never sees the loss. One whose prompt must be read
// anew is late whoever sends it again; its caller's own retry, which draws on nothing,
// does as well. Served in the order of losses, a budget that lasts for two zones of
// three breaks off as many of the first as of the second.
//
// Where only the guess forbids a send, the VM asks: a zone's engines die within one
// millisecond, and where VMs lose two streams each some lose seven. Some tens of
// milliseconds later what the others sent is known, and nothing is left to guess.

// Allowance is the bound on second sends to a service over all VMs.
type RetryAllowance struct {
	Ratio  float64 // of the requests within Window
	Slack  float64 // sends within Window
	Window time.Duration
}

// DefaultAllowance is for deployments that state none: a fifth, as retry budgets
// commonly have it.
var DefaultRetryAllowance = RetryAllowance{Ratio: 0.2, Slack: 30, Window: 10 * time.Second}

// Spent is what a VM saw and sent again within the window.
type RetryUsage struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Retries  int `cbor:"2,keyasint,omitempty"`
}

const (
	// budgetSlots of the window are counted one by one. The count takes in the whole
	// slot that the window begins in: with fifty it is two in a hundred too long.
	budgetSlots = 50
	// budgetShare of the allowance is used: VMs count in windows of their own, a control
	// VM that starts anew knows what was told since, and many spend at once.
	budgetShare = 0.85
	// lateShare of that is all that sends of the second kind get. Of the streams that
	// are lost with a zone, a fifth to a quarter are of that kind.
	lateShare = 0.5
	// toldFor is how long the others' word counts. Beyond it they are taken to have
	// seen and spent as much as this VM.
	toldFor = 2 * time.Second
	// newsAge is how old the others' word may be when it comes: a message to a
	// control VM and the answer to the next one, each some milliseconds, and the one
	// that was under way before.
	newsAge = 30 * time.Millisecond
)

// Budget counts requests and second sends to one service. Safe for concurrent
// use.
type Budget struct {
	a     RetryAllowance
	now   func() time.Time
	start time.Time // slots count from here, on the monotonic clock

	mu     sync.Mutex
	vms    int
	others RetryUsage
	told   time.Time
	sends  []time.Time // second sends of the last toldFor, oldest first
	slot   int64
	slots  [budgetSlots + 1]RetryUsage
}

// NewBudget returns a Budget for one of one VMs.
func NewBudget(a RetryAllowance, now func() time.Time) *Budget {
	return &Budget{a: a, now: now, start: now(), vms: 1}
}

// SetVMs says how many VMs share the allowance.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, n)
}

// SetOthers takes what the other VMs together saw and sent.
func (b *Budget) SetPeerUsage(s RetryUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.told = s, b.now()
}

// Request notes a caller's request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots[b.turn()].Requests++
}

// Own is what this VM saw and sent within the window.
func (b *Budget) OwnUsage() RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	return b.sum()
}

// Grant is what Spend says.
type Grant uint8

// Grants.
const (
	Denied    Grant = iota // the allowance is spent
	Granted                // one second send is taken from it
	Uncertain              // news of the others may show that something is left
)

// Urgency is what a second send saves.
type Urgency uint8

// Urgencies.
const (
	InTime Urgency = iota // the caller can still be served as if nothing had happened
	Late                  // it will be late, or was not served so far
)

// Spend takes one second send, if there is one left for its kind.
func (b *Budget) Spend(u Urgency) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.turn()
	limit, known, guess := b.limit(), b.known(), b.guess()
	if u == Late {
		limit *= lateShare
	}
	switch {
	case float64(known+guess+1) <= limit:
		b.slots[i].Retries++
		b.sends = append(b.sends, b.now())
		return Granted
	case b.knowsOthers() && float64(known+1) <= limit:
		return Uncertain
	}
	return Denied
}

// limit needs b.mu.
func (b *Budget) limit() float64 {
	requests := b.sum().Requests
	if b.knowsOthers() {
		requests += b.others.Requests
	} else {
		requests *= b.vms
	}
	return budgetShare * (b.a.Ratio*float64(requests) + b.a.Slack)
}

// known is what this VM spent and the others told. It needs b.mu.
func (b *Budget) known() int {
	own := b.sum().Retries
	if b.knowsOthers() {
		own += b.others.Retries
	}
	return own
}

// guess is what the others may have spent beside what they told. It needs b.mu.
func (b *Budget) guess() int {
	if b.knowsOthers() {
		return (b.vms - 1) * b.recent()
	}
	return (b.vms - 1) * b.sum().Retries
}

func (b *Budget) knowsOthers() bool { return !b.told.IsZero() && b.now().Sub(b.told) < toldFor }

// recent is what this VM spent since what the others told.
func (b *Budget) recent() int {
	b.sends = slices.DeleteFunc(b.sends, func(at time.Time) bool { return b.now().Sub(at) > toldFor+newsAge })
	n, from := 0, b.told.Add(-newsAge)
	for _, at := range b.sends {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

func (b *Budget) sum() RetryUsage {
	var s RetryUsage
	for _, slot := range b.slots {
		s.Requests += slot.Requests
		s.Retries += slot.Retries
	}
	return s
}

// turn clears the slots that have left the window and returns the present one.
func (b *Budget) turn() int {
	n := int64(len(b.slots))
	slot := int64(b.now().Sub(b.start) / (b.a.Window / budgetSlots))
	for s := max(b.slot+1, slot-n+1); s <= slot; s++ {
		b.slots[s%n] = RetryUsage{}
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % n)
}
