package standin

import (
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("standin")

var (
	errDead      = Error.New("engine is dead")
	errNotServed = Error.New("not served")
	errCancelled = Error.New("cancelled")
	errNoRun     = Error.New("no such run")
	errOldFence  = Error.New("order with an old fencing number")
)

type faults struct {
	pausedUntil time.Time
	slow        float64
	stall       string        // runs whose attempt id holds it
	late        time.Duration // each event is written this late
	crossed     bool          // events carry another run's attempt id
	leaving     bool
}

func (f *faults) slowness() float64 {
	if f.slow == 0 {
		return 1
	}
	return f.slow
}

func (f *faults) stalls(a engine.Attempt) bool {
	return f.stall != "" && strings.Contains(a, f.stall)
}

// Kill makes the engine die without notice: its runs, queue and cache are gone.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

// die needs e.mu.
func (e *Engine) die() {
	if e.dead {
		return
	}
	e.dead = true
	e.deaths++
	for _, r := range e.runs {
		r.err = errDead
		r.notify()
	}
	e.reset()
	if e.onDeath != nil {
		go e.onDeath()
	}
}

// Deaths counts how often the engine died.
func (e *Engine) Deaths() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaths
}

// Alive reports whether the engine lives.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// Pause stops decoding and answering for a while; connections stay open.
func (e *Engine) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.pausedUntil = time.Now().Add(d)
	e.poke()
}

// Slow multiplies the step time.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// Stall stops the runs whose attempt id contains part; empty: none from now on.
func (e *Engine) StallAttempts(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.stall = part
}

// Late delays each event.
func (e *Engine) DelayEvents(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.late = d
}

// Cross makes events carry the attempt id of another run.
func (e *Engine) SwapAttemptIDs(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossed = on
}

// Leave makes reports say that the engine is leaving.
func (e *Engine) ReportLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = true
}
