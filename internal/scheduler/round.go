package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// round is one pass over the waiting streams of a service.
type round struct {
	servers []*server
	byID    map[string]*server // of all services
	vms     map[string]*vm
	now     time.Time
	service *service
	// reserved counts the servers that are kept free for a stream that finds no room yet
	// and is due before the streams tried after it. Without it, smaller streams take all
	// memory that is freed, and the largest prompts are late every time.
	reserved int
	ahead    int // streams of this pass that keep waiting
	usable   int // servers that are not lost
	// idle holds the engines that could start a prefill at once, less those that the pass
	// keeps free. gained holds those of them that became idle or got more memory since the
	// last pass. offered is the one of both from which streams choose.
	idle, gained   idleEngines
	offered        *idleEngines
	vm             *vm           // of the stream that is decided; nil: it has not reported
	median         time.Duration // prefill time of one token
	allSlow        bool
	bySpeed        bool                       // the speeds of the engines are known: see speeds.go
	versionSubsets map[string]map[string]bool // by version
	scarce         map[string]bool            // see service.scarceVersions
	// keptFor holds the versions of which an engine is kept for streams in progress. They are not
	// counted in reserved.
	keptFor map[string]bool
	ranked  *rankedPass // nil: the waiting streams are not ranked
}

func newRound(v *service, s *Scheduler, now time.Time) *round {
	r := &round{servers: v.servers, byID: s.servers, vms: s.vms, now: now, service: v, usable: v.usable}
	r.median, r.bySpeed = v.cachedMedianPerToken(now), v.speeds.InForce(now)
	r.scarce = v.scarceVersions()
	v.idle = append(v.idle[:0], v.ready...)
	for i := range v.idle {
		if r.usable > 0 {
			v.idle[i] &^= v.lost[i]
		}
		v.gained[i] &= v.idle[i]
	}
	r.idle, r.gained = idleEngines{set: v.idle, n: v.idle.count()}, idleEngines{set: v.gained, n: v.gained.count()}
	r.offered = &r.idle
	return r
}

// findSlow determines whether all usable engines are slow. The engine that was found not to
// be slow in the last pass is mostly still so.
func (r *round) findSlow() {
	n := len(r.servers)
	for i := range n {
		pos := (r.service.notSlow + i) % n
		if e := r.servers[pos]; !e.lost && r.slowdown(e) <= 1 {
			r.service.notSlow, r.allSlow = pos, false
			return
		}
	}
	r.allSlow = true
}

// usageChanged updates the idle engines after a grant.
func (r *round) usageChanged(e *server) {
	r.idle.bounded, r.gained.bounded = false, false
	r.scarce = r.service.scarceVersions()
	if !e.service.ready.has(e.pos) {
		r.markBusy(e)
	}
}

// markBusy removes an engine from those that could start a prefill.
func (r *round) markBusy(e *server) {
	r.idle.remove(e.pos)
	r.gained.remove(e.pos)
}

// engine chooses an engine that can start the stream at once. If there is none, it
// returns nil and the stream waits.
func (r *round) engine(w *waiter, rng func(int) int) *server {
	if e := r.cached(w); e != nil {
		return e
	}
	if !r.mayFit(r.offered, w) {
		r.reserve(w)
		return nil
	}
	if r.bySpeed {
		return r.engineBySpeed(w, rng)
	}
	eligible, candidates := r.listEligible(w, r.offered.set, r.offered.n, rng, r.accepting(w))
	i := placement.ChooseEngine(candidates, w.Need, rng)
	if i < 0 {
		r.reserve(w)
		return nil
	}
	return eligible[i]
}

// maxEligible is how many eligible engines are compared for a choice. Of thousands, the best
// of so many is as good as the best of all.
const maxEligible = 256

// listEligible lists the engines of a set of n that match, at most maxEligible, and their views
// for placement. If there are more engines it begins at a random one. The lists are valid until the next call.
func (r *round) listEligible(w *waiter, engines engineSet, n int, rng func(int) int, match func(*server) bool) ([]*server, []placement.Candidate) {
	eligible, candidates := r.service.eligible[:0], r.service.candidates[:0]
	if n == 0 {
		return nil, nil
	}
	pos := engines.next(0)
	if n > maxEligible {
		pos = engines.nth(rng(n))
	}
	for range n {
		if e := r.servers[pos]; match(e) {
			if eligible, candidates = append(eligible, e), append(candidates, r.candidate(e, w)); len(eligible) == maxEligible {
				break
			}
		}
		if pos = engines.next(pos + 1); pos < 0 {
			pos = engines.next(0)
		}
	}
	r.service.eligible, r.service.candidates = eligible, candidates
	return eligible, candidates
}

// cached returns the engine that caches the stream's prompt, if it has room for the run.
// It may be prefilling another prompt, since this one needs no prefill, but it must not be
// stalled.
func (r *round) cached(w *waiter) *server {
	if w.CachedEngine == "" {
		return nil
	}
	e := r.byID[w.CachedEngine]
	if e == nil || e.Service != w.Service || e.isStalled(r.now) || !r.accepts(e, w) || !r.fits(e, w) {
		return nil
	}
	return e
}

// anyEngineAccepts reports whether some engine may run the stream, now or later.
func (r *round) anyEngineAccepts(w *waiter) bool {
	for i, all := range r.service.all {
		if r.usable > 0 {
			all &^= r.service.lost[i]
		}
		for ; all != 0; all &= all - 1 {
			if r.accepts(r.servers[64*i+bits.TrailingZeros64(all)], w) {
				return true
			}
		}
	}
	return false
}

// accepts reports whether an engine may run the stream at all, now or later.
func (r *round) accepts(e *server, w *waiter) bool {
	return w.matchesVersion(e) && !slices.Contains(w.ExcludedEngines, e.ID) && !r.withholds(e) && !r.avoids(e) && (w.VersionShare == 0 || r.versionSubset(w)[e.ID])
}

// versionSubset returns the IDs of the engines that run all streams of a version that is
// restricted to a share of its engines. Lost engines are not counted.
func (r *round) versionSubset(w *waiter) map[string]bool {
	if out, ok := r.versionSubsets[w.Version]; ok {
		return out
	}
	sums := r.service.versionSums(w.Version)
	n := rollout.TrialServers(w.VersionShare, r.service.total.listed-sums.listed)
	out := map[string]bool{}
	for _, e := range sums.byID {
		if len(out) == n {
			break
		}
		if !r.avoids(e) {
			out[e.ID] = true
		}
	}
	if r.versionSubsets == nil {
		r.versionSubsets = map[string]map[string]bool{}
	}
	r.versionSubsets[w.Version] = out
	return out
}

// slowdown is how many times longer than the median a prefill takes on an engine. Where speeds
// are known, they are compared in engineBySpeed.
func (r *round) slowdown(e *server) float64 {
	if r.bySpeed {
		return 1
	}
	return e.slowdown(r.median, r.now)
}

func (r *round) candidate(e *server, w *waiter) placement.Candidate {
	return placement.Candidate{
		ID: e.ID, Zone: e.Zone, Slots: e.Slots, KVTokens: w.KVTokens, Usage: e.usage, Slowdown: r.slowdown(e),
		OtherZone: w.Zone != "" && w.Zone != e.Zone,
	}
}

// fits reports whether an engine has memory for the stream's run. Unless the stream is late
// already or all engines are slow, it rejects an engine so slow that the stream would be
// late there, since another engine may be free soon.
func (r *round) fits(e *server, w *waiter) bool {
	return w.hasMemory(e.usage.Tokens) && r.fastEnough(w, r.slowdown(e))
}

// fastEnough reports whether an engine with this slowdown may run the stream.
func (r *round) fastEnough(w *waiter, slowdown float64) bool {
	return slowdown <= 1 || r.allSlow || w.class == late || !r.wouldBeLate(w, slowdown)
}

// hasMemory reports whether an engine of which some memory is taken has room for the run.
func (w *waiter) hasMemory(taken int) bool {
	share := maxMemoryShare
	if w.class == late && !w.takesLast {
		share = lateMemoryShare
	}
	return w.KVTokens == 0 || float64(taken+w.Need.Tokens()) <= memoryLimit(share, w)
}

// memoryLimit returns the most tokens that an engine's memory may hold once it runs the
// stream. This is the given share of the memory, except for a run so large that it fits only
// on a nearly empty engine: it may use the whole memory, provided that other runs and copies
// take no more than nearlyEmptyShare. Without this exception a run that needs more than the
// share would wait until its deadline.
func memoryLimit(share float64, w *waiter) float64 {
	kv := float64(w.KVTokens)
	alone := min(kv, float64(w.Need.Tokens())+nearlyEmptyShare*kv)
	return max(share*kv, alone)
}

const (
	// maxPrefillBacklog is how much prefill time may be left on an engine that gets
	// another prompt. It is about the time that a grant and the report of a finished
	// prefill take on the network, and keeps engines with short prompts busy.
	maxPrefillBacklog = 30 * time.Millisecond
	// maxMemoryShare is the share of an engine's memory that copies and runs at their
	// full length may take. Beyond it the engine preempts running streams.
	maxMemoryShare = 0.96
	// nearlyEmptyShare is the share of an engine's memory that a copy or a short run may
	// occupy beside a run that needs the rest.
	nearlyEmptyShare = 0.1
	// maxReserved is the number of servers that are kept free for streams that find no
	// room.
	maxReserved = 1
)

// wouldBeLate reports whether a stream would produce its first event late on an engine
// with this slowdown.
func (r *round) wouldBeLate(w *waiter, slowdown float64) bool {
	prefill := time.Duration(slowdown * float64(r.service.timing.prefillTime(w.Need.Prompt)))
	return r.now.Add(prefill).After(w.Due)
}

// reserve keeps the engine with the most free memory for a stream that finds no room.
func (r *round) reserve(w *waiter) {
	if !r.mayReserve(w) {
		return
	}
	var best *server
	for pos := r.idle.set.next(0); pos >= 0; pos = r.idle.set.next(pos + 1) {
		if e := r.servers[pos]; w.matchesVersion(e) && !r.avoids(e) && (best == nil || e.usage.Tokens < best.usage.Tokens) {
			best = e
		}
	}
	if best != nil {
		r.countReserved(w)
		r.markBusy(best)
	}
}

// mayReserve reports whether an engine may be kept free for a stream.
func (r *round) mayReserve(w *waiter) bool {
	if w.KVTokens == 0 || w.class == late {
		return false
	}
	if version, tied := r.tiedTo(w); tied {
		return !r.keptFor[version]
	}
	return r.reserved < maxReserved
}

func (r *round) countReserved(w *waiter) {
	version, tied := r.tiedTo(w)
	if !tied {
		r.reserved++
		return
	}
	if r.keptFor == nil {
		r.keptFor = map[string]bool{}
	}
	r.keptFor[version] = true
}

// minDuration is the shortest time that a stream needs once an engine starts it.
//
// The more engines prefill prompts, the fewer there are on which a run is quick. Under lasting
// overload, streams with too little time left would be started for nothing: their callers leave
// shortly before the end, and the memory of their runs keeps others waiting.
func (r *round) minDuration(w *waiter) time.Duration {
	share := quickRunShare + interruptedRunShare*r.service.prefillingShare()
	run := time.Duration(share * r.service.timing.remainingShare(w.EventsReceived) * float64(r.service.timing.RunDuration))
	if r.cached(w) != nil {
		return run
	}
	return r.service.timing.prefillTime(w.Need.Prompt) + run
}

// missesDeadline reports whether a stream cannot be served before its deadline behind the
// streams ahead of it, even at the highest rate of the engines. It assumes that rate
// since a short time without engines is no reason to refuse streams that can be served
// afterwards.
func (r *round) missesDeadline(w *waiter) bool {
	wait := time.Duration(float64(r.ahead) / max(r.service.grantTimes.rate(r.now), r.maxStartRate(w)) * float64(time.Second))
	return r.now.Add(wait+r.minDuration(w)).After(w.Deadline) || r.missesFirstEvent(w, wait)
}

// maxStartRate is how many streams like this one all engines together could start per
// second. Each engine starts them one after the other, and only as many as its memory
// holds.
func (r *round) maxStartRate(w *waiter) float64 {
	prefillSeconds := r.service.timing.prefillTime(max(1, w.Need.Prompt)).Seconds()
	servers := r.service.sums(w).listed
	rate := float64(servers) / prefillSeconds
	if w.KVTokens > 0 {
		holdSeconds := prefillSeconds + quickRunShare*r.service.timing.RunDuration.Seconds()
		rate = min(rate, float64(servers*w.KVTokens)/float64(max(1, w.Need.Tokens()))/holdSeconds)
	}
	return max(rate, minStartRate)
}

const (
	// quickRunShare is the share of the mean run time that a run takes on an engine that
	// prefills no other prompts meanwhile.
	quickRunShare = 0.5
	// interruptedRunShare is by how much a run takes longer on an engine that prefills other
	// prompts, as a share of the mean run time. Together with quickRunShare it stays below 1,
	// since a stream is refused only if even a run that is shorter than most takes too long.
	interruptedRunShare = 0.3
	// minStartRate, per second, keeps estimates finite while no rate is known.
	minStartRate = 0.1
)
