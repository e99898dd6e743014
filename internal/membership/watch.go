package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Observers is how many VMs watch each VM. Three in three zones outvote one
// observer with a broken link, and cost each VM three probes a second however
// large the system is: no full mesh.
const ObserversPerVM = 3

// Watches returns the VMs that self has to probe: those for which it is one of
// the first by rendezvous hash, one of each zone first. Dead VMs are watched too,
// so that their return and their removal are seen.
func ProbeTargets(self string, vms []VM) []VM {
	var out []VM
	for _, subject := range vms {
		if subject.ID != self && slices.Contains(ObserversOf(subject.ID, vms), self) {
			out = append(out, subject)
		}
	}
	return out
}

// ObserversOf returns the VMs that probe one VM.
func ObserversOf(subject string, vms []VM) []string {
	able := make([]VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != subject && vm.State != Dead {
			able = append(able, vm)
		}
	}
	return ids(ChooseAcrossZones(subject, able, ObserversPerVM))
}

// Spread returns n VMs by rendezvous hash of a key, taking no zone twice before
// each has given one. A VM that comes or goes changes little of the order. It
// works in one pass for each of the n, without sorting: with 330 VMs each
// computes its watches from 330 such choices.
func ChooseAcrossZones(key string, vms []VM, n int) []VM {
	scores := make([]uint64, len(vms))
	buf := make([]byte, 0, 128)
	for i := range vms {
		buf = append(append(append(buf[:0], key...), 0), vms[i].ID...)
		scores[i] = xxhash.Sum64(buf)
	}
	used := make([]int, len(vms)) // how often the VM's zone was taken
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

// before orders VMs by how often their zone was taken, then by score.
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
