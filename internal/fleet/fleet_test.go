package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

// A leader that another has followed gets no order committed, and no engine has
// two orders under way. The state survives a restart.
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
		what      string
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
			t.Errorf("%s: %v", c.what, c.got)
		}
	}
	if fleet.TakeoverDelay < fleet.SendWindow*11/10 {
		t.Error("a new leader could order within its predecessor's window")
	}
}

// An engine that comes and goes every ten seconds for an hour causes no order;
// when it stays away, one engine takes its copy, and gives it back ten minutes
// after the first is home: no copy is moved to and fro.
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
	var given []fleet.Order
	pass := func(d time.Duration, up func(second int) bool) {
		for second := range int(d.Seconds()) {
			now = now.Add(time.Second)
			for i := range engines {
				engines[i].Lost = i == 0 && !up(second)
			}
			given = append(given, p.Plan(now, engines, wants, map[string]string{})...)
			if len(given) > 0 && given[len(given)-1].Op == fleet.Load && len(engines[3].Copies) == 1 {
				engines[3].Copies = append(engines[3].Copies, copyOf("a")...)
			}
		}
	}
	pass(time.Hour, func(s int) bool { return s/10%2 == 0 })
	if len(given) != 0 {
		t.Fatalf("a flapping engine caused %v", given)
	}
	pass(time.Minute, func(int) bool { return false })
	if len(given) != 1 || given[0].Engine != "e3" || given[0].Op != fleet.Load || given[0].Version != "1" {
		t.Fatalf("orders %v, want one load on e3, in the zone without a copy", given)
	}
	pass(9*time.Minute, func(int) bool { return true })
	if len(given) != 1 {
		t.Fatalf("spare copy touched early: %v", given)
	}
	pass(2*time.Minute, func(int) bool { return true })
	if len(given) != 2 || given[1].Op != fleet.Unload || given[1].Engine != "e3" {
		t.Errorf("orders %v, want the spare copy unloaded", given)
	}
}

// A zone with a third of the engines is lost: the weight store sees two fetches
// and then one each half minute, not forty at once.
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
	given := len(p.Plan(now, engines, wants, busy))
	for i := range engines {
		engines[i].Lost = i%2 == 0
	}
	for range 120 {
		given += len(p.Plan(now, engines, wants, busy))
		now = now.Add(time.Second)
	}
	if given < 4 || given > 6 {
		t.Errorf("%d fetches within two minutes of a zone's loss, want about 5", given)
	}
}
