package placement

import (
	"math"
	"time"
)

// Placement of calls.
//
// The overload. A call takes some tens of milliseconds, and many VMs send a few calls per
// second each to a handful of servers. Their reports about one another are half a second
// old: the calls in them have already ended. Placed by these reports, the calls of all
// VMs go to the server that was idle then until new reports arrive, and a backlog of some
// seconds builds up there while its neighbours are idle. Random placement would give
// shorter waits.
//
// A report therefore counts only for as long as the calls in it last. This VM's own calls
// in flight are known exactly. What a server reported in its last answer loses weight
// with its age, measured in call durations. It is replaced by the server's even share of
// all calls in flight, for which even the old reports of other VMs are accurate enough.

// CallCandidate is a server as a VM knows it when it places a call.
type CallCandidate struct {
	Zone  string
	Slots int
	// Own and Others count the calls in flight on the server: those of this VM, and those
	// of the other VMs by their last reports.
	Own, Others int
	// Reported is the number of other VMs' calls by the server's last answer, ReportAge
	// ago.
	Reported  int
	ReportAge time.Duration
	// CallTime is the duration of a call on the server; 0: unknown.
	CallTime time.Duration
	// Avoid and Slowdown are as in Candidate.
	Avoid    bool
	Slowdown float64
	// StatedSlowdown is how many times longer than usual work took on the server's machine
	// by its last answer, ReportAge ago; 0: not stated.
	StatedSlowdown float64
}

const (
	// equalLoadMargin is the difference in load, as a share of a server's slots, below
	// which loads count as equal. A quarter of a call on six slots is well below the
	// accuracy of the reports. The choice must then be random, or one old report would
	// draw every call of a VM.
	equalLoadMargin = 0.04
	// slowdownDecay is the age at which a stated slowdown has lost about two thirds of its
	// weight.
	slowdownDecay = 200 * time.Millisecond
	// maxStatedSlowdown bounds the weight of one statement.
	maxStatedSlowdown = 10
)

// ChooseServer returns the index of the server with the lowest expected load relative to
// its slots, and among equals one in the VM's own zone; -1: there is no candidate. load
// is the share of its slots that is taken once the call is there.
func ChooseServer(all []CallCandidate, ownZone string, rng func(n int) int) (i int, load float64) {
	perSlot := othersPerSlot(all)
	loads := make([]float64, len(all))
	for i := range all {
		loads[i] = expectedLoad(&all[i], perSlot)
	}
	i = pick(loads, equalLoadMargin, rng, func(i int) bool { return all[i].Zone == ownZone })
	if i < 0 {
		return i, 0
	}
	load = loads[i]
	if all[i].Avoid {
		load -= avoidPenalty
	}
	return i, load
}

// othersPerSlot is the mean number of other VMs' calls per slot.
func othersPerSlot(all []CallCandidate) float64 {
	calls, slots := 0, 0
	for i := range all {
		calls += all[i].Others
		slots += max(1, all[i].Slots)
	}
	return float64(calls) / float64(max(1, slots))
}

// expectedLoad is the share of a server's slots that is taken once the call is there.
func expectedLoad(c *CallCandidate, perSlot float64) float64 {
	slots := float64(max(1, c.Slots))
	others := perSlot * slots
	others += freshness(c) * (float64(c.Reported) - others)
	load := (float64(c.Own) + others + 1) / slots * max(1, c.Slowdown, statedSlowdown(c))
	if c.Avoid {
		load += avoidPenalty
	}
	return load
}

// statedSlowdown is the slowdown to expect of a server by its last statement.
func statedSlowdown(c *CallCandidate) float64 {
	if c.StatedSlowdown <= 1 {
		return 1
	}
	weight := math.Exp(-float64(c.ReportAge) / float64(slowdownDecay))
	return 1 + weight*(min(c.StatedSlowdown, maxStatedSlowdown)-1)
}

// freshness is the expected share of the reported calls that are still in flight, if
// their durations are distributed exponentially.
func freshness(c *CallCandidate) float64 {
	if c.CallTime <= 0 {
		return 0
	}
	return math.Exp(-float64(c.ReportAge) / float64(c.CallTime))
}
