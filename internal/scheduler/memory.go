package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// Memory as one budget of runs and copies.
//
// The load pattern. On an ordinary day a third of the memory is taken, and a copy of
// each run costs nothing that anybody wants; it saves one stream in four when zones
// are lost every few seconds. At three times the load the memory holds either ten runs
// of an engine or five and five copies, and each copy keeps a prompt waiting. A fixed
// share for copies fails one day or the other.
//
// So a copy gets what prompts will not need: the memory of all engines, less what is
// taken, less what those who wait want, less what the runs will grow to at the present
// rate of arrivals. Copies that exist stay: their runs end within seconds, and taking
// them back would cost the transfers twice when the load swings.

const (
	// copyMemory is the share of all memory up to which copies are made: what is left
	// is for runs that resume, all at once, and for uneven engines.
	copyMemory = 0.85
	// orderMemory is the same for copies that are ordered for runs under way. Such a copy
	// is renewed for as long as its run goes on, and every run without one asks for it
	// again: with the mark above, orders take within seconds what grants have spared.
	orderMemory = 0.7
)

// mayCopy reports whether the memory of the engines that may have a stream has room for
// one more copy, up to a share of it, beside what prompts will need.
func (r *round) mayCopy(share float64, w *waiter) bool {
	if r.v.kvTokens == 0 {
		return false
	}
	total, taken, runs := 0, 0, 0
	for _, e := range r.servers {
		if r.health.lost(e) || !w.of(e) {
			continue
		}
		total += r.v.kvTokens
		taken += e.use.Tokens
		runs += e.use.Tokens - e.use.Copies
	}
	for _, o := range r.v.waiting {
		taken += o.Need.Tokens()
	}
	growth := max(0, r.v.demand.held(r.now, r.v.pace)-float64(runs))
	return float64(taken)+growth <= share*float64(total)
}

// anyVersion stands for a stream that every engine may have.
var anyVersion waiter

// Short names the services whose memory is needed for prompts: no copies are ordered.
func (s *Scheduler) ShortOfMemory(now time.Time) []string {
	h := s.health(now)
	var out []string
	for name, v := range s.services {
		if v.kvTokens > 0 && !newRound(v, s.vms, h, now).mayCopy(orderMemory, &anyVersion) {
			out = append(out, name)
		}
	}
	return out
}

// keeper chooses the engine that keeps a copy of a run; nil: none is to be kept.
func (r *round) keeper(w *waiter, e *server, rng func(int) int) *server {
	if !r.mayCopy(copyMemory, w) {
		return nil
	}
	able, candidates := r.v.able[:0], r.v.candidates[:0]
	for _, o := range r.servers {
		if o.Zone != e.Zone && w.of(o) && !r.avoids(w, o) {
			able, candidates = append(able, o), append(candidates, r.candidate(o, w))
		}
	}
	r.v.able, r.v.candidates = able, candidates
	if i := placement.ChooseBackupEngine(candidates, e.Zone, w.Need, rng); i >= 0 {
		return able[i]
	}
	return nil
}
