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

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// testHub is a control VM, which also runs a Member towards the others.
type testHub struct {
	hub     *Hub
	list    *ListReplica
	records *streamversion.Store // of the streams that have begun
}

// streamBegan records that a stream with a content has begun.
func (h *testHub) streamBegan(content uint64, attempt string) {
	h.records.Put([]streamversion.Record{{Key: streamversion.KeyOf("w", attempt), TTL: time.Minute, Content: forward.RunID{Content: content}.RecordedContent()}})
}

// testVM is a router.
type testVM struct {
	member   *Member
	list     *ListReplica
	use      atomic.Pointer[map[string]placement.Usage]
	peers    atomic.Pointer[PeerReports]
	notReady atomic.Bool
	stop     context.CancelFunc
}

// setUse sets the use of engines that the router reports.
func (v *testVM) setUse(use map[string]placement.Usage) { v.use.Store(&use) }

func startHub(ctx context.Context, n *peertest.Net, id string, all []string) *testHub {
	h := &testHub{list: NewListReplica(func(upstream.List) {})}
	t := n.VM(id)
	h.hub = NewHub(t, h.list, func() []string { return all }, zerolog.Nop())
	h.records = streamversion.NewStore(nil, "", zerolog.Nop())
	h.hub.ServeStreamVersions(t, h.records)
	m := NewMember(id, t, all, h.list, Local{}, zerolog.Nop())
	h.hub.Join(m)
	go m.Run(ctx)
	return h
}

func startRouter(ctx context.Context, n *peertest.Net, id string, seeds []string, requests int) *testVM {
	v := &testVM{}
	v.setUse(map[string]placement.Usage{"e1": {Requests: requests}})
	v.list = NewListReplica(func(upstream.List) {})
	v.member = NewMember(id, n.VM(id), seeds, v.list, Local{
		Endpoint: id + ":80", Ready: func() bool { return !v.notReady.Load() },
		Use: func() map[string]placement.Usage { return *v.use.Load() }, Learn: func(reports PeerReports) { v.peers.Store(&reports) },
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

// Callers must not be directed to routers that are gone. A router that stops silently
// leaves every control VM's directory within 1.5 s. A router that reports that it is not
// ready leaves it with its next heartbeat.
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
			if got := h.hub.Endpoints("", 64); len(got) != 3 {
				t.Fatalf("control VM %d lists %v, want 3 routers, each configured with one seed", i, got)
			}
		}
		vms[0].stop()
		time.Sleep(1500 * time.Millisecond)
		vms[1].notReady.Store(true)
		time.Sleep(HeartbeatInterval + 50*time.Millisecond)
		for i, h := range hubs {
			if got := h.hub.Endpoints("", 64); !slices.Equal(got, []string{"r2:80"}) {
				t.Errorf("control VM %d lists %v, want [r2:80]", i, got)
			}
		}
	})
}

// A router whose seeds are all gone must still reach the remaining control VMs, which it
// learned from earlier replies.
func TestLostSeeds(t *testing.T) {
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
			t.Errorf("router knows control VMs %v, want [c1 c2 c3]", got)
		}
	})
}

// An older list of backend servers must never replace a younger one. c1 reads the list
// and is then partitioned with its old list, while c2 reads that a server has stopped.
// After the partition every VM must hold the list of c2.
func TestNewestListWins(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		hubs := map[string]*testHub{}
		for _, id := range controls {
			hubs[id] = startHub(ctx, n, id, controls)
		}
		v := startRouter(ctx, n, "r1", controls, 0)
		time.Sleep(time.Second)
		hubs["c1"].list.Update([]upstream.Backend{{ID: "e1"}, {ID: "e2"}}, 0)
		time.Sleep(HeartbeatInterval + 50*time.Millisecond)
		if rows, _, age, ok := v.list.Current(); !ok || len(rows) != 2 || age > time.Second {
			t.Fatalf("router holds %d rows of age %v, want 2 rows of at most 1s", len(rows), age)
		}
		for _, other := range []string{"c2", "c3", "r1"} {
			n.Cut("c1", other)
			n.Cut(other, "c1")
		}
		time.Sleep(time.Second)
		hubs["c2"].list.Update([]upstream.Backend{{ID: "e1"}}, 0)
		time.Sleep(time.Second)
		n.HealAll()
		time.Sleep(2 * time.Second)
		for name, list := range map[string]*ListReplica{"router": v.list, "c1": hubs["c1"].list, "c3": hubs["c3"].list} {
			if rows, _, _, _ := list.Current(); len(rows) != 1 {
				t.Errorf("%s holds %d rows, want 1", name, len(rows))
			}
		}
	})
}

// Guards against a router that counts its own requests twice. Control VMs report the use of
// each engine by all routers together, and a router must subtract its own part. Here the
// routers r0, r1 and r2 have 1, 2 and 4 requests on one engine.
func TestUseOfOtherRouters(t *testing.T) {
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
			reports := vms[i].peers.Load()
			if got := reports.Use["e1"].Requests; got != want || len(reports.Routers) != 3 {
				t.Errorf("router %d received %d requests and routers %v, want the requests of both others and 3 routers", i, got, reports.Routers)
			}
		}
	})
}

// The age of a list counts from its read, across all VMs that forwarded it.
func TestListAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewListReplica(func(upstream.List) {})
		h.Update([]upstream.Backend{{ID: "e1"}}, 300*time.Millisecond)
		time.Sleep(time.Second)
		_, digest, age, _ := h.Current()
		if age != 1300*time.Millisecond {
			t.Errorf("got age %v, want 1.3s", age)
		}
		h.Confirm(digest+1, 0)
		if _, _, age, _ := h.Current(); age != 1300*time.Millisecond {
			t.Error("the confirmation of another list changed the age")
		}
		h.Confirm(digest, 100*time.Millisecond)
		if _, _, age, _ := h.Current(); age != 100*time.Millisecond {
			t.Errorf("got age %v after a confirmation, want 100ms", age)
		}
	})
}

// Callers must reach a router soon after all VMs started together. The router starts a few
// milliseconds before the control VM and misses its first reply. It must ask again soon,
// and must be listed at once when it becomes ready.
func TestEarlyRouterIsListedSoon(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		v.notReady.Store(true)
		time.Sleep(20 * time.Millisecond)
		h := startHub(ctx, n, "c1", controls[:1])
		time.Sleep(2 * initialHeartbeatInterval)
		if v.peers.Load() == nil && len(v.member.freshestControl()) == 0 {
			t.Error("the router has received no reply after two initial intervals")
		}
		v.notReady.Store(false)
		v.member.NotifyNow()
		time.Sleep(20 * time.Millisecond)
		if got := h.hub.Endpoints("", 64); len(got) != 1 {
			t.Errorf("directory lists %v, want 1 router", got)
		}
	})
}

// All processes are killed at once. A control process that restarts within seconds must
// know the locations of the backup copies. After copyLifetime it must not return copies
// that the engines have dropped.
func TestCopiesSurviveRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		disk := waltest.New()
		processCtx, kill := context.WithCancel(ctx)
		h := startHub(processCtx, n, "c1", controls[:1])
		a := forward.Copy{Address: "e1:1", ID: "q1"}
		go h.hub.RunSaver(processCtx, disk, "/data")
		h.hub.recordHeartbeat("router", Heartbeat{Runs: []forward.ResumableRun{reported(7, a)}})
		time.Sleep(2 * saveInterval)
		kill()
		time.Sleep(time.Second)
		restarted := startHub(ctx, n, "c1", controls[:1])
		restarted.hub.LoadRuns(disk, "/data")
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(500 * time.Millisecond)
		if got, ok := v.member.FindOrphan(ctx, runID(7)); got.Copy != a || !ok {
			t.Errorf("got %+v, found %t, want the saved copy", got, ok)
		}
		time.Sleep(copyLifetime)
		if _, ok := v.member.FindOrphan(ctx, runID(7)); ok {
			t.Error("got an expired copy, want none")
		}
	})
}

// Unchanged locations of copies must not be written again, because each write costs a
// disk sync several times a second.
func TestUnchangedCopiesAreNotWritten(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		disk := waltest.New()
		h := startHub(ctx, n, "c1", controls[:1])
		go h.hub.RunSaver(ctx, disk, "/data")
		written := func() string {
			for i := range uint64(20) {
				h.hub.recordHeartbeat(fmt.Sprint("r", i), Heartbeat{Runs: []forward.ResumableRun{reported(i, forward.Copy{Address: "e1:1", ID: fmt.Sprint("q", i)})}})
			}
			time.Sleep(2 * saveInterval)
			data, err := disk.ReadFile("/data/" + copiesFile)
			if err != nil {
				t.Fatal(err)
			}
			return string(data)
		}
		first := written()
		for range 5 {
			if written() != first {
				t.Fatal("unchanged copies were written again, want no write")
			}
		}
	})
}

// More routers accept callers than an answer may list. Each must be listed equally often;
// if the answers always listed the same routers, the others would stay idle.
func TestEndpointsAreSampledEvenly(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		const vms, limit, answers = 300, 64, 300
		for i := range vms {
			h.hub.recordHeartbeat(fmt.Sprint("r", i), Heartbeat{Ready: true, Endpoint: fmt.Sprint("10.0.0.", i, ":80")})
		}
		named := map[string]int{}
		for range answers {
			got := h.hub.Endpoints("", limit)
			if len(got) != limit || !slices.IsSorted(got) || len(slices.Compact(got)) != limit {
				t.Fatalf("got %d addresses, want 64 sorted ones without duplicates: %v", len(got), got)
			}
			for _, addr := range got {
				named[addr]++
			}
		}
		if len(named) != vms {
			t.Errorf("%d of %d routers are listed at all, want all", len(named), vms)
		}
		for addr, times := range named {
			if even := answers * limit / vms; times > 2*even || times < even/2 {
				t.Errorf("%s is listed %d times, want half to twice the even share of %d", addr, times, even)
			}
		}
	})
}

// Guards against a VM that forgets the control VMs because replies do not repeat their names,
// and against names that are sent again and again.
func TestControlsAreNamedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		var named atomic.Int64
		var learned atomic.Pointer[[]string]
		learned.Store(&[]string{"c2", "c3"})
		n.VM("c1").Handle(peer.KindHeartbeat, func(_ context.Context, _ string, body []byte) (any, error) {
			var heartbeat Heartbeat
			if err := codec.Unmarshal(body, &heartbeat); err != nil {
				return nil, err
			}
			var reply HeartbeatReply
			reply.setControls(*learned.Load(), &heartbeat)
			if !reply.ControlsUnchanged {
				named.Add(1)
			}
			return reply, nil
		})
		m := NewMember("r1", n.VM("r1"), controls[:1], NewListReplica(ignoreList), Local{}, zerolog.Nop())
		go m.Run(ctx)
		time.Sleep(3 * forgetAfter)
		if got := m.Controls(); !slices.Equal(got, controls) {
			t.Errorf("got control VMs %v, want %v", got, controls)
		}
		if got := named.Load(); got != 1 {
			t.Errorf("the control VMs were named %d times, want once", got)
		}
		learned.Store(&[]string{"c2"})
		time.Sleep(2 * forgetAfter)
		if got := m.Controls(); !slices.Equal(got, controls[:2]) {
			t.Errorf("got control VMs %v once c3 has left, want %v", got, controls[:2])
		}
	})
}
