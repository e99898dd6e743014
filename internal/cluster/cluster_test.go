package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// testHub is a control VM of a test, and its own member towards the others.
type testHub struct {
	hub  *Hub
	held *ListReplica
}

// testVM is a router of a test.
type testVM struct {
	member *Member
	held   *ListReplica
	use    atomic.Pointer[map[string]placement.Usage]
	heard  atomic.Pointer[PeerReports]
	gone   atomic.Bool // not ready
	stop   context.CancelFunc
}

// uses sets what the router has running from now on.
func (v *testVM) uses(use map[string]placement.Usage) { v.use.Store(&use) }

func startHub(ctx context.Context, n *peertest.Net, id string, all []string) *testHub {
	h := &testHub{held: NewListReplica(func(upstream.List) {})}
	t := n.VM(id)
	h.hub = NewHub(t, h.held, func() []string { return all }, zerolog.Nop())
	m := NewMember(id, t, all, h.held, Local{}, zerolog.Nop())
	go m.Run(ctx)
	return h
}

func startRouter(ctx context.Context, n *peertest.Net, id string, seeds []string, requests int) *testVM {
	v := &testVM{}
	v.uses(map[string]placement.Usage{"e1": {Requests: requests}})
	v.held = NewListReplica(func(upstream.List) {})
	v.member = NewMember(id, n.VM(id), seeds, v.held, Local{
		Endpoint: id + ":80", Ready: func() bool { return !v.gone.Load() },
		Use: func() map[string]placement.Usage { return *v.use.Load() }, Learn: func(k PeerReports) { v.heard.Store(&k) },
	}, zerolog.Nop())
	ctx, v.stop = context.WithCancel(ctx)
	go v.member.Run(ctx)
	return v
}

// inBubble runs a test in virtual time on a network without faults.
func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context, n *peertest.Net)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := peertest.New(1)
		n.SetDelay(time.Millisecond, 2*time.Millisecond)
		f(t, ctx, n)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

var controls = []string{"c1", "c2", "c3"}

// Callers are sent to living routers only. In order: a router stops without a
// word, and is out of every control VM's directory within a second and a half;
// another says that it is not ready, and is out with its next notice.
func TestDirectory(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		var hubs []*testHub
		for _, id := range controls {
			hubs = append(hubs, startHub(ctx, n, id, controls))
		}
		var vms []*testVM
		for i := range 3 {
			vms = append(vms, startRouter(ctx, n, fmt.Sprint("r", i), controls[:1], 0))
		}
		time.Sleep(2 * time.Second)
		for i, h := range hubs {
			if got := h.hub.Endpoints(64); len(got) != 3 {
				t.Fatalf("control VM %d knows %v: routers with one seed have not found it", i, got)
			}
		}
		vms[0].stop()
		time.Sleep(1500 * time.Millisecond)
		vms[1].gone.Store(true)
		time.Sleep(HeartbeatInterval + 50*time.Millisecond)
		for i, h := range hubs {
			if got := h.hub.Endpoints(64); !slices.Equal(got, []string{"r2:80"}) {
				t.Errorf("control VM %d sends callers to %v", i, got)
			}
		}
	})
}

// A router with seeds that are gone finds the control VMs that are left, through
// what it learnt before.
func TestSeedsGone(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls)
		}
		v := startRouter(ctx, n, "r1", []string{"c1"}, 0)
		time.Sleep(time.Second)
		n.Kill("c1")
		v.member.SetSeeds([]string{"c1"})
		time.Sleep(20 * time.Second)
		if got := v.member.Controls(); !slices.Equal(got, controls) {
			t.Errorf("knows %v", got)
		}
	})
}

// The list of backend servers reaches every VM, and an older one never replaces a
// younger. In order: c1 reads the list; later it is cut off and goes on holding its
// old one, while c2 reads that a server has left. A router that hears c1 again
// keeps what c2 told.
func TestListSpreadsAndNeverAges(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		hubs := map[string]*testHub{}
		for _, id := range controls {
			hubs[id] = startHub(ctx, n, id, controls)
		}
		v := startRouter(ctx, n, "r1", controls, 0)
		time.Sleep(time.Second)
		hubs["c1"].held.Update([]upstream.Backend{{ID: "e1"}, {ID: "e2"}}, 0)
		time.Sleep(HeartbeatInterval + 50*time.Millisecond)
		if rows, _, age, ok := v.held.Current(); !ok || len(rows) != 2 || age > time.Second {
			t.Fatalf("the router holds %d rows, %v old", len(rows), age)
		}
		for _, other := range []string{"c2", "c3", "r1"} {
			n.Cut("c1", other)
			n.Cut(other, "c1")
		}
		time.Sleep(time.Second)
		hubs["c2"].held.Update([]upstream.Backend{{ID: "e1"}}, 0)
		time.Sleep(time.Second)
		n.HealAll()
		time.Sleep(2 * time.Second)
		for name, held := range map[string]*ListReplica{"router": v.held, "c1": hubs["c1"].held, "c3": hubs["c3"].held} {
			if rows, _, _, _ := held.Current(); len(rows) != 1 {
				t.Errorf("%s holds %d rows", name, len(rows))
			}
		}
	})
}

// Each router hears what the others have running, and not its own.
func TestLoadsOfOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls)
		}
		var vms []*testVM
		for i := range 3 {
			vms = append(vms, startRouter(ctx, n, fmt.Sprint("r", i), controls, 1<<i))
		}
		time.Sleep(2 * time.Second)
		for i, want := range []int{6, 5, 3} {
			heard := vms[i].heard.Load()
			if got := heard.Use["e1"].Requests; got != want || len(heard.Routers) != 3 {
				t.Errorf("router %d hears of %d requests by %v", i, got, heard.Routers)
			}
		}
	})
}

// The age of a list counts from when it was read, over every VM that passed it on.
func TestAgeOfAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewListReplica(func(upstream.List) {})
		h.Update([]upstream.Backend{{ID: "e1"}}, 300*time.Millisecond)
		time.Sleep(time.Second)
		_, digest, age, _ := h.Current()
		if age != 1300*time.Millisecond {
			t.Errorf("age %v", age)
		}
		h.Confirm(digest+1, 0)
		if _, _, age, _ := h.Current(); age != 1300*time.Millisecond {
			t.Error("another list's confirmation made this one younger")
		}
		h.Confirm(digest, 100*time.Millisecond)
		if _, _, age, _ := h.Current(); age != 100*time.Millisecond {
			t.Errorf("age %v after a confirmation", age)
		}
	})
}

// Callers are sent to a router soon after all VMs started together. In order: the
// router is some ms earlier than the control VM, whose first answer it misses; once
// it is ready it says so at once.
func TestRouterIsFoundSoonAfterAStart(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		v.gone.Store(true)
		time.Sleep(20 * time.Millisecond)
		h := startHub(ctx, n, "c1", controls[:1])
		time.Sleep(2 * searchEvery)
		if v.heard.Load() == nil && len(v.member.source()) == 0 {
			t.Error("the router that was early has not asked again")
		}
		v.gone.Store(false)
		v.member.NotifyNow()
		time.Sleep(20 * time.Millisecond)
		if got := h.hub.Endpoints(64); len(got) != 1 {
			t.Errorf("the directory names %v", got)
		}
	})
}

// A dead router's copies are found for some seconds, and never another request's.
func TestFindACopy(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		a, b := forward.Copy{Address: "e1:1", ID: "q1"}, forward.Copy{Address: "e2:1", ID: "q2"}
		h.hub.note("dead", Heartbeat{Runs: []forward.ResumableRun{{Identity: 7, Orphan: forward.Orphan{Copy: a}}, {Identity: 8, Orphan: forward.Orphan{Copy: a}}}})
		h.hub.note("alive", Heartbeat{Runs: []forward.ResumableRun{{Identity: 8, Orphan: forward.Orphan{Copy: b}}}})
		for _, tt := range []struct {
			identity uint64
			want     forward.Copy
		}{{7, a}, {8, forward.Copy{}}, {9, forward.Copy{}}} {
			if got, ok := v.member.FindOrphan(ctx, tt.identity); got.Copy != tt.want || ok != (tt.want.Address != "") {
				t.Errorf("identity %d: %+v, %t", tt.identity, got, ok)
			}
		}
		time.Sleep(keptFor + time.Second)
		if _, ok := v.member.FindOrphan(ctx, 7); ok {
			t.Error("a copy that has expired is given out")
		}
	})
}

// All processes are killed at once. A control process that is back within seconds
// knows where the copies of the streams are; one that is back later does not ask
// engines for what they have dropped.
func TestCopiesOutliveTheProcesses(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		disk := waltest.New()
		life, kill := context.WithCancel(ctx)
		h := startHub(life, n, "c1", controls[:1])
		a := forward.Copy{Address: "e1:1", ID: "q1"}
		go h.hub.RunSaver(life, disk, "/data")
		h.hub.note("router", Heartbeat{Runs: []forward.ResumableRun{{Identity: 7, Orphan: forward.Orphan{Copy: a}}}})
		time.Sleep(2 * rememberEvery)
		kill()
		time.Sleep(time.Second)
		again := startHub(ctx, n, "c1", controls[:1])
		again.hub.LoadRuns(disk, "/data")
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(500 * time.Millisecond)
		if got, ok := v.member.FindOrphan(ctx, 7); got.Copy != a || !ok {
			t.Errorf("found %+v, %t", got, ok)
		}
		time.Sleep(keptFor)
		if _, ok := v.member.FindOrphan(ctx, 7); ok {
			t.Error("an old copy is given out")
		}
	})
}

// A disk is written only when something has changed: each write costs a sync, some
// times a second for as long as the system runs.
func TestCopiesAreNotWrittenTwice(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		disk := waltest.New()
		h := startHub(ctx, n, "c1", controls[:1])
		go h.hub.RunSaver(ctx, disk, "/data")
		written := func() string {
			for i := range uint64(20) {
				h.hub.note(fmt.Sprint("r", i), Heartbeat{Runs: []forward.ResumableRun{{Identity: i, Orphan: forward.Orphan{Copy: forward.Copy{Address: "e1:1", ID: fmt.Sprint("q", i)}}}}})
			}
			time.Sleep(2 * rememberEvery)
			data, err := disk.ReadFile("/data/" + keptFile)
			if err != nil {
				t.Fatal(err)
			}
			return string(data)
		}
		first := written()
		for range 5 {
			if written() != first {
				t.Fatal("written again, and nothing has changed")
			}
		}
	})
}

// More routers take callers than an answer may name. Each gets its part of them: with
// the same ones named each time the others would stand idle.
func TestEveryRouterIsNamedInTurn(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		const vms, limit, answers = 300, 64, 300
		for i := range vms {
			h.hub.note(fmt.Sprint("r", i), Heartbeat{Ready: true, Endpoint: fmt.Sprint("10.0.0.", i, ":80")})
		}
		named := map[string]int{}
		for range answers {
			got := h.hub.Endpoints(limit)
			if len(got) != limit || !slices.IsSorted(got) || len(slices.Compact(got)) != limit {
				t.Fatalf("%d named: %v", len(got), got)
			}
			for _, addr := range got {
				named[addr]++
			}
		}
		if len(named) != vms {
			t.Errorf("%d of %d are ever named", len(named), vms)
		}
		for addr, times := range named {
			if even := answers * limit / vms; times > 2*even || times < even/2 {
				t.Errorf("%s is named %d times, %d would be even", addr, times, even)
			}
		}
	})
}
