package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

// A deposed leader does not know yet that another one has followed it and proposes orders.
// None of them is committed, and no engine gets a second pending order, also after the state
// was restored from a snapshot.
func TestOrdersNeedTheNewestFence(t *testing.T) {
	p := fleet.NewStateMachine()
	lead := func(name string) uint64 {
		return p.Execute(1, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: name}}).Fence
	}
	begin := func(engine string, fence uint64) bool {
		return p.Execute(1, &fleet.Command{Begin: &fleet.Begin{Order: fleet.Order{
			Engine: engine, Op: fleet.Load, Model: "a", Version: "1", Fence: fence,
		}}}).OK
	}
	old := lead("vm1")
	if !begin("e1", old) {
		t.Fatal("the leader's order was refused")
	}
	fresh := lead("vm2")
	data, err := p.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	p = fleet.NewStateMachine()
	if err := p.Restore(data); err != nil {
		t.Fatal(err)
	}
	end := func(fence uint64) bool {
		return p.Execute(1, &fleet.Command{End: &fleet.End{Fence: fence, Engine: "e1"}}).OK
	}
	for _, c := range []struct {
		name      string
		got, want bool
	}{
		{"order of a deposed leader", begin("e2", old), false},
		{"second order to one engine", begin("e1", fresh), false},
		{"end by a deposed leader", end(old), false},
		{"end by the leader", end(fresh), true},
		{"next order", begin("e1", fresh), true},
		{"engine that ignores fences, too early", fleet.MayOrder(false, fleet.TakeoverDelay-1), false},
		{"engine that ignores fences, later", fleet.MayOrder(false, fleet.TakeoverDelay), true},
	} {
		if c.got != c.want {
			t.Errorf("%s: got allowed %v, want the opposite", c.name, c.got)
		}
	}
	if fleet.TakeoverDelay < fleet.SendWindow*11/10 {
		t.Error("a new leader may send an order within its predecessor's SendWindow")
	}
}

// An engine that is lost and back every ten seconds for an hour must not cause copies to
// move. When it stays lost, one other engine loads its copy. That spare copy is unloaded ten
// minutes after the engine is back.
func TestRepairDoesNotFlap(t *testing.T) {
	p := fleet.NewPlanner(fleet.NewBucket(2, 30*time.Second))
	now := time.Unix(1_800_000_000, 0)
	copyOf := func(m string) []fleet.Copy { return []fleet.Copy{{Model: m, Version: "1", Ready: true}} }
	engines := []fleet.Engine{
		{Name: "e0", Zone: "z0", Slots: 2, Configured: []string{"a"}, Copies: copyOf("a")},
		{Name: "e1", Zone: "z1", Slots: 2, Configured: []string{"a"}, Copies: copyOf("a")},
		{Name: "e2", Zone: "z1", Slots: 2, Configured: []string{"b"}, Copies: copyOf("b")},
		{Name: "e3", Zone: "z2", Slots: 2, Configured: []string{"b"}, Copies: copyOf("b")},
	}
	wants := []fleet.Want{{Model: "a", Copies: 2}, {Model: "b", Copies: 2}}
	var orders []fleet.Order
	advance := func(d time.Duration, up func(second int) bool) {
		for second := range int(d.Seconds()) {
			now = now.Add(time.Second)
			for i := range engines {
				engines[i].Lost = i == 0 && !up(second)
			}
			orders = append(orders, p.Plan(now, engines, wants, map[string]string{})...)
			if len(orders) > 0 && orders[len(orders)-1].Op == fleet.Load && len(engines[3].Copies) == 1 {
				engines[3].Copies = append(engines[3].Copies, copyOf("a")...)
			}
		}
	}
	advance(time.Hour, func(s int) bool { return s/10%2 == 0 })
	if len(orders) != 0 {
		t.Fatalf("a flapping engine caused orders %v, want none", orders)
	}
	advance(time.Minute, func(int) bool { return false })
	if len(orders) != 1 || orders[0].Engine != "e3" || orders[0].Op != fleet.Load || orders[0].Version != "1" {
		t.Fatalf("got orders %v, want one load on e3, in the zone without a copy", orders)
	}
	advance(9*time.Minute, func(int) bool { return true })
	if len(orders) != 1 {
		t.Fatalf("got orders %v nine minutes after the engine is back, want no further order", orders)
	}
	advance(2*time.Minute, func(int) bool { return true })
	if len(orders) != 2 || orders[1].Op != fleet.Unload || orders[1].Engine != "e3" {
		t.Errorf("got orders %v, want the spare copy unloaded", orders)
	}
}

// The loss of a zone with many engines must not overload the weight store: it gets two
// fetches at once and then one each half minute, not forty at once.
func TestRepairKeepsToTheStoresRate(t *testing.T) {
	p := fleet.NewPlanner(fleet.NewBucket(2, 30*time.Second))
	now := time.Unix(1_800_000_000, 0)
	var engines []fleet.Engine
	var wants []fleet.Want
	for i := range 40 {
		model := fmt.Sprint("m", i)
		wants = append(wants, fleet.Want{Model: model, Copies: 1})
		engines = append(engines, fleet.Engine{
			Name: fmt.Sprint("lost", i), Slots: 2, Copies: []fleet.Copy{{Model: model, Version: "1", Ready: true}},
		}, fleet.Engine{Name: fmt.Sprint("spare", i), Slots: 2})
	}
	busy := map[string]string{}
	loads := len(p.Plan(now, engines, wants, busy))
	for i := range engines {
		engines[i].Lost = i%2 == 0
	}
	for range 120 {
		loads += len(p.Plan(now, engines, wants, busy))
		now = now.Add(time.Second)
	}
	if loads < 4 || loads > 6 {
		t.Errorf("got %d fetches within two minutes of a zone's loss, want 4 to 6", loads)
	}
}
