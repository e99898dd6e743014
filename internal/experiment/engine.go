package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// EngineFigures are the speed of a modelled engine: continuous batching with
// chunked prefill.
type EngineParams struct {
	StepBase           time.Duration // of a decoding step with an empty batch
	StepPerRun         time.Duration // added by each stream in the batch
	PrefillPerToken    time.Duration // added by each prompt token that is not cached
	PrefillChunkTokens int           // prompt tokens prefilled in one step at most
	MaxBatch           int
	CacheBlocks        int // blocks of routing.BlockTokens
	ReportLag          time.Duration
}

// DefaultFigures are those of an engine of today: 33 ms a step with a full
// batch (30 tokens/s a stream, some 970 a second in all), 10,000 tokens/s of
// prefill.
var DefaultEngineParams = EngineParams{
	StepBase: 20 * time.Millisecond, StepPerRun: 400 * time.Microsecond, PrefillPerToken: 100 * time.Microsecond,
	PrefillChunkTokens: 2048, MaxBatch: 32, CacheBlocks: 2000, ReportLag: 500 * time.Millisecond,
}

// seconds is the engine time that a request takes beside a full batch.
func (f *EngineParams) seconds(prompt, tokens float64) float64 {
	perToken := (f.StepBase + time.Duration(f.MaxBatch)*f.StepPerRun).Seconds() / float64(f.MaxBatch)
	return prompt*f.PrefillPerToken.Seconds() + tokens*perToken
}

type engineModel struct {
	w        *world
	id       int
	name     string
	zone     string
	dead     bool
	mute     bool // dead without a reset: connections hang
	paused   time.Time
	slow     float64
	leaving  bool
	queue    []*attempt
	batch    []*attempt
	stepping bool
	epoch    int // of the present life
	cache    map[uint64]bool
	order    []uint64
	log      []engine.CacheEvent
	seq      uint64
	reports  []report
}

type report struct {
	at   time.Time
	load engine.Load
}

// attempt is a run of a request on an engine.
type attempt struct {
	r        *request
	engine   *engineModel
	from     int // tokens before it
	made     int // tokens generated
	prefill  int // tokens left to prefill
	extra    bool
	priority int
	done     bool
	token    func(*attempt) // a token was generated
	broken   func(*attempt) // the engine died with a reset
}

func (e *engineModel) submit(a *attempt) {
	total := a.r.prompt + a.from
	a.prefill = max(0, total-e.cached(a.r.blocks))
	e.learn(a.r.blocks)
	e.queue = append(e.queue, a)
	slices.SortStableFunc(e.queue, func(a, b *attempt) int { return cmp.Compare(b.priority, a.priority) })
	e.kick()
}

func (e *engineModel) cancel(a *attempt) {
	a.done = true
	same := func(o *attempt) bool { return o == a }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

func (e *engineModel) kick() {
	if e.stepping || e.dead || len(e.queue)+len(e.batch) == 0 {
		return
	}
	e.stepping = true
	for len(e.queue) > 0 && len(e.batch) < e.w.figures.MaxBatch {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	f := &e.w.figures
	chunk := f.PrefillChunkTokens
	var decoding []*attempt
	for _, a := range e.batch {
		if a.prefill == 0 {
			decoding = append(decoding, a)
			continue
		}
		n := min(a.prefill, chunk)
		chunk -= n
		a.prefill -= n
		e.w.out.work(a, float64(n))
		if a.prefill == 0 && n > 0 {
			decoding = append(decoding, a) // its first token comes with this step
		}
	}
	took := f.StepBase + time.Duration(len(e.batch))*f.StepPerRun + time.Duration(f.PrefillChunkTokens-chunk)*f.PrefillPerToken
	if e.slow > 1 {
		took = time.Duration(float64(took) * e.slow)
	}
	epoch := e.epoch
	e.w.After(took, func() { e.finish(epoch, decoding, took) })
}

// finish ends a step: each decoding stream gets a token.
func (e *engineModel) finish(epoch int, decoding []*attempt, took time.Duration) {
	if e.dead || epoch != e.epoch {
		return
	}
	if wait := e.paused.Sub(e.w.Now()); wait > 0 {
		e.w.After(wait, func() { e.finish(epoch, decoding, took) })
		return
	}
	e.report(took)
	for _, a := range decoding {
		if a.done {
			continue
		}
		a.made++
		e.w.out.work(a, routing.DecodeWeight)
		a.token(a)
	}
	e.stepping = false
	e.kick()
}

func (e *engineModel) report(took time.Duration) {
	queued := 0
	for _, a := range e.queue {
		queued += a.prefill/routing.DecodeWeight + a.r.tokens - a.from
	}
	e.reports = append(e.reports, report{e.w.Now(), engine.Load{
		Running: len(e.batch), Queued: len(e.queue), QueuedTokens: queued, StepMS: float64(took) / float64(time.Millisecond),
	}})
	for len(e.reports) > 1 && e.w.Now().Sub(e.reports[1].at) >= e.w.figures.ReportLag {
		e.reports = e.reports[1:]
	}
}

// poll returns the engine's lagging report, or false where none answers.
func (e *engineModel) poll() (engine.Load, bool) {
	if e.dead || e.paused.After(e.w.Now()) {
		return engine.Load{}, false
	}
	if len(e.batch)+len(e.queue) == 0 {
		e.reports = []report{{e.w.Now().Add(-e.w.figures.ReportLag), engine.Load{}}}
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
	page := engine.CacheEvents{Next: e.seq}
	for _, ev := range e.log {
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

func (e *engineModel) learn(blocks []uint64) {
	for _, d := range blocks {
		if e.cache[d] {
			continue
		}
		if len(e.order) >= e.w.figures.CacheBlocks {
			e.event("evict", e.order[0])
			delete(e.cache, e.order[0])
			e.order = e.order[1:]
		}
		e.cache[d] = true
		e.order = append(e.order, d)
		e.event("add", d)
	}
}

const maxLog = 4096

func (e *engineModel) event(op string, d uint64) {
	e.seq++
	e.log = append(e.log, engine.CacheEvent{Seq: e.seq, Op: op, Prefix: d})
	if len(e.log) > maxLog {
		e.log = e.log[1:]
	}
}

// die ends the engine. mute: without a reset, as a lost host does.
func (e *engineModel) die(mute bool) {
	lost := append(slices.Clone(e.batch), e.queue...)
	e.dead, e.mute, e.stepping = true, mute, false
	e.epoch++
	e.queue, e.batch, e.reports = nil, nil, nil
	e.cache, e.order, e.log, e.seq = map[uint64]bool{}, nil, nil, 0
	if mute {
		return
	}
	for _, a := range lost {
		if !a.done {
			a.done = true
			a.broken(a)
		}
	}
}

func (e *engineModel) revive() { e.dead, e.mute = false, false }

// streams are the attempts that have given tokens.
func (e *engineModel) streams() []*attempt {
	return slices.DeleteFunc(slices.Clone(e.batch), func(a *attempt) bool { return a.made == 0 })
}
