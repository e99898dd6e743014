package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// placingRouter is a router that takes what it is granted.
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

// startReading starts a control VM with one engine and two routers, of which the first
// has been granted the engine and has a prompt read there.
func startReading(t *testing.T, ctx context.Context, n *peertest.Net) (reads, other *placingRouter) {
	h := startHub(ctx, n, "c1", controls[:1])
	h.hub.SetBackends(modelsList(1))
	go h.hub.Run(ctx)
	reads, other = startPlacing(ctx, n, "r1"), startPlacing(ctx, n, "r2")
	time.Sleep(time.Second)
	first, ok := reads.place(ctx, "1")
	if !ok || first.Outcome != scheduler.Granted || first.Server != "e0" {
		t.Fatalf("first: %+v, %t", first, ok)
	}
	reads.uses(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000}})
	reads.member.Took(first.Number)
	return reads, other
}

// Two routers ask for the one free engine at the same moment. One gets it; the other's
// stream waits, and is told as soon as the first prompt has been read. Neither router
// knows of the other.
func TestStreamsWaitForTheOneEngine(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		a, b := startReading(t, ctx, n)
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
			t.Fatalf("placed beside a prompt that is being read: %+v", got)
		default:
		}
		a.uses(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600}})
		read := time.Now()
		a.member.UseChanged()
		got := <-second
		if !got.ok || got.p.Outcome != scheduler.Granted || got.at.Sub(read) > 20*time.Millisecond {
			t.Errorf("second: %+v after %v", got.p, got.at.Sub(read))
		}
	})
}

// The control VM that decides freezes. In order: a stream asks it and gets no answer;
// its router asks the next control VM within a tenth of a second, and goes on doing so;
// where none answers, the router is told to decide for itself.
func TestAnotherControlVMDecides(t *testing.T) {
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
			t.Errorf("%+v, %t after %v", p, ok, time.Since(began))
		}
		began = time.Now()
		if _, ok := v.place(ctx, "2"); !ok || time.Since(began) > 20*time.Millisecond {
			t.Errorf("the second stream asked the lost control VM again: %v", time.Since(began))
		}
		n.Kill("c2")
		n.Kill("c3")
		began = time.Now()
		if _, ok := v.place(ctx, "3"); ok || time.Since(began) > 2*placeTimeout+20*time.Millisecond {
			t.Errorf("decided by nobody: %t after %v", ok, time.Since(began))
		}
	})
}

// A caller leaves while its stream waits. The engine that is granted to it later is
// given back at once, or it would stand idle until the grant expires.
func TestGrantForACallerWhoLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		a, b := startReading(t, ctx, n)
		caller, leave := context.WithCancel(ctx)
		time.AfterFunc(100*time.Millisecond, leave)
		if _, ok := b.place(caller, "2"); ok {
			t.Fatal("a stream whose caller left was placed")
		}
		a.uses(nil)
		a.member.UseChanged()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		if p, ok := a.place(ctx, "3"); !ok || p.Outcome != scheduler.Granted || time.Since(began) > 20*time.Millisecond {
			t.Errorf("%+v, %t after %v", p, ok, time.Since(began))
		}
	})
}

// What a router told last may be overtaken on its way. Taken for new it would bring a
// run back that has ended, and the engine would stand idle.
func TestOvertakenUse(t *testing.T) {
	c := newSchedule(peertest.New(1).VM("c1"), zerolog.Nop())
	c.setServers(modelsList(1))
	busy := map[string]placement.Usage{"e0": {Requests: 1, PendingPrompt: 8000}}
	c.told("r1", &UseReport{Incarnation: 7, Seq: 2})
	c.told("r1", &UseReport{Incarnation: 7, Seq: 1, Use: busy})
	c.s.Enqueue(scheduler.Stream{ID: "1", VM: "r1", Service: "models", Deadline: time.Now().Add(time.Minute)}, time.Now())
	if p := c.runFor("1"); p.Outcome != scheduler.Granted {
		t.Errorf("outcome %d", p.Outcome)
	}
	c.told("r1", &UseReport{Incarnation: 8, Seq: 1, Use: busy}) // the process was started again
	c.s.Enqueue(scheduler.Stream{ID: "2", VM: "r1", Service: "models", Deadline: time.Now().Add(time.Minute)}, time.Now())
	if p := c.runFor("2"); p.Outcome != scheduler.Waiting {
		t.Errorf("outcome %d beside a prompt that is being read", p.Outcome)
	}
}

// All VMs lose power. The callers' connections hang, and they come for the rest twenty
// seconds later: their copies are gone, and the engines still have the prompts.
func TestWhereAStreamRanIsKnownLonger(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		left := forward.Orphan{Copy: forward.Copy{Address: "e2:1", ID: "q1"}, PrefillEngine: "e1:1"}
		h.hub.note("dead", Heartbeat{Runs: []forward.ResumableRun{{Identity: 7, Orphan: left}}})
		if got, ok := v.member.FindOrphan(ctx, 7); !ok || got != left {
			t.Errorf("at once: %+v, %t", got, ok)
		}
		time.Sleep(20 * time.Second)
		if got, ok := v.member.FindOrphan(ctx, 7); !ok || got != (forward.Orphan{PrefillEngine: "e1:1"}) {
			t.Errorf("after 20 s: %+v, %t", got, ok)
		}
	})
}

// Streams ask the control VM that decides; the others know neither how much memory an
// engine has nor who waits. A router must hear from that one that memory is short: told by
// another, it orders copies all the same.
func TestShortMemoryIsHeardFromWhoDecides(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			h := startHub(ctx, n, id, controls)
			h.hub.SetBackends(modelsList(1))
		}
		v := startPlacing(ctx, n, "r1")
		time.Sleep(time.Second)
		first, _ := v.place(ctx, "1")
		v.uses(map[string]placement.Usage{"e0": {Requests: 8, Tokens: 70_000}})
		v.member.Took(first.Number)
		for range 6 {
			time.Sleep(HeartbeatInterval)
			if a := v.heard.Load(); a == nil || len(a.LowMemory) != 1 {
				t.Fatalf("heard that %v is short of memory", a)
			}
		}
	})
}

// A router shuts down while a stream waits for an engine. It is told in time that waiting
// on is no use: kept until the process ends, the caller would get no answer at all.
func TestWaitingEndsWithTheRouter(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		v, _ := startReading(t, ctx, n)
		time.AfterFunc(2400*time.Millisecond, func() { v.closing.Store(true) })
		began := time.Now()
		p, ok := v.place(ctx, "2")
		if !ok || p.Outcome != scheduler.Waiting || time.Since(began) > 4*time.Second {
			t.Errorf("%+v, %t after %v", p, ok, time.Since(began))
		}
	})
}

// Two prompts meet on the one engine. In order: a router has a prompt read there; the
// control VM that granted it and the next one are lost; another router asks the third,
// which was not told of the use of engines so far. It must know of the prompt by the
// next notice, and have the stream wait.
func TestThirdControlVMLearnsOfUse(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			h := startHub(ctx, n, id, controls)
			h.hub.SetBackends(modelsList(1))
			go h.hub.Run(ctx)
		}
		reads, other := startPlacing(ctx, n, "r1"), startPlacing(ctx, n, "r2")
		time.Sleep(time.Second)
		first, ok := reads.place(ctx, "1")
		if !ok || first.Outcome != scheduler.Granted {
			t.Fatalf("first: %+v, %t", first, ok)
		}
		reads.uses(map[string]placement.Usage{"e0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000}})
		reads.member.Took(first.Number)
		n.Kill(controls[0])
		n.Kill(controls[1])
		time.Sleep(presentFor + 2*HeartbeatInterval)
		asking, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		if p, ok := other.place(asking, "2"); ok {
			t.Errorf("%+v while another router's prompt is read", p)
		}
	})
}

// What a router doubts comes with its notices alone. A message of its use that leaves
// it out changes nothing in it; one of another life of the process does.
func TestDoubtIsKeptBetweenNotices(t *testing.T) {
	c := newSchedule(peertest.New(1).VM("c1"), zerolog.Nop())
	c.setServers(modelsList(2))
	use := map[string]placement.Usage{"e1": {Requests: 1}}
	doubted := func() []string { return c.turns["r1"].Suspected }
	c.told("r1", &UseReport{Incarnation: 1, Seq: 1, Suspected: []string{"e0"}})
	c.told("r1", &UseReport{Incarnation: 1, Seq: 2, Use: use, SuspectedUnchanged: true})
	if got := doubted(); len(got) != 1 {
		t.Errorf("%v is doubted after a message of use", got)
	}
	c.told("r1", &UseReport{Incarnation: 1, Seq: 3, Use: use})
	if got := doubted(); len(got) != 0 {
		t.Errorf("%v is doubted after a notice that doubts nothing", got)
	}
	c.told("r1", &UseReport{Incarnation: 1, Seq: 4, Suspected: []string{"e0"}})
	c.told("r1", &UseReport{Incarnation: 2, Seq: 1, Use: use, SuspectedUnchanged: true})
	if got := doubted(); len(got) != 0 {
		t.Errorf("%v is doubted by a process that has just started", got)
	}
}
