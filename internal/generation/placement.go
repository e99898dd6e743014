package generation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replication factors of a journal (design section 4): five keepers survive any
// two VMs at once, or a zone; a small system keeps three.
const (
	KeepersMany = 5
	KeepersFew  = 3
)

// Candidate is a VM that may keep journals.
type Candidate struct {
	VM   string
	Zone string
}

// Keepers returns how many keepers a journal has among n VMs.
func Keepers(n int) int {
	switch {
	case n >= KeepersMany:
		return KeepersMany
	case n >= KeepersFew:
		return KeepersFew
	default:
		return 1
	}
}

// Place returns the keepers of a journal: the highest by rendezvous hash, with
// no zone holding a majority where the zones allow it. Without that bound the
// loss of one zone could take a journal's majority with it.
func Place(id RequestID, vms []Candidate) []string {
	if len(vms) == 0 {
		return nil
	}
	ranked := rank(id, vms)
	n := Keepers(len(vms))
	perZone := max(1, (n-1)/2)
	return pick(ranked, n, perZone)
}

type ranked struct {
	Candidate
	score uint64
}

func rank(id RequestID, vms []Candidate) []ranked {
	key := id.String()
	out := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		out = append(out, ranked{vm, xxhash.Sum64String(key + "\x00" + vm.VM)})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.VM, b.VM))
	})
	return out
}

func pick(vms []ranked, n, perZone int) []string {
	zones := map[string]int{}
	var chosen, spare []string
	for _, vm := range vms {
		if len(chosen) == n {
			break
		}
		if zones[vm.Zone] >= perZone {
			spare = append(spare, vm.VM)
			continue
		}
		zones[vm.Zone]++
		chosen = append(chosen, vm.VM)
	}
	missing := min(n-len(chosen), len(spare))
	return append(chosen, spare[:missing]...)
}
