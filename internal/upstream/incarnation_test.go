package upstream

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Guards against a server that gets no work for as long as it is listed: it said that it leaves,
// and has started again under its id.
func TestRestartedServerTakesWork(t *testing.T) {
	former, restarted := Backend{ID: "i1", Service: "m", Address: "10.0.0.1:80", BornMS: 1000}, Backend{ID: "i1", Service: "m", Address: "10.0.0.1:80", BornMS: 2000}
	other := Backend{ID: "i2", Service: "m", Address: "10.0.0.2:80", BornMS: 1000}
	for _, tt := range []struct {
		name  string
		lists [][]Backend // that follow the statement
	}{
		{"at once", [][]Backend{{restarted, other}}},
		{"after it has left the list", [][]Backend{{other}, {restarted, other}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(NewPool(), zerolog.Nop())
			asOf := time.Now()
			apply := func(rows []Backend) {
				asOf = asOf.Add(time.Second)
				f.Apply(List{Backends: rows, AsOf: asOf})
			}
			apply([]Backend{former, other})
			f.LearnStatement(f.Lookup("i1"), backpressure.Statement{Leaving: true}, "r1", asOf)
			byOthers := f.Leaving()
			for _, rows := range tt.lists {
				apply(rows)
			}
			f.LearnLeaving(byOthers) // from a VM whose list is older
			if f.Lookup("i1") == nil || len(f.usable("m", rollout.Versions{}, nil)) != 2 {
				t.Error("the server that has started again is not used")
			}
			if got := f.Leaving(); len(got) > 0 {
				t.Errorf("servers %q are reported as leaving, want none", got)
			}
		})
	}
}

// Guards against a server whose statement is lost: its list entry changes while it goes on.
func TestLeavingServerStaysWithheld(t *testing.T) {
	f := NewFleet(NewPool(), zerolog.Nop())
	row := Backend{ID: "i1", Service: "m", Address: "10.0.0.1:80", BornMS: 1000}
	f.Apply(List{Backends: []Backend{row}, AsOf: time.Now()})
	f.LearnStatement(f.Lookup("i1"), backpressure.Statement{Leaving: true}, "r1", time.Now())
	for i, change := range []func(b *Backend){
		func(b *Backend) { b.Cold = true },
		func(b *Backend) { b.BornMS = 0 }, // a VM of a former release distributes the list
		func(*Backend) {},
	} {
		changed := row
		change(&changed)
		f.Apply(List{Backends: []Backend{changed}, AsOf: time.Now().Add(time.Duration(i+1) * time.Second)})
		if f.Lookup("i1") != nil {
			t.Errorf("entry %+v: the server takes work, want it to leave", changed)
		}
	}
}

// Guards against a name that other VMs read as that of another server.
func TestIncarnationNames(t *testing.T) {
	for _, row := range []Backend{{ID: "i1"}, {ID: "i1", BornMS: 1790000000000}, {ID: "i@1", BornMS: 5}} {
		if got := parseIncarnation(row.Incarnation()); got != row.incarnation() {
			t.Errorf("%q is read as %+v, want %+v", row.Incarnation(), got, row.incarnation())
		}
	}
	names := []string{(&Backend{ID: "i1"}).Incarnation(), (&Backend{ID: "i1", BornMS: 1}).Incarnation(), (&Backend{ID: "i1", BornMS: 2}).Incarnation()}
	if len(slices.Compact(names)) != 3 {
		t.Errorf("names %q are not distinct", names)
	}
}

// Guards against blame of what runs on a server that has started again, and against a server that is
// lost for good.
func TestRestartedServerIsBackOnceListed(t *testing.T) {
	f := NewFleet(NewPool(), zerolog.Nop())
	f.OnDeath(func(server string, e Evidence) { t.Errorf("death of %s by evidence %d, want none", server, e) })
	row := Backend{ID: "i1", Service: "m", Address: "10.0.0.1:80", BornMS: 1000}
	f.Apply(List{Backends: []Backend{row}, AsOf: time.Now()})
	f.MarkRestarted(f.Lookup("i1"))
	if f.Lookup("i1") != nil {
		t.Error("the server takes work before it is listed anew")
	}
	row.BornMS++
	f.Apply(List{Backends: []Backend{row}, AsOf: time.Now().Add(time.Second)})
	if f.Lookup("i1") == nil {
		t.Error("the server takes no work although it is listed anew")
	}
}
