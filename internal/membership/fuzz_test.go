package membership_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

// Commands and changes come from other VMs: whatever the bytes, no panic, and
// the version never goes back.
func FuzzPart(f *testing.F) {
	for _, cmd := range []*membership.Command{
		{Join: &membership.Join{VM: membership.VM{ID: id(0), Incarnation: "2"}, Expected: 3}},
		{Leave: &membership.Leave{VM: id(0), Incarnation: "1", Left: true}},
		{Suspect: &membership.Suspect{VM: id(0), Incarnation: "1", Observer: id(1), Absent: true}},
	} {
		data, err := codec.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		l := system(t, 3)
		before := l.part.Version()
		l.part.Apply(l.now, data)
		if got := l.part.Version(); got < before {
			t.Errorf("version %d after %d", got, before)
		}
		h := l.history()
		_ = h.Apply(data)
		if h.Current().Version < before {
			t.Errorf("a change took the list back to %d", h.Current().Version)
		}
		_ = membership.NewStateMachine().Restore(data)
	})
}
