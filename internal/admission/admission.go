// Package admission decides which requests are accepted, in which order they start and
// how many run at once. It is pure: time and randomness are inputs.
//
// The overload. From ten to 6,600 workspaces, a few of them large, share one pool of
// engines. Lookups and tallies are needed within seconds, bookings and votes must not be
// lost, and long summaries may wait for minutes. The offered load exceeds capacity for
// minutes at a time: on voting night, after a zone is lost, or when one caller's program
// loops. Refused callers retry.
//
// Without admission control, one queue in order of arrival gives the largest workspace
// the share that it sends, not the share that it bought. A hundred summaries of four
// minutes each hold every slot while lookups wait. Beyond capacity the queue grows until
// callers have given up on everything that is served. This state outlasts the peak, since
// the retries alone keep the queue full (metastable failure).
//
// The measures: fair queueing by workspace, in token cost, within classes; a share of the
// slots that long work cannot take; an estimate of the wait at entry, with an immediate
// refusal and a retry time for what cannot be served in time; bounds on count and bytes;
// and a limit on concurrent work per backend server that follows its step time.
package admission

import "time"

// Class groups requests that tolerate the same wait.
type Class uint8

// The classes.
const (
	Recovery Class = iota // already accepted, possibly by another VM
	Write                 // bookings, orders, votes
	Short                 // lookups, tallies, short generations
	Long                  // long summaries
	classCount
)

// String returns the name of the class in scenarios and logs.
func (c Class) String() string { return [...]string{"recovery", "write", "short", "long"}[c] }

// classPolicy holds the parameters of a class. weight is its share of token cost while
// all classes wait. A request without a deadline is refused if its estimated wait exceeds
// maxWait. The reasons: a caller at a desk gives up after some ten seconds; a booking
// justifies a longer wait than a lookup; technicians plan around late summaries, but a
// wait of ten minutes means a missed appointment.
type classPolicy struct {
	weight  float64
	maxWait time.Duration
}

var policies = [classCount]classPolicy{
	Recovery: {weight: 4, maxWait: 0}, // never refused
	Write:    {weight: 4, maxWait: 30 * time.Second},
	Short:    {weight: 4, maxWait: 10 * time.Second},
	Long:     {weight: 4, maxWait: 10 * time.Minute},
}

// LongCost is the cost in prompt-token units from which a generation counts as long:
// 1,000 generated tokens at routing.DecodeWeight, some 30 s of output.
const LongCost = 8000

// ClassOf classifies a generation by its cost in prompt-token units.
func ClassOf(cost float64) Class {
	if cost >= LongCost {
		return Long
	}
	return Short
}

// Constants of the queue.
const (
	// longSlotShare is the share of slots that long work may hold. Running requests are
	// not preempted, and without a reserve a lookup would wait until a summary ends.
	longSlotShare = 0.8

	// recoveryShare bounds the recovery work that runs ahead of new work to this share of
	// the new work's cost, and recoveryBurst is the budget that can accumulate. The loss
	// of one engine of 24 costs 4% of the work once. The loss of a third of a pool is
	// spread over some seconds instead of stopping all new work.
	recoveryShare = 0.25
	recoveryBurst = 200_000 // cost units: some 40 streams with a cost of 4,000

	// recoverySlack is the share by which recovery may exceed the slots, to resume
	// accepted requests before new ones start.
	recoverySlack = 0.25

	// workspaceShare is the share of the queue that one workspace may fill.
	workspaceShare = 0.25

	// slotRatePrior is the cost that a slot is assumed to serve per second before any
	// measurement: 50 generated tokens.
	slotRatePrior = 400
	slotRateGain  = 0.05 // weight of one completion: about the last twenty count

	// typicalCostGain is the smoothing weight for the cost of started requests.
	typicalCostGain = 0.02

	// timeToFirstTokenGain is the smoothing weight for the time from start to first
	// token: about the last twenty count.
	timeToFirstTokenGain = 0.05

	// maxWaitShare is the share of the time to its deadline that a request may be
	// expected to wait.
	maxWaitShare = 0.5

	// minRetry and maxRetry bound Decision.RetryAfter.
	minRetry = 1 * time.Second
	maxRetry = 2 * time.Minute
)

// Bounds limits the waiting requests of one queue.
type Bounds struct {
	Count int
	Bytes int
}

// DefaultBounds keeps the waiting requests of one pool under 64 MB. 8,000 requests are
// more than a minute of work for a router at the target size (7,800 requests/s over 330
// routers are 24/s each).
var DefaultBounds = Bounds{Count: 8000, Bytes: 64 << 20}

// Verdict is the result for a request at entry.
type Verdict int

// The verdicts.
const (
	Queued Verdict = iota
	Attached
	QueueFull
	WorkspaceBacklog
	DeadlineTooSoon
)

// Decision is a verdict with the estimated time in the queue and, for a refusal, the time
// after which to retry.
type Decision struct {
	Verdict    Verdict
	Wait       time.Duration
	RetryAfter time.Duration
}

// Refused reports whether the request was refused.
func (d Decision) Refused() bool { return d.Verdict > Attached }

// State is the state of an Item.
type State uint8

// The states of an Item.
const (
	Idle State = iota
	Waiting
	Running
	Expired
)

// Item is one request. The caller owns it and sets the exported fields. It must not be
// copied while it waits.
type Item struct {
	Key       string // identifies the request; a second one with the same key attaches
	Workspace string
	Class     Class
	Weight    float64   // the workspace's share; 0 counts as 1
	Cost      float64   // prompt-token units
	Bytes     int       // memory held while it waits
	Deadline  time.Time // for the first token; zero: none

	state      State
	flow       *flow
	prev, next *Item
	since      time.Time // time of entry while it waits, then of its start
}

// State returns the item's state.
func (it *Item) State() State { return it.state }

// Since returns when the item entered the queue or, once it runs, when it started.
func (it *Item) Since() time.Time { return it.since }
