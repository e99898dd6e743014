// Package routing chooses the backend server for a piece of work. It is pure:
// time and randomness are inputs.
//
// Load pattern: a few hundred routers, each with a part of the traffic, place
// work on engines whose reports on themselves are about two seconds old. Work
// differs a thousandfold in size; some prompts share long prefixes; engines
// become slow, die, leave and come back.
//
// Without it: "least loaded by the last report" makes all routers that share a
// stale report send to the same engine until its next report, which then shows
// the worst queue of all (herding); round robin queues short work behind long;
// pure cache affinity melts the engine that holds a hot prefix; and ejecting all
// that looks slow takes the pool down when it is the router itself that is slow.
//
// What answers each: two random candidates and the cheaper of them; own work is
// counted at once and reports fade towards the pool's mean with age; a cached
// prefix is worth the prefill it saves and no more, within a bound on load; and
// the share that may be ejected as slow at one time is capped.
package routing

import "time"

// Figures of the policy, with their grounds.
const (
	// DecodeWeight is the cost of one generated token in prompt tokens: an engine
	// of today prefills at some 10,000 tokens/s and decodes, over its whole batch,
	// at 1,000 to 2,000.
	DecodeWeight = 8

	// reportHalfLife: after this age a report counts half; it is about the time
	// in which an engine at 70% load turns over its queue.
	reportHalfLife = 3 * time.Second

	// voidAge: a report this old says nothing about one engine any more.
	voidAge = 10 * reportHalfLife

	// affinityBound: a cached prefix attracts work only while the engine holds
	// less than this multiple of the pool's mean work (bounded-load hashing; 1.25
	// keeps most hits and bounds the worst queue).
	affinityBound = 1.25

	// spillRatio: another zone is used when it has less than 1/spillRatio of the
	// near engine's work. A zone crossing costs about 1 ms, a queue costs seconds.
	spillRatio = 1.5

	// draws bounds the random tries for two eligible candidates: with half the
	// pool out, 12 draws miss both with a chance of 0.3%; then all are scanned.
	draws = 12
)

// Work is the cost of a piece of work in prompt-token units.
func Work(promptTokens, newTokens int) float64 {
	return float64(promptTokens) + DecodeWeight*float64(newTokens)
}

// Spec describes a backend server. Pools are the models (or plain services) it
// serves.
type Spec struct {
	Name  string
	Addr  string
	Zone  string
	Pools []string
}

// Query describes a piece of work.
type Query struct {
	Pool         string
	PromptTokens int      // tokens to prefill if nothing is cached
	NewTokens    int      // tokens still to generate
	BlockDigests []uint64 // digests of the prompt's prefixes, see Blocks
	Avoid        []string // backend servers to avoid while there are others
	Resume       bool     // accepted work after a loss: may exceed the limits a little
	Suspect      bool     // may have crashed an engine: place it alone

	// Affinity weighs the prefill that a cached prefix saves against load; 0
	// counts as 1.
	Affinity float64
}

// Placement is work placed on a backend server. Pass it to Progress and Done.
type Placement struct {
	Engine  int
	work    float64 // outstanding
	cached  int     // prompt tokens expected in the cache
	probe   bool
	suspect bool
}

// Cached is the number of prompt tokens expected in the engine's cache.
func (p *Placement) CachedTokens() int { return p.cached }

// Outcome is how placed work ended.
type Outcome int

// Outcomes.
const (
	OK        Outcome = iota
	Failed            // an error answer, or a stream that broke
	Refused           // no connection: nothing there serves
	Suspected         // suspected; it may live
	Cancelled         // by us: says nothing about the backend server
)
