package endpoints

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
)

const (
	// zonePreference multiplies the weight of the VMs of the caller's zone.
	zonePreference = 1.25
	// minNames is the least number of VMs in an answer, as far as there are as many. A caller
	// has others to try while some of them restart.
	minNames = 8
)

// Candidate is a VM that may be named to a caller.
type Candidate struct {
	Address string
	Zone    string // empty: no caller prefers it
	Weight  uint16
}

// drawn is a candidate with its weight for one caller.
type drawn struct {
	address string
	weight  float64
}

// Sequence is a sequence of numbers in [0, 1) that are evenly spread already over a few of
// them, unlike random ones. With random numbers, the callers that hold a VM's name vary by a
// tenth, which adds up to a fifth to the load of the busiest of 72 VMs. Safe for concurrent use.
type Sequence struct {
	start float64
	drawn atomic.Uint64
}

// NewSequence returns a Sequence. start in [0, 1) should differ between control VMs.
func NewSequence(start float64) *Sequence { return &Sequence{start: start} }

// Next returns the next number.
func (s *Sequence) Next() float64 {
	const period = 1 << 24 // keeps the product exact enough
	_, f := math.Modf(s.start + float64(s.drawn.Add(1)%period)*math.Phi)
	return f
}

// Choose draws at most limit VMs without replacement and returns their addresses, sorted. A
// caller spreads its requests evenly over the names. Each VM is therefore named with a
// probability in proportion to its weight, as far as that is below 1. callerZone may be empty.
// rng returns numbers in [0, 1) of a Sequence, or random ones.
func Choose(vms []Candidate, limit int, callerZone string, rng func() float64) []string {
	rest := make([]drawn, 0, len(vms))
	for _, vm := range vms {
		d := drawn{vm.Address, float64(max(1, vm.Weight))}
		if callerZone != "" && vm.Zone == callerZone {
			d.weight *= zonePreference
		}
		rest = append(rest, d)
	}
	n := min(names(rest), limit)
	if n <= 0 {
		return nil
	}
	certain, rest := takeCertain(rest, n)
	out := append(certain, drawSystematic(rest, n-len(certain), rng)...)
	slices.Sort(out)
	return out
}

// names returns how many VMs an answer names. With equal weights these are all. Otherwise it
// is the largest number with which no probability exceeds 1, within at most half of the VMs
// and at least minNames.
func names(vms []drawn) int {
	total, largest := 0.0, 0.0
	smallest := 0.0
	for i, vm := range vms {
		total, largest = total+vm.weight, max(largest, vm.weight)
		if i == 0 || vm.weight < smallest {
			smallest = vm.weight
		}
	}
	if smallest == largest {
		return len(vms)
	}
	return min(max(min(int(total/largest), len(vms)/2), minNames), len(vms))
}

// takeCertain separates the VMs whose weight is at least an n-th of the total, one after the
// other: an answer with n names must name them. It keeps the order of the others.
func takeCertain(vms []drawn, n int) (certain []string, rest []drawn) {
	byWeight := slices.Clone(vms)
	slices.SortFunc(byWeight, func(a, b drawn) int { return cmp.Compare(b.weight, a.weight) })
	total := 0.0
	for _, vm := range vms {
		total += vm.weight
	}
	smallest := math.Inf(1) // weight of the certain ones
	for i := 0; i < n && i < len(vms) && byWeight[i].weight*float64(n-i) >= total; i++ {
		smallest, total = byWeight[i].weight, total-byWeight[i].weight
	}
	for _, vm := range vms {
		if vm.weight >= smallest && len(certain) < n {
			certain = append(certain, vm.address)
			continue
		}
		rest = append(rest, vm)
	}
	return certain, rest
}

// drawSystematic draws n VMs, each with a probability in proportion to its weight: it lays
// them in order on a line, with their weights as lengths, and takes those at n evenly spaced
// points. In the order of addresses, the VMs of an answer are spread over the zones.
func drawSystematic(vms []drawn, n int, rng func() float64) []string {
	if n <= 0 || len(vms) == 0 {
		return nil
	}
	total := 0.0
	for _, vm := range vms {
		total += vm.weight
	}
	step := total / float64(n)
	var out []string
	point, end := rng()*step, 0.0
	for _, vm := range vms {
		if end += vm.weight; end > point && len(out) < n {
			out = append(out, vm.address)
			point += step
		}
	}
	return out
}
