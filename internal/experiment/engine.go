package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// EngineParams are the speed and the sizes of a modelled engine, which batches
// continuously and prefills in chunks.
type EngineParams struct {
	StepBase           time.Duration // duration of a decoding step with an empty batch
	StepPerRun         time.Duration // added by each stream in the batch
	PrefillPerToken    time.Duration // added by each prompt token that is prefilled
	PrefillChunkTokens int           // at most, prompt tokens prefilled in one step
	MaxBatch           int
	CacheBlocks        int           // blocks of routing.BlockTokens
	ReportLag          time.Duration // age of the load reports that routers get
}

// DefaultEngineParams model a present-day engine. A step of a full batch takes 33 ms,
// which gives 30 tokens/s per stream and some 970 tokens/s in all. Prefill runs at
// 10,000 tokens/s.
var DefaultEngineParams = EngineParams{
	StepBase: 20 * time.Millisecond, StepPerRun: 400 * time.Microsecond, PrefillPerToken: 100 * time.Microsecond,
	PrefillChunkTokens: 2048, MaxBatch: 32, CacheBlocks: 2000, ReportLag: 500 * time.Millisecond,
}

// seconds returns the engine time that a request takes in a full batch.
func (f *EngineParams) seconds(prompt, tokens float64) float64 {
	perToken := (f.StepBase + time.Duration(f.MaxBatch)*f.StepPerRun).Seconds() / float64(f.MaxBatch)
	return prompt*f.PrefillPerToken.Seconds() + tokens*perToken
}

type engineModel struct {
	w           *world
	id          int
	name        string
	zone        string
	dead        bool
	silent      bool // died without a reset: connections hang
	pausedUntil time.Time
	slowFactor  float64
	leaving     bool
	queue       []*attempt
	batch       []*attempt
	stepping    bool
	epoch       int // incremented at each death
	cache       map[uint64]bool
	cacheOrder  []uint64
	eventLog    []engine.CacheEvent
	eventSeq    uint64
	reports     []report
}

type report struct {
	at   time.Time
	load engine.Load
}

// attempt is the simulated generation of a request's answer, or of the rest of it, on one
// engine. A request that is resumed or hedged has several attempts.
type attempt struct {
	r            *request
	engine       *engineModel
	tokensBefore int  // tokens of earlier attempts, prefilled here after the prompt
	generated    int  // tokens that this attempt has generated
	prefillLeft  int  // tokens still to be prefilled
	extra        bool // not the first attempt of the request
	priority     int
	done         bool
	onToken      func(*attempt)
	onReset      func(*attempt) // called if the engine dies and resets its connections; not called at a silent death
}

func (e *engineModel) submit(a *attempt) {
	total := a.r.prompt + a.tokensBefore
	a.prefillLeft = max(0, total-e.cached(a.r.blockDigests))
	e.cacheBlocks(a.r.blockDigests)
	e.queue = append(e.queue, a)
	slices.SortStableFunc(e.queue, func(a, b *attempt) int { return cmp.Compare(b.priority, a.priority) })
	e.startStep()
}

func (e *engineModel) cancel(a *attempt) {
	a.done = true
	same := func(o *attempt) bool { return o == a }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

func (e *engineModel) startStep() {
	if e.stepping || e.dead || len(e.queue)+len(e.batch) == 0 {
		return
	}
	e.stepping = true
	for len(e.queue) > 0 && len(e.batch) < e.w.engineParams.MaxBatch {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	f := &e.w.engineParams
	chunk := f.PrefillChunkTokens
	var decoding []*attempt
	for _, a := range e.batch {
		if a.prefillLeft == 0 {
			decoding = append(decoding, a)
			continue
		}
		n := min(a.prefillLeft, chunk)
		chunk -= n
		a.prefillLeft -= n
		e.w.out.countWork(a, float64(n))
		if a.prefillLeft == 0 && n > 0 {
			decoding = append(decoding, a) // this step also generates its first token
		}
	}
	took := f.StepBase + time.Duration(len(e.batch))*f.StepPerRun + time.Duration(f.PrefillChunkTokens-chunk)*f.PrefillPerToken
	if e.slowFactor > 1 {
		took = time.Duration(float64(took) * e.slowFactor)
	}
	epoch := e.epoch
	e.w.After(took, func() { e.finishStep(epoch, decoding, took) })
}

// finishStep ends a step: each decoding stream gets a token.
func (e *engineModel) finishStep(epoch int, decoding []*attempt, took time.Duration) {
	if e.dead || epoch != e.epoch {
		return
	}
	if wait := e.pausedUntil.Sub(e.w.Now()); wait > 0 {
		e.w.After(wait, func() { e.finishStep(epoch, decoding, took) })
		return
	}
	e.report(took)
	for _, a := range decoding {
		if a.done {
			continue
		}
		a.generated++
		e.w.out.countWork(a, routing.DecodeWeight)
		a.onToken(a)
	}
	e.stepping = false
	e.startStep()
}

func (e *engineModel) report(took time.Duration) {
	queued := 0
	for _, a := range e.queue {
		queued += a.prefillLeft/routing.DecodeWeight + a.r.tokens - a.tokensBefore
	}
	e.reports = append(e.reports, report{e.w.Now(), engine.Load{
		Running: len(e.batch), Queued: len(e.queue), QueuedTokens: queued, StepMS: float64(took) / float64(time.Millisecond),
	}})
	for len(e.reports) > 1 && e.w.Now().Sub(e.reports[1].at) >= e.w.engineParams.ReportLag {
		e.reports = e.reports[1:]
	}
}

// poll returns a load report that is ReportLag old, or false if the engine does not answer.
func (e *engineModel) poll() (engine.Load, bool) {
	if e.dead || e.pausedUntil.After(e.w.Now()) {
		return engine.Load{}, false
	}
	if len(e.batch)+len(e.queue) == 0 {
		e.reports = []report{{e.w.Now().Add(-e.w.engineParams.ReportLag), engine.Load{}}}
	}
	if len(e.reports) == 0 {
		return engine.Load{}, true
	}
	load := e.reports[0].load
	load.Leaving = e.leaving
	load.AgeMS = e.w.Now().Sub(e.reports[0].at).Milliseconds()
	return load, true
}

func (e *engineModel) cacheEvents(since uint64) engine.CacheEvents {
	page := engine.CacheEvents{Next: e.eventSeq}
	for _, ev := range e.eventLog {
		if ev.Seq > since {
			page.Events = append(page.Events, ev)
		}
	}
	return page
}

func (e *engineModel) cached(blocks []uint64) int {
	n := 0
	for _, d := range blocks {
		if !e.cache[d] {
			break
		}
		n += routing.BlockTokens
	}
	return n
}

func (e *engineModel) cacheBlocks(blocks []uint64) {
	for _, d := range blocks {
		if e.cache[d] {
			continue
		}
		if len(e.cacheOrder) >= e.w.engineParams.CacheBlocks {
			e.logCacheEvent("evict", e.cacheOrder[0])
			delete(e.cache, e.cacheOrder[0])
			e.cacheOrder = e.cacheOrder[1:]
		}
		e.cache[d] = true
		e.cacheOrder = append(e.cacheOrder, d)
		e.logCacheEvent("add", d)
	}
}

const maxCacheEvents = 4096

func (e *engineModel) logCacheEvent(op string, d uint64) {
	e.eventSeq++
	e.eventLog = append(e.eventLog, engine.CacheEvent{Seq: e.eventSeq, Op: op, Prefix: d})
	if len(e.eventLog) > maxCacheEvents {
		e.eventLog = e.eventLog[1:]
	}
}

// die kills the engine. A silent death sends no reset, like the loss of a host.
func (e *engineModel) die(silent bool) {
	lost := append(slices.Clone(e.batch), e.queue...)
	e.dead, e.silent, e.stepping = true, silent, false
	e.epoch++
	e.queue, e.batch, e.reports = nil, nil, nil
	e.cache, e.cacheOrder, e.eventLog, e.eventSeq = map[uint64]bool{}, nil, nil, 0
	if silent {
		return
	}
	for _, a := range lost {
		if !a.done {
			a.done = true
			a.onReset(a)
		}
	}
}

func (e *engineModel) revive() { e.dead, e.silent = false, false }

// activeStreams returns the attempts that have generated tokens.
func (e *engineModel) activeStreams() []*attempt {
	return slices.DeleteFunc(slices.Clone(e.batch), func(a *attempt) bool { return a.generated == 0 })
}
