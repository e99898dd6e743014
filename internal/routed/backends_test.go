package routed

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against a server that gets no requests because an entry of another writer has its id
// and names a service that does not exist: of entries with one id the first counts.
func TestUnknownServiceHidesNoServer(t *testing.T) {
	row := func(id, service string) upstream.Backend { return upstream.Backend{ID: id, Service: service} }
	rows := []upstream.Backend{row("i1", "x"), row("i2", "m"), row("i1", "m"), row("i2", "x"), row("i3", "y")}
	services := []routes.Service{{Name: "m"}, {Name: "p"}}
	var got upstream.List
	replica := cluster.NewListReplica(func(l upstream.List) { got = l })
	replica.Update(namedFirst(rows, services), 0)
	want := map[string]string{"i1": "m", "i2": "m", "i3": "y"}
	if len(got.Backends) != len(want) {
		t.Errorf("got %+v, want one row for each id", got.Backends)
	}
	for _, b := range got.Backends {
		if b.Service != want[b.ID] {
			t.Errorf("got service %s for %s, want %s", b.Service, b.ID, want[b.ID])
		}
	}
	if out := namedFirst(rows, nil); out[0] != rows[0] || len(out) != len(rows) {
		t.Errorf("got %+v without a route list, want the rows unchanged", out)
	}
}
