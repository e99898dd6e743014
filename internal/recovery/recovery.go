// Package recovery decides when an engine is given up, how the streams it held
// go on, and which request is to blame. It is pure: time is an input.
//
// Load pattern: an engine at 70% load holds some twenty streams, each with
// minutes of work behind it. Engines die with a reset, or fall silent: for good,
// or paused for two or twenty seconds. Now and then one request crashes every
// engine that runs it, and its caller sends it again under a new id.
//
// Without it: a fixed timeout is too long for a caller who sees a stalled answer
// and too short for an engine with a full queue, so loaded engines are declared
// dead and their work is done twice; all streams of a dead engine prefill on the
// survivors at the same moment and stall the streams there; and one bad request
// takes down the pool engine by engine, each time with twenty innocent ones.
//
// What answers each: suspicion from each engine's own gaps and what its other
// streams show; resumes paced by prefill cost and ordered by deadline; a budget
// for work done twice on suspicion; and blame by content, with suspects run
// alone until they have passed the point where the engine died.
package recovery

import "time"

// ResumePriority is added to a request's priority when it resumes. Engines take
// the highest first from their queue: without it the streams of a lost zone wait
// behind fresh work that its caller has just begun to wait for.
const ResumePriority = 1

// Objective is what recovery saves.
type Objective int

// The two objectives.
const (
	// ExtraWork waits longer before it suspects, does not hedge, and resumes where
	// the prefix is cached.
	ExtraWork Objective = iota
	// ResumeLatency suspects early, hedges, and resumes where load is least.
	ResumeLatency
)

// Policy holds the figures of an objective.
type Policy struct {
	// Floor and Ceiling bound the silence of a stream before suspicion. ExtraWork:
	// longer than a pause of two seconds, and below the six seconds within which
	// output must go on. ResumeLatency: longer than the prefill of a long prompt
	// beside the stream, some half a second.
	Floor, Ceiling time.Duration

	// Deviations: suspicion at the mean gap plus so many deviations.
	Deviations float64

	// Affinity weighs the prefill that a cached prefix saves against load.
	Affinity float64

	// HedgeShare bounds the tokens of hedged attempts to a share of all tokens
	// generated; 0: never.
	HedgeShare float64

	// HedgeAfter is the part of the suspicion bound after which a hedge starts.
	HedgeAfter float64
}

// PolicyOf returns the figures of an objective.
func PolicyOf(o Objective) Policy {
	if o == ResumeLatency {
		return Policy{
			Floor: 800 * time.Millisecond, Ceiling: 2 * time.Second, Deviations: 8,
			Affinity: 0.5, HedgeShare: 0.02, HedgeAfter: 0.6,
		}
	}
	return Policy{Floor: 2500 * time.Millisecond, Ceiling: 4 * time.Second, Deviations: 16, Affinity: 2}
}
