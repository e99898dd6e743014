package forward

import (
	"slices"
	"sync"
	"time"
)

// The load pattern that the retry budget answers: a zone's engines die, or a service
// is full, and every VM sends every request there once more at the same time. Without
// a common bound the retries fill the remaining capacity, which then refuses requests
// in turn, and the overload outlasts its cause.
//
// One budget holds for all VMs together. Split evenly, it would fail the VM that needs
// the most retries, since neither the streams of a lost zone nor the callers of dead
// routers are spread evenly. VMs therefore report each retry to one another as they
// make it, and each takes from what is left. A VM assumes that the others have made as
// many retries since their last report as it has made itself, because they see the
// same loss.
//
// This estimate must cover the delay of the reports and no more. Over a second or two
// it counts retries twice that the others have reported since. Among dozens of VMs, one
// that resumed three streams would then assume that the others resumed hundreds, and
// would break off its next stream although much of the budget is left.
//
// The last part of the budget is reserved for the retries that save most. A stream in
// mid-answer that has a copy resumes within its pause objective, and its caller does
// not notice the loss. A stream whose prompt must be prefilled again is late in any
// case, and the retry of its caller, which draws on no budget, serves as well. If
// retries were granted in the order of losses, a budget that suffices for two of three
// zones would break off as many streams of the first kind as of the second.
//
// Where only the estimate forbids a retry, the VM asks for new reports. The engines of
// a zone die within one millisecond, and while most VMs lose two streams each, some
// lose seven. Some tens of milliseconds later the retries of the others are known, and
// nothing has to be estimated.

// RetryAllowance bounds the retries to a service over all VMs.
type RetryAllowance struct {
	Ratio  float64 // retries per request within Window
	Slack  float64 // retries within Window in addition to those of Ratio
	Window time.Duration
}

// DefaultRetryAllowance applies to deployments that configure none. A fifth of the
// requests is common for retry budgets.
var DefaultRetryAllowance = RetryAllowance{Ratio: 0.2, Slack: 30, Window: 10 * time.Second}

// RetryUsage counts what a VM received and sent again within the window.
type RetryUsage struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Retries  int `cbor:"2,keyasint,omitempty"`
}

const (
	// budgetSlots is the number of slots that the window is counted in. The count
	// includes all of the slot in which the window begins; with fifty slots it covers
	// 2 % too much.
	budgetSlots = 50
	// usableShare of the allowance is used. The rest covers that VMs count in windows of
	// their own, that a restarted control VM knows only the reports since its start, and
	// that many VMs retry at the same moment.
	usableShare = 0.85
	// lateRetryShare of the usable part is open to retries that are Late. Of the streams
	// that are lost with a zone, a fifth to a quarter are.
	lateRetryShare = 0.5
	// peerReportMaxAge is how long a report of the other VMs counts. After it each of
	// them is assumed to have seen and retried as much as this VM.
	peerReportMaxAge = 2 * time.Second
	// peerReportDelay is how old a report may be on arrival. It covers a message to a
	// control VM, the answer to the next message and the message that was in flight
	// before them, some milliseconds each.
	peerReportDelay = 30 * time.Millisecond
)

// Budget counts the requests and the retries to one service. It is safe for
// concurrent use.
type Budget struct {
	allowance RetryAllowance
	now       func() time.Time
	start     time.Time // slots are counted from here, on the monotonic clock

	mu            sync.Mutex
	vms           int
	peers         RetryUsage
	reportedAt    time.Time
	recentRetries []time.Time // within peerReportMaxAge and peerReportDelay, oldest first
	currentSlot   int64
	slots         [budgetSlots + 1]RetryUsage
}

// NewBudget returns a Budget that this VM shares with no other until SetVMs.
func NewBudget(allowance RetryAllowance, now func() time.Time) *Budget {
	return &Budget{allowance: allowance, now: now, start: now(), vms: 1}
}

// SetVMs sets how many VMs share the allowance, this one included.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, n)
}

// SetPeerUsage sets the reported usage of all other VMs together.
func (b *Budget) SetPeerUsage(s RetryUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers, b.reportedAt = s, b.now()
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots[b.advance()].Requests++
}

// OwnUsage returns the usage of this VM within the window.
func (b *Budget) OwnUsage() RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.windowTotal()
}

// BudgetLevel is how much of a budget is used.
type BudgetLevel struct {
	Used    int // retries of all VMs that this VM knows or assumes
	Allowed int // within the window
}

// Level returns how much of the budget is used.
func (b *Budget) Level() BudgetLevel {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return BudgetLevel{Used: b.knownRetries() + b.estimatedPeerRetries(), Allowed: int(b.limit())}
}

// Grant is the result of Spend.
type Grant uint8

// Results of Spend.
const (
	Denied    Grant = iota // the allowance is used up
	Granted                // one retry is taken from the allowance
	Uncertain              // newer reports of the other VMs may show that some is left
)

// Urgency is what a retry can save.
type Urgency uint8

// Urgencies of a retry.
const (
	InTime Urgency = iota // the caller can still be served within its objective
	Late                  // nothing was sent to the caller yet, or it will be late in any case
)

// Spend takes one retry from the budget if the part that is open to its urgency is
// not used up.
func (b *Budget) Spend(u Urgency) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance()
	limit, known, estimated := b.limit(), b.knownRetries(), b.estimatedPeerRetries()
	if u == Late {
		limit *= lateRetryShare
	}
	switch {
	case float64(known+estimated+1) <= limit:
		b.slots[i].Retries++
		b.recentRetries = append(b.recentRetries, b.now())
		return Granted
	case b.hasPeerReport() && float64(known+1) <= limit:
		return Uncertain
	}
	return Denied
}

// limit returns the usable number of retries within the window. The caller must hold
// b.mu.
func (b *Budget) limit() float64 {
	requests := b.windowTotal().Requests
	if b.hasPeerReport() {
		requests += b.peers.Requests
	} else {
		requests *= b.vms
	}
	return usableShare * (b.allowance.Ratio*float64(requests) + b.allowance.Slack)
}

// knownRetries returns the retries of this VM and those that the others reported. The
// caller must hold b.mu.
func (b *Budget) knownRetries() int {
	retries := b.windowTotal().Retries
	if b.hasPeerReport() {
		retries += b.peers.Retries
	}
	return retries
}

// estimatedPeerRetries returns the retries that the others may have made beside those
// that they reported. The caller must hold b.mu.
func (b *Budget) estimatedPeerRetries() int {
	if b.hasPeerReport() {
		return (b.vms - 1) * b.retriesSinceReport()
	}
	return (b.vms - 1) * b.windowTotal().Retries
}

func (b *Budget) hasPeerReport() bool {
	return !b.reportedAt.IsZero() && b.now().Sub(b.reportedAt) < peerReportMaxAge
}

// retriesSinceReport returns the retries of this VM that the others' latest report may
// not cover yet.
func (b *Budget) retriesSinceReport() int {
	b.recentRetries = slices.DeleteFunc(b.recentRetries, func(at time.Time) bool { return b.now().Sub(at) > peerReportMaxAge+peerReportDelay })
	n, from := 0, b.reportedAt.Add(-peerReportDelay)
	for _, at := range b.recentRetries {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

func (b *Budget) windowTotal() RetryUsage {
	var s RetryUsage
	for _, slot := range b.slots {
		s.Requests += slot.Requests
		s.Retries += slot.Retries
	}
	return s
}

// advance clears the slots that have left the window and returns the index of the
// current slot.
func (b *Budget) advance() int {
	n := int64(len(b.slots))
	slot := int64(b.now().Sub(b.start) / (b.allowance.Window / budgetSlots))
	for s := max(b.currentSlot+1, slot-n+1); s <= slot; s++ {
		b.slots[s%n] = RetryUsage{}
	}
	b.currentSlot = max(b.currentSlot, slot)
	return int(b.currentSlot % n)
}
