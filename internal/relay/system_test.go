package relay_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

const (
	testModel   = "m"
	testPrompt  = "unit 7 log: return flow cold"
	testTokens  = 400
	callerKeep  = 20 * time.Second
	maxJournals = 12 // journals on one keeper
)

// system is a set of VMs in three zones and a set of engines, in memory and under
// synctest. Engines sample differently in each attempt, and a splice of two attempts is
// therefore detected as a wrong answer.
type system struct {
	t             *testing.T
	net           *peertest.Net
	mu            sync.Mutex
	views         []generation.Membership // newest first
	hubs          map[string]*relay.Hub
	metrics       map[string]*expvar.Map
	links         map[string]*peertest.Transport
	engines       []*standin.Engine
	running       map[int]int
	quota         quotaRecorder
	allowedEngine int // the only engine that Pick returns; below 0: any
	incarnations  int
}

// inBubble runs a test on a system in a synctest bubble, in virtual time.
func inBubble(t *testing.T, vms, engines int, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &system{
			t: t, net: peertest.New(1), hubs: map[string]*relay.Hub{}, metrics: map[string]*expvar.Map{}, links: map[string]*peertest.Transport{}, running: map[int]int{}, allowedEngine: -1,
		}
		s.net.SetDelay(time.Millisecond, 2*time.Millisecond)
		for i := range engines {
			conf := standin.DefaultEngine(fmt.Sprint("e", i), testModel)
			conf.SampleByAttempt = true
			s.engines = append(s.engines, standin.NewEngine(conf))
		}
		var first []generation.Candidate
		for i := range vms {
			first = append(first, s.candidate(i))
		}
		s.views = []generation.Membership{{Version: 1, Candidates: first}}
		for _, c := range first {
			s.start(c)
		}
		test(s)
		for vm := range s.hubs {
			s.kill(vm)
		}
		for _, e := range s.engines {
			e.Stop()
		}
		time.Sleep(10 * time.Second) // virtual: until every goroutine has ended
	})
}

func (s *system) candidate(i int) generation.Candidate {
	s.incarnations++
	return generation.Candidate{VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%3), Incarnation: fmt.Sprint("life", s.incarnations)}
}

func (s *system) start(c generation.Candidate) {
	m := new(expvar.Map).Init()
	link := s.net.VM(c.VM)
	limits := generation.DefaultLimits(callerKeep)
	limits.MaxJournals = maxJournals
	h := relay.NewHub(relay.Config{
		VM: c.VM, EpochVM: c.VM + "#" + c.Incarnation, Incarnation: c.Incarnation, OpenTimeout: 4 * time.Second,
		SilenceLimit: time.Second, CallerKeep: callerKeep, DetachKeep: 6 * time.Second,
		Limits: limits,
	}, relay.Deps{
		Transport: link, Members: s, Engines: &engineClient{s, c.VM}, Router: s, Quota: &s.quota, Log: zerolog.Nop(), Metrics: m,
	})
	s.mu.Lock()
	s.hubs[c.VM], s.metrics[c.VM], s.links[c.VM] = h, m, link
	s.mu.Unlock()
}

// kill ends VMs immediately, as a crash does.
func (s *system) kill(vms ...string) {
	for _, vm := range vms {
		s.net.Kill(vm)
		s.net.Resume(vm)
		s.hubs[vm].Close()
		s.mu.Lock()
		delete(s.hubs, vm)
		s.mu.Unlock()
	}
}

// commit installs a new version of the list of VMs, without the dead VMs and with the
// new incarnations of those in started.
func (s *system) commit(started ...generation.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := generation.Membership{Version: s.views[0].Version + 1}
	for _, c := range s.views[0].Candidates {
		if i := slices.IndexFunc(started, func(n generation.Candidate) bool { return n.VM == c.VM }); i >= 0 {
			c = started[i]
		}
		if s.hubs[c.VM] != nil {
			next.Candidates = append(next.Candidates, c)
		}
	}
	s.views = slices.Insert(s.views, 0, next)
}

// Views implements relay.Members.
func (s *system) Views() []generation.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.views)
}

// Reachable implements relay.Members.
func (s *system) Reachable(string) bool { return true }

// Pick implements relay.Router: the engine with the fewest attempts.
func (s *system) Pick(_ context.Context, q relay.Query) (relay.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i := range s.engines {
		allowed := s.allowedEngine < 0 || s.allowedEngine == i
		if allowed && !slices.Contains(q.Avoid, fmt.Sprint(i)) && (best < 0 || s.running[i] < s.running[best]) {
			best = i
		}
	}
	if best < 0 {
		return relay.Choice{}, result.New(result.NoBackendServer)
	}
	s.running[best]++
	name := fmt.Sprint(best)
	return relay.Choice{Backend: relay.Backend{Name: name, Addr: name}, Done: func(relay.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running[best]--
	}}, nil
}

// onlyEngine sends every attempt to one engine; below 0: to any.
func (s *system) onlyEngine(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowedEngine = i
}

// Usable implements relay.Router.
func (s *system) Usable(string) (engines, routers int) { return len(s.engines), 1 }

// engineClient is one VM's client to the engines. A paused VM reads nothing.
type engineClient struct {
	s  *system
	vm string
}

func (w *engineClient) engine(addr string) *standin.Engine {
	var i int
	_, _ = fmt.Sscan(addr, &i)
	return w.s.engines[i]
}

func (w *engineClient) holdWhilePaused(on func(engine.Event) error) func(engine.Event) error {
	return func(e engine.Event) error {
		if paused := w.s.net.Paused(w.vm); paused != nil {
			<-paused
		}
		return on(e)
	}
}

// Generate implements relay.Engines.
func (w *engineClient) Generate(ctx context.Context, addr string, c engine.Completion, on func(engine.Event) error) error {
	return w.engine(addr).Generate(ctx, "", c, w.holdWhilePaused(on))
}

// Attach implements relay.Engines.
func (w *engineClient) Attach(ctx context.Context, addr string, a engine.Attempt, from int, on func(engine.Event) error) error {
	return w.engine(addr).Attach(ctx, "", a, from, w.holdWhilePaused(on))
}

// Cancel implements relay.Engines.
func (w *engineClient) Cancel(ctx context.Context, addr string, a engine.Attempt) error {
	return w.engine(addr).Cancel(ctx, "", a)
}

// work sums what all engines have computed: starts, prompt tokens and answer tokens.
func (s *system) work() standin.EngineStats {
	var sum standin.EngineStats
	for _, e := range s.engines {
		st := e.Stats()
		sum.RunsStarted += st.RunsStarted
		sum.PrefillTokens += st.PrefillTokens
		sum.GeneratedTokens += st.GeneratedTokens
		sum.CancelledRuns += st.CancelledRuns
	}
	return sum
}

// extra returns the engines' work beyond one uninterrupted answer, in tokens.
func (s *system) extra() int {
	w := s.work()
	return w.PrefillTokens + w.GeneratedTokens - len(testPrompt) - testTokens
}

func (s *system) count(name string) int {
	sum := 0
	for _, m := range s.metrics {
		if v, ok := m.Get(name).(*expvar.Int); ok {
			sum += int(v.Value())
		}
	}
	return sum
}

// owner returns the VM that owns the generation of a key.
func (s *system) owner(key string) string {
	s.t.Helper()
	for vm, h := range s.hubs {
		if h.Run(generation.RequestID{Workspace: "w", Key: key}) != nil {
			return vm
		}
	}
	s.t.Fatal("no VM owns the generation, want one")
	return ""
}

// other returns a live VM that is none of those named.
func (s *system) other(not ...string) string {
	for i := range 16 {
		if vm := fmt.Sprint("vm", i); s.hubs[vm] != nil && !slices.Contains(not, vm) {
			return vm
		}
	}
	s.t.Fatal("no other VM is alive, want one")
	return ""
}

func (s *system) hub(vm string) *relay.Hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hubs[vm]
}

// caller reads one answer, as the gateway does on a caller's behalf.
type caller struct {
	s      *system
	key    string
	tokens []int32
	digest uint64
	finish string
	gap    time.Duration // the longest wait for tokens

	observe func(began time.Time, from int, chunk relay.Chunk, err error) // may be nil
}

func (s *system) caller(key string) *caller { return &caller{s: s, key: key} }

func (c *caller) request() generation.Request {
	return generation.Request{
		ID: generation.RequestID{Workspace: "w", Key: c.key}, Model: testModel, Prompt: testPrompt, MaxTokens: testTokens,
	}
}

var errSplice = errors.New("the answer's prefix differs from the caller's")

// read connects to a VM and reads until the answer has n tokens or has ended.
func (c *caller) read(vm string, n int) error { return c.readFrom(c.s.hub(vm), n) }

func (c *caller) readFrom(hub *relay.Hub, n int) error {
	ctx, cancel := context.WithTimeout(c.s.t.Context(), time.Minute)
	defer cancel()
	began := time.Now()
	reader, err := hub.Open(ctx, c.request(), len(c.tokens) > 0)
	if err != nil {
		c.record(began, relay.Chunk{}, err)
		return err
	}
	defer reader.Release()
	for len(c.tokens) < n && c.finish == "" {
		chunk, err := reader.Wait(ctx, len(c.tokens))
		c.record(began, chunk, err)
		if err != nil {
			return err
		}
		if chunk.Prefix != c.digest {
			return errSplice
		}
		for _, token := range chunk.Span.Tokens {
			c.digest = generation.PrefixDigest(c.digest, token)
		}
		c.tokens = append(c.tokens, chunk.Span.Tokens...)
		c.finish = chunk.Finish
		c.gap = max(c.gap, time.Since(began))
		began = time.Now()
	}
	return nil
}

func (c *caller) record(began time.Time, chunk relay.Chunk, err error) {
	if c.observe != nil {
		c.observe(began, len(c.tokens), chunk, err)
	}
}

// finishOn reads the rest, moving on to the next of the VMs after each error.
func (c *caller) finishOn(vms ...string) {
	c.s.t.Helper()
	var err error
	for _, vm := range vms {
		if err = c.read(vm, testTokens); err == nil {
			c.check()
			return
		}
	}
	c.s.t.Fatalf("%s: got %d tokens and then error %v, want the complete answer", c.key, len(c.tokens), err)
}

func (c *caller) check() {
	c.s.t.Helper()
	want := engine.Completion{Model: testModel, Prompt: testPrompt, MaxTokens: testTokens}
	if err := standin.Verify(want, "1", c.tokens, true); err != nil {
		c.s.t.Errorf("%s: %v", c.key, err)
	}
	if c.finish != "length" {
		c.s.t.Errorf("%s: got finish %q, want length", c.key, c.finish)
	}
}
