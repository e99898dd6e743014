// Package relay drives generations: it opens journals on their keepers, runs
// attempts on engines, resumes after their deaths, and lets any number of
// callers and VMs read the released tokens.
package relay

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Engines runs attempts. *engine.Client does so over HTTP.
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

// Outcome tells the router how an attempt went.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeOK         Outcome = iota
	OutcomeFailed             // an answer that makes no sense, or a server error
	OutcomeSuspected          // silent; it may still live
	OutcomeCancelled          // by us
	OutcomeDied               // reset, or end of the stream
	OutcomeRefused            // no connection
	OutcomeUnserved           // the engine does not serve this model, version or adapter
	OutcomeOverloaded         // the engine is full
	OutcomeRejected           // the engine finds fault with the request
	OutcomeSlow               // it lives, but the answer ends sooner elsewhere
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{
		"ok", "failed", "suspected", "cancelled", "died", "refused", "unserved", "overloaded", "rejected", "slow",
	}[o]
}

// Query asks for an engine.
type Query struct {
	Request  *generation.Request
	Tokens   int // generated so far
	Resume   bool
	Suspect  bool     // may have crashed an engine: place it alone
	Affinity float64  // weight of a cached prefix against load; 0 counts as 1
	Avoid    []string // engines that failed this request, by name, while there are others
}

// Prefill is the number of tokens an engine has to compute before the next one,
// if it has none of them cached.
func (q *Query) PrefillTokens() int { return q.Request.PromptTokens() + q.Tokens }

// Choice is an engine with the work placed on it. Done must be called once. The
// functions may be nil.
type Choice struct {
	Backend  Backend
	Cached   int // prompt tokens expected in the engine's cache
	Done     func(Outcome)
	Progress func(tokens int) // tokens were generated
	Cleared  func()           // a suspect has proved innocent
	Slowness func() float64   // of the engine now, against its pool; 1: not slow
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

// Router picks engines.
type Router interface {
	// Pick places a request on an engine. result.NoBackendServer means that none
	// can take it now.
	Pick(ctx context.Context, q Query) (Choice, error)
	// Usable returns how many engines serve a model now, and how many routers
	// share them.
	Usable(model string) (engines, routers int)
}

// Admission decides which requests are taken and when their first attempt may
// start.
type Admission interface {
	// Enter gives a request a place before its journal is opened, or refuses it
	// with a coded error. accepted marks a request that the system has accepted
	// already, perhaps on another VM: it is never refused.
	Enter(req *generation.Request, accepted bool) (Ticket, error)
}

// Ticket is a request's place in the queue and, after Wait, its slot.
type Ticket interface {
	// Wait blocks until the first attempt may start. A coded error is final.
	Wait(ctx context.Context) error
	// FirstToken notes that the answer has begun.
	FirstToken()
	// Release gives the place or the slot back. It may be called twice.
	Release()
}

// Quota charges new generations to their plans.
type Quota interface {
	// Reserve sets the most that a request may use aside, or refuses it with a
	// coded error. settle ends the reservation, once: ran tells whether any work
	// was placed, tokens what was used of the reservation. A generation that was
	// taken over is not reserved again: what recovery repeats is extra work, not
	// the customer's use.
	Reserve(ctx context.Context, req *generation.Request) (settle func(ran bool, tokens int), err error)
}

// NoteFunc records a decision about a request for `amaranthshelf explain`. what
// is one of the words of package explain.
type NoteFunc func(id generation.RequestID, what, why string)

// Members gives the list of VMs that may keep journals.
type Members interface {
	// Views returns the retained versions of the list, newest first, at least one.
	// Every VM must see the same list under the same version. A VM may be left out
	// of a version only once it has lost its memory or refuses, for good, to keep
	// journals in that incarnation: the opening of new requests stops asking it.
	Views() []generation.Membership
	// Reachable reports whether a VM is worth a message now.
	Reachable(vm string) bool
}

// Config are the timings of a Hub.
type Config struct {
	VM           string
	EpochVM      string        // this VM's name in epochs; unique to its incarnation
	Incarnation  string        // of this VM's keeper, as the list of VMs gives it
	OpenTimeout  time.Duration // for a majority of keepers
	Objective    recovery.Objective
	SilenceLimit time.Duration // lowers the objective's bounds of silence; 0: does not
	CallerKeep   time.Duration // a generation without reader is kept this long
	DetachKeep   time.Duration // an engine goes on this long for a router that died
	Limits       generation.Limits
}
