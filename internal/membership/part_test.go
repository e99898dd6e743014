package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

type list struct {
	t    *testing.T
	part *membership.StateMachine
	now  int64
}

// system returns a list of n VMs over three zones.
func system(t *testing.T, n int) *list {
	l := &list{t, membership.NewStateMachine(), 1_800_000_000_000}
	for i := range n {
		l.join(i, "1", n)
	}
	return l
}

func id(i int) string { return fmt.Sprintf("vm%03d", i) }

func (l *list) join(i int, incarnation string, expected int) {
	l.part.Execute(l.now, &membership.Command{Join: &membership.Join{
		VM:       membership.VM{ID: id(i), Incarnation: incarnation, Zone: fmt.Sprint("z", i%3), Router: true, PeerAddr: "127.0.0.1:1"},
		Expected: expected,
	}})
}

func (l *list) suspect(vm, observer int, absent bool) {
	l.part.Execute(l.now, &membership.Command{Suspect: &membership.Suspect{
		VM: id(vm), Incarnation: "1", Observer: id(observer), Absent: absent,
	}})
}

func (l *list) history() *membership.History {
	l.t.Helper()
	var h membership.History
	if err := h.Apply(l.part.Changes(0)); err != nil {
		l.t.Fatal(err)
	}
	return &h
}

func (l *list) present() membership.View { return l.history().Current() }

func (l *list) state(i int) membership.State {
	v := l.present()
	vm, _ := v.Find(id(i))
	return vm.State
}

func (l *list) dead() int {
	n := 0
	for _, vm := range l.present().VMs {
		if vm.State == membership.Dead {
			n++
		}
	}
	return n
}

// One observer with a broken link, or all those of one zone, cannot take a
// healthy VM out; observers in two zones within seconds of each other do. It
// comes back by joining again, with the memory it had.
func TestEvictionNeedsTwoZones(t *testing.T) {
	l := system(t, 9)
	l.suspect(0, 1, false)
	l.suspect(0, 4, false) // the same zone
	l.now += 10_000
	l.suspect(0, 2, false) // the first evidence is too old by now
	if got := l.state(0); got != membership.Live {
		t.Fatalf("state %d after evidence from one zone at a time", got)
	}
	l.suspect(0, 1, false)
	if got := l.state(0); got != membership.Dead {
		t.Fatalf("state %d after evidence from two zones", got)
	}
	l.suspect(1, 0, false)
	l.suspect(1, 2, false)
	if got := l.state(1); got != membership.Live {
		t.Error("a dead VM's evidence counted")
	}
	before := l.part.Version()
	l.join(0, "1", 9)
	if got := l.state(0); got != membership.Live || l.part.Version() != before+1 {
		t.Errorf("state %d, version %d after it came back", got, l.part.Version())
	}
	l.join(0, "1", 9)
	if l.part.Version() != before+1 {
		t.Error("a repeated join made a version")
	}
}

// Two regions lose each other: everybody on one side suspects the whole other
// half, over and over. No more than the stated share goes, or the callers of a
// healthy half would all move to the other.
func TestRegionCutEvictsLessThanHalf(t *testing.T) {
	for _, n := range []int{3, 6, 11, 30, 330} {
		l := system(t, n)
		for second := range 600 {
			l.now += 1000
			vm := n/2 + second%(n-n/2)
			l.suspect(vm, 0, false)
			l.suspect(vm, 1, false)
		}
		if got, most := l.dead(), max(1, n*2/5); got == 0 || got > most {
			t.Errorf("%d of %d VMs evicted, want 1 to %d", got, n, most)
		}
	}
}

// A zone of three goes: its VMs are out within the minute.
func TestZoneLossIsWithinTheLimits(t *testing.T) {
	l := system(t, 12)
	for vm := 0; vm < 12; vm += 3 {
		l.suspect(vm, 1, false)
		l.suspect(vm, 2, false)
	}
	if got := l.dead(); got != 4 {
		t.Errorf("%d VMs of the lost zone evicted, want 4", got)
	}
}

// A dead VM stays a candidate for journals: it may hold them yet. Only once the
// platform does not list it either is it dropped, and a live one never is.
func TestRemovalNeedsThePlatformToo(t *testing.T) {
	l := system(t, 9)
	for range 200 {
		l.now += 1000
		l.suspect(0, 1, false)
		l.suspect(0, 2, false)
	}
	if l.state(0) != membership.Dead {
		t.Fatal("dropped while the platform lists it")
	}
	l.now += 1000
	l.suspect(0, 1, true)
	l.suspect(0, 2, true)
	if _, ok := func() (membership.VM, bool) { v := l.present(); return v.Find(id(0)) }(); ok {
		t.Error("still listed, though the platform dropped it as well")
	}
}

// Versions only grow, those that journals may have been placed by are kept, and
// a restarted control VM holds the same list.
func TestVersionsAreKeptAndRestored(t *testing.T) {
	l := system(t, 6)
	formed := l.part.Version()
	if got := len(l.history().Views()); got != 2 {
		t.Errorf("%d views after five and then six VMs joined, want 2", got)
	}
	for i := range 300 {
		l.now += time.Second.Milliseconds()
		l.join(i%6, fmt.Sprint("restart", i), 6)
	}
	h := l.history()
	if got := len(h.Views()); got != 256 || h.Current().Version != formed+300 || !h.Formed() {
		t.Errorf("%d views, version %d", got, h.Current().Version)
	}
	data, err := l.part.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := membership.NewStateMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if string(restored.Changes(0)) != string(l.part.Changes(0)) {
		t.Error("a restored list differs")
	}
	l.now += time.Hour.Milliseconds()
	l.join(0, "last", 6)
	if got := len(l.history().Views()); got != 16 {
		t.Errorf("%d views kept after an hour, want 16", got)
	}
}

// All VMs shut down and start again one by one: the list counts as formed only
// when enough are back, or journals would be placed on the first one alone.
func TestListFormsAgainAfterAllLeft(t *testing.T) {
	l := system(t, 3)
	for i := range 3 {
		l.part.Execute(l.now, &membership.Command{Leave: &membership.Leave{VM: id(i), Incarnation: "1", Left: true}})
	}
	for i := range 3 {
		if l.history().Formed() {
			t.Errorf("formed with %d VMs", i)
		}
		l.join(i, "2", 3)
	}
	if h := l.history(); !h.Formed() || len(h.Views()) != 1 {
		t.Errorf("formed %v with %d views after all are back", h.Formed(), len(h.Views()))
	}
}

// Each VM has observers in three zones, nobody watches more than a few, and one
// VM that goes moves few of the watches.
func TestObserversAreSpreadAndStable(t *testing.T) {
	vms := system(t, 330).present().VMs
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
			t.Fatalf("%s is watched from %d zones", vm.ID, len(zones))
		}
		if fmt.Sprint(before) != fmt.Sprint(membership.ObserversOf(vm.ID, vms[1:])) {
			changed++
		}
	}
	if most > 12 || changed > 4 {
		t.Errorf("a VM watches up to %d, and %d of 33 watches moved with one VM", most, changed)
	}
}
