package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of an entry answer. A workspace uses three VMs at a time, so that its
// caches are warm and its grants are few, and its callers spread over them; two
// more are named for the time when the first ones are lost.
const (
	entrySpread = 3
	entrySpare  = 2
)

// EntryQuery is whom an entry answer is for.
type EndpointQuery struct {
	Workspace string
	Zone      string // of the caller; empty: unknown
	Caller    string // tells callers of one workspace apart, so that they spread
}

// EntryFor returns the VMs that a caller should use, in order of use. avoid
// names VMs that are on their way out by other sources, such as the platform.
//
// The load pattern: there is no balancer, each caller keeps its answer for
// seconds, and a hot workspace has most of the callers. Without the spread all
// of them sit on one VM; with a random order for each answer every VM needs a
// grant and a cache for every workspace. Rendezvous hashing keeps the choice
// stable: a VM that goes changes only the answers that named it.
func EndpointsFor(vms []VM, avoid func(id string) bool, q EndpointQuery) []VM {
	able := usable(vms, func(vm VM) bool { return vm.State == Live && !avoid(vm.ID) })
	if len(able) == 0 {
		// Better a leaving VM than no address at all.
		able = usable(vms, func(vm VM) bool { return vm.State != Dead })
	}
	chosen := ChooseAcrossZones(q.Workspace, able, entrySpread+entrySpare)
	chosen = withZone(chosen, able, q)
	first := min(entrySpread, len(chosen))
	rotate(chosen[:first], xxhash.Sum64String(q.Caller))
	slices.SortStableFunc(chosen, func(a, b VM) int { return far(a, q.Zone) - far(b, q.Zone) })
	return chosen
}

func usable(vms []VM, ok func(VM) bool) []VM {
	out := make([]VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Router && vm.Endpoint != "" && ok(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// withZone makes sure that a VM of the caller's zone is named, if there is one.
func withZone(chosen, able []VM, q EndpointQuery) []VM {
	near := func(vm VM) bool { return vm.Zone == q.Zone }
	if q.Zone == "" || slices.ContainsFunc(chosen, near) {
		return chosen
	}
	var there []VM
	for _, vm := range able {
		if near(vm) {
			there = append(there, vm)
		}
	}
	if len(there) == 0 {
		return chosen
	}
	return append(ChooseAcrossZones(q.Workspace, there, 1), chosen[:len(chosen)-1]...)
}

func far(vm VM, zone string) int {
	if zone == "" || vm.Zone == zone {
		return 0
	}
	return 1
}

// rotate starts the order at a place that the caller's hash picks.
func rotate(vms []VM, hash uint64) {
	if len(vms) == 0 {
		return
	}
	at := int(hash % uint64(len(vms)))
	copy(vms, append(slices.Clone(vms[at:]), vms[:at]...))
}
