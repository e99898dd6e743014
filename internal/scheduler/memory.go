package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// One memory budget for runs and backup copies.
//
// The overload. On an ordinary day a third of the memory is taken. A copy of each run
// then displaces nothing, and it saves one stream in four when zones are lost every few
// seconds. At three times the load an engine's memory holds either ten runs or five runs
// and five copies, and each copy keeps a prompt waiting. A fixed share for copies is
// wrong in one of the two cases.
//
// Copies therefore get the memory that prompts will not need: the memory of all engines,
// less what is taken, less what the waiting streams need, less the growth of the memory
// of all runs that is expected at the present arrival rate. Existing copies stay: their
// runs end within seconds, and removing them would cost the transfers twice when the load
// swings.

const (
	// copyMemoryShare is the share of the total memory up to which copies are made. The
	// rest is for runs that resume all at once, and for unevenly loaded engines.
	copyMemoryShare = 0.85
	// orderedCopyMemoryShare is the limit for copies that a router orders for runs in
	// progress. copyMemoryShare is the limit for the copy that is planned when a stream
	// is granted an engine. When memory is short, grants plan no copies, which leaves
	// memory free for prompts. The runs that started without a copy keep asking for one,
	// and an ordered copy is renewed for as long as its run lasts. If both kinds had the
	// same limit, ordered copies would fill the free memory within seconds.
	orderedCopyMemoryShare = 0.7
)

// hasRoomForCopy reports whether the engines that sums counts have memory for one more copy, up to the given share, besides what prompts will need.
func (r *round) hasRoomForCopy(share float64, sums engineSums) bool {
	if r.service.kvTokens == 0 {
		return false
	}
	total, runs := sums.usable*r.service.kvTokens, sums.tokens-sums.copies
	taken := sums.tokens + r.service.waitingTokens
	growth := max(0, r.service.demand.expectedMemory(r.now, r.service.timing)-float64(runs))
	return float64(taken)+growth <= share*float64(total)
}

// ShortOfMemory returns the services whose memory is needed for prompts: no copies are to
// be ordered for them.
func (s *Scheduler) ShortOfMemory(now time.Time) []string {
	s.health(now)
	var out []string
	for name, v := range s.services {
		if v.kvTokens > 0 && !newRound(v, s, now).hasRoomForCopy(orderedCopyMemoryShare, v.total) {
			out = append(out, name)
		}
	}
	return out
}

// backupEngine chooses the engine that keeps a copy of a run, of the same version as the
// engine that runs it. It returns nil if no copy is to be made.
func (r *round) backupEngine(w *waiter, e *server, rng func(int) int) *server {
	if !r.hasRoomForCopy(copyMemoryShare, *r.service.versionSums(e.Version)) {
		return nil
	}
	eligible, candidates := r.listEligible(w, r.service.all, len(r.servers), rng, func(o *server) bool {
		return o.Zone != e.Zone && o.Version == e.Version && !r.avoids(o)
	})
	for i, o := range eligible {
		candidates[i].Avoid = o.isStalled(r.now)
	}
	i := placement.ChooseBackupEngine(candidates, e.Zone, w.Need, rng)
	if i < 0 {
		for j := range candidates {
			candidates[j].Avoid = false
		}
		i = placement.ChooseBackupEngine(candidates, e.Zone, w.Need, rng)
	}
	if i < 0 {
		return nil
	}
	return eligible[i]
}
