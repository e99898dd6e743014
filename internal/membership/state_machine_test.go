package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

type testList struct {
	t   *testing.T
	sm  *membership.StateMachine
	now int64
}

// newTestList returns a list of n VMs in three zones.
func newTestList(t *testing.T, n int) *testList {
	l := &testList{t, membership.NewStateMachine(), 1_800_000_000_000}
	for i := range n {
		l.join(i, "1", n)
	}
	return l
}

func id(i int) string { return fmt.Sprintf("vm%03d", i) }

func (l *testList) join(i int, incarnation string, expected int) {
	l.sm.Execute(l.now, &membership.Command{Join: &membership.Join{
		VM:       membership.VM{ID: id(i), Incarnation: incarnation, Zone: fmt.Sprint("z", i%3), Router: true, PeerAddr: "127.0.0.1:1"},
		Expected: expected,
	}})
}

func (l *testList) suspect(vm, observer int, absent bool) {
	l.sm.Execute(l.now, &membership.Command{Suspect: &membership.Suspect{
		VM: id(vm), Incarnation: "1", Observer: id(observer), Absent: absent,
	}})
}

func (l *testList) history() *membership.History {
	l.t.Helper()
	var h membership.History
	if err := h.Apply(l.sm.Changes(0)); err != nil {
		l.t.Fatal(err)
	}
	return &h
}

func (l *testList) current() membership.View { return l.history().Current() }

func (l *testList) state(i int) membership.State {
	v := l.current()
	vm, _ := v.Find(id(i))
	return vm.State
}

func (l *testList) dead() int {
	n := 0
	for _, vm := range l.current().VMs {
		if vm.State == membership.Dead {
			n++
		}
	}
	return n
}

// An observer with a broken link, or all observers in one zone, must not evict a healthy VM.
// Evidence from two zones within seconds evicts it. The VM becomes live again when it joins
// under the same incarnation.
func TestEvictionNeedsTwoZones(t *testing.T) {
	l := newTestList(t, 9)
	l.suspect(0, 1, false)
	l.suspect(0, 4, false) // the same zone
	l.now += 10_000
	l.suspect(0, 2, false) // the first evidence has expired
	if got := l.state(0); got != membership.Live {
		t.Fatalf("got state %d after evidence from one zone at a time, want Live", got)
	}
	l.suspect(0, 1, false)
	if got := l.state(0); got != membership.Dead {
		t.Fatalf("got state %d after evidence from two zones, want Dead", got)
	}
	l.suspect(1, 0, false)
	l.suspect(1, 2, false)
	if got := l.state(1); got != membership.Live {
		t.Error("evidence from a dead observer evicted a VM")
	}
	before := l.sm.Version()
	l.join(0, "1", 9)
	if got := l.state(0); got != membership.Live || l.sm.Version() != before+1 {
		t.Errorf("got state %d and version %d after the VM joined again, want Live and one more version", got, l.sm.Version())
	}
	l.join(0, "1", 9)
	if l.sm.Version() != before+1 {
		t.Error("a repeated join created a version")
	}
}

// In a partition between two regions, observers in one region suspect all VMs of the other
// one again and again. No more than maxDeadShare may be evicted, or all callers of a healthy
// half would move to the other half and overload it.
func TestRegionCutEvictsLessThanHalf(t *testing.T) {
	for _, n := range []int{3, 6, 11, 30, 330} {
		l := newTestList(t, n)
		for second := range 600 {
			l.now += 1000
			vm := n/2 + second%(n-n/2)
			l.suspect(vm, 0, false)
			l.suspect(vm, 1, false)
		}
		if got, most := l.dead(), max(1, n*2/5); got == 0 || got > most {
			t.Errorf("got %d of %d VMs evicted, want 1 to %d", got, n, most)
		}
	}
}

// The bounds of evictions must not delay the loss of one zone of three: all of its VMs are
// evicted within a minute.
func TestZoneLossIsWithinTheLimits(t *testing.T) {
	l := newTestList(t, 12)
	for vm := 0; vm < 12; vm += 3 {
		l.suspect(vm, 1, false)
		l.suspect(vm, 2, false)
	}
	if got := l.dead(); got != 4 {
		t.Errorf("got %d VMs of the lost zone evicted, want 4", got)
	}
}

// A dead VM may still hold journals and stays a candidate for them. It is removed only once
// the platform does not list it either.
func TestRemovalNeedsThePlatformToo(t *testing.T) {
	l := newTestList(t, 9)
	for range 200 {
		l.now += 1000
		l.suspect(0, 1, false)
		l.suspect(0, 2, false)
	}
	if l.state(0) != membership.Dead {
		t.Fatal("the VM is not listed as dead although the platform lists it")
	}
	l.now += 1000
	l.suspect(0, 1, true)
	l.suspect(0, 2, true)
	if _, ok := func() (membership.VM, bool) { v := l.current(); return v.Find(id(0)) }(); ok {
		t.Error("the VM is still listed although the platform no longer lists it")
	}
}

// Versions only grow. The versions by which journals may have been placed are retained, and
// a control VM that restores a snapshot holds the same list.
func TestVersionsAreKeptAndRestored(t *testing.T) {
	l := newTestList(t, 6)
	formed := l.sm.Version()
	if got := len(l.history().Views()); got != 2 {
		t.Errorf("got %d views after five and then six VMs joined, want 2", got)
	}
	for i := range 300 {
		l.now += time.Second.Milliseconds()
		l.join(i%6, fmt.Sprint("restart", i), 6)
	}
	h := l.history()
	if got := len(h.Views()); got != 256 || h.Current().Version != formed+300 || !h.Formed() {
		t.Errorf("got %d views and version %d, want 256 views, 300 more versions and a formed list", got, h.Current().Version)
	}
	data, err := l.sm.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := membership.NewStateMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if string(restored.Changes(0)) != string(l.sm.Changes(0)) {
		t.Error("the restored list differs from the original")
	}
	l.now += time.Hour.Milliseconds()
	l.join(0, "last", 6)
	if got := len(l.history().Views()); got != 16 {
		t.Errorf("got %d views after an hour, want 16", got)
	}
}

// When all VMs shut down and start again one by one, the list counts as formed only once
// enough VMs are back. Journals would otherwise be placed on the first VM alone.
func TestListFormsAgainAfterAllLeft(t *testing.T) {
	l := newTestList(t, 3)
	for i := range 3 {
		l.sm.Execute(l.now, &membership.Command{Leave: &membership.Leave{VM: id(i), Incarnation: "1", Left: true}})
	}
	for i := range 3 {
		if l.history().Formed() {
			t.Errorf("the list is formed with %d VMs, want 3", i)
		}
		l.join(i, "2", 3)
	}
	if h := l.history(); !h.Formed() || len(h.Views()) != 1 {
		t.Errorf("got formed %v with %d views after all VMs are back, want true with 1", h.Formed(), len(h.Views()))
	}
}

// Each VM has observers in three zones, no VM observes many others, and the removal of a VM
// changes few of the observers.
func TestObserversAreSpreadAndStable(t *testing.T) {
	vms := newTestList(t, 330).current().VMs
	most, changed := 0, 0
	for i, vm := range vms {
		if i%10 != 0 {
			continue
		}
		most = max(most, len(membership.ProbeTargets(vm.ID, vms)))
		zones := map[string]bool{}
		before := membership.ObserversOf(vm.ID, vms)
		for _, o := range before {
			var n int
			_, _ = fmt.Sscanf(o, "vm%d", &n)
			zones[fmt.Sprint(n%3)] = true
		}
		if len(zones) != membership.ObserversPerVM {
			t.Fatalf("%s has observers in %d zones, want 3", vm.ID, len(zones))
		}
		if fmt.Sprint(before) != fmt.Sprint(membership.ObserversOf(vm.ID, vms[1:])) {
			changed++
		}
	}
	if most > 12 || changed > 4 {
		t.Errorf("a VM probes up to %d others, want at most 12; the observers of %d of 33 VMs changed, want at most 4", most, changed)
	}
}
