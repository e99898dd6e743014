package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Placer decides for all VMs which stream gets which engine.
type Placer interface {
	// Place waits for an engine until ctx ends. It reports false where nobody decides:
	// this VM places by what it knows. Where abandon, asked now and then, reports that
	// waiting on is no use, the outcome is Waiting.
	Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool)
	// Took says that a grant is part of this VM's use now, or was not needed.
	Took(number uint64)
	// Refresh brings the list of backend servers up to date.
	Refresh(ctx context.Context)
	// UseChanged says that engines have become free, or were taken without a grant.
	UseChanged()
}

// alone is the Placer of a VM that always decides for itself.
type alone struct{}

func (alone) Place(context.Context, scheduler.Stream, func() bool) (scheduler.Answer, bool) {
	return scheduler.Answer{}, false
}
func (alone) Took(uint64)             {}
func (alone) UseChanged()             {}
func (alone) Refresh(context.Context) {}

// chosen is where a stream's next run goes.
type chosen struct {
	server *upstream.Server
	from   *Copy
	// grant is what the engine was granted by; zero: this VM chose it.
	grant   scheduler.Answer
	granted bool
	// refused is the reason where there is none, final: asking again is no use.
	refused result.Code
	final   bool
	again   bool // another engine is to be asked for at once
}

// place has an engine granted for the stream, or chooses one where nobody decides.
func (st *stream) place() chosen {
	h, began := st.h, time.Now()
	g, ok := h.o.Placer.Place(st.q.ctx, st.ask(), st.abandoned)
	if !ok {
		return chosen{server: st.placeAlone()}
	}
	st.waited += time.Since(began)
	observe(h.Stats.StreamWait, began)
	if g.Outcome == scheduler.NoServer && h.leaveTrial(st.q) {
		return chosen{again: true}
	}
	switch g.Outcome {
	case scheduler.Granted:
		if s := st.granted(&g); s != nil {
			return chosen{server: s, grant: g, granted: true}
		}
		return chosen{again: true}
	case scheduler.Refused:
		st.q.refuse(g.RetryAfter)
		return chosen{refused: result.DeadlineTooSoon, final: true}
	case scheduler.Waiting:
		st.q.refuse(elsewhere)
		return chosen{refused: result.ShuttingDown, final: true}
	case scheduler.TooLarge:
		st.q.refuse(0)
		return chosen{refused: result.LargerThanEngine, final: true}
	}
	return chosen{}
}

// granted is the engine of a grant. One that has just started is on the control VM's
// list before it is on this VM's: were the stream placed elsewhere then, all that wait
// would be at once, on the engines that are full. nil: it is not to be used.
func (st *stream) granted(g *scheduler.Answer) *upstream.Server {
	h := st.h
	s := h.o.Fleet.Lookup(g.Server)
	if s == nil {
		h.o.Placer.Refresh(st.q.ctx)
		s = h.o.Fleet.Lookup(g.Server)
	}
	if s != nil && s.Version != h.o.Fleet.Version(s.Service, st.q.choice.Versions) {
		s = nil // a roll-out has gone on since the stream asked
	}
	if s == nil {
		h.o.Placer.Took(g.Number)
		st.skip[g.Server] = true
	}
	return s
}

func (st *stream) ask() scheduler.Stream {
	q := st.q
	a := scheduler.Stream{
		ID: q.RequestID, Service: q.service.Name, Workspace: q.workspace, Need: st.need, KVTokens: st.kvTokens(),
		Due: q.due(), Deadline: q.expires, Priority: q.priority,
		Interrupted: st.seq.started, WantsCopy: st.mayCopy(), EventsReceived: events(st.seq.last),
		Zone: st.h.o.Zone, Version: st.h.o.Fleet.Version(q.service.Name, q.choice.Versions), VersionShare: q.choice.ServerShare,
	}
	for id := range st.skip {
		a.ExcludedEngines = append(a.ExcludedEngines, id)
	}
	slices.Sort(a.ExcludedEngines)
	if s := st.h.o.Fleet.At(q.service.Name, st.ran); s != nil && s.Version == a.Version {
		a.CachedEngine = s.ID
	}
	return a
}

// abandoned reports that this VM shuts down and could not finish the stream any more.
// Kept until the process ends, its caller would lose it without an answer; one that no
// engine has seen can still be served elsewhere.
func (st *stream) abandoned() bool {
	return st.q.rec.arrivals == 0 && st.h.o.CannotFinish(true, st.h.expected(st.q))
}

// longRun is how much longer than the mean a run may well take.
const longRun = 1.5

// expected is how long a stream lasts, if it is a long one of its service; 0: not known.
func (h *Handler) expected(q *request) time.Duration {
	return h.paces.of(q.service.Name).ExpectedDuration(q.PromptTokens, events(q.After), longRun)
}

// events is how many events a caller has by the id of its last one.
func events(last uint64) int { return int(min(last, math.MaxInt32)) }

// due is when the first event is due: by the end of the caller's time where the route
// states no objective.
func (q *request) due() time.Time {
	if q.route.Objective <= 0 {
		return q.expires
	}
	return q.arrived.Add(q.route.Objective)
}

// placeAlone chooses by what this VM knows; nil: there is no engine.
func (st *stream) placeAlone() *upstream.Server {
	for {
		servers, candidates := st.h.o.Fleet.Candidates(st.q.service.Name, st.q.choice.Versions, st.kvTokens(), st.skip)
		for i := range candidates {
			candidates[i].OtherZone = candidates[i].Zone != st.h.o.Zone
		}
		if i := placement.ChooseEngine(candidates, st.need, rand.IntN); i >= 0 {
			return servers[i]
		}
		if !st.h.leaveTrial(st.q) {
			return nil
		}
	}
}

// mayCopy reports whether a copy of the stream's runs can be kept, and used.
func (st *stream) mayCopy() bool {
	e := st.q.service.Engine
	return e != nil && e.KeepCopies && st.q.rec.repeatable
}

// paceBook is what this VM observes of each service's engines. Safe for concurrent use.
type paceBook struct {
	mu    sync.Mutex
	paces map[string]scheduler.EngineTiming // of this VM
	told  map[string]scheduler.EngineTiming // of all VMs
}

// paceShare is the weight of the newest observation: some ten runs make the mean.
const paceShare = 0.15

// read notes how long an engine that had nothing else to read took for a prompt.
func (b *paceBook) read(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	b.update(service, func(p *scheduler.EngineTiming) {
		p.PrefillPerToken = scheduler.Smooth(p.PrefillPerToken, took/time.Duration(tokens), paceShare)
	})
}

// ran notes how long a whole run took from its first event to its end, and how many
// events it had.
func (b *paceBook) ran(service string, took time.Duration, events int) {
	b.update(service, func(p *scheduler.EngineTiming) {
		p.RunDuration = scheduler.Smooth(p.RunDuration, took, paceShare)
		p.EventsPerRun = scheduler.Smooth(p.EventsPerRun, float64(events), paceShare)
	})
}

func (b *paceBook) update(service string, f func(*scheduler.EngineTiming)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.paces == nil {
		b.paces = map[string]scheduler.EngineTiming{}
	}
	p := b.paces[service]
	f(&p)
	b.paces[service] = p
}

func (b *paceBook) learn(told map[string]scheduler.EngineTiming) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = told
}

// of is what all VMs observed, or this one where it was told of nothing yet.
func (b *paceBook) of(service string) scheduler.EngineTiming {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.told[service]; p.RunDuration > 0 {
		return p
	}
	return b.paces[service]
}

func (b *paceBook) all() map[string]scheduler.EngineTiming {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]scheduler.EngineTiming, len(b.paces))
	for service, p := range b.paces {
		out[service] = p
	}
	return out
}
