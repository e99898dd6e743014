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

// Members names the VMs that may keep journals.
type Members interface {
	// Candidates lists VMs that are members now.
	Candidates() []generation.Candidate
	// Reachable reports whether a VM is worth a message now.
	Reachable(vm string) bool
}

// Config are the timings of a Hub.
type Config struct {
	VM           string
	Epoch        string        // this VM's name in epochs; unique to its incarnation
	OpenTimeout  time.Duration // for a majority of keepers
	SilenceLimit time.Duration // without an event from an engine
	CallerKeep   time.Duration // a generation without reader is kept this long
}
