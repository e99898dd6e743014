// Package relay drives generations: it opens journals on their keepers, runs
// attempts on engines, resumes after their deaths, and lets any number of
// callers and VMs read the released tokens.
package relay

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
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
	OutcomeOK Outcome = iota
	OutcomeFailed
	OutcomeSuspected // silent; it may still live
	OutcomeCancelled
)

// Query asks for an engine.
type Query struct {
	Request *generation.Request
	Tokens  int // generated so far
	Resume  bool
	Avoid   []string // engines that failed this request, by name
}

// Choice is an engine with the work placed on it. Done must be called once.
type Choice struct {
	Backend Backend
	Done    func(Outcome)
}

// Router picks engines.
type Router interface {
	Pick(ctx context.Context, q Query) (Choice, error)
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
	Epoch        string        // this VM's name in epochs; unique to its incarnation
	Incarnation  string        // of this VM's keeper, as the list of VMs gives it
	OpenTimeout  time.Duration // for a majority of keepers
	SilenceLimit time.Duration // without an event from an engine
	CallerKeep   time.Duration // a generation without reader is kept this long
	DetachKeep   time.Duration // an engine goes on this long for a router that died
	Limits       generation.Limits
}
