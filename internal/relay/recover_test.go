package relay_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// fleet is a set of engines that are called without a network. A dead engine refuses
// connections.
type fleet struct {
	mu      sync.Mutex
	engines []*standin.Engine
	cfg     func(i int) standin.EngineConfig
	slow    func(engine string) float64 // the slowness that routers observe; nil: none
}

func newFleet(n int, change func(*standin.EngineConfig)) *fleet {
	f := &fleet{cfg: func(i int) standin.EngineConfig {
		c := standin.DefaultEngine(fmt.Sprint("e", i), "m")
		c.SampleByAttempt = true // makes a splice of two attempts detectable
		if change != nil {
			change(&c)
		}
		return c
	}}
	for i := range n {
		f.engines = append(f.engines, standin.NewEngine(f.cfg(i)))
	}
	return f
}

func (f *fleet) at(addr string) (*standin.Engine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var i int
	_, _ = fmt.Sscanf(addr, "e%d", &i)
	if e := f.engines[i]; e.Alive() {
		return e, nil
	}
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

func (f *fleet) revive(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[i].Stop()
	f.engines[i] = standin.NewEngine(f.cfg(i))
}

func (f *fleet) stop() {
	for _, e := range f.engines {
		e.Stop()
	}
}

func (f *fleet) deaths() int {
	n := 0
	for _, e := range f.engines {
		n += e.Deaths()
	}
	return n
}

// busiest is the engine with the most runs.
func (f *fleet) busiest() *standin.Engine {
	best := f.engines[0]
	for _, e := range f.engines {
		if e.Alive() && e.Running() > best.Running() {
			best = e
		}
	}
	return best
}

func (f *fleet) Generate(ctx context.Context, addr string, c engine.Completion, on func(engine.Event) error) error {
	e, err := f.at(addr)
	if err != nil {
		return err
	}
	return e.Generate(ctx, addr, c, on)
}

func (f *fleet) Attach(ctx context.Context, addr string, a engine.Attempt, from int, on func(engine.Event) error) error {
	e, err := f.at(addr)
	if err != nil {
		return err
	}
	return e.Attach(ctx, addr, a, from, on)
}

func (f *fleet) Cancel(ctx context.Context, addr string, a engine.Attempt) error {
	e, err := f.at(addr)
	if err != nil {
		return err
	}
	return e.Cancel(ctx, addr, a)
}

// tableRouter implements relay.Router with a routing.Table.
type tableRouter struct {
	mu    sync.Mutex
	table *routing.Table
	slow  func(engine string) float64
}

func newTableRouter(engines int) *tableRouter {
	t := routing.NewTable("z", rand.New(rand.NewPCG(20261202, 1)))
	var specs []routing.Spec
	for i := range engines {
		specs = append(specs, routing.Spec{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i), Zone: "z", Pools: []string{"m"}})
	}
	t.SetServers(specs)
	return &tableRouter{table: t}
}

func (r *tableRouter) Usable(model string) (engines, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Usable(model, time.Now()), 1
}

func (r *tableRouter) Pick(_ context.Context, q relay.Query) (relay.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.table.Pick(&routing.Query{
		Pool: "m", PromptTokens: q.PrefillTokens(), NewTokens: q.Request.MaxTokens, Avoid: q.Avoid, Resume: q.Resume, Suspect: q.Suspect,
	}, time.Now())
	if !ok {
		return relay.Choice{}, result.New(result.NoBackendServer)
	}
	locked := func(f func()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}
	s := r.table.Spec(p.Engine)
	return relay.Choice{
		Backend: relay.Backend{Name: s.Name, Addr: s.Addr, Zone: s.Zone},
		Cleared: func() { locked(func() { r.table.EndIsolation(&p) }) },
		Slowness: func() float64 {
			if r.slow == nil {
				return 1
			}
			return r.slow(s.Name)
		},
		Done: func(o relay.Outcome) {
			as := map[relay.Outcome]routing.Outcome{relay.OutcomeOK: routing.OK, relay.OutcomeRefused: routing.Refused, relay.OutcomeDied: routing.Failed}
			outcome, ok := as[o]
			if !ok {
				outcome = routing.Cancelled
			}
			locked(func() { r.table.Done(&p, outcome, time.Now()) })
		},
	}, nil
}

type staticMembers []generation.Candidate

func (m staticMembers) Views() []generation.Membership {
	return []generation.Membership{{Version: 1, Candidates: m}}
}
func (m staticMembers) Reachable(string) bool { return true }

// hubs starts VMs that share a fleet.
func hubs(t *testing.T, f *fleet, n int, o recovery.Objective) []*relay.Hub {
	t.Helper()
	network := peertest.New(20261202)
	var members staticMembers
	for i := range n {
		members = append(members, generation.Candidate{VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i), Incarnation: "1"})
	}
	var out []*relay.Hub
	for i := range n {
		id := fmt.Sprint("vm", i)
		router := newTableRouter(len(f.engines))
		router.slow = f.slow
		out = append(out, relay.NewHub(relay.Config{
			VM: id, EpochVM: id + "#1", Incarnation: "1", Limits: generation.DefaultLimits(time.Minute), OpenTimeout: 4 * time.Second, CallerKeep: time.Minute, Objective: o,
		}, relay.Deps{
			Transport: network.VM(id), Members: members, Engines: f, Router: router,
			Log: zerolog.Nop(), Metrics: new(expvar.Map).Init(),
		}))
	}
	return out
}

func request(key, prompt string, tokens int) generation.Request {
	return generation.Request{
		ID:    generation.RequestID{Workspace: "coop", Key: key},
		Model: "m", Prompt: prompt, MaxTokens: tokens,
	}
}

// read reads a complete answer as a caller does and checks it token by token. It calls
// at once, when 50 tokens have arrived.
func read(ctx context.Context, h *relay.Hub, req generation.Request, at func()) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Minute) // virtual
	defer cancel()
	reader, err := h.Open(ctx, req, false)
	if err != nil {
		return err
	}
	defer reader.Release()
	var tokens []int32
	for {
		chunk, err := reader.Wait(ctx, len(tokens))
		if err != nil {
			return err
		}
		tokens = append(tokens, chunk.Span.Tokens...)
		if len(tokens) >= 50 && at != nil {
			at()
			at = nil
		}
		if chunk.Finish != "" {
			break
		}
	}
	c := engine.Completion{Model: "m", Prompt: req.Prompt, MaxTokens: req.MaxTokens}
	return standin.Verify(c, "1", tokens, true)
}

// Every engine dies at the 50th token of an answer, and one restarts after half a
// minute. The request was accepted, and it waits for an engine instead of failing. The
// answer resumes within the longest ejection (30 s) of the restarted engine.
func TestAcceptedRequestOutlivesAnOutageOfAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, nil)
		defer f.stop()
		h := hubs(t, f, 1, recovery.ExtraWork)[0]
		defer h.Close()
		began := time.Now()
		err := read(t.Context(), h, request("r", "unit log", 200), func() {
			for _, e := range f.engines {
				e.Kill()
			}
			time.AfterFunc(30*time.Second, func() { f.revive(1) })
		})
		if err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 65*time.Second {
			t.Errorf("the answer took %s, want at most 65s", took)
		}
	})
}

// The caller's engine is silent for a minute and then continues. With the objective
// resume-latency the answer resumes on another engine within 1.5 seconds. With
// extra-work it resumes within 5 seconds, because the timeout is longer than most pauses.
// The late tokens of the first engine differ and must not appear in the answer.
func TestSilentEngineTimeoutByObjective(t *testing.T) {
	for _, c := range []struct {
		objective recovery.Objective
		within    time.Duration
	}{{recovery.ResumeLatency, 1500 * time.Millisecond}, {recovery.ExtraWork, 5 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, nil)
			defer f.stop()
			h := hubs(t, f, 1, c.objective)[0]
			defer h.Close()
			var paused time.Time
			began := time.Now()
			err := read(t.Context(), h, request("r", "unit log", 200), func() {
				paused = time.Now()
				f.busiest().Pause(time.Minute)
			})
			if err != nil {
				t.Error(err)
			}
			unbroken := paused.Sub(began) * 3 // 150 more tokens
			if took := time.Since(paused); took > c.within+unbroken {
				t.Errorf("objective %d: the answer ended %s after the start of the pause, over the limit", c.objective, took)
			}
			time.Sleep(2 * time.Minute) // virtual: the late tokens arrive and are dropped
		})
	}
}

// The caller's engine becomes eight times slower while most of the answer is missing.
// The engine has not failed, and the answer would take a minute on it. The answer must
// move to another engine and be complete within a quarter of that time.
func TestAnswerMovesOffASlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, nil)
		defer f.stop()
		var slow atomic.Pointer[standin.Engine]
		f.slow = func(name string) float64 {
			if e, err := f.at(name); err == nil && e == slow.Load() {
				return 8
			}
			return 1
		}
		h := hubs(t, f, 1, recovery.ExtraWork)[0]
		defer h.Close()
		began := time.Now()
		err := read(t.Context(), h, request("r", "unit log", 2000), func() {
			e := f.busiest()
			e.Slow(8)
			slow.Store(e)
		})
		if err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("the answer took %s, want at most 15s", took)
		}
	})
}

// A request crashes each engine that runs it, while 12 other requests run. Its caller
// resends it under new ids to other VMs. It must crash exactly two engines and then be
// refused with its own result code, and the other answers must be complete.
func TestPoisonRequestKillsOnlyTwoEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, func(c *standin.EngineConfig) { c.PoisonWord, c.PoisonAtToken = "crash", 40 })
		defer f.stop()
		vms := hubs(t, f, 3, recovery.ExtraWork)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				if err := read(t.Context(), vms[0], request(fmt.Sprint("good", i), fmt.Sprint("unit ", i), 400), nil); err != nil {
					t.Errorf("request %d beside the poison request: got error %v, want a complete answer", i, err)
				}
			})
		}
		err := read(t.Context(), vms[0], request("bad", "please crash", 400), nil)
		if !errors.Is(err, result.New(result.PoisonRequest)) {
			t.Errorf("the poison request got %v, want poison_request", err)
		}
		synctest.Wait()
		for i := range 5 {
			err := read(t.Context(), vms[1+i%2], request(fmt.Sprint("again", i), "please crash", 400), nil)
			if !errors.Is(err, result.New(result.PoisonRequest)) {
				t.Errorf("resend %d got %v, want poison_request", i, err)
			}
		}
		wg.Wait()
		if n := f.deaths(); n != 2 {
			t.Errorf("got %d dead engines, want 2", n)
		}
		for _, h := range vms {
			h.Close()
		}
	})
}
