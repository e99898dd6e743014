package routing

import (
	"math"
	"slices"
	"time"
)

// resumeSlack is how far resumed work may exceed a limit: a quarter, so that
// the streams of one dead engine find room on a pool that is full.
const resumeSlack = 0.25

// Pick chooses a backend server and places the work on it. It returns false if
// none can take the work now.
func (t *Table) Pick(q *Query, now time.Time) (Placement, bool) {
	p := t.pools[q.Pool]
	if p == nil {
		return Placement{}, false
	}
	if q.Suspect {
		return t.pickAlone(p, q, now)
	}
	best, cost := t.candidates(p, q, now)
	if best < 0 {
		best, cost = t.scan(p, q, now)
	}
	if best < 0 {
		return Placement{}, false
	}
	if i, hit := t.affine(p, q, now, cost); i >= 0 {
		return t.place(i, q, hit, now), true
	}
	cached := t.hints.cached(best, t.engines[best].cacheGen, q.BlockDigests)
	return t.place(best, q, cached, now), true
}

// candidates samples two near engines and two far ones. The far one wins only
// where it is clearly less loaded.
func (t *Table) candidates(p *pool, q *Query, now time.Time) (best int, cost float64) {
	near, nearCost := t.twoChoices(p, p.near, q, now)
	far, farCost := t.twoChoices(p, p.far, q, now)
	best, cost = near, nearCost
	if near < 0 || (far >= 0 && farCost*spillRatio < nearCost) {
		best, cost = far, farCost
	}
	return best, cost
}

// twoChoices returns the cheaper of two random eligible engines. Two samples
// instead of the minimum over all keep routers that share a stale report apart,
// and are close to it in balance.
func (t *Table) twoChoices(p *pool, from []int, q *Query, now time.Time) (int, float64) {
	best, bestCost, found := -1, math.Inf(1), 0
	for n := 0; n < draws && len(from) > 0 && found < 2; n++ {
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

// scan finds the cheapest of all, when sampling met none: the pool is nearly
// full or mostly out. Engines to avoid are better than none.
func (t *Table) scan(p *pool, q *Query, now time.Time) (int, float64) {
	best, bestCost := -1, math.Inf(1)
	for _, i := range p.all {
		s := t.engines[i]
		if !s.usable(now) || !s.room(q) || (s.health.probing && s.health.state(now) == stateProbing) {
			continue
		}
		c := t.cost(p, i, q, now)
		if s.suspects > 0 || slices.Contains(q.Avoid, s.Name) || (q.Resume && s.in.doubtful()) {
			c += avoidCost
		}
		if c < bestCost {
			best, bestCost = i, c
		}
	}
	return best, bestCost
}

// avoidCost outweighs any real load.
const avoidCost = 1e15

// pickAlone places work that may crash its engine where it can hurt least: the
// engine with the fewest neighbours, and never beside another suspect.
func (t *Table) pickAlone(p *pool, q *Query, now time.Time) (Placement, bool) {
	best, fewest := -1, math.MaxInt
	for _, i := range p.all {
		s := t.engines[i]
		if !s.usable(now) || s.suspects > 0 || s.health.probing {
			continue
		}
		neighbours := s.neighbours()
		if s.health.state(now) == stateProbing {
			neighbours += 1 << 19 // after an outage these may be all there are
		}
		if slices.Contains(q.Avoid, s.Name) {
			neighbours += 1 << 20
		}
		if neighbours < fewest {
			best, fewest = i, neighbours
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return t.place(best, q, 0, now), true
}

func (s *server) neighbours() int { return max(s.inflight, s.running) }

// affine returns the engine with the longest cached prefix of the query where
// that saves more than the engine's extra load costs.
func (t *Table) affine(p *pool, q *Query, now time.Time, cost float64) (int, int) {
	holders, tokens := t.hints.longest(q.BlockDigests, t.engines)
	best, bestTokens := -1, 0
	_, mean := p.means()
	weight := q.Affinity
	if weight == 0 {
		weight = 1
	}
	bound := affinityBound * max(mean, Work(q.PromptTokens, q.NewTokens))
	for _, h := range holders.list[:holders.n] {
		i := int(h.engine)
		s := t.engines[i]
		if s.cacheGen != h.gen || !slices.Contains(s.pools, p) || !t.eligible(i, q, now) {
			continue
		}
		if s.work+t.othersNow(p, s, now) > bound {
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
	case !s.room(q):
		return false
	}
	if q.Resume && s.in.doubtful() {
		return false
	}
	switch s.health.state(now) {
	case stateOut:
		return false
	case stateProbing:
		if s.health.probing || q.Resume {
			return false // one fresh request at a time tries it
		}
	}
	return len(q.Avoid) == 0 || !slices.Contains(q.Avoid, s.Name)
}

func (s *server) room(q *Query) bool {
	limit := s.limit
	if q.Resume && limit != NoLimit {
		limit += 1 + int(resumeSlack*float64(limit))
	}
	return s.inflight < limit
}

// cost is the work ahead on an engine including the query's own, stretched by
// how slow the engine is.
func (t *Table) cost(p *pool, i int, q *Query, now time.Time) float64 {
	s := t.engines[i]
	return (s.work + t.othersNow(p, s, now) + Work(q.PromptTokens, q.NewTokens)) * t.slowness(p, s)
}

// othersNow is the work of other routers. With age a report fades towards the
// pool's mean and not to zero: an engine of which nothing is known would
// otherwise look idle to every router at once. What this router has placed since
// the report, the others that hold the same report have placed likewise: without
// that, eleven routers together fill an idle engine to five times the mean.
func (t *Table) othersNow(p *pool, s *server, now time.Time) float64 {
	mean, _ := p.means()
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > voidAge {
		return mean
	}
	weight := 1 / (1 + float64(age)/float64(reportHalfLife))
	likewise := float64(t.peers-1) * max(0, s.work-s.base)
	return weight*(s.others+likewise) + (1-weight)*mean
}

// slowness is the engine's step time over the pool's median; the faster half
// counts as 1.
func (t *Table) slowness(p *pool, s *server) float64 {
	if s.step == 0 || p.stepMid == 0 {
		return 1
	}
	return max(1, s.step/p.stepMid)
}
