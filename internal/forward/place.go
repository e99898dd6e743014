package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Placer grants engines to streams on behalf of all VMs.
type Placer interface {
	// Place waits for an engine until ctx ends. It returns false if no scheduler can be
	// reached; this VM then chooses by its own view. abandon is called from time to time.
	// Once it reports that further waiting is of no use, the outcome is Waiting.
	Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool)
	// Took reports to the scheduler that a grant is settled. Either this VM's use includes
	// it, or it was not needed.
	Took(number uint64)
	// Refresh updates the list of backend servers.
	Refresh(ctx context.Context)
	// UseChanged tells the scheduler that engines became free, or were used without a
	// grant.
	UseChanged()
}

// localPlacer is the Placer of a VM without a scheduler. It grants nothing.
type localPlacer struct{}

func (localPlacer) Place(context.Context, scheduler.Stream, func() bool) (scheduler.Answer, bool) {
	return scheduler.Answer{}, false
}
func (localPlacer) Took(uint64)             {}
func (localPlacer) UseChanged()             {}
func (localPlacer) Refresh(context.Context) {}

// engineChoice is the engine of a stream's next run, or the reason why there is none.
type engineChoice struct {
	server *upstream.Server
	from   *Copy // the copy to resume from; nil: none
	// grant is valid if granted is set; otherwise this VM chose the engine.
	grant   scheduler.Answer
	granted bool
	// reason is set if there is no engine. final is set if another request for one is of
	// no use.
	reason   result.Code
	final    bool
	tryAgain bool // another engine must be requested at once
	permit   backpressure.Permit
}

// requestEngine requests an engine for the stream. It chooses one if no scheduler can be
// reached.
func (st *streamRelay) requestEngine() engineChoice {
	h, began := st.h, time.Now()
	if st.refusedByLevel() {
		return engineChoice{reason: result.Overloaded, final: true}
	}
	versions := h.opts.Fleet.AllowedVersions(st.q.service.Name, st.q.versionChoice.Versions)
	if len(versions) == 0 {
		return engineChoice{tryAgain: h.leaveTrialVersion(st.q)}
	}
	g, ok := h.opts.Placer.Place(st.q.ctx, st.placementRequest(versions), st.stopsWaiting)
	if !ok {
		return engineChoice{server: st.placeLocally()}
	}
	st.waited += time.Since(began)
	observe(h.Stats.StreamWait, began)
	if g.Outcome == scheduler.NoServer && h.leaveTrialVersion(st.q) {
		return engineChoice{tryAgain: true}
	}
	switch g.Outcome {
	case scheduler.Granted:
		if s := st.grantedEngine(&g); s != nil {
			return engineChoice{server: s, grant: g, granted: true}
		}
		return engineChoice{tryAgain: true}
	case scheduler.Moved:
		return engineChoice{tryAgain: true}
	case scheduler.Refused:
		st.q.setRetryAfter(g.RetryAfter)
		return engineChoice{reason: result.DeadlineTooSoon, final: true}
	case scheduler.Waiting:
		if st.waitedForVersion() {
			st.q.setRetryAfter(versionFullRetryAfter)
			return engineChoice{reason: result.BackendsFull, final: true}
		}
		st.q.setRetryAfter(otherRouterRetryAfter)
		return engineChoice{reason: result.ShuttingDown, final: true}
	case scheduler.TooLarge:
		st.q.setRetryAfter(0)
		return engineChoice{reason: result.LargerThanEngine, final: true}
	}
	return engineChoice{}
}

// refusedByLevel reports whether the stream is refused before it asks for an engine, and sets
// when its caller may retry. Only new streams are: one that has waited, was sent or is
// resumed has been accepted.
func (st *streamRelay) refusedByLevel() bool {
	q := st.q
	level := st.h.opts.RefusalLevel
	if level == nil || st.sends > 0 || st.waited > 0 || st.seq.started || q.HasAfter || !st.h.ranksStreams(q) {
		return false
	}
	l, ok := level(q.service.Name)
	if !ok || !l.Refuses(q.priority, q.workspace, rand.Float64()) {
		return false
	}
	q.setRetryAfter(l.Retry(rand.Float64()))
	st.h.Stats.RefusedByLevel.Inc()
	st.h.opts.RoutineLog.Info().Str("request", q.RequestID).Str("service", q.service.Name).Int("priority", q.priority).Str("workspace", q.workspace).
		Int("level", l.Priority).Bool("over_share", l.OverShare).Dur("retry_after", l.RetryAfter).Msg("stream refused by the refusal level")
	return true
}

// grantedEngine returns the engine of a grant; nil: it must not be used. An engine that
// has just started is on the control VM's list before it is on this VM's, which is
// refreshed then. If the stream were placed elsewhere instead, all waiting streams would
// be, at once and on engines that are full.
func (st *streamRelay) grantedEngine(g *scheduler.Answer) *upstream.Server {
	h := st.h
	s := h.opts.Fleet.Lookup(g.Server)
	if s == nil {
		h.opts.Placer.Refresh(st.q.ctx)
		s = h.opts.Fleet.Lookup(g.Server)
	}
	if s != nil && !h.opts.Fleet.AllowsVersion(s.Service, st.q.versionChoice.Versions, s.Version) {
		s = nil // the roll-out has advanced since the request
	}
	if s == nil {
		h.opts.Placer.Took(g.Number)
		st.skip[g.Server] = true
	}
	return s
}

// placementRequest returns the request for an engine of one of these versions.
func (st *streamRelay) placementRequest(versions []string) scheduler.Stream {
	q := st.q
	out := scheduler.Stream{
		ID: q.RequestID, Service: q.service.Name, Workspace: q.workspace, Need: st.need, KVTokens: st.kvTokens(),
		Due: q.dueTime(), Deadline: q.expires, FirstEventBy: q.firstEventBy(), Priority: q.priority,
		Interrupted: st.seq.started, WantsCopy: st.mayKeepCopy(), EventsReceived: eventCount(st.seq.last),
		Ranked: st.h.ranksStreams(q), PauseMS: q.route.PauseObjective.Milliseconds(),
		Zone: st.h.opts.Zone, Versions: versions, VersionShare: q.versionChoice.ServerShare,
	}
	if len(versions) == 1 {
		out.Version = versions[0]
	}
	for id := range st.skip {
		out.ExcludedEngines = append(out.ExcludedEngines, id)
	}
	out.ExcludedEngines = append(out.ExcludedEngines, st.h.opts.Fleet.Refusing(q.service.Name)...)
	slices.Sort(out.ExcludedEngines)
	out.ExcludedEngines = slices.Compact(out.ExcludedEngines)
	if s := st.h.opts.Fleet.At(q.service.Name, st.orphanEngine); s != nil && slices.Contains(versions, s.Version) {
		out.CachedEngine = s.ID
	}
	return out
}

// ranksStreams reports whether streams of a request's service are ordered by priority.
func (h *Handler) ranksStreams(q *request) bool {
	table := h.opts.Routes()
	return table != nil && table.RanksStreams(q.service.Name)
}

// stopsWaiting reports whether the stream must not wait for an engine any longer.
func (st *streamRelay) stopsWaiting() bool { return st.cannotFinish() || st.waitedForVersion() }

// eventCount returns how many events a caller has, given the id of the last one.
func eventCount(last uint64) int { return int(min(last, math.MaxInt32)) }

// dueTime returns when the first event is due. It is the request's deadline if the route
// states no objective.
func (q *request) dueTime() time.Time {
	if q.route.Objective <= 0 {
		return q.expires
	}
	return q.arrived.Add(q.route.Objective)
}

// firstEventBy returns until when the caller waits for the first event; zero: until its
// deadline.
func (q *request) firstEventBy() time.Time {
	if q.route.Patience <= 0 {
		return time.Time{}
	}
	return q.arrived.Add(q.route.Patience)
}

// placeLocally chooses an engine by this VM's own view; nil: there is none.
func (st *streamRelay) placeLocally() *upstream.Server {
	for {
		servers, candidates := st.h.opts.Fleet.Candidates(st.q.service.Name, st.q.versionChoice.Versions, st.kvTokens(), st.skip)
		for i := range candidates {
			candidates[i].OtherZone = candidates[i].Zone != st.h.opts.Zone
			// The engines of a zone fail together, before this VM has seen more than one of them die.
			candidates[i].Avoid = candidates[i].Avoid || candidates[i].Zone == st.lostZone
		}
		servers, candidates = upstream.WithoutUngranted(st.h.opts.Fleet, servers, candidates)
		if i := placement.ChooseEngine(candidates, st.need, rand.IntN); i >= 0 {
			return servers[i]
		}
		if !st.h.leaveTrialVersion(st.q) {
			return nil
		}
	}
}

// mayKeepCopy reports whether copies of the stream's runs can be made and used.
func (st *streamRelay) mayKeepCopy() bool {
	e := st.q.service.Engine
	return e != nil && e.KeepCopies && st.q.history.repeatable
}

// paceTracker records the pace of each service's engines. It is safe for concurrent use.
type paceTracker struct {
	mu     sync.Mutex
	paces  map[string]scheduler.EngineTiming // as this VM observed them
	allVMs map[string]scheduler.EngineTiming // as all VMs together observed them
}

// newestPaceWeight is the weight of the newest observation in the mean. Some ten runs
// dominate the mean.
const newestPaceWeight = 0.15

// notePrompt records the prefill time of a prompt at an engine that prefilled no other.
func (t *paceTracker) notePrompt(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	t.update(service, func(p *scheduler.EngineTiming) {
		p.PrefillPerToken = scheduler.Smooth(p.PrefillPerToken, took/time.Duration(tokens), newestPaceWeight)
	})
}

// noteRun records the time from the first event of a complete run to its end, and the
// number of its events.
func (t *paceTracker) noteRun(service string, took time.Duration, events int) {
	t.update(service, func(p *scheduler.EngineTiming) {
		p.RunDuration = scheduler.Smooth(p.RunDuration, took, newestPaceWeight)
		p.EventsPerRun = scheduler.Smooth(p.EventsPerRun, float64(events), newestPaceWeight)
	})
}

func (t *paceTracker) update(service string, f func(*scheduler.EngineTiming)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paces == nil {
		t.paces = map[string]scheduler.EngineTiming{}
	}
	p := t.paces[service]
	f(&p)
	t.paces[service] = p
}

func (t *paceTracker) setAllVMs(paces map[string]scheduler.EngineTiming) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allVMs = paces
}

// pace returns what all VMs observed, or what this VM did if nothing was reported yet.
func (t *paceTracker) pace(service string) scheduler.EngineTiming {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.allVMs[service]; p.RunDuration > 0 {
		return p
	}
	return t.paces[service]
}

func (t *paceTracker) all() map[string]scheduler.EngineTiming {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]scheduler.EngineTiming, len(t.paces))
	for service, p := range t.paces {
		out[service] = p
	}
	return out
}
