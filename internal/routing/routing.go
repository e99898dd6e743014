// Package routing chooses the backend server for a piece of work. It is pure:
// time and randomness are inputs.
//
// Load pattern: a few hundred routers, each with a part of the traffic, place
// work on engines whose load reports are about two seconds old. The size of the
// work varies by a factor of a thousand. Some prompts share long prefixes.
// Engines become slow, die, leave and come back.
//
// Simpler policies fail under this load:
//   - Least loaded by the last report: all routers that share a stale report send
//     to the same engine until its next report, which then shows the longest
//     queue of all (herding).
//   - Round robin: short work queues behind long work.
//   - Pure cache affinity: the engine that caches a hot prefix is overloaded.
//   - Ejecting every engine that looks slow: the whole pool is ejected when the
//     router itself is slow.
//
// This package takes the cheaper of two random candidates. A router's own work
// counts at once, and the weight of a report decays with age towards the pool's
// mean. A cached prefix is worth the prefill that it saves, within a bound on the
// engine's load. The share of engines that may be ejected as slow at one time is
// capped.
package routing

import "time"

// Constants of the choice of a backend server. Work is measured in prompt tokens; see Work.
const (
	// DecodeWeight is the cost of one generated token in prompt tokens. Engines
	// prefill about 10,000 tokens/s and decode 1,000 to 2,000 tokens/s over the
	// whole batch.
	DecodeWeight = 8

	// reportHalfLife is the age at which a report has half its weight. It is about
	// the time in which an engine at 70% load turns over its queue.
	reportHalfLife = 3 * time.Second

	// maxReportAge is the age beyond which a report is ignored.
	maxReportAge = 10 * reportHalfLife

	// affinityLoadBound is the multiple of the pool's mean work up to which a cached
	// prefix attracts work to an engine, as in consistent hashing with bounded
	// loads. 1.25 keeps most cache hits and bounds the longest queue.
	affinityLoadBound = 1.25

	// zoneSpillRatio is the ratio of costs at which work goes to another zone: the
	// remote engine must have less than 1/zoneSpillRatio of the local engine's
	// work. Crossing zones costs about 1 ms, a queue costs seconds.
	zoneSpillRatio = 1.5

	// maxDraws bounds the random draws for two eligible candidates. With half the
	// pool ejected, 12 draws fail to find two with a probability of 0.3%; then the
	// whole pool is scanned.
	maxDraws = 12
)

// Work returns the cost of a piece of work, in prompt tokens.
func Work(promptTokens, newTokens int) float64 {
	return float64(promptTokens) + DecodeWeight*float64(newTokens)
}

// Spec describes a backend server. Pools are the models or services that it
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
	BlockDigests []uint64 // prefix digests, from the function BlockDigests
	Avoid        []string // names of backend servers to use only if there are no others
	Resume       bool     // accepted work of a lost engine; may exceed limits by resumeSlack
	Suspect      bool     // suspect content that may have crashed an engine; is isolated

	// Affinity is the weight of the prefill that a cached prefix saves, relative
	// to load. 0 means 1.
	Affinity float64
}

// Placement is a piece of work placed on a backend server. The caller passes it to
// Table.Progress while the work runs and to Table.Done when it ends.
type Placement struct {
	Engine  int
	work    float64 // outstanding, in prompt tokens
	cached  int     // prompt tokens expected in the cache
	probe   bool
	suspect bool
}

// CachedTokens returns the number of prompt tokens expected to be in the engine's cache.
func (p *Placement) CachedTokens() int { return p.cached }

// Outcome is how placed work ended.
type Outcome int

// Outcomes.
const (
	OK        Outcome = iota
	Failed            // an error reply or a broken stream
	Refused           // the connection was refused; the server is down
	Suspected         // by the failure detector; the server may be alive
	Cancelled         // by the router; no evidence about the server
)
