// Package placement decides where a request runs. It is pure: what is known of
// the backend servers comes in, a choice goes out.
//
// The load pattern. Long prompts arrive in clumps at many VMs that place without
// asking one another. An engine reads one prompt after the other, for about a
// second each, and its memory holds some nine runs; a zone's engines die
// together, several times a minute, and the runs there go on from copies in
// other zones, all at once. Placed at random, two or three prompts meet on one
// engine while its neighbours stand idle: the first event comes seconds late, and
// a zone's loss finds the engines with the copies full.
//
// VMs that know the same choose the same: the one idle engine would get the prompts
// of all of them within the time that their news of one another takes. So each
// engine has a line of VMs (rendezvous hashing). The first is at home there; the
// further back a VM stands, the more its nearer engines must be taken before it
// goes there. Of a hundred VMs two or three meet on a fresh engine, not all.
//
// So a stream goes where the fewest prompt tokens wait and the least memory is
// taken, counting copies like runs, and its copy to another zone by the same
// measure. Calls are placed by other means, since news of them is older than they
// last: see call.go.
package placement

import "math"

// Use is what runs on a backend server.
type Usage struct {
	Requests      int `cbor:"1,keyasint,omitempty"` // under way
	Tokens        int `cbor:"2,keyasint,omitempty"` // memory, of runs and copies
	PendingPrompt int `cbor:"3,keyasint,omitempty"` // prompt tokens that wait to be read
	Copies        int `cbor:"4,keyasint,omitempty"` // of Tokens, those of copies
}

// Add returns the sum.
func (u Usage) Add(o Usage) Usage {
	return Usage{u.Requests + o.Requests, u.Tokens + o.Tokens, u.PendingPrompt + o.PendingPrompt, u.Copies + o.Copies}
}

// Negative returns what takes u off a sum.
func (u Usage) Negated() Usage { return Usage{-u.Requests, -u.Tokens, -u.PendingPrompt, -u.Copies} }

// CopyUse is what the copy of a run takes of the engine that keeps it.
func CopyUsage(n Need) Usage { return Usage{Tokens: n.Tokens(), Copies: n.Tokens()} }

// Candidate is a backend server as a VM knows it at the moment of a choice.
type Candidate struct {
	ID       string
	Zone     string
	Slots    int
	KVTokens int // memory; 0: no model engine
	Usage    Usage
	// Avoid: suspected, failing or known to be full. It is taken only where
	// nothing else is left.
	Avoid bool
	// Turn is this VM's place in the line of those that may turn to the server; 0:
	// it is at home there.
	RendezvousRank int
	// Far: it is in another zone than the VM that carries the request.
	OtherZone bool
	// Slow is how much longer its work takes than its neighbours'; 1 is usual.
	Slowdown float64
}

// Need is what a request will take of an engine.
type Need struct {
	Prompt int // tokens to read
	Output int // tokens at most
}

// Tokens is the memory that a run takes at its end.
func (n Need) Tokens() int { return n.Prompt + n.Output }

// Figures of the cost, in milliseconds of a first event's delay.
const (
	// promptPerMS is how many prompt tokens an engine reads in a millisecond. The
	// order of the costs depends little on it.
	promptPerMS = 8.0
	// perRequest: each further run lengthens every step of the batch; over a run
	// of a thousand tokens this adds up to some 80 ms.
	perRequest = 80.0
	// fullShare of the memory: beyond it an engine preempts runs in mid-stream, which
	// costs their prompts once more, or lets them wait for others to end. A run
	// takes some 15 s, so a whole memory's worth of runs ahead is a wait as long;
	// prompts read again weigh more than as much. The cost rises from the mark on:
	// with a cliff there, the last engine below it draws every VM's runs.
	fullShare = 0.92
	fullCost  = 40_000.0
	// awayCost is what a VM's own engines may be dearer before it turns to one where
	// it is next in line, and so on for each further place: five runs more, and less
	// than half of a second prompt.
	awayCost = 400.0
	// farCost is what an engine in the VM's own zone may be dearer than one elsewhere. A
	// link between zones that loses packets delays every stream that crosses it by some
	// tenths of a second at an event in twenty; an engine's next run delays none by much.
	farCost = 120.0
	// tieMS: costs that differ by less are equal, and chance decides, so that VMs
	// with the same reports do not all choose the same engine.
	tieMS = 40.0
	// avoidCost goes before every other cost.
	avoidCost = 1e6
)

// streamCost is the delay that a stream meets, and brings about, at a candidate.
func streamCost(c *Candidate, n Need) float64 {
	cost := float64(c.Usage.PendingPrompt)/promptPerMS + perRequest*float64(c.Usage.Requests)
	if c.Slowdown > 1 {
		cost = (cost + float64(n.Prompt)/promptPerMS) * c.Slowdown
	}
	cost += memoryCost(c, n) + awayCost*float64(c.RendezvousRank)
	if c.OtherZone {
		cost += farCost
	}
	if c.Avoid {
		cost += avoidCost
	}
	return cost
}

// memoryCost is the delay by memory that is taken.
func memoryCost(c *Candidate, n Need) float64 {
	if c.KVTokens == 0 {
		return 0
	}
	taken := float64(c.Usage.Tokens + n.Tokens())
	return fullCost * max(0, taken/float64(c.KVTokens)-fullShare)
}

// Engine chooses for a stream; -1: there is no candidate.
func ChooseEngine(all []Candidate, n Need, rng func(n int) int) int {
	return cheapest(all, rng, func(c *Candidate) (float64, bool) { return streamCost(c, n), true })
}

// copyShare is how much of an engine's memory may be taken after a copy: what
// is left is for the runs that resume there.
const copyShare = 0.85

// Copy chooses the engine that keeps a copy of a run: in another zone than the
// run, since a zone's engines die together. -1: none has room.
func ChooseBackupEngine(all []Candidate, zone string, n Need, rng func(n int) int) int {
	return cheapest(all, rng, func(c *Candidate) (float64, bool) {
		room := float64(c.Usage.Tokens+n.Tokens()) <= copyShare*float64(c.KVTokens)
		ok := c.Zone != zone && !c.Avoid && room
		cost := 1000 * float64(c.Usage.Tokens) / float64(max(1, c.KVTokens))
		if c.RendezvousRank > 0 {
			cost += awayCost / 2
		}
		return cost, ok
	})
}

// cheapest chooses by a cost in ms; candidates for which it reports false are out.
func cheapest(all []Candidate, rng func(n int) int, cost func(*Candidate) (float64, bool)) int {
	costs := make([]float64, len(all))
	for i := range all {
		c, ok := cost(&all[i])
		if !ok {
			c = out
		}
		costs[i] = c
	}
	return pick(costs, tieMS, rng, func(int) bool { return false })
}

// out stands for the cost of a candidate that must not be chosen.
const out = -1

// pick returns one of the least costs, by chance among those that differ by less than
// tie, and among these one that is preferred if there is any; -1: all are out.
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
