package forward

import (
	"sync"
	"time"
)

// The load pattern of the retry budget: a zone's engines die, or a service is
// full, and every request there is sent once more, by every VM at once. Without a
// common bound the second sends fill what is left, which refuses in turn, and the
// overload outlives its cause. Each VM may send again a share of the requests that
// it saw itself, and its part of a fixed allowance for a sudden loss in quiet
// times.

// Allowance is the bound on second sends to a service over all VMs.
type Allowance struct {
	Ratio  float64 // of the requests within Window
	Slack  float64 // sends within Window, over all VMs
	Window time.Duration
}

// DefaultAllowance is for deployments that state none: a fifth, as retry budgets
// commonly have it.
var DefaultAllowance = Allowance{Ratio: 0.2, Slack: 30, Window: 10 * time.Second}

const (
	budgetSlots = 10
	// budgetShare of the allowance is used: VMs count in windows of their own, and
	// one may start anew and forget what it sent.
	budgetShare = 0.75
)

// Budget counts requests and second sends to one service. Safe for concurrent
// use.
type Budget struct {
	a     Allowance
	now   func() time.Time
	start time.Time // slots count from here, on the monotonic clock

	mu       sync.Mutex
	vms      int
	slot     int64
	requests [budgetSlots + 1]int
	repeats  [budgetSlots + 1]int
}

// NewBudget returns a Budget for one of one VMs.
func NewBudget(a Allowance, now func() time.Time) *Budget {
	return &Budget{a: a, now: now, start: now(), vms: 1}
}

// SetVMs says how many VMs share the allowance.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, n)
}

// Request notes a caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.turn()]++
}

// Spend takes one second send, if there is one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.turn()
	requests, repeats := 0, 0
	for k := range b.requests {
		requests += b.requests[k]
		repeats += b.repeats[k]
	}
	limit := budgetShare * (b.a.Ratio*float64(requests) + b.a.Slack/float64(b.vms))
	if float64(repeats+1) > limit {
		return false
	}
	b.repeats[i]++
	return true
}

// turn clears the slots that have left the window and returns the present one.
func (b *Budget) turn() int {
	width := b.a.Window / budgetSlots
	slot := int64(b.now().Sub(b.start) / width)
	for s := max(b.slot+1, slot-budgetSlots); s <= slot; s++ {
		b.requests[s%(budgetSlots+1)], b.repeats[s%(budgetSlots+1)] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % (budgetSlots + 1))
}
