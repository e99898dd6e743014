// Package experiment runs the admission, routing and recovery modules against a
// model of engines and callers on a virtual clock, beside baselines without
// them. It serves `amaranthshelf experiment` and the load scenarios. The model
// has no network; decisions are those of the real modules, and every run with
// the same seed gives the same figures.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

// world is one run: clock, engines, routers, callers.
type world struct {
	*virtualtime.Queue

	rng     *rand.Rand
	policy  Policy
	figures EngineParams
	engines []*engineModel
	routers []router
	out     *Outcome
	blamed  *blameBoard
}

// began is the virtual time at which every run starts.
var began = time.Unix(1_000_000, 0)

func newWorld(p Policy, seed uint64) *world {
	return &world{Queue: virtualtime.New(began), policy: p, rng: rand.New(rand.NewPCG(seed, 7)), out: &Outcome{}, figures: DefaultEngineParams}
}

func (w *world) elapsed() time.Duration { return w.Now().Sub(began) }

// run plays events until the given time since the start.
func (w *world) run(until time.Duration) { w.Run(began.Add(until)) }
