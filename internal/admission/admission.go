// Package admission decides which requests are taken, in which order they start
// and how many run at once. It is pure: time and randomness are inputs.
//
// Load pattern: ten to 6,600 workspaces, a few of them large, share one pool of
// engines. Lookups and tallies are wanted within seconds, bookings and votes must
// not be lost, long summaries may wait for minutes. Offered load is above
// capacity for minutes at a time: on voting night, after a zone is lost, or when
// one caller's program loops. Refused callers come again.
//
// Without it: in one queue in order of arrival the largest workspace takes what
// it sends, not what it bought; a hundred summaries of four minutes each hold
// every slot while lookups wait; beyond capacity the queue grows until all that
// is served is already given up on by its callers, and it stays so after the
// peak, since the retries alone fill it (a metastable state).
//
// What answers each: fair queues in token cost by workspace within classes; a
// part of the slots that long work cannot take; a wait that is estimated at
// entry, so that what cannot be served in time is refused at once with the time
// to come back; bounds in count and bytes; and a limit of concurrent work per
// backend server that follows its step time.
package admission

import "time"

// Class groups requests that tolerate the same wait.
type Class uint8

// The classes.
const (
	Recovery Class = iota // accepted already, perhaps on another VM
	Write                 // bookings, orders, votes
	Short                 // lookups, tallies, short generations
	Long                  // long summaries
	classCount
)

// String names the class as scenarios and logs do.
func (c Class) String() string { return [...]string{"recovery", "write", "short", "long"}[c] }

// policy is what a class is given. weight is its share of token cost while all
// classes wait; maxWait refuses a request without deadline whose estimated wait
// is longer. Grounds: a caller at a desk gives up after some ten seconds;
// a booking is worth a longer wait than a lookup; technicians plan around late
// summaries, but ten minutes are a missed appointment.
type policy struct {
	weight  float64
	maxWait time.Duration
}

var policies = [classCount]policy{
	Recovery: {weight: 4, maxWait: 0}, // never refused
	Write:    {weight: 4, maxWait: 30 * time.Second},
	Short:    {weight: 4, maxWait: 10 * time.Second},
	Long:     {weight: 4, maxWait: 10 * time.Minute},
}

// LongCost is the cost from which a generation counts as long: 1,000 generated
// tokens at routing.DecodeWeight, some 30 s of output.
const LongCost = 8000

// ClassOf classifies a generation by its cost in prompt-token units.
func ClassOf(cost float64) Class {
	if cost >= LongCost {
		return Long
	}
	return Short
}

// Figures of the queue.
const (
	// longSlots is the share of slots that long work may hold. Slots are not
	// taken back, so without a reserve a lookup waits until a summary ends.
	longSlots = 0.8

	// recoveryShare bounds recovery ahead of fresh work to this share of the
	// fresh work's cost; recoveryBurst is what may have been saved up. A dead
	// engine of 24 costs 4% of the work once; a third of a pool lost at once is
	// spread over some seconds instead of stopping all fresh work.
	recoveryShare = 0.25
	recoveryBurst = 200_000 // cost units: some 40 streams of 4,000 tokens

	// recoverySlack: recovery may exceed the slots by this part, so that what is
	// accepted goes on before what is new.
	recoverySlack = 0.25

	// workspaceShare is the part of the queue that one workspace may fill.
	workspaceShare = 0.25

	// slotRatePrior is the cost a slot serves in a second before any was
	// measured: 50 generated tokens.
	slotRatePrior = 400
	slotRateGain  = 0.05 // of one completion: the last twenty count

	// typicalGain smooths the cost of requests that start.
	typicalGain = 0.02

	// leadGain smooths the time from start to first token: the last twenty count.
	leadGain = 0.05

	// queueShare is the part of the time to its deadline that a request may be
	// expected to wait.
	queueShare = 0.5

	// minRetry and maxRetry bound what refused callers are told.
	minRetry = 1 * time.Second
	maxRetry = 2 * time.Minute
)

// Bounds of one queue.
type Bounds struct {
	Count int
	Bytes int
}

// DefaultBounds keep the waiting requests of one pool under 64 MB; 8,000 of them
// are more than a minute's work of a router at the target size (7,800 requests/s
// over 330 routers are 24 a second each).
var DefaultBounds = Bounds{Count: 8000, Bytes: 64 << 20}

// Verdict is the answer to a request at entry.
type Verdict int

// Verdicts.
const (
	Queued Verdict = iota
	Attached
	QueueFull
	WorkspaceBacklog
	DeadlineTooSoon
)

// Decision is a verdict and, with a refusal, when to come back. Wait is the
// estimated time in the queue.
type Decision struct {
	Verdict    Verdict
	Wait       time.Duration
	RetryAfter time.Duration
}

// Refused reports whether the request was not taken.
func (d Decision) Refused() bool { return d.Verdict > Attached }

// State is where an Item is.
type State uint8

// States of an Item.
const (
	Idle State = iota
	Waiting
	Running
	Expired
)

// Item is one request. The caller owns it and fills the first part; it must not
// be copied while it waits.
type Item struct {
	Key       string // of the request; a second one with the same key attaches
	Workspace string
	Class     Class
	Weight    float64   // the workspace's share; 0 counts as 1
	Cost      float64   // prompt-token units
	Bytes     int       // held while it waits
	Deadline  time.Time // for the first token; zero: none

	state      State
	flow       *flow
	prev, next *Item
	since      time.Time // entered, then started
}

// State tells where the item is.
func (it *Item) State() State { return it.state }

// Since is when the item entered the queue, or started.
func (it *Item) Since() time.Time { return it.since }
