package membership_test

import (
	"fmt"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

func routers(n int) []membership.VM {
	var out []membership.VM
	for i := range n {
		out = append(out, membership.VM{
			ID: id(i), Zone: fmt.Sprint("z", i%3), Router: true, Endpoint: fmt.Sprint("10.0.0.", i), State: membership.Live,
		})
	}
	return out
}

func noneAvoided(string) bool { return false }

func endpointIDs(vms []membership.VM, workspace, zone string, caller int) []string {
	var out []string
	q := membership.EndpointQuery{Workspace: workspace, Zone: zone, Caller: fmt.Sprint(caller)}
	for _, vm := range membership.EndpointsFor(vms, noneAvoided, q) {
		out = append(out, vm.ID)
	}
	return out
}

// The callers of a hot workspace would overload a VM that all of them use first. Its
// thousand callers start on three VMs, a third on each, and the first VMs of other
// workspaces spread over all VMs.
func TestEntrySpreadsCallersAndWorkspaces(t *testing.T) {
	vms := routers(11)
	first := map[string]int{}
	for caller := range 1000 {
		first[endpointIDs(vms, "large", "", caller)[0]]++
	}
	for vm, n := range first {
		if n < 250 || n > 420 {
			t.Errorf("%s is first for %d of 1000 callers, want 250 to 420", vm, n)
		}
	}
	all := map[string]int{}
	for w := range 1100 {
		all[endpointIDs(vms, fmt.Sprint("w", w), "", w)[0]]++
	}
	for _, vm := range vms {
		if n := all[vm.ID]; n < 50 || n > 150 {
			t.Errorf("%s is first for %d of 1100 workspaces, want 50 to 150", vm.ID, n)
		}
	}
	if len(first) != 3 {
		t.Errorf("got %d VMs on which callers of one workspace start, want 3", len(first))
	}
}

// An answer that changes with every VM loses the warm caches of its workspace. It changes
// only when a VM that it names fails, and the first VM is in the caller's zone.
func TestEntryIsStable(t *testing.T) {
	vms := routers(11)
	moved := 0
	for w := range 200 {
		name := fmt.Sprint("w", w)
		before := endpointIDs(vms, name, "z1", w)
		if len(before) != 5 || before[0] == before[1] {
			t.Fatalf("got answer %v, want 5 different VMs", before)
		}
		var n int
		_, _ = fmt.Sscanf(before[0], "vm%d", &n)
		if n%3 != 1 {
			t.Fatalf("got first VM %s, want one in the caller's zone", before[0])
		}
		vms[3].State = membership.Dead
		if fmt.Sprint(before) != fmt.Sprint(endpointIDs(vms, name, "z1", w)) {
			moved++
		}
		vms[3].State = membership.Live
	}
	if moved > 200*6/11 {
		t.Errorf("%d of 200 answers changed when one VM of 11 died, want at most 6 of 11", moved)
	}
}

// Callers do not get leaving and dead VMs. If every VM that is not dead is leaving, callers
// still get those instead of no address.
func TestEntryExcludesLeavingVMs(t *testing.T) {
	vms := routers(4)
	vms[0].State, vms[1].State = membership.Leaving, membership.Dead
	avoid := func(vm string) bool { return vm == id(2) }
	got := membership.EndpointsFor(vms, avoid, membership.EndpointQuery{Workspace: "w"})
	if len(got) != 1 || got[0].ID != id(3) {
		t.Errorf("got %v, want only the VM that is neither leaving nor dead", got)
	}
	vms[3].State = membership.Leaving
	if got := membership.EndpointsFor(vms, avoid, membership.EndpointQuery{Workspace: "w"}); len(got) != 3 {
		t.Errorf("got %v, want all VMs but the dead one", got)
	}
}
