package routing

import (
	"math"
	"slices"
	"time"
)

// resumeSlack is the share of a limit by which resumed work may exceed it. It lets
// the streams of one dead engine resume in a pool that is full.
const resumeSlack = 0.25

// Pick chooses a backend server and places the work on it. It returns false if no
// server of the pool can take the work now.
func (t *Table) Pick(q *Query, now time.Time) (Placement, bool) {
	p := t.pools[q.Pool]
	if p == nil {
		return Placement{}, false
	}
	if q.Suspect {
		return t.pickIsolated(p, q, now)
	}
	best, cost := t.candidates(p, q, now)
	if best < 0 {
		best, cost = t.scan(p, q, now)
	}
	if best < 0 {
		return Placement{}, false
	}
	if i, hit := t.bestHolder(p, q, now, cost); i >= 0 {
		return t.place(i, q, hit, now), true
	}
	cached := t.hints.cachedTokens(best, t.engines[best].hintsGen, q.BlockDigests)
	return t.place(best, q, cached, now), true
}

// candidates samples two engines of the router's own zone and two of other zones.
// The remote one is chosen only if it is clearly less loaded.
func (t *Table) candidates(p *pool, q *Query, now time.Time) (best int, cost float64) {
	near, nearCost := t.twoChoices(p, p.near, q, now)
	far, farCost := t.twoChoices(p, p.far, q, now)
	best, cost = near, nearCost
	if near < 0 || (far >= 0 && farCost*zoneSpillRatio < nearCost) {
		best, cost = far, farCost
	}
	return best, cost
}

// twoChoices returns the cheaper of two random eligible engines. Compared with the
// minimum over all engines, two samples keep routers that share a stale report
// from choosing the same engine, and balance the load almost as well.
func (t *Table) twoChoices(p *pool, from []int, q *Query, now time.Time) (int, float64) {
	best, bestCost, found := -1, math.Inf(1), 0
	for n := 0; n < maxDraws && len(from) > 0 && found < 2; n++ {
		i := from[t.rng.IntN(len(from))]
		if i == best || !t.eligible(i, q, now) {
			continue
		}
		found++
		if c := t.cost(p, i, q, now); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best, bestCost
}

// scan returns the cheapest engine of the whole pool. It is used when sampling
// found no eligible engine because the pool is nearly full or mostly ejected.
// Engines to avoid are accepted if there are no others.
func (t *Table) scan(p *pool, q *Query, now time.Time) (int, float64) {
	best, bestCost := -1, math.Inf(1)
	for _, i := range p.all {
		s := t.engines[i]
		if !s.usable(now) || !s.hasRoom(q) || (s.health.probeInFlight && s.health.state(now) == stateProbing) {
			continue
		}
		c := t.cost(p, i, q, now)
		if s.suspects > 0 || slices.Contains(q.Avoid, s.Name) || (q.Resume && s.zone.suspected()) {
			c += avoidPenalty
		}
		if c < bestCost {
			best, bestCost = i, c
		}
	}
	return best, bestCost
}

// avoidPenalty is added to the cost of engines to avoid; it exceeds any real load.
const avoidPenalty = 1e15

// pickIsolated places work with suspect content, which may crash its engine. It
// chooses the engine with the least other work, and never one that already runs
// a suspect.
func (t *Table) pickIsolated(p *pool, q *Query, now time.Time) (Placement, bool) {
	best, fewest := -1, math.MaxInt
	for _, i := range p.all {
		s := t.engines[i]
		if !s.usable(now) || s.suspects > 0 || s.health.probeInFlight {
			continue
		}
		others := s.requests()
		if s.health.state(now) == stateProbing {
			others += 1 << 19 // chosen after healthy engines; after an outage all may be probing
		}
		if slices.Contains(q.Avoid, s.Name) {
			others += 1 << 20
		}
		if others < fewest {
			best, fewest = i, others
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return t.place(best, q, 0, now), true
}

// requests returns the number of requests on the engine: those of this router, or
// those of all routers by the last report if they are more.
func (s *server) requests() int { return max(s.inflight, s.reportedRequests) }

// bestHolder returns the engine with the longest cached prefix of the query and the
// length of that prefix in tokens, if the prefill it saves outweighs the engine's
// additional load. Otherwise the engine is -1.
func (t *Table) bestHolder(p *pool, q *Query, now time.Time, cost float64) (int, int) {
	holders, tokens := t.hints.longestPrefix(q.BlockDigests, t.engines)
	best, bestTokens := -1, 0
	_, mean := p.meanWork()
	weight := q.Affinity
	if weight == 0 {
		weight = 1
	}
	bound := affinityLoadBound * max(mean, Work(q.PromptTokens, q.NewTokens))
	for _, h := range holders.list[:holders.n] {
		i := int(h.engine)
		s := t.engines[i]
		if s.hintsGen != h.gen || !slices.Contains(s.pools, p) || !t.eligible(i, q, now) {
			continue
		}
		if s.work+t.estimateOthers(p, s, now) > bound {
			continue
		}
		if c := t.cost(p, i, q, now) - weight*float64(tokens)*t.slowness(p, s); c < cost {
			best, bestTokens, cost = i, tokens, c
		}
	}
	return best, bestTokens
}

func (t *Table) eligible(i int, q *Query, now time.Time) bool {
	s := t.engines[i]
	switch {
	case s.gone || s.leaving || s.suspects > 0:
		return false
	case !s.hasRoom(q):
		return false
	}
	if q.Resume && s.zone.suspected() {
		return false
	}
	switch s.health.state(now) {
	case stateEjected:
		return false
	case stateProbing:
		if s.health.probeInFlight || q.Resume {
			return false // one new request at a time probes the engine
		}
	}
	return len(q.Avoid) == 0 || !slices.Contains(q.Avoid, s.Name)
}

func (s *server) hasRoom(q *Query) bool {
	limit := s.limit
	if q.Resume && limit != NoLimit {
		limit += 1 + int(resumeSlack*float64(limit))
	}
	return s.inflight < limit
}

// cost is the outstanding work of an engine including the query's own, multiplied
// by the engine's slowness.
func (t *Table) cost(p *pool, i int, q *Query, now time.Time) float64 {
	s := t.engines[i]
	return (s.work + t.estimateOthers(p, s, now) + Work(q.PromptTokens, q.NewTokens)) * t.slowness(p, s)
}

// estimateOthers estimates the work of other routers on an engine. The weight of a
// report decays with its age, towards the pool's mean rather than to zero: an
// engine without a recent report would otherwise look idle to all routers at
// once. The other routers that hold the same report are assumed to have placed as
// much work since then as this one. Without that assumption, eleven routers
// together fill an idle engine to five times the mean.
func (t *Table) estimateOthers(p *pool, s *server, now time.Time) float64 {
	mean, _ := p.meanWork()
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > maxReportAge {
		return mean
	}
	weight := 1 / (1 + float64(age)/float64(reportHalfLife))
	likelyPlaced := float64(t.peers-1) * max(0, s.work-s.ownWorkAtReport)
	return weight*(s.othersWork+likelyPlaced) + (1-weight)*mean
}

// slowness is the ratio of the engine's step time to the pool's median, at least 1.
func (t *Table) slowness(p *pool, s *server) float64 {
	if s.stepMS == 0 || p.medianStepMS == 0 {
		return 1
	}
	return max(1, s.stepMS/p.medianStepMS)
}
