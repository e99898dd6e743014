package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// round is one pass over the waiting streams of a service.
type round struct {
	servers []*server
	vms     map[string]*vm
	health  health
	now     time.Time
	v       *service
	// reserved counts servers that are kept for a stream which is due before those tried
	// later and finds no room yet: smaller ones behind it would else take all that is
	// freed, and the largest prompts be late every time.
	reserved int
	ahead    int // streams that wait on, so far
	usable   int // servers that are not avoided
	begun    bool
	idle     []*server
	usual    time.Duration // reading of a token
	allSlow  bool
	fews     map[string]map[string]bool // by version
}

func newRound(v *service, vms map[string]*vm, h health, now time.Time) *round {
	r := &round{servers: v.servers, vms: vms, health: h, now: now, v: v}
	r.usual, r.allSlow = v.usualSpeed(now), true
	for _, e := range v.servers {
		if !r.health.lost(e) {
			r.usable++
			r.allSlow = r.allSlow && r.slowness(e) > 1
		}
	}
	return r
}

// free lists the engines that could begin with a prompt at once. Under load these are
// few of many, and each waiting stream looks at them alone.
func (r *round) free() []*server {
	if r.begun {
		return r.idle
	}
	r.begun = true
	for _, e := range r.servers {
		if r.mayBegin(e) {
			r.idle = append(r.idle, e)
		}
	}
	return r.idle
}

func (r *round) mayBegin(e *server) bool {
	if r.usable > 0 && r.health.lost(e) || e.Slots > 0 && e.use.Requests >= e.Slots {
		return false
	}
	return r.v.pace.reading(e.use.PendingPrompt) <= openReading
}

// close takes an engine off those that could begin.
func (r *round) close(e *server) {
	r.idle = slices.DeleteFunc(r.idle, func(o *server) bool { return o == e })
}

// engine chooses for a stream among the engines that can begin with it at once; nil: it
// waits.
func (r *round) engine(w *waiter, rng func(int) int) *server {
	if e := r.cached(w); e != nil {
		return e
	}
	able, candidates := r.v.able[:0], r.v.candidates[:0]
	for _, e := range r.free() {
		if r.takes(e, w) && r.fits(e, w) {
			able, candidates = append(able, e), append(candidates, r.candidate(e, w))
		}
	}
	r.v.able, r.v.candidates = able, candidates
	i := placement.ChooseEngine(candidates, w.Need, rng)
	if i < 0 {
		r.reserve(w)
		return nil
	}
	return able[i]
}

// cached is the engine that has kept the stream's prompt, if there is room for the run
// there. That it reads another prompt is no matter: there is nothing to be read.
func (r *round) cached(w *waiter) *server {
	for _, e := range r.servers {
		if e.ID == w.CachedEngine && r.takes(e, w) && r.fits(e, w) {
			return e
		}
	}
	return nil
}

// any reports whether some engine may take a stream, however long it waits.
func (r *round) any(w *waiter) bool {
	return slices.ContainsFunc(r.servers, func(e *server) bool { return r.takes(e, w) })
}

// takes reports whether an engine may have a stream at all, now or later.
func (r *round) takes(e *server, w *waiter) bool {
	return w.of(e) && !slices.Contains(w.ExcludedEngines, e.ID) && !r.avoids(w, e) && (w.VersionShare == 0 || r.few(w)[e.ID])
}

// of reports whether an engine is of the version that may have a stream.
func (w *waiter) of(e *server) bool { return w.Version == "" || w.Version == e.Version }

// few are the engines of a version of which a part has all streams. Those that are lost
// are passed over.
func (r *round) few(w *waiter) map[string]bool {
	if out, ok := r.fews[w.Version]; ok {
		return out
	}
	var ids []string
	others := 0
	for _, e := range r.servers {
		switch {
		case !w.of(e):
			others++
		case !r.avoids(w, e):
			ids = append(ids, e.ID)
		}
	}
	slices.Sort(ids)
	out := map[string]bool{}
	for _, id := range ids[:min(len(ids), rollout.TrialServers(w.VersionShare, others))] {
		out[id] = true
	}
	if r.fews == nil {
		r.fews = map[string]map[string]bool{}
	}
	r.fews[w.Version] = out
	return out
}

func (r *round) slowness(e *server) float64 { return e.slowness(r.usual, r.now) }

func (r *round) candidate(e *server, w *waiter) placement.Candidate {
	return placement.Candidate{
		ID: e.ID, Zone: e.Zone, Slots: e.Slots, KVTokens: w.KVTokens, Usage: e.use, Slowdown: r.slowness(e),
		OtherZone: w.Zone != "" && w.Zone != e.Zone,
	}
}

// fits reports whether an engine has memory for a stream's run, and is not so slow that
// the stream would be late there while another engine may be free in a moment.
func (r *round) fits(e *server, w *waiter) bool {
	share := fullMemory
	if w.class == late {
		share = lateMemory
	} else if slow := r.slowness(e); slow > 1 && !r.allSlow && r.late(w, slow) {
		return false
	}
	return w.KVTokens == 0 || float64(e.use.Tokens+w.Need.Tokens()) <= memoryLimit(share, w)
}

// memoryLimit is how much of an engine's memory may be taken with a stream's run. One
// that needs more than the share by itself, and not more than there is, gets an engine
// that is nearly empty: it would else wait until its time is over.
func memoryLimit(share float64, w *waiter) float64 {
	kv := float64(w.KVTokens)
	alone := min(kv, float64(w.Need.Tokens())+nearlyEmpty*kv)
	return max(share*kv, alone)
}

const (
	// openReading is how much of other prompts may be left to read on an engine that
	// gets another: about what a grant and the news of a prompt's end take on their way,
	// so that short prompts keep an engine busy.
	openReading = 30 * time.Millisecond
	// fullMemory is the share of an engine's memory that runs at their full length and
	// copies may take. Beyond it the engine preempts runs in mid-stream.
	fullMemory = 0.96
	// nearlyEmpty is the share of an engine's memory that others may have taken where a
	// run needs the rest: a copy or a short run.
	nearlyEmpty = 0.1
	// maxReserved servers are kept for streams that find no room.
	maxReserved = 1
)

// late reports whether a stream would begin late on an engine that is slow.
func (r *round) late(w *waiter, slow float64) bool {
	took := time.Duration(slow * float64(r.v.pace.reading(w.Need.Prompt)))
	return r.now.Add(took).After(w.Due)
}

// reserve keeps the engine with the most free memory for a stream that finds no room.
func (r *round) reserve(w *waiter) {
	if r.reserved >= maxReserved || w.KVTokens == 0 {
		return
	}
	var best *server
	for _, e := range r.free() {
		if w.of(e) && !r.avoids(w, e) && (best == nil || e.use.Tokens < best.use.Tokens) {
			best = e
		}
	}
	if best != nil && w.class != late {
		r.reserved++
		r.close(best)
	}
}

// fastest is the least time that a stream needs from the moment at which an engine
// begins with it.
func (r *round) fastest(w *waiter) time.Duration {
	run := time.Duration(quickRun * r.v.pace.rest(w.EventsReceived) * float64(r.v.pace.RunDuration))
	if r.cached(w) != nil {
		return run
	}
	return r.v.pace.reading(w.Need.Prompt) + run
}

// hopeless reports whether a stream behind others cannot be served within its time any
// more, even if the engines do as well as they can: a moment without engines is no
// reason to refuse what can still be served after it.
func (r *round) hopeless(w *waiter) bool {
	wait := time.Duration(float64(r.ahead) / max(r.v.drain.rate(r.now), r.bestRate(w)) * float64(time.Second))
	return r.now.Add(wait + r.fastest(w)).After(w.Deadline)
}

// count is how many engines may have a stream by their version.
func (r *round) count(w *waiter) int {
	if w.Version == "" {
		return len(r.servers)
	}
	n := 0
	for _, e := range r.servers {
		if w.of(e) {
			n++
		}
	}
	return n
}

// bestRate is how many streams like this one all engines together could begin in a
// second: one after the other each, and no more than their memory holds.
func (r *round) bestRate(w *waiter) float64 {
	reading := r.v.pace.reading(max(1, w.Need.Prompt)).Seconds()
	servers := r.count(w)
	rate := float64(servers) / reading
	if w.KVTokens > 0 {
		hold := reading + quickRun*r.v.pace.RunDuration.Seconds()
		rate = min(rate, float64(servers*w.KVTokens)/float64(max(1, w.Need.Tokens()))/hold)
	}
	return max(rate, leastRate)
}

const (
	// quickRun is the part of the mean time of a run that one takes on an engine that
	// reads no other prompts meanwhile.
	quickRun = 0.5
	// leastRate a second keeps the estimate finite where nothing is known.
	leastRate = 0.1
)
