// Package experiment simulates callers, routers and engines on a virtual clock. It
// compares the real admission, routing and recovery modules with baselines that do
// without them, for `amaranthshelf experiment` and the load scenarios. The model has
// no network. Runs with the same seed give the same results.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

// world is the state of one simulated run: clock, engines, routers and results.
type world struct {
	*virtualtime.Queue

	rng             *rand.Rand
	policy          Policy
	engineParams    EngineParams
	engines         []*engineModel
	routers         []router
	out             *Outcome
	poisonSuspicion *sharedPoisonSuspicion
}

// startTime is the virtual time at the start of every run.
var startTime = time.Unix(1_000_000, 0)

func newWorld(p Policy, seed uint64) *world {
	return &world{Queue: virtualtime.New(startTime), policy: p, rng: rand.New(rand.NewPCG(seed, 7)), out: &Outcome{}, engineParams: DefaultEngineParams}
}

func (w *world) elapsed() time.Duration { return w.Now().Sub(startTime) }

// run executes events until the given time since the start.
func (w *world) run(until time.Duration) { w.Run(startTime.Add(until)) }
