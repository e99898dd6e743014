package membership_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

// Commands and changes come from other VMs. No bytes make the code panic or lower the
// version.
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
		l := newTestList(t, 3)
		before := l.sm.Version()
		l.sm.Apply(l.now, data)
		if got := l.sm.Version(); got < before {
			t.Errorf("got version %d, want at least %d", got, before)
		}
		h := l.history()
		_ = h.Apply(data)
		if h.Current().Version < before {
			t.Errorf("got version %d after a change, want at least the version before it", h.Current().Version)
		}
		_ = membership.NewStateMachine().Restore(data)
	})
}
