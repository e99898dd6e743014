package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of endpoints that a caller gets. The callers of a workspace spread over three VMs
// at a time, which keeps its caches warm and its grants few. Two spare endpoints follow for
// the case that the first ones fail.
const (
	primaryEndpoints = 3
	spareEndpoints   = 2
)

// EndpointQuery describes the caller that asks for endpoints.
type EndpointQuery struct {
	Workspace string
	Zone      string // zone of the caller; empty: unknown
	Caller    string // distinguishes the callers of a workspace to spread them
}

// EndpointsFor returns the VMs that a caller should use, in order of preference. avoid
// reports VMs that are leaving according to another source, such as the platform.
//
// It answers the load of a hot workspace that has most of the callers: there is no load
// balancer, and each caller keeps its answer for seconds. Without the spread, all callers of
// the workspace use one VM. With a random order for each answer, every VM needs a grant and
// a cache for every workspace. Rendezvous hashing keeps the choice stable: the removal of a
// VM changes only the answers that named it.
func EndpointsFor(vms []VM, avoid func(id string) bool, q EndpointQuery) []VM {
	candidates := usable(vms, func(vm VM) bool { return vm.State == Live && !avoid(vm.ID) })
	if len(candidates) == 0 {
		// A leaving VM is better than no address.
		candidates = usable(vms, func(vm VM) bool { return vm.State != Dead })
	}
	chosen := ChooseAcrossZones(q.Workspace, candidates, primaryEndpoints+spareEndpoints)
	chosen = includeCallerZone(chosen, candidates, q)
	first := min(primaryEndpoints, len(chosen))
	rotate(chosen[:first], xxhash.Sum64String(q.Caller))
	slices.SortStableFunc(chosen, func(a, b VM) int { return zoneDistance(a, q.Zone) - zoneDistance(b, q.Zone) })
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

// includeCallerZone replaces the last chosen VM by one of the caller's zone if none of the
// chosen VMs is in that zone and the candidates have one.
func includeCallerZone(chosen, candidates []VM, q EndpointQuery) []VM {
	near := func(vm VM) bool { return vm.Zone == q.Zone }
	if q.Zone == "" || slices.ContainsFunc(chosen, near) {
		return chosen
	}
	var local []VM
	for _, vm := range candidates {
		if near(vm) {
			local = append(local, vm)
		}
	}
	if len(local) == 0 {
		return chosen
	}
	return append(ChooseAcrossZones(q.Workspace, local, 1), chosen[:len(chosen)-1]...)
}

func zoneDistance(vm VM, zone string) int {
	if zone == "" || vm.Zone == zone {
		return 0
	}
	return 1
}

// rotate makes the order start at an index that the caller's hash picks.
func rotate(vms []VM, hash uint64) {
	if len(vms) == 0 {
		return
	}
	at := int(hash % uint64(len(vms)))
	copy(vms, append(slices.Clone(vms[at:]), vms[:at]...))
}
