package upstream

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// What a VM learned from others about a server that is gone must not be reported in turn:
// VMs would keep it in one another's memory for good, and the reports would grow with each
// server that leaves. It is still known if the server is listed again.
func TestStatementsOfServersThatAreGoneAreNotReported(t *testing.T) {
	f := NewFleet(NewPool(), zerolog.Nop())
	now := time.Now()
	f.Apply(List{Backends: []Backend{{ID: "i0", Service: "votes", Address: "10.0.0.1:80"}}, AsOf: now})
	f.LearnLeaving([]string{"i1"})
	f.LearnLimits(map[string]backpressure.Limit{"i2": {Rate: 9, NamedAt: now}})
	if n := len(f.Leaving()) + len(f.Limits()); n != 0 {
		t.Errorf("%d statements of servers that are not listed are reported, want none", n)
	}
	var listed []Backend
	for _, id := range []string{"i0", "i1", "i2"} {
		listed = append(listed, Backend{ID: id, Service: "votes", Address: "10.0.0.1:8" + id[1:]})
	}
	f.Apply(List{Backends: listed, AsOf: now.Add(time.Second)})
	if len(f.Leaving()) != 1 || len(f.Limits()) != 1 {
		t.Errorf("got leaving %v and limits %v, want those of the two servers that are listed again", f.Leaving(), f.Limits())
	}
	for _, s := range f.usable("votes", rollout.Versions{}, nil) {
		if s.ID == "i1" {
			t.Error("a leaving server may be used after a gap in the list")
		}
	}
}
