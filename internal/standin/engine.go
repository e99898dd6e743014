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

// EngineConfig sets the speed, the sizes and the faults of a stand-in engine.
type EngineConfig struct {
	Name              string
	Models            []engine.Model
	StepBase          time.Duration // duration of a decoding step with an empty batch
	StepPerRun        time.Duration // added by each run in the batch
	PrefillPerToken   time.Duration // added by each prompt token that is not cached
	MaxBatch          int
	CacheTokens       int           // size of the prefix cache
	ReportLag         time.Duration // age of the load reports that load returns
	EventLag          time.Duration // delay until a cache event is published
	DropEveryNthEvent int           // every n-th cache event is not published; 0: all are
	EnforceFencing    bool          // refuse orders with a stale fencing number
	ModelLoadTime     time.Duration // until a model that is loaded is ready
	SampleByAttempt   bool          // attempts sample differently
	PoisonWord        string        // a prompt that contains it kills the engine; empty: none
	PoisonAtToken     int           // number of answer tokens after which it does
}

// DefaultEngine returns the configuration of an engine that is fast enough for tests and
// the demo.
func DefaultEngine(name, model string) EngineConfig {
	return EngineConfig{
		Name: name, Models: []engine.Model{{Name: model, Version: "1", Ready: true}},
		StepBase: 4 * time.Millisecond, StepPerRun: 100 * time.Microsecond, PrefillPerToken: 20 * time.Microsecond,
		MaxBatch: 32, CacheTokens: 1 << 16, ReportLag: 200 * time.Millisecond, EventLag: 200 * time.Millisecond,
		ModelLoadTime: 500 * time.Millisecond,
	}
}

// EngineStats counts an engine's work over all its lives.
type EngineStats struct {
	RunsStarted     int
	PrefillTokens   int // prompt tokens computed, without cached ones
	GeneratedTokens int
	CancelledRuns   int
}

// Engine is a stand-in model engine with continuous batching. It offers the API of
// engines and methods that inject faults. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	wake     chan struct{}
	quit     chan struct{}
	ended    chan struct{}
	dead     bool
	deaths   int
	queue    []*run
	batch    []*run
	runs     map[engine.Attempt]*run
	cache    *prefixCache
	state    engine.State
	reports  []timedLoad
	seq      uint64
	arrivals uint64
	faults   faults
	stats    EngineStats
	onDeath  func()
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

type run struct {
	req           engine.Completion
	version       string
	digest        answerDigest
	arrivalSeq    uint64
	prefillTokens int
	tokens        []int32 // includes the tokens that the request brought along
	finish        string
	usage         engine.Usage
	changed       chan struct{}
	err           error
	readers       int
	detachedAt    time.Time
	stalled       bool
}

// NewEngine starts an engine. The caller stops it with Stop.
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

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// submit queues a run. It returns the existing run if the attempt id is known.
func (e *Engine) submit(c engine.Completion) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, errDead
	}
	if r := e.runs[c.Attempt]; r != nil {
		return r, nil
	}
	version, err := e.servedVersion(&c)
	if err != nil {
		return nil, err
	}
	e.arrivals++
	r := &run{
		req: c, version: version, digest: promptDigest(&c, version), arrivalSeq: e.arrivals,
		tokens: slices.Clone(c.Generated), changed: make(chan struct{}),
	}
	for _, t := range c.Generated {
		r.digest = r.digest.with(t)
	}
	e.runs[c.Attempt] = r
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrivalSeq, b.arrivalSeq))
	})
	e.stats.RunsStarted++
	e.wakeLoop()
	return r, nil
}

func (e *Engine) servedVersion(c *engine.Completion) (string, error) {
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

// step admits queued runs and decodes one token for each run of the batch. It returns
// the duration of the step and whether there was any work.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if pause := e.faults.pausedUntil.Sub(now); pause > 0 {
		return pause, true
	}
	e.reapDetached(now)
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
		prefix := append(PromptTokens(&r.req), r.tokens...)
		cached := e.cache.insert(prefix)
		r.prefillTokens = len(prefix) - cached
		r.usage = engine.Usage{Prompt: len(prefix) - len(r.tokens), Cached: cached}
		e.stats.PrefillTokens += r.prefillTokens
		prefill += r.prefillTokens
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
		t := r.digest.next(choice)
		r.digest = r.digest.with(t)
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

// reapDetached ends the runs that have had no reader for their detach time, and removes
// finished ones.
func (e *Engine) reapDetached(now time.Time) {
	for id, r := range e.runs {
		if r.readers > 0 || r.detachedAt.IsZero() {
			continue
		}
		if now.Sub(r.detachedAt) >= time.Duration(r.req.DetachMS)*time.Millisecond {
			e.endRun(id, r)
		}
	}
}

func (e *Engine) endRun(id engine.Attempt, r *run) {
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

// cancel ends a run and reports whether it existed.
func (e *Engine) cancel(id engine.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return false
	}
	e.endRun(id, r)
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

// load returns the newest load report that is at least ReportLag old.
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

// Stats returns the engine's counters, which survive its deaths.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Stop ends the engine for good. It must be called only once.
func (e *Engine) Stop() {
	e.Kill()
	close(e.quit)
	<-e.ended
}

// Running returns the number of runs in the batch and the queue.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch) + len(e.queue)
}
