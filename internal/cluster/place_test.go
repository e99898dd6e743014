package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// placingRouter is a router that requests engines for streams.
type placingRouter struct {
	*testVM
	closing atomic.Bool
}

func startPlacing(ctx context.Context, n *peertest.Net, id string) *placingRouter {
	v := &placingRouter{testVM: startRouter(ctx, n, id, controls, 0)}
	go v.member.RunUseReports(ctx)
	return v
}

func modelsList(engines int) upstream.List {
	l := upstream.List{AsOf: time.Now()}
	for i := range engines {
		l.Backends = append(l.Backends, upstream.Backend{ID: fmt.Sprint("e", i), Service: "models", Zone: "a", Slots: 64})
	}
	return l
}

func (v *placingRouter) place(ctx context.Context, id string) (scheduler.Answer, bool) {
	now := time.Now()
	return v.member.Place(ctx, scheduler.Stream{
		ID: id, Service: "models", Need: placement.Need{Prompt: 8000, Output: 600}, KVTokens: 88_000,
		Due: now.Add(4 * time.Second), Deadline: now.Add(25 * time.Second),
	}, v.closing.Load)
}

// startPrefilling starts a control VM with one engine and two routers. The first router
// has been granted the engine, which is prefilling its prompt.
func startPrefilling(t *testing.T, ctx context.Context, n *peertest.Net) (prefilling, other *placingRouter) {
	h := startHub(ctx, n, "c1", controls[:1])
	h.hub.SetBackends(modelsList(1))
	go h.hub.Run(ctx)
	prefilling, other = startPlacing(ctx, n, "r1"), startPlacing(ctx, n, "r2")
	time.Sleep(time.Second)
	first, ok := prefilling.place(ctx, "1")
	if !ok || first.Outcome != scheduler.Granted || first.Server != "e0" {
		t.Fatalf("first stream: got %+v, decided %t, want a grant of e0", first, ok)
	}
	prefilling.setUse(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000}})
	prefilling.member.Took(first.Number)
	return prefilling, other
}

// Two routers, which don't know of each other, request the only engine. The stream of the
// second must wait, and must be granted the engine as soon as the first prompt has been
// prefilled.
func TestStreamWaitsForPrefill(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		a, b := startPrefilling(t, ctx, n)
		type answer struct {
			p  scheduler.Answer
			ok bool
			at time.Time
		}
		second := make(chan answer, 1)
		go func() {
			p, ok := b.place(ctx, "2")
			second <- answer{p, ok, time.Now()}
		}()
		time.Sleep(time.Second)
		select {
		case got := <-second:
			t.Fatalf("second stream was decided during the prefill of the first: %+v", got)
		default:
		}
		a.setUse(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600}})
		prefilledAt := time.Now()
		a.member.UseChanged()
		got := <-second
		if !got.ok || got.p.Outcome != scheduler.Granted || got.at.Sub(prefilledAt) > 20*time.Millisecond {
			t.Errorf("second stream: got %+v after %v, want a grant within 20ms", got.p, got.at.Sub(prefilledAt))
		}
	})
}

// The scheduling control VM freezes. After placeTimeout the router must ask its successor,
// and must continue to do so for later streams. If no control VM answers, Place must
// return false, and the router places the stream by itself.
func TestSchedulerFailover(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			h := startHub(ctx, n, id, controls)
			h.hub.SetBackends(modelsList(6))
		}
		v := startPlacing(ctx, n, "r1")
		time.Sleep(time.Second)
		n.Kill("c1")
		began := time.Now()
		if p, ok := v.place(ctx, "1"); !ok || p.Outcome != scheduler.Granted || time.Since(began) > placeTimeout+20*time.Millisecond {
			t.Errorf("first stream: got %+v, decided %t after %v, want a grant within placeTimeout", p, ok, time.Since(began))
		}
		began = time.Now()
		if _, ok := v.place(ctx, "2"); !ok || time.Since(began) > 20*time.Millisecond {
			t.Errorf("second stream was decided after %v, want within 20ms without asking the lost control VM", time.Since(began))
		}
		n.Kill("c2")
		n.Kill("c3")
		began = time.Now()
		if _, ok := v.place(ctx, "3"); ok || time.Since(began) > 2*placeTimeout+20*time.Millisecond {
			t.Errorf("third stream: decided %t after %v, want no decision within twice placeTimeout", ok, time.Since(began))
		}
	})
}

// A caller leaves while its stream waits. A grant that arrives later must be returned at
// once; otherwise the engine stays idle until the grant expires.
func TestGrantAfterCallerLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		a, b := startPrefilling(t, ctx, n)
		caller, leave := context.WithCancel(ctx)
		time.AfterFunc(100*time.Millisecond, leave)
		if _, ok := b.place(caller, "2"); ok {
			t.Fatal("a stream whose caller has left was decided")
		}
		a.setUse(nil)
		a.member.UseChanged()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		if p, ok := a.place(ctx, "3"); !ok || p.Outcome != scheduler.Granted || time.Since(began) > 20*time.Millisecond {
			t.Errorf("third stream: got %+v, decided %t after %v, want a grant within 20ms", p, ok, time.Since(began))
		}
	})
}

// A report of engine use may arrive after a later one of the same process. If it were
// applied, a run that has ended would count again and the engine would stay idle.
func TestOutOfOrderUseReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSchedulerService(peertest.New(1).VM("c1"), zerolog.Nop())
		c.setServers(modelsList(1))
		busy := map[string]placement.Usage{"e0": {Requests: 1, PendingPrompt: 8000}}
		c.receiveReport("r1", &UseReport{Incarnation: 7, Seq: 2})
		c.receiveReport("r1", &UseReport{Incarnation: 7, Seq: 1, Use: busy})
		if p := servePlace(t, c, "r1", "1"); p.Outcome != scheduler.Granted {
			t.Errorf("got outcome %d after an outdated report, want Granted", p.Outcome)
		}
		c.receiveReport("r1", &UseReport{Incarnation: 8, Seq: 1, Use: busy}) // the process has restarted
		if p := servePlace(t, c, "r1", "2"); p.Outcome != scheduler.Waiting {
			t.Errorf("got outcome %d during a prefill, want Waiting", p.Outcome)
		}
	})
}

// servePlace requests an engine for a stream without a report.
func servePlace(t *testing.T, c *schedulerService, router, id string) scheduler.Answer {
	t.Helper()
	body, err := codec.Marshal(PlaceRequest{Stream: scheduler.Stream{ID: id, Service: "models"}, DeadlineMS: time.Minute.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.servePlace(t.Context(), router, body)
	if err != nil {
		t.Fatal(err)
	}
	return out.(scheduler.Answer)
}

// All VMs lose power. The callers' connections hang, and they reconnect 20 s later. Their
// backup copies have expired, but the engines still cache the prompts; therefore the
// engines must be known.
func TestOrphanOutlivesCopy(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		orphan := forward.Orphan{Copy: forward.Copy{Address: "e2:1", ID: "q1"}, PrefillEngine: "e1:1"}
		h.hub.recordHeartbeat("dead", Heartbeat{Runs: []forward.ResumableRun{{RunID: runID(7), Orphan: orphan}}})
		if got, ok := v.member.FindOrphan(ctx, runID(7)); !ok || got.Orphan != orphan {
			t.Errorf("at once: got %+v, found %t, want the copy and the engine", got, ok)
		}
		time.Sleep(20 * time.Second)
		if got, ok := v.member.FindOrphan(ctx, runID(7)); !ok || got.Orphan != (forward.Orphan{PrefillEngine: "e1:1"}) {
			t.Errorf("after 20 s: got %+v, found %t, want the engine only", got, ok)
		}
	})
}

// Only the scheduling control VM knows the engines' memory and the waiting streams. A
// router must learn from it that memory is low. With the summary of another control VM it
// would continue to request backup copies.
func TestLowMemoryComesFromScheduler(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			h := startHub(ctx, n, id, controls)
			h.hub.SetBackends(modelsList(1))
		}
		v := startPlacing(ctx, n, "r1")
		time.Sleep(time.Second)
		first, _ := v.place(ctx, "1")
		v.setUse(map[string]placement.Usage{"e0": {Requests: 8, Tokens: 70_000}})
		v.member.Took(first.Number)
		for range 6 {
			time.Sleep(HeartbeatInterval)
			if a := v.peers.Load(); a == nil || len(a.LowMemory) != 1 {
				t.Fatalf("received %v, want one service with low memory", a)
			}
		}
	})
}

// A router shuts down while a stream waits for an engine. Place must return while there is
// time to answer. A caller kept until the process ends would get no answer at all.
func TestWaitEndsWhenRouterCloses(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		v, _ := startPrefilling(t, ctx, n)
		time.AfterFunc(2400*time.Millisecond, func() { v.closing.Store(true) })
		began := time.Now()
		p, ok := v.place(ctx, "2")
		if !ok || p.Outcome != scheduler.Waiting || time.Since(began) > 4*time.Second {
			t.Errorf("got %+v, decided %t after %v, want Waiting within 4s", p, ok, time.Since(began))
		}
	})
}

// Guards against two prompts on the only engine. While it prefills one router's prompt,
// the control VM that granted it and its successor are lost. Another router asks the third
// control VM, which has received no reports of engine use so far. It must learn of the
// prompt with the next heartbeat and make the stream wait.
func TestThirdControlVMKnowsUse(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			h := startHub(ctx, n, id, controls)
			h.hub.SetBackends(modelsList(1))
			go h.hub.Run(ctx)
		}
		prefilling, other := startPlacing(ctx, n, "r1"), startPlacing(ctx, n, "r2")
		time.Sleep(time.Second)
		first, ok := prefilling.place(ctx, "1")
		if !ok || first.Outcome != scheduler.Granted {
			t.Fatalf("first stream: got %+v, decided %t, want a grant", first, ok)
		}
		prefilling.setUse(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000}})
		prefilling.member.Took(first.Number)
		n.Kill(controls[0])
		n.Kill(controls[1])
		time.Sleep(presenceTimeout + 2*HeartbeatInterval)
		asking, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		if p, ok := other.place(asking, "2"); ok {
			t.Errorf("got %+v during the prefill of another router's prompt, want no decision", p)
		}
	})
}

// Only heartbeats carry the servers that a router suspects. A report between heartbeats
// that omits them must leave them unchanged, unless it comes from a new incarnation of the
// router.
func TestSuspicionIsKeptBetweenHeartbeats(t *testing.T) {
	c := newSchedulerService(peertest.New(1).VM("c1"), zerolog.Nop())
	c.setServers(modelsList(2))
	use := map[string]placement.Usage{"e1": {Requests: 1}}
	suspected := func() []string { return c.inbox.lastReports["r1"].Suspected }
	c.receiveReport("r1", &UseReport{Incarnation: 1, Seq: 1, Suspected: []string{"e0"}})
	c.receiveReport("r1", &UseReport{Incarnation: 1, Seq: 2, Use: use, SuspectedUnchanged: true})
	if got := suspected(); len(got) != 1 {
		t.Errorf("got suspects %v after a report without them, want 1", got)
	}
	c.receiveReport("r1", &UseReport{Incarnation: 1, Seq: 3, Use: use})
	if got := suspected(); len(got) != 0 {
		t.Errorf("got suspects %v after a heartbeat with none, want none", got)
	}
	c.receiveReport("r1", &UseReport{Incarnation: 1, Seq: 4, Suspected: []string{"e0"}})
	c.receiveReport("r1", &UseReport{Incarnation: 2, Seq: 1, Use: use, SuspectedUnchanged: true})
	if got := suspected(); len(got) != 0 {
		t.Errorf("got suspects %v of a restarted process, want none", got)
	}
}

// Guards against measurements that are lost in reports that a later one supersedes before a
// round of decisions, and against heartbeats that take them to a VM that does not decide.
func TestEngineSpeedsReachTheDecidingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := enginespeed.Observation{Prompts: 1, PromptTokens: 1000, PrefillUS: 100_000}
		member := &Member{placing: newPlacing(), incarnation: 1, local: Local{
			Use: func() map[string]placement.Usage { return nil }, TakeEngineSpeeds: func() map[string]enginespeed.Observation { return map[string]enginespeed.Observation{"e0": one} },
		}}
		if heartbeat := member.fullUseReport(); len(heartbeat.Speeds) > 0 {
			t.Errorf("a heartbeat carries %+v, want no measurements", heartbeat.Speeds)
		}
		inbox, report := newSchedulerInbox(), UseReport{}
		for range 2 {
			report = member.useReport()
			inbox.addReport("r1", &report, time.Now())
		}
		if got := inbox.next.reports["r1"].report.Speeds["e0"]; got.Prompts != 2 || got.PrefillUS != 200_000 {
			t.Errorf("got %+v of two reports, want 2 prompts in 200 ms", got)
		}
		c := newSchedulerService(peertest.New(1).VM("c1"), zerolog.Nop())
		c.setServers(modelsList(2))
		c.receiveReport("r1", &report)
		synctest.Wait()
		if now := time.Now(); !c.scheduler.BySpeed("models", now) || c.scheduler.BySpeed("models", now.Add(2*time.Minute)) {
			t.Error("the model of the engines' speeds is not in force, or still without measurements for two minutes")
		}
	})
}

// Guards against a stream that waits until its VM ends, since control VMs name each other while they
// are stopped in turn: it is not asked whether it may still wait.
func TestStreamStopsWaitingWhileNoControlVMDecides(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for i, id := range controls {
			h, next := startHub(ctx, n, id, controls), controls[(i+1)%len(controls)]
			h.hub.scheduling.t.Handle(peer.KindPlace, func(context.Context, string, []byte) (any, error) {
				return scheduler.Answer{Outcome: scheduler.Moved, Holder: next}, nil
			})
		}
		v := startPlacing(ctx, n, "r1")
		time.Sleep(time.Second)
		began := time.Now()
		time.AfterFunc(time.Second, func() { v.closing.Store(true) })
		time.AfterFunc(5*time.Second, v.stop)
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		p, ok := v.place(ctx, "1")
		if took := time.Since(began); !ok || p.Outcome != scheduler.Waiting || took > 1200*time.Millisecond {
			t.Errorf("got %+v, decided %t after %v, want the end of the wait after a second", p, ok, took)
		}
	})
}
