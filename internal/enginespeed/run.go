package enginespeed

import (
	"slices"
	"time"
)

// windowEvents is the number of gaps in a window. It is small against the events of a run, so
// that several windows see an engine that has just become known.
const windowEvents = 16

// Run measures the events of one run. The zero value is ready for the run's first event.
type Run struct {
	last    time.Time
	gaps    []time.Duration
	longest time.Duration
	shared  bool
}

// Event adds an event to what was observed of the engine. batch returns the number of runs on
// the engine, as this VM knows it, and is called once in a window.
func (r *Run) Event(o *Observation, now time.Time, batch func() int) {
	last := r.last
	r.last = now
	if last.IsZero() {
		return
	}
	gap := now.Sub(last)
	r.longest = max(r.longest, gap)
	if r.gaps = append(r.gaps, gap); len(r.gaps) < windowEvents {
		return
	}
	runs := batch()
	r.shared = r.shared || runs > 1
	o.AddWindow(typical(r.gaps), runs)
	r.gaps = r.gaps[:0]
}

// typical is the mean of the middle half. The prefills of other prompts lengthen a few gaps,
// and events that arrive together make others zero.
func typical(gaps []time.Duration) time.Duration {
	slices.Sort(gaps)
	middle := gaps[len(gaps)/4 : len(gaps)-len(gaps)/4]
	sum := time.Duration(0)
	for _, g := range middle {
		sum += g
	}
	return sum / time.Duration(len(middle))
}

// End adds the longest gap of a complete run. A run that had the engine for itself was not
// interrupted and tells nothing about pauses.
func (r *Run) End(o *Observation) {
	if r.shared {
		o.AddPause(r.longest)
	}
}
