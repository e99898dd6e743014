// Package recovery decides when an engine is given up, how the streams on it are resumed,
// and which request is suspected of crashing engines. It performs no I/O, and the current
// time is always an argument.
//
// Load pattern: an engine at 70% load holds about twenty streams, each with minutes of work
// behind it. Engines die with a connection reset or become silent, either for good or for a
// pause of two to twenty seconds. Occasionally one request crashes every engine that runs
// it, and its caller sends it again under a new id.
//
// Without this package, three things go wrong. A fixed timeout is too long for a caller
// that sees a stalled answer and too short for an engine with a full queue, so loaded
// engines are declared dead and their work is done twice. All streams of a dead engine are
// prefilled on the surviving engines at the same moment and stall the streams there. One
// bad request takes down the pool engine by engine, each time with twenty harmless
// requests.
//
// The remedies are: suspicion that is derived from each engine's own gaps and from the
// progress of its other streams; resumes that are paced by prefill cost and ordered by
// deadline; a budget for work that is duplicated on suspicion; and poison suspicion by
// content, where a suspect runs alone until it has passed the point at which the engine
// died.
package recovery

import "time"

// ResumePriority is added to a request's priority when it is resumed. Engines take the
// highest priority first from their queue. Without it the streams of a lost zone would wait
// behind new requests whose callers have only begun to wait.
const ResumePriority = 1

// Objective selects what recovery optimises for.
type Objective int

// Objectives.
const (
	// ExtraWork keeps duplicate work low. It waits longer before it suspects an engine,
	// does not hedge, and resumes where the prefix is cached.
	ExtraWork Objective = iota
	// ResumeLatency keeps interruptions short. It suspects early, hedges, and resumes where
	// the load is lowest.
	ResumeLatency
)

// Policy holds the bounds of an objective.
type Policy struct {
	// Floor and Ceiling bound the silence of a stream before its engine is suspected. For
	// ExtraWork they are longer than a pause of two seconds and shorter than the six
	// seconds within which output must resume. For ResumeLatency they are longer than the
	// prefill of a long prompt beside the stream, about half a second.
	Floor, Ceiling time.Duration

	// Deviations above the mean gap at which an engine is suspected.
	Deviations float64

	// Affinity weighs the prefill that a cached prefix saves against load.
	Affinity float64

	// HedgeShare bounds the tokens of hedged attempts to a share of all generated tokens; 0
	// disables hedging.
	HedgeShare float64

	// HedgeAfter is the fraction of the suspicion bound after which a hedged attempt
	// starts.
	HedgeAfter float64
}

// PolicyOf returns the policy of an objective.
func PolicyOf(o Objective) Policy {
	if o == ResumeLatency {
		return Policy{
			Floor: 800 * time.Millisecond, Ceiling: 2 * time.Second, Deviations: 8,
			Affinity: 0.5, HedgeShare: 0.02, HedgeAfter: 0.6,
		}
	}
	return Policy{Floor: 2500 * time.Millisecond, Ceiling: 4 * time.Second, Deviations: 16, Affinity: 2}
}
