package upstream

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// newTestFleet returns a fleet with n servers of one service in each of three zones.
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

// usable counts the servers of a zone to which a request would be sent.
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

// Guards against requests that are sent to a lost zone. This VM has streams on two of
// twelve engines there and finds both dead. The ten others stay on the list for two more
// seconds and look idle. Later the list names their successors.
func TestLostZoneIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(12)
		time.Sleep(5 * time.Second)
		suspected := f.Suspected(f.Lookup("b7"))
		f.MarkDead(f.Lookup("b0"))
		if n := usable(f, "b"); n != 11 {
			t.Errorf("got %d usable servers after one death, want 11", n)
		}
		f.MarkDead(f.Lookup("b1"))
		if n := usable(f, "b"); n != 0 {
			t.Errorf("got %d usable servers in a lost zone, want 0", n)
		}
		if usable(f, "a") != 12 || usable(f, "c") != 12 {
			t.Error("servers of other zones are avoided, want 12 usable in each")
		}
		select {
		case <-suspected:
		default:
			t.Error("a stream in the lost zone got no signal to probe its engine")
		}
		f.Apply(List{Backends: []Backend{{ID: "b-new", Service: "m", Zone: "b"}}, AsOf: time.Now()})
		if n := usable(f, "b"); n != 1 {
			t.Error("the successor of a dead server is avoided")
		}
	})
}

// Guards against avoiding a live engine with its zone: it sent bytes just before.
func TestLostZoneSparesLiveServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4)
		time.Sleep(5 * time.Second)
		f.Heard(f.Lookup("b3"))
		f.MarkDead(f.Lookup("b0"))
		f.MarkDead(f.Lookup("b1"))
		if n := usable(f, "b"); n != 1 {
			t.Errorf("got %d usable servers, want the one that was heard", n)
		}
	})
}

// Guards against runs that are moved because of a peer report. A server that another VM
// judged dead is avoided here, but nothing is moved, since the other VM's link may be at
// fault.
func TestPeerReportedDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4)
		time.Sleep(5 * time.Second)
		died := f.Died(f.Lookup("a0"))
		f.PeerReportedDead([]string{"a0", "unknown"})
		if n := usable(f, "a"); n != 3 {
			t.Errorf("got %d usable servers, want 3", n)
		}
		select {
		case <-died:
			t.Error("a peer report ended a run")
		default:
		}
	})
}

// Guards against an older list that brings back servers that have left. A VM that was cut
// off may send one.
func TestOlderListIsNotApplied(t *testing.T) {
	f := newTestFleet(1)
	now := f.AsOf()
	if f.Apply(List{Backends: []Backend{{ID: "old", Service: "m"}}, AsOf: now.Add(-time.Second)}) {
		t.Error("an older list was applied")
	}
	if f.Lookup("old") != nil || f.Lookup("a0") == nil {
		t.Error("the servers of the older list are in use")
	}
}

func TestDrainingAndStaleServersGetNoRequests(t *testing.T) {
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
		t.Errorf("got %d candidates, want only b0", len(servers))
	}
	if f.Lookup("a0") != nil || f.Lookup("c0") != nil {
		t.Error("Lookup returned a draining server, or one whose address another incarnation holds")
	}
}

// Guards against load of other VMs that is ignored. It counts beside this VM's own, but is
// not reported on as this VM's own.
func TestPeerLoadCounts(t *testing.T) {
	f := newTestFleet(1)
	f.Take(f.Lookup("a0"), placement.Usage{Requests: 1, Tokens: 10})
	f.SetPeerUse(map[string]placement.Usage{"a0": {Requests: 2, Tokens: 30}})
	if u := f.UseOf(f.Lookup("a0")); u.Requests != 3 || u.Tokens != 40 {
		t.Errorf("got use %+v, want 3 requests and 40 tokens", u)
	}
	if mine := f.OwnUse()["a0"]; mine.Requests != 1 {
		t.Errorf("got own use %+v, want 1 request", mine)
	}
}

// Guards against servers that nobody uses for seconds after a silence of one second: they answer
// again, and so do the others of their zone, which was suspected lost.
func TestServersThatAnswerAgainAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4)
		time.Sleep(5 * time.Second)
		for _, id := range []string{"b0", "b1"} {
			f.Unreachable(f.Lookup(id), errors.New("timeout"))
			f.MarkSilent(f.Lookup(id))
		}
		for range failuresToAvoid {
			f.Failed(f.listedServer("b3"))
		}
		if n := usable(f, "b"); n != 0 {
			t.Errorf("got %d usable servers during the silence, want none", n)
		}
		for _, id := range []string{"b0", "b1", "b2", "b3"} {
			f.Answered(f.listedServer(id))
		}
		if n := usable(f, "b"); n != 3 {
			t.Errorf("got %d usable servers after the silence, want all but the one that fails", n)
		}
		if got := f.Report().Avoid; !slices.Equal(got, []string{"b3"}) {
			t.Errorf("servers %v are reported as avoided, want the one that fails", got)
		}
	})
}

// Guards against VMs that avoid a server for seconds, and blame contents, because another VM goes on
// reporting a death that was a silence. A death that is certain is reported though the server is
// back under its id.
func TestSilenceThatIsOverIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1)
		f.MarkSilent(f.Lookup("a0"))
		f.MarkSilent(f.Lookup("b0"))
		f.MarkDead(f.Lookup("c0"))
		for _, id := range []string{"a0", "c0"} {
			f.Heard(f.listedServer(id))
		}
		if got := slices.Sorted(slices.Values(f.RecentlyDead())); !slices.Equal(got, []string{"b0", "c0"}) {
			t.Errorf("servers %v are reported dead, want b0 and c0", got)
		}
	})
}

// Guards against a VM that is cut off and does not notice: its calls hang, and each that is late
// would count as a sign of life.
func TestLateAnswerIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(NewPool(), zerolog.Nop())
		f.Apply(List{Backends: []Backend{{ID: "a", Service: "m"}, {ID: "b", Service: "m"}}, AsOf: time.Now()})
		a, b := f.Lookup("a"), f.Lookup("b")
		f.MarkDead(a)
		f.Late(b, 200*time.Millisecond)
		f.Late(a, 200*time.Millisecond)
		f.MarkDead(b)
		if f.Reaches("m") || f.DeadServers() != 2 {
			t.Errorf("the service is reached: %t, dead servers: %d, want a lost service and two", f.Reaches("m"), f.DeadServers())
		}
	})
}
