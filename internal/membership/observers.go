package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ObserversPerVM is how many VMs probe each VM. Three observers in three zones outvote one
// with a broken link. They cost each VM three probes a second at any size of the system,
// unlike a full mesh.
const ObserversPerVM = 3

// ProbeTargets returns the VMs that self has to probe: those of which it is an observer.
// Dead VMs are probed too, to notice their return and to decide on their removal.
func ProbeTargets(self string, vms []VM) []VM {
	var out []VM
	for _, subject := range vms {
		if subject.ID != self && slices.Contains(ObserversOf(subject.ID, vms), self) {
			out = append(out, subject)
		}
	}
	return out
}

// ObserversOf returns the IDs of the VMs that probe subject: the first ones by rendezvous
// hash, one of each zone before a second of any.
func ObserversOf(subject string, vms []VM) []string {
	candidates := make([]VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != subject && vm.State != Dead {
			candidates = append(candidates, vm)
		}
	}
	return ids(ChooseAcrossZones(subject, candidates, ObserversPerVM))
}

// ChooseAcrossZones returns n VMs by rendezvous hash of a key, one of each zone before a
// second of any. The addition or removal of a VM changes little of the order. It makes one
// pass over the VMs for each of the n and does not sort, because with 330 VMs each VM
// computes its probe targets from 330 such choices.
func ChooseAcrossZones(key string, vms []VM, n int) []VM {
	scores := make([]uint64, len(vms))
	buf := make([]byte, 0, 128)
	for i := range vms {
		buf = append(append(append(buf[:0], key...), 0), vms[i].ID...)
		scores[i] = xxhash.Sum64(buf)
	}
	used := make([]int, len(vms)) // number of chosen VMs in the VM's zone
	chosen := make([]int, 0, n)
	for len(chosen) < min(n, len(vms)) {
		best := -1
		for i := range vms {
			if !slices.Contains(chosen, i) && (best < 0 || before(vms, scores, used, i, best)) {
				best = i
			}
		}
		chosen = append(chosen, best)
		for i := range vms {
			if vms[i].Zone == vms[best].Zone {
				used[i]++
			}
		}
	}
	out := make([]VM, 0, len(chosen))
	for _, i := range chosen {
		out = append(out, vms[i])
	}
	return out
}

// before orders VMs by the number of chosen VMs in their zone, then by descending score,
// then by ID.
func before(vms []VM, scores []uint64, used []int, a, b int) bool {
	if used[a] != used[b] {
		return used[a] < used[b]
	}
	if scores[a] != scores[b] {
		return scores[a] > scores[b]
	}
	return vms[a].ID < vms[b].ID
}

func ids(vms []VM) []string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, vm.ID)
	}
	return out
}
