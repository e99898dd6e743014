// Package endpoints decides which VMs callers are directed to. It is pure: time and
// randomness are inputs.
//
// The overload. With equal chances, a VM with a third of the processor gets as many callers
// as the others: at half the load of all VMs together it is at nine tenths of its limit.
//
// Therefore a VM is named in proportion to its weight: its capacity, less what is in use. An
// answer names so few VMs that the names differ between answers. Weights follow from
// heartbeats and from when a VM joined alone. All control VMs thereby give the same.
package endpoints

import (
	"math"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
)

const (
	// minRatio is the ratio of the largest to the smallest VM from which VMs are weighted.
	// Below it, chance makes larger differences than size.
	minRatio = 1.5
	// controlShare is the share of its processor that the router next to a control process
	// can count on.
	controlShare = 0.5
	// maxGain bounds the relative change of a weight for a relative change of the load, which
	// is load/(1 - load) without it. Callers keep addresses for 5 to 15 s and loads are
	// smoothed over 5 s. With such a delay, a gain of 9 at a load of 0.9 makes weights
	// oscillate.
	maxGain = 1
	// floorShare is the smallest weight, as a share of the mean. Each VM keeps getting some
	// callers, by which its load is measured.
	floorShare = 0.25
	// rampTime is the time in which a VM that joined reaches its weight. Its load is low until
	// callers have come, and until then all of them would be directed to it.
	rampTime = 10 * time.Second
	// loadMaxAge is the age from which a load is unknown.
	loadMaxAge = 2 * time.Second
	// zoneLimit is the ratio of a zone's load to that of all VMs above which no caller is
	// directed to the VMs of its own zone rather than to others.
	zoneLimit = 1.1
	// MeanWeight is the weight of a VM with the mean weight.
	MeanWeight = 1000
)

// VM is what a control VM knows of a VM that accepts callers.
type VM struct {
	Zone        string
	Size        capacity.Size
	Load        uint16 // thousandths; 0: unknown
	LoadAge     time.Duration
	SinceJoined time.Duration
	OnControl   bool // a control process runs on the same VM
}

// Weights are the chances of VMs to be named to callers.
type Weights struct {
	// On reports whether VMs differ so much that they are weighted.
	On      bool
	Weights []uint16 // by VM; MeanWeight is the mean
	// MeanLoad is the mean load of all VMs in thousandths; 0: unknown.
	MeanLoad uint16
	// PreferZone reports that callers may be directed to the VMs of their own zone.
	PreferZone bool
}

// Weigh returns the weights of VMs. Its work is linear in their number.
func Weigh(vms []VM) Weights {
	if !sizesDiffer(vms) {
		return Weights{}
	}
	capacities, loads := relativeCapacities(vms), knownLoads(vms)
	out := Weights{On: true, MeanLoad: capacity.Thousandths(mean(loads)), PreferZone: zonesAreEven(vms, capacities, loads)}
	weights, full := make([]float64, len(vms)), fullLoad(mean(loads))
	for i, load := range loads {
		weights[i] = capacities[i] * (full - min(load, full))
	}
	average := mean(weights)
	floor := floorShare * average
	for i, w := range weights {
		ramped := floor + (w-floor)*min(1, max(0, vms[i].SinceJoined.Seconds()/rampTime.Seconds()))
		out.Weights = append(out.Weights, uint16(min(math.Round(MeanWeight*max(floor, ramped)/average), math.MaxUint16)))
	}
	return out
}

// fullLoad returns the load at which a VM has no headroom: 1, or more where maxGain requires it.
// With all VMs at their limits, callers then spread by capacity alone.
func fullLoad(mean float64) float64 { return max(1, mean*(1+1/float64(maxGain))) }

// sizesDiffer reports whether the VMs without a control process state processors or links of
// which the largest is at least minRatio times the smallest.
func sizesDiffer(vms []VM) bool {
	differ := func(value func(capacity.Size) uint16) bool {
		smallest, largest := math.Inf(1), 0.0
		for _, vm := range vms {
			if v := float64(value(vm.Size)); v > 0 && !vm.OnControl {
				smallest, largest = min(smallest, v), max(largest, v)
			}
		}
		return largest >= minRatio*smallest
	}
	return differ(func(s capacity.Size) uint16 { return s.Cores }) || differ(func(s capacity.Size) uint16 { return s.Link })
}

// relativeCapacities returns the capacity of each VM: that of its scarcer resource, relative to
// the mean of the VMs without a control process. Those with one often have a link of their own
// class, which would make the links of all others look scarce. A VM that states nothing counts
// as the mean.
func relativeCapacities(vms []VM) []float64 {
	meanCores := meanSize(vms, func(s capacity.Size) uint16 { return s.Cores })
	meanLink := meanSize(vms, func(s capacity.Size) uint16 { return s.Link })
	out := make([]float64, len(vms))
	for i, vm := range vms {
		cores, link := float64(vm.Size.Cores), float64(vm.Size.Link)
		if vm.OnControl {
			cores *= controlShare
		}
		out[i] = math.Inf(1)
		if cores > 0 && meanCores > 0 {
			out[i] = cores / meanCores
		}
		if link > 0 && meanLink > 0 {
			out[i] = min(out[i], link/meanLink)
		}
		if math.IsInf(out[i], 1) {
			out[i] = 1
		}
	}
	return out
}

// meanSize returns the mean over the VMs without a control process that state a resource.
func meanSize(vms []VM, of func(capacity.Size) uint16) float64 {
	var stated []float64
	for _, vm := range vms {
		if !vm.OnControl {
			stated = append(stated, float64(of(vm.Size)))
		}
	}
	return meanOfPositive(stated)
}

// knownLoads returns the load of each VM as a share. An unknown or old one counts as the mean
// of the others; if none is known, all are 0. A router next to a control process measures its
// load by the whole processor, of which it can count on controlShare.
func knownLoads(vms []VM) []float64 {
	out := make([]float64, len(vms))
	for i, vm := range vms {
		if vm.LoadAge <= loadMaxAge {
			out[i] = float64(vm.Load) / 1000
			if vm.OnControl {
				out[i] /= controlShare
			}
			out[i] = min(out[i], 1)
		}
	}
	average := meanOfPositive(out)
	for i := range out {
		if out[i] == 0 {
			out[i] = average
		}
	}
	return out
}

// zonesAreEven reports whether no zone's load exceeds that of all VMs by zoneLimit.
func zonesAreEven(vms []VM, capacities, loads []float64) bool {
	type sum struct{ used, size float64 }
	zones := map[string]sum{}
	var all sum
	for i, vm := range vms {
		z := zones[vm.Zone]
		used := capacities[i] * loads[i]
		zones[vm.Zone] = sum{z.used + used, z.size + capacities[i]}
		all = sum{all.used + used, all.size + capacities[i]}
	}
	for _, z := range zones {
		if z.used*all.size > zoneLimit*all.used*z.size {
			return false
		}
	}
	return all.used > 0
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

func meanOfPositive(values []float64) float64 {
	total, n := 0.0, 0
	for _, v := range values {
		if v > 0 {
			total += v
			n++
		}
	}
	return total / float64(max(1, n))
}
