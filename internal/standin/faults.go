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
	errDead       = Error.New("engine is dead")
	errNotServed  = Error.New("not served")
	errCancelled  = Error.New("cancelled")
	errNoRun      = Error.New("no such run")
	errStaleFence = Error.New("order with an old fencing number")
)

type faults struct {
	pausedUntil     time.Time
	slowFactor      float64
	stalledAttempts string        // stalls runs whose attempt id contains it; empty: none
	eventDelay      time.Duration // of each event
	swapAttemptIDs  bool          // events carry another run's attempt id
	leaving         bool
}

func (f *faults) slowness() float64 {
	if f.slowFactor == 0 {
		return 1
	}
	return f.slowFactor
}

func (f *faults) stalls(a engine.Attempt) bool {
	return f.stalledAttempts != "" && strings.Contains(a, f.stalledAttempts)
}

// Kill makes the engine die without notice. Its runs, queue and cache are lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

// die kills the engine. The caller holds e.mu.
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

// Deaths returns how often the engine has died.
func (e *Engine) Deaths() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaths
}

// Alive reports whether the engine is running.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// Pause stops decoding and answering for d. Connections stay open.
func (e *Engine) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.pausedUntil = time.Now().Add(d)
	e.wakeLoop()
}

// Slow multiplies the duration of each step by factor.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slowFactor = factor
}

// StallAttempts stops the runs whose attempt id contains part. An empty part stalls no
// further runs.
func (e *Engine) StallAttempts(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.stalledAttempts = part
}

// DelayEvents delays each event by d.
func (e *Engine) DelayEvents(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.eventDelay = d
}

// SwapAttemptIDs makes events carry the attempt id of another run.
func (e *Engine) SwapAttemptIDs(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.swapAttemptIDs = on
}

// ReportLeaving makes load reports state that the engine is leaving.
func (e *Engine) ReportLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = true
}
