// Package placement decides where a request runs. It is pure: what is known of the
// backend servers is the input, and a choice is the output.
//
// The overload. Long prompts arrive in bursts at many VMs that place them independently.
// An engine prefills one prompt after the other, for about a second each, and its memory
// holds about nine runs. The engines of a zone fail together, several times a minute, and
// their runs resume from copies in other zones, all at once. Placed at random, two or
// three prompts meet on one engine while its neighbours are idle: the first event comes
// seconds late, and when a zone is lost, the engines with the copies are full.
//
// VMs with the same reports make the same choice: until new reports arrive, the only idle
// engine would get the prompts of all of them. Each engine therefore has a rendezvous
// order of VMs (highest random weight hashing). The first in it is the preferred VM. The
// higher a VM's rank, the more its lower-ranked engines must be loaded before it uses the
// engine. Of a hundred VMs two or three meet on a newly started engine, not all.
//
// A stream runs where the fewest prompt tokens wait for prefill and the least memory is
// taken, with copies counted like runs. Its copy is placed in another zone by memory.
// Calls are placed by other rules, since they are shorter than the age of the reports
// about them: see call.go.
package placement

import "math"

// Usage is the work on a backend server.
type Usage struct {
	Requests      int `cbor:"1,keyasint,omitempty"` // in flight
	Tokens        int `cbor:"2,keyasint,omitempty"` // memory of runs and copies
	PendingPrompt int `cbor:"3,keyasint,omitempty"` // prompt tokens not yet prefilled
	Copies        int `cbor:"4,keyasint,omitempty"` // the part of Tokens that belongs to copies
}

// Add returns the sum of u and o.
func (u Usage) Add(o Usage) Usage {
	return Usage{u.Requests + o.Requests, u.Tokens + o.Tokens, u.PendingPrompt + o.PendingPrompt, u.Copies + o.Copies}
}

// Negated returns u with all fields negated. Adding it to a sum subtracts u.
func (u Usage) Negated() Usage { return Usage{-u.Requests, -u.Tokens, -u.PendingPrompt, -u.Copies} }

// CopyUsage is the usage of a run's copy on the engine that keeps it.
func CopyUsage(n Need) Usage { return Usage{Tokens: n.Tokens(), Copies: n.Tokens()} }

// Candidate is a backend server as a VM knows it when it chooses.
type Candidate struct {
	ID       string
	Zone     string
	Slots    int
	KVTokens int // memory; 0: not a model engine
	Usage    Usage
	// Avoid marks a server that is suspected, failing or known to be full. It is chosen
	// only if there is no other.
	Avoid bool
	// RendezvousRank is this VM's rank in the server's rendezvous order; 0: it is the
	// preferred VM.
	RendezvousRank int
	// OtherZone marks a server that is not in the zone of the VM that relays the request.
	OtherZone bool
	// Slowdown is how many times longer its work takes than that of comparable servers;
	// 1: usual.
	Slowdown float64
}

// Need is what a request needs of an engine.
type Need struct {
	Prompt int // prompt tokens
	Output int // maximum number of generated tokens
}

// Tokens is the memory, in tokens, that the run takes at its end.
func (n Need) Tokens() int { return n.Prompt + n.Output }

// Constants of the cost, in milliseconds of delay of the first event.
const (
	// prefillTokensPerMS is how many prompt tokens an engine prefills per millisecond.
	// The order of the costs depends little on it.
	prefillTokensPerMS = 8.0
	// requestCostMS is the cost of each run on the engine, since a run lengthens every
	// step of the batch: over a run of a thousand tokens this adds up to some 80 ms.
	requestCostMS = 80.0
	// memoryPressureShare is the share of the memory beyond which an engine preempts
	// running streams, which costs a second prefill, or lets them wait until others end.
	// A run takes some 15 s, so a backlog that fills the memory once means a wait of that
	// length, and repeated prefills cost even more. Beyond the share the cost rises
	// linearly by memoryPressureCostMS per memory: with a step, the last engine below the
	// share would draw the runs of every VM.
	memoryPressureShare  = 0.92
	memoryPressureCostMS = 40_000.0
	// rankCostMS is how much cheaper an engine must be, per rendezvous rank, before a VM
	// prefers it to an engine of a lower rank. It equals the cost of five runs, and is less
	// than half the cost of a pending prompt of 8,000 tokens.
	rankCostMS = 400.0
	// otherZoneCostMS is how much cheaper an engine in another zone must be than one in
	// the VM's own zone. A link between zones that loses packets delays one event in
	// twenty by some tenths of a second for every stream that crosses it. One more run on
	// an engine delays none by much.
	otherZoneCostMS = 120.0
	// equalCostMarginMS is the difference below which costs count as equal. The choice
	// among them is random, to keep VMs with the same reports from choosing the same
	// engine.
	equalCostMarginMS = 40.0
	// avoidPenalty exceeds every other cost, and every load of a CallCandidate.
	avoidPenalty = 1e6
)

// streamCost is the delay that a stream would meet and cause on a candidate.
func streamCost(c *Candidate, n Need) float64 {
	cost := float64(c.Usage.PendingPrompt)/prefillTokensPerMS + requestCostMS*float64(c.Usage.Requests)
	if c.Slowdown > 1 {
		cost = (cost + float64(n.Prompt)/prefillTokensPerMS) * c.Slowdown
	}
	cost += memoryCost(c, n) + rankCostMS*float64(c.RendezvousRank)
	if c.OtherZone {
		cost += otherZoneCostMS
	}
	if c.Avoid {
		cost += avoidPenalty
	}
	return cost
}

// memoryCost is the delay caused by memory pressure.
func memoryCost(c *Candidate, n Need) float64 {
	if c.KVTokens == 0 {
		return 0
	}
	taken := float64(c.Usage.Tokens + n.Tokens())
	return memoryPressureCostMS * max(0, taken/float64(c.KVTokens)-memoryPressureShare)
}

// ChooseEngine returns the index of the candidate with the lowest cost for a stream; -1:
// there is no candidate.
func ChooseEngine(all []Candidate, n Need, rng func(n int) int) int {
	return cheapest(all, rng, func(c *Candidate) (float64, bool) { return streamCost(c, n), true })
}

// copyMemoryShare is the share of an engine's memory that may be taken once a copy is
// placed there. The rest is for runs that resume there.
const copyMemoryShare = 0.85

// ChooseBackupEngine returns the index of the engine that is to keep the backup copy of a
// run; -1: no candidate is suitable. zone is the zone of the engine that executes the run.
// The copy goes to another zone, since the engines of a zone fail together.
func ChooseBackupEngine(all []Candidate, zone string, n Need, rng func(n int) int) int {
	return cheapest(all, rng, func(c *Candidate) (float64, bool) {
		room := float64(c.Usage.Tokens+n.Tokens()) <= copyMemoryShare*float64(c.KVTokens)
		ok := c.Zone != zone && !c.Avoid && room
		cost := 1000 * float64(c.Usage.Tokens) / float64(max(1, c.KVTokens))
		if c.RendezvousRank > 0 {
			cost += rankCostMS / 2
		}
		return cost, ok
	})
}

// cheapest returns the index of the candidate with the lowest cost in ms. Candidates for
// which cost reports false are excluded.
func cheapest(all []Candidate, rng func(n int) int, cost func(*Candidate) (float64, bool)) int {
	costs := make([]float64, len(all))
	for i := range all {
		c, ok := cost(&all[i])
		if !ok {
			c = excluded
		}
		costs[i] = c
	}
	return pick(costs, equalCostMarginMS, rng, func(int) bool { return false })
}

// excluded is the cost of a candidate that must not be chosen.
const excluded = -1

// pick returns the index of the lowest cost. Among costs within tie of the lowest it
// prefers those for which preferred reports true, and chooses at random; -1: all are
// excluded.
func pick(costs []float64, tie float64, rng func(n int) int, preferred func(i int) bool) int {
	least := math.Inf(1)
	for _, c := range costs {
		if c >= 0 {
			least = min(least, c)
		}
	}
	found, ties, foundPreferred := -1, 0, false
	for i, c := range costs {
		isPreferred := preferred(i)
		if c < 0 || c > least+tie || (foundPreferred && !isPreferred) {
			continue
		}
		if isPreferred && !foundPreferred {
			foundPreferred, ties = true, 0
		}
		ties++
		if rng(ties) == 0 {
			found = i
		}
	}
	return found
}
