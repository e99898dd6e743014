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

func none(string) bool { return false }

func entry(vms []membership.VM, workspace, zone string, caller int) []string {
	var out []string
	q := membership.EndpointQuery{Workspace: workspace, Zone: zone, Caller: fmt.Sprint(caller)}
	for _, vm := range membership.EndpointsFor(vms, none, q) {
		out = append(out, vm.ID)
	}
	return out
}

// A hot workspace's thousand callers start on three VMs, a third each; none is
// alone with them. The other workspaces' first VMs spread over all.
func TestEntrySpreadsCallersAndWorkspaces(t *testing.T) {
	vms := routers(11)
	first := map[string]int{}
	for caller := range 1000 {
		first[entry(vms, "large", "", caller)[0]]++
	}
	for vm, n := range first {
		if n < 250 || n > 420 {
			t.Errorf("%s is first for %d of 1000 callers", vm, n)
		}
	}
	all := map[string]int{}
	for w := range 1100 {
		all[entry(vms, fmt.Sprint("w", w), "", w)[0]]++
	}
	for _, vm := range vms {
		if n := all[vm.ID]; n < 50 || n > 150 {
			t.Errorf("%s is first for %d of 1100 workspaces, want about 100", vm.ID, n)
		}
	}
	if len(first) != 3 {
		t.Errorf("callers of one workspace start on %d VMs, want 3", len(first))
	}
}

// The answer stays as it was when VMs that it does not name come or go, and
// loses only those that go. It names each zone and the caller's own first.
func TestEntryIsStable(t *testing.T) {
	vms := routers(11)
	moved := 0
	for w := range 200 {
		name := fmt.Sprint("w", w)
		before := entry(vms, name, "z1", w)
		if len(before) != 5 || before[0] == before[1] {
			t.Fatalf("answer %v", before)
		}
		var n int
		_, _ = fmt.Sscanf(before[0], "vm%d", &n)
		if n%3 != 1 {
			t.Fatalf("%s is not in the caller's zone", before[0])
		}
		vms[3].State = membership.Dead
		if fmt.Sprint(before) != fmt.Sprint(entry(vms, name, "z1", w)) {
			moved++
		}
		vms[3].State = membership.Live
	}
	if moved > 200*6/11 {
		t.Errorf("%d of 200 answers changed with one VM of 11", moved)
	}
}

// Leaving and dead VMs are left out; where all are leaving, they are still
// better than no address.
func TestEntryExcludesLeavingVMs(t *testing.T) {
	vms := routers(4)
	vms[0].State, vms[1].State = membership.Leaving, membership.Dead
	avoid := func(vm string) bool { return vm == id(2) }
	got := membership.EndpointsFor(vms, avoid, membership.EndpointQuery{Workspace: "w"})
	if len(got) != 1 || got[0].ID != id(3) {
		t.Errorf("got %v, want the one that stays", got)
	}
	vms[3].State = membership.Leaving
	if got := membership.EndpointsFor(vms, avoid, membership.EndpointQuery{Workspace: "w"}); len(got) != 3 {
		t.Errorf("got %v, want all but the dead", got)
	}
}
