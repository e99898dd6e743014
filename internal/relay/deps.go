// Package relay drives generations. It opens journals on their keepers, runs
// attempts on engines, resumes a generation after an engine has died, and lets any
// number of callers and VMs read the released tokens.
package relay

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Engines runs attempts on engines. *engine.Client implements it over HTTP.
type Engines interface {
	Generate(ctx context.Context, addr string, c engine.Completion, on func(engine.Event) error) error
	Attach(ctx context.Context, addr string, a engine.Attempt, from int, on func(engine.Event) error) error
	Cancel(ctx context.Context, addr string, a engine.Attempt) error
}

// Backend is an engine chosen for an attempt.
type Backend struct {
	Name string
	Addr string
	Zone string
}

// Outcome is the result of an attempt, as it is reported to the router.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeOK         Outcome = iota
	OutcomeFailed             // invalid answer or server error
	OutcomeSuspected          // the engine is silent; it may still be alive
	OutcomeCancelled          // cancelled by this VM
	OutcomeDied               // connection reset, or stream ended early
	OutcomeRefused            // connection refused
	OutcomeUnserved           // the engine does not serve this model, version or adapter
	OutcomeOverloaded         // the engine is full
	OutcomeRejected           // the engine rejects the request as invalid
	OutcomeSlow               // the engine is alive, but another one would finish sooner
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{
		"ok", "failed", "suspected", "cancelled", "died", "refused", "unserved", "overloaded", "rejected", "slow",
	}[o]
}

// Query describes an attempt for which an engine is needed.
type Query struct {
	Request  *generation.Request
	Tokens   int // generated so far
	Resume   bool
	Suspect  bool     // the request may have crashed an engine: place it alone
	Affinity float64  // weight of a cached prefix against load; 0 counts as 1
	Avoid    []string // names of engines that failed this request; used only if no other is available
}

// PrefillTokens returns the number of tokens that an engine with an empty cache
// computes before it can generate the next one.
func (q *Query) PrefillTokens() int { return q.Request.PromptTokens() + q.Tokens }

// Choice is an engine on which an attempt has been placed. Done must be called
// exactly once. Each function may be nil.
type Choice struct {
	Backend  Backend
	Cached   int // prompt tokens expected in the engine's cache
	Done     func(Outcome)
	Progress func(tokens int) // called for generated tokens
	Cleared  func()           // called when a suspected request is cleared
	Slowness func() float64   // the engine's current slowness relative to its pool; 1: not slow
}

func (c *Choice) done(o Outcome) {
	if c.Done != nil {
		c.Done(o)
	}
}

func (c *Choice) progress(tokens int) {
	if c.Progress != nil {
		c.Progress(tokens)
	}
}

func (c *Choice) cleared() {
	if c.Cleared != nil {
		c.Cleared()
	}
}

func (c *Choice) slowness() float64 {
	if c.Slowness == nil {
		return 1
	}
	return c.Slowness()
}

// Router places attempts on engines.
type Router interface {
	// Pick places a request on an engine. It fails with result.NoBackendServer if no
	// engine can take the request now.
	Pick(ctx context.Context, q Query) (Choice, error)
	// Usable returns how many engines serve a model now and how many routers share
	// them.
	Usable(model string) (engines, routers int)
}

// Admission decides which requests are admitted and when the first attempt of each
// may start.
type Admission interface {
	// Enter reserves a place for a request before its journal is opened, or refuses
	// the request with a coded error. accepted marks a request that the system has
	// already accepted, perhaps on another VM; such a request is never refused.
	Enter(req *generation.Request, accepted bool) (Ticket, error)
}

// Ticket is a request's place in the admission queue and, once Wait has returned,
// its slot.
type Ticket interface {
	// Wait blocks until the first attempt may start. An error with a result code is
	// final.
	Wait(ctx context.Context) error
	// FirstToken reports that the first token of the answer has arrived.
	FirstToken()
	// Release frees the place or the slot. Further calls have no effect.
	Release()
}

// Quota charges new generations to the plans of their workspaces.
type Quota interface {
	// Reserve reserves the most tokens that a request may use, or refuses the request
	// with a coded error. settle ends the reservation and is called once: ran reports
	// whether any work was placed, and tokens is the number used. A generation that
	// another VM takes over is not reserved again, because work that recovery repeats
	// is not charged to the customer.
	Reserve(ctx context.Context, req *generation.Request) (settle func(ran bool, tokens int), err error)
}

// NoteFunc records a decision about a request for `amaranthshelf explain`. what is
// one of the constants of package explain, and why is free text.
type NoteFunc func(id generation.RequestID, what, why string)

// Members provides the list of VMs that may keep journals.
type Members interface {
	// Views returns the retained versions of the list, newest first, and at least one.
	// A version number must denote the same list on every VM. A version may omit a VM
	// only after that VM has lost its memory, or refuses permanently to keep journals
	// in that incarnation, because the opening of a new request no longer asks it.
	Views() []generation.Membership
	// Reachable reports whether messages to a VM are expected to arrive now.
	Reachable(vm string) bool
}

// Config holds the identity and the timings of a Hub.
type Config struct {
	VM           string
	EpochVM      string        // this VM's name in epochs, as VM#suffix; unique to its incarnation
	Incarnation  string        // of this VM's keeper, as in the list of VMs
	OpenTimeout  time.Duration // bound on reaching a majority of keepers
	Objective    recovery.Objective
	SilenceLimit time.Duration // upper bound on the objective's silence timeouts; 0: none
	CallerKeep   time.Duration // how long a generation without a reader is kept
	DetachKeep   time.Duration // how long an engine continues a stream after its router has died
	Limits       generation.Limits
}
