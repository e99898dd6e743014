package placement

import (
	"math"
	"time"
)

// This file places calls.
//
// The load pattern. A call takes some tens of milliseconds, and many VMs send a few
// calls a second each to a handful of servers. What they tell one another is half a
// second old: the calls that it speaks of are over. Placed by it, all VMs turn to the
// server that stood idle then, for as long as the news lasts, and some seconds of
// work queue up there while its neighbours wait. Placed at random a call would wait
// less.
//
// So news counts for as long as what it speaks of lasts. What this VM has under way
// is known exactly. What a server said in its last answer is worth the less the
// older it is, measured in calls; behind it stands the server's even share of all
// that is under way, which other VMs' old news states well enough.

// CallCandidate is a server as a VM knows it at the moment of a call.
type CallCandidate struct {
	Zone  string
	Slots int
	// Own and Others are the calls under way there, of this VM, and of the others
	// as they last told.
	Own, Others int
	// Reported is what the server's last answer said of other VMs' calls, ReportAge
	// ago.
	Reported  int
	ReportAge time.Duration
	// CallTime is how long a call takes there; 0: not known.
	CallTime time.Duration
	// Avoid and Slow are as a Candidate's.
	Avoid    bool
	Slowdown float64
}

const (
	// evenShare of a server's slots: loads that differ by less are equal. A quarter
	// of a call on six slots is far below what is known of them, and chance must
	// decide there, or one old report would draw every call of a VM.
	evenShare = 0.04
)

// Server chooses for a call the server with the least load that is to be expected
// for its slots; among equals, one in the VM's own zone; -1: there is no candidate. load
// is the part of its slots that is then taken.
func ChooseServer(all []CallCandidate, near string, rng func(n int) int) (i int, load float64) {
	perSlot := othersPerSlot(all)
	loads := make([]float64, len(all))
	for i := range all {
		loads[i] = expectedLoad(&all[i], perSlot)
	}
	i = pick(loads, evenShare, rng, func(i int) bool { return all[i].Zone == near })
	if i < 0 {
		return i, 0
	}
	load = loads[i]
	if all[i].Avoid {
		load -= avoidCost
	}
	return i, load
}

// othersPerSlot is the even share of other VMs' calls.
func othersPerSlot(all []CallCandidate) float64 {
	calls, slots := 0, 0
	for i := range all {
		calls += all[i].Others
		slots += max(1, all[i].Slots)
	}
	return float64(calls) / float64(max(1, slots))
}

// expectedLoad is the part of a server's slots that is taken once the call is there.
func expectedLoad(c *CallCandidate, perSlot float64) float64 {
	slots := float64(max(1, c.Slots))
	others := perSlot * slots
	others += freshness(c) * (float64(c.Reported) - others)
	load := (float64(c.Own) + others + 1) / slots * max(1, c.Slowdown)
	if c.Avoid {
		load += avoidCost
	}
	return load
}

// freshness is the part of the calls of a report that are still under way, where
// their times are distributed exponentially.
func freshness(c *CallCandidate) float64 {
	if c.CallTime <= 0 {
		return 0
	}
	return math.Exp(-float64(c.ReportAge) / float64(c.CallTime))
}
