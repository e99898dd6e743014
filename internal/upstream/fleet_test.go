package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// newTestFleet has n servers of one service in each of three zones.
func newTestFleet(n int) *Fleet {
	f := NewFleet(NewPool(), zerolog.Nop())
	var rows []Backend
	for _, zone := range []string{"a", "b", "c"} {
		for i := range n {
			rows = append(rows, Backend{ID: fmt.Sprint(zone, i), Service: "m", Zone: zone, Address: fmt.Sprint(zone, i, ":1"), Slots: 64})
		}
	}
	f.Apply(List{Backends: rows, AsOf: time.Now()})
	return f
}

// usable counts the servers of a zone that a request would go to.
func usable(f *Fleet, zone string) int {
	n := 0
	_, candidates := f.Candidates("m", rollout.Versions{}, 1, nil)
	for _, c := range candidates {
		if c.Zone == zone && !c.Avoid {
			n++
		}
	}
	return n
}

// Requests stay away from a zone whose engines died. In order: this VM has streams
// on two of twelve engines there and finds both dead; the ten others are listed for
// two more seconds and look idle. Later the list names their successors.
func TestLostZoneIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(12)
		time.Sleep(5 * time.Second)
		doubted := f.Suspected(f.Lookup("b7"))
		f.MarkDead(f.Lookup("b0"))
		if n := usable(f, "b"); n != 11 {
			t.Errorf("%d usable after one death", n)
		}
		f.MarkDead(f.Lookup("b1"))
		if n := usable(f, "b"); n != 0 {
			t.Errorf("%d of a lost zone would still get requests", n)
		}
		if usable(f, "a") != 12 || usable(f, "c") != 12 {
			t.Error("other zones are avoided too")
		}
		select {
		case <-doubted:
		default:
			t.Error("a stream in the lost zone is not told to ask its engine")
		}
		f.Apply(List{Backends: []Backend{{ID: "b-new", Service: "m", Zone: "b"}}, AsOf: time.Now()})
		if n := usable(f, "b"); n != 1 {
			t.Error("the successor is avoided")
		}
	})
}

// An engine that sent something just now is not taken for lost with its zone.
func TestLostZoneSparesLiveServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4)
		time.Sleep(5 * time.Second)
		f.Heard(f.Lookup("b3"))
		f.MarkDead(f.Lookup("b0"))
		f.MarkDead(f.Lookup("b1"))
		if n := usable(f, "b"); n != 1 {
			t.Errorf("%d usable, want the one that was heard", n)
		}
	})
}

// What other VMs judged dead is avoided here, but nothing moves by it.
func TestHearsayDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4)
		time.Sleep(5 * time.Second)
		died := f.Died(f.Lookup("a0"))
		f.PeerReportedDead([]string{"a0", "unknown"})
		if n := usable(f, "a"); n != 3 {
			t.Errorf("%d usable", n)
		}
		select {
		case <-died:
			t.Error("hearsay ended a run")
		default:
		}
	})
}

// An older list does not bring back what has left: a VM that was cut off may send
// one.
func TestOlderListIsNotTaken(t *testing.T) {
	f := newTestFleet(1)
	now := f.AsOf()
	if f.Apply(List{Backends: []Backend{{ID: "old", Service: "m"}}, AsOf: now.Add(-time.Second)}) {
		t.Error("an older list was taken")
	}
	if f.Lookup("old") != nil || f.Lookup("a0") == nil {
		t.Error("the older list is in use")
	}
}

func TestNothingGoesToLeavingServers(t *testing.T) {
	f := newTestFleet(1)
	stale := f.Lookup("c0")
	f.MarkStale(stale)
	f.Apply(List{Backends: []Backend{
		{ID: "a0", Service: "m", Zone: "a", Address: "a0:1", Draining: true},
		{ID: "b0", Service: "m", Zone: "b", Address: "b0:1"},
		{ID: "c0", Service: "m", Zone: "c", Address: "c0:1"},
	}, AsOf: time.Now().Add(time.Second)})
	servers, _ := f.Candidates("m", rollout.Versions{}, 1, nil)
	if len(servers) != 1 || servers[0].ID != "b0" {
		t.Errorf("%d candidates", len(servers))
	}
	if f.Lookup("a0") != nil || f.Lookup("c0") != nil {
		t.Error("a copy would be used on a server that leaves, or is another incarnation's address")
	}
}

// Loads that other VMs report count beside this VM's own.
func TestOthersLoadCounts(t *testing.T) {
	f := newTestFleet(1)
	f.Take(f.Lookup("a0"), placement.Usage{Requests: 1, Tokens: 10})
	f.SetPeerUse(map[string]placement.Usage{"a0": {Requests: 2, Tokens: 30}})
	if u := f.UseOf(f.Lookup("a0")); u.Requests != 3 || u.Tokens != 40 {
		t.Errorf("use %+v", u)
	}
	if mine := f.OwnUse()["a0"]; mine.Requests != 1 {
		t.Errorf("told to others: %+v", mine)
	}
}
