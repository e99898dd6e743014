package fleet_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

// Commands come from other VMs: whatever the bytes, no panic, and the fencing
// number never goes back.
func FuzzPart(f *testing.F) {
	for _, cmd := range []*fleet.Command{
		{AcquireFence: &fleet.AcquireFence{Leader: "vm1"}},
		{Begin: &fleet.Begin{Order: fleet.Order{Engine: "e1", Fence: 1}}},
		{End: &fleet.End{Fence: 1, Engine: "e1"}},
		{Record: &fleet.Record{Fence: 1, Engine: "e1", Copies: []fleet.Copy{{Model: "a"}}}},
	} {
		data, err := codec.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := fleet.NewStateMachine()
		p.Execute(1, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: "vm1"}})
		p.Apply(2, data)
		if r := p.Execute(3, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: "vm2"}}); r.Fence < 2 {
			t.Errorf("fencing number %d", r.Fence)
		}
		if v, err := fleet.NewView(data); err == nil {
			v.Engines("a", "", "")
		}
		_ = fleet.NewStateMachine().Restore(data)
	})
}
