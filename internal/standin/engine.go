package standin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

const maxCacheEvents = 4096

// EngineConfig sets the speed and habits of a stand-in engine.
type EngineConfig struct {
	Name              string
	Models            []engine.Model
	StepBase          time.Duration // of one decoding step with an empty batch
	StepPerRun        time.Duration // added by each run in the batch
	PrefillPerToken   time.Duration // added by each prompt token that is not cached
	MaxBatch          int
	CacheTokens       int // tokens
	ReportLag         time.Duration
	EventLag          time.Duration // cache events are published this late
	DropEveryNthEvent int           // every n-th cache event is lost; 0: none
	EnforceFencing    bool          // refuses orders with an old fencing number
	ModelLoadTime     time.Duration // of one model
	SampleByAttempt   bool          // sampling differs by attempt
	PoisonWord        string        // a prompt with it kills the engine
	PoisonAtToken     int           // at this token of its answer
}

// DefaultEngine is an engine that is fast enough for tests and the demo.
func DefaultEngine(name, model string) EngineConfig {
	return EngineConfig{
		Name: name, Models: []engine.Model{{Name: model, Version: "1", Ready: true}},
		StepBase: 4 * time.Millisecond, StepPerRun: 100 * time.Microsecond, PrefillPerToken: 20 * time.Microsecond,
		MaxBatch: 32, CacheTokens: 1 << 16, ReportLag: 200 * time.Millisecond, EventLag: 200 * time.Millisecond,
		ModelLoadTime: 500 * time.Millisecond,
	}
}

// EngineStats counts an engine's work.
type EngineStats struct {
	RunsStarted     int // runs started
	PrefillTokens   int // prompt tokens computed, cached ones left out
	GeneratedTokens int // tokens generated
	CancelledRuns   int
}

// Engine is a stand-in model engine with continuous batching. Its methods are
// what engines offer; Faults changes how it behaves. Safe for concurrent use.
type Engine struct {
	cfg EngineConfig

	mu      sync.Mutex
	wake    chan struct{}
	quit    chan struct{}
	ended   chan struct{}
	dead    bool
	deaths  int
	queue   []*run
	batch   []*run
	runs    map[engine.Attempt]*run
	cache   *prefixCache
	state   engine.State
	reports []timedLoad
	seq     uint64
	arrived uint64
	faults  faults
	stats   EngineStats
	onDeath func()
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

type run struct {
	req      engine.Completion
	version  string
	chain    chain
	arrived  uint64
	prefill  int
	tokens   []int32 // Generated included
	finish   string
	usage    engine.Usage
	changed  chan struct{}
	err      error
	readers  int
	detached time.Time
	stalled  bool
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1), quit: make(chan struct{}), ended: make(chan struct{})}
	e.reset()
	go e.loop()
	return e
}

func (e *Engine) reset() {
	e.queue, e.batch = nil, nil
	e.runs = map[engine.Attempt]*run{}
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.state = engine.State{Models: slices.Clone(e.cfg.Models)}
	e.reports = nil
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// submit queues a run, or returns the one that already has its attempt id.
func (e *Engine) submit(c engine.Completion) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, errDead
	}
	if r := e.runs[c.Attempt]; r != nil {
		return r, nil
	}
	version, err := e.serves(&c)
	if err != nil {
		return nil, err
	}
	e.arrived++
	r := &run{
		req: c, version: version, chain: startChain(&c, version), arrived: e.arrived,
		tokens: slices.Clone(c.Generated), changed: make(chan struct{}),
	}
	for _, t := range c.Generated {
		r.chain = r.chain.with(t)
	}
	e.runs[c.Attempt] = r
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrived, b.arrived))
	})
	e.stats.RunsStarted++
	e.poke()
	return r, nil
}

func (e *Engine) serves(c *engine.Completion) (string, error) {
	for _, m := range e.state.Models {
		if !m.Ready || m.Name != c.Model || (c.Version != "" && c.Version != m.Version) {
			continue
		}
		if c.Adapter != "" && !slices.Contains(m.Adapters, c.Adapter) {
			return "", fmt.Errorf("%w: adapter %s", errNotServed, c.Adapter)
		}
		return m.Version, nil
	}
	return "", fmt.Errorf("%w: model %s version %s", errNotServed, c.Model, c.Version)
}

func (e *Engine) loop() {
	defer close(e.ended)
	for {
		wait, running := e.step()
		var timer <-chan time.Time
		if running {
			timer = time.After(wait)
		}
		wake := e.wake
		if running {
			wake = nil
		}
		select {
		case <-timer:
		case <-wake:
		case <-e.quit:
			return
		}
	}
}

// step admits, decodes one token for each run of the batch, and returns how
// long that took, and whether there was anything to do.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if pause := e.faults.pausedUntil.Sub(now); pause > 0 {
		return pause, true
	}
	e.reap(now)
	prefill := e.admit()
	if e.dead || len(e.batch) == 0 {
		return 0, false
	}
	for _, r := range slices.Clone(e.batch) {
		e.decode(r)
		if e.dead {
			return 0, false
		}
	}
	took := e.cfg.StepBase + time.Duration(len(e.batch))*e.cfg.StepPerRun + time.Duration(prefill)*e.cfg.PrefillPerToken
	took = time.Duration(float64(took) * e.faults.slowness())
	e.batch = slices.DeleteFunc(e.batch, func(r *run) bool { return r.finish != "" || r.err != nil })
	e.report(now, took)
	return max(took, time.Microsecond), true
}

func (e *Engine) admit() int {
	prefill := 0
	for len(e.queue) > 0 && len(e.batch) < e.cfg.MaxBatch {
		r := e.queue[0]
		e.queue = e.queue[1:]
		whole := append(PromptTokens(&r.req), r.tokens...)
		cached := e.cache.use(whole)
		r.prefill = len(whole) - cached
		r.usage = engine.Usage{Prompt: len(whole) - len(r.tokens), Cached: cached}
		e.stats.PrefillTokens += r.prefill
		prefill += r.prefill
		e.batch = append(e.batch, r)
	}
	return prefill
}

func (e *Engine) decode(r *run) {
	if r.stalled || e.faults.stalls(r.req.Attempt) {
		r.stalled = true
		return
	}
	if len(r.tokens) < r.req.MaxTokens {
		var choice uint64
		if e.cfg.SampleByAttempt {
			choice = xxhash.Sum64String(fmt.Sprint(r.req.Attempt, len(r.tokens)))
		}
		t := r.chain.next(choice)
		r.chain = r.chain.with(t)
		r.tokens = append(r.tokens, t)
		r.usage.Completion++
		e.stats.GeneratedTokens++
	}
	if len(r.tokens) >= r.req.MaxTokens {
		r.finish = "length"
	}
	if e.poisoned(r) {
		e.die()
		return
	}
	r.notify()
}

func (e *Engine) poisoned(r *run) bool {
	return e.cfg.PoisonWord != "" && len(r.tokens) >= e.cfg.PoisonAtToken && strings.Contains(r.req.Prompt, e.cfg.PoisonWord)
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// reap ends runs that nobody has read for their detach time, and forgets
// finished ones.
func (e *Engine) reap(now time.Time) {
	for id, r := range e.runs {
		if r.readers > 0 || r.detached.IsZero() {
			continue
		}
		if now.Sub(r.detached) >= time.Duration(r.req.DetachMS)*time.Millisecond {
			e.end(id, r)
		}
	}
}

func (e *Engine) end(id engine.Attempt, r *run) {
	delete(e.runs, id)
	same := func(o *run) bool { return o == r }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.batch = slices.DeleteFunc(e.batch, same)
	if r.finish == "" {
		e.stats.CancelledRuns++
		r.err = errCancelled
		r.notify()
	}
}

// cancel ends a run and reports whether there was one.
func (e *Engine) cancel(id engine.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return false
	}
	e.end(id, r)
	return true
}

func (e *Engine) report(now time.Time, step time.Duration) {
	e.seq++
	load := engine.Load{
		Seq: e.seq, Running: len(e.batch), Queued: len(e.queue), CacheUsed: e.cache.tokens(),
		CacheLimit: e.cfg.CacheTokens, StepMS: float64(step) / float64(time.Millisecond), Leaving: e.faults.leaving,
	}
	for _, r := range e.queue {
		load.QueuedTokens += len(r.req.Prompt) + len(r.req.PromptIDs) + r.req.MaxTokens - len(r.tokens)
	}
	for _, m := range e.state.Models {
		load.Models = append(load.Models, m.Name)
	}
	e.reports = append(e.reports, timedLoad{now, load})
	cut := 0
	for cut+1 < len(e.reports) && now.Sub(e.reports[cut+1].at) >= e.cfg.ReportLag {
		cut++
	}
	e.reports = e.reports[cut:]
}

// load is the newest report that is at least ReportLag old.
func (e *Engine) load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.batch) == 0 && len(e.queue) == 0 {
		e.report(now, 0)
	}
	out := engine.Load{CacheLimit: e.cfg.CacheTokens}
	for _, m := range e.state.Models {
		out.Models = append(out.Models, m.Name)
	}
	for _, r := range e.reports {
		if age := now.Sub(r.at); age >= e.cfg.ReportLag {
			out = r.load
			out.AgeMS = age.Milliseconds()
		}
	}
	return out
}

// Stats returns the engine's counters, kept over its deaths.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Stop ends the engine for good, once.
func (e *Engine) Stop() {
	e.Kill()
	close(e.quit)
	<-e.ended
}

// Running is the number of runs in the batch and the queue.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch) + len(e.queue)
}
