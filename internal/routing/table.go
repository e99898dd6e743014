package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// Table is one router's view of the backend servers and of its own work on them.
// It is not safe for concurrent use.
type Table struct {
	zone    string
	peers   int // number of routers that use the same engines, including this one
	rng     *rand.Rand
	engines []*server
	byName  map[string]int
	pools   map[string]*pool
	zones   map[string]*zoneHealth
	hints   *prefixHints
}

type server struct {
	Spec
	gone             bool // no longer in the list of SetServers
	leaving          bool // reportsLeaving or listedLeaving
	reportsLeaving   bool // according to the server's own report
	listedLeaving    bool // according to the platform's list
	inflight         int
	limit            int     // of this router's requests in flight
	work             float64 // this router's outstanding work
	history          workHistory
	othersWork       float64 // work of other routers at reportedAt
	ownWorkAtReport  float64 // this router's outstanding work at reportedAt
	reportedAt       time.Time
	reportedRequests int     // running and queued, of all routers, in the last report
	stepMS           float64 // smoothed; 0 if unknown
	suspects         int     // requests with suspect content in flight
	health           health
	pools            []*pool
	zone             *zoneHealth
	cacheSeq         uint64
	hintsGen         uint16
}

type pool struct {
	near, far    []int
	all          []int
	medianStepMS float64 // 0 if unknown
	othersWork   float64
	ownWork      float64 // this router's outstanding work, summed over the pool
}

// zoneHealth counts the backend servers of an availability zone, and those of them
// that are down for failures.
type zoneHealth struct{ total, down int }

func (z *zoneHealth) update(wasDown, isDown bool) {
	switch {
	case isDown && !wasDown:
		z.down++
	case wasDown && !isDown:
		z.down--
	}
}

// suspected reports whether so many of the zone's servers are down that the others
// are probably lost too, although their loss has not been observed yet.
func (z *zoneHealth) suspected() bool { return float64(z.down) > suspectedZoneShare*float64(z.total) }

// NoLimit is the limit of a backend server for which SetLimit was not called.
const NoLimit = math.MaxInt32

// NewTable returns an empty table for a router in the given zone. rng draws the
// samples; decisions are reproducible with a fixed seed.
func NewTable(zone string, rng *rand.Rand) *Table {
	return &Table{zone: zone, peers: 1, rng: rng, byName: map[string]int{}, pools: map[string]*pool{}, hints: newPrefixHints()}
}

// SetPeers sets the number of routers that use the same engines, including this
// one.
func (t *Table) SetPeers(n int) { t.peers = max(1, n) }

// SetServers replaces the list of backend servers. Servers that are no longer
// listed get no new work; work placed on them continues.
func (t *Table) SetServers(specs []Spec) {
	for _, s := range t.engines {
		s.gone = true
	}
	for _, spec := range specs {
		i, ok := t.byName[spec.Name]
		if !ok {
			i = len(t.engines)
			t.byName[spec.Name] = i
			t.engines = append(t.engines, &server{limit: NoLimit})
		}
		t.engines[i].Spec = spec
		t.engines[i].gone = false
	}
	t.rebuildIndexes()
}

func (t *Table) rebuildIndexes() {
	t.pools, t.zones = map[string]*pool{}, map[string]*zoneHealth{}
	for i, s := range t.engines {
		s.pools = nil
		if s.gone {
			continue
		}
		t.assignZone(s)
		for _, name := range s.Pools {
			p := t.pools[name]
			if p == nil {
				p = &pool{}
				t.pools[name] = p
			}
			p.all = append(p.all, i)
			p.ownWork += s.work
			s.pools = append(s.pools, p)
			if s.Zone == t.zone {
				p.near = append(p.near, i)
			} else {
				p.far = append(p.far, i)
			}
		}
	}
	for _, p := range t.pools {
		t.summarize(p)
	}
}

func (t *Table) assignZone(s *server) {
	z := t.zones[s.Zone]
	if z == nil {
		z = &zoneHealth{}
		t.zones[s.Zone] = z
	}
	s.zone = z
	z.total++
	if s.health.down {
		z.down++
	}
}

// HasPool reports whether any backend server is listed for a pool.
func (t *Table) HasPool(poolName string) bool { return t.pools[poolName] != nil }

// Spec returns the description of a backend server.
func (t *Table) Spec(i int) *Spec { return &t.engines[i].Spec }

// Len returns the number of backend servers ever listed. Indexes of servers are
// below it and stay valid when the list changes.
func (t *Table) Len() int { return len(t.engines) }

// Index returns the index of the backend server with a name.
func (t *Table) Index(name string) (int, bool) {
	i, ok := t.byName[name]
	return i, ok
}

// Inflight returns the number of this router's requests on a backend server.
func (t *Table) Inflight(i int) int { return t.engines[i].inflight }

// Slowness returns the ratio of a backend server's step time to the median of its
// pool, at least 1. It is 1 for a server that is not ejected as slow, also if the
// reason is that too many servers of the pool look slow.
func (t *Table) Slowness(i int) float64 {
	s := t.engines[i]
	if !s.health.slow || len(s.pools) == 0 {
		return 1
	}
	return t.slowness(s.pools[0], s)
}

// SetLimit bounds the number of this router's requests in flight on a backend
// server.
func (t *Table) SetLimit(i, limit int) { t.engines[i].limit = limit }

// SetLeaving records whether the platform's list marks a backend server as leaving.
// A server that is leaving by the list or by its own report gets no new work.
func (t *Table) SetLeaving(i int, leaving bool) {
	s := t.engines[i]
	s.listedLeaving = leaving
	s.leaving = s.listedLeaving || s.reportsLeaving
}

// Capacity returns the sums of the limits and of this router's requests in flight
// over the backend servers of a pool that accept new work.
func (t *Table) Capacity(poolName string, now time.Time) (limit, inflight int) {
	p := t.pools[poolName]
	if p == nil {
		return 0, 0
	}
	for _, i := range p.all {
		s := t.engines[i]
		if s.usable(now) {
			limit += s.limit
			inflight += min(s.inflight, s.limit)
		}
	}
	return limit, inflight
}

// Usable returns the number of backend servers of a pool that accept new work.
func (t *Table) Usable(poolName string, now time.Time) int {
	p := t.pools[poolName]
	if p == nil {
		return 0
	}
	n := 0
	for _, i := range p.all {
		if t.engines[i].usable(now) {
			n++
		}
	}
	return n
}

func (s *server) usable(now time.Time) bool {
	return !s.gone && !s.leaving && s.health.state(now) != stateEjected
}

// place records work on the backend server that Pick chose.
func (t *Table) place(i int, q *Query, cached int, now time.Time) Placement {
	s := t.engines[i]
	p := Placement{Engine: i, cached: cached, work: Work(q.PromptTokens-cached, q.NewTokens), suspect: q.Suspect}
	if s.health.state(now) == stateProbing {
		p.probe = true
		s.health.probeInFlight = true
	}
	if q.Suspect {
		s.suspects++
	}
	s.inflight++
	s.addWork(p.work)
	s.history.add(now, s.work)
	t.hints.learn(i, s.hintsGen, q.BlockDigests, cached/BlockTokens)
	return p
}

// Progress subtracts newly generated tokens from the outstanding work.
func (t *Table) Progress(p *Placement, tokens int) {
	done := min(p.work, DecodeWeight*float64(tokens))
	p.work -= done
	t.engines[p.Engine].addWork(-done)
}

func (s *server) addWork(w float64) {
	w = max(w, -s.work)
	s.work += w
	for _, p := range s.pools {
		p.ownWork = max(0, p.ownWork+w)
	}
}

// EndIsolation ends the isolation of work whose content is no longer suspect.
func (t *Table) EndIsolation(p *Placement) {
	if p.suspect {
		p.suspect = false
		t.engines[p.Engine].suspects--
	}
}

// Done removes work that has ended and records its outcome in the server's health.
func (t *Table) Done(p *Placement, o Outcome, now time.Time) {
	s := t.engines[p.Engine]
	s.inflight--
	s.addWork(-p.work)
	if s.inflight == 0 {
		s.addWork(-s.work) // removes floating-point residue
	}
	t.EndIsolation(p)
	if p.probe {
		s.health.probeInFlight = false
	}
	s.history.add(now, s.work)
	wasDown := s.health.down
	defer func() { s.zone.update(wasDown, s.health.down) }()
	switch o {
	case OK:
		s.health.success()
	case Failed:
		s.health.failure(now)
	case Suspected:
		s.health.eject(now)
	case Refused:
		s.health.eject(now)
		t.invalidateHints(s)
	case Cancelled:
	}
}

// stepSmoothing is the weight of the newest report in the smoothed step time, which
// averages over about five reports.
const stepSmoothing = 0.2

// ApplyReport applies a backend server's load report. now is the time at which it was
// received, load.AgeMS milliseconds after it was made. A report older than the last one applied is
// ignored.
func (t *Table) ApplyReport(i int, load *engine.Load, now time.Time) {
	s := t.engines[i]
	at := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	if at.Before(s.reportedAt) {
		return
	}
	s.reportedAt = at
	s.reportedRequests = load.Running + load.Queued
	s.reportsLeaving = load.Leaving
	s.leaving = s.listedLeaving || s.reportsLeaving
	s.ownWorkAtReport = s.history.workAt(at)
	s.othersWork = max(0, reportedWork(load)-s.ownWorkAtReport)
	if load.StepMS > 0 {
		s.stepMS = smooth(s.stepMS, load.StepMS)
	}
	s.health.pollAnswered(now)
	for _, p := range s.pools {
		t.summarize(p)
		t.ejectSlow(p)
	}
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + stepSmoothing*(sample-old)
}

// typicalRemainingTokens is the assumed number of tokens that a running request of
// unknown length has yet to generate: half of the 500 tokens of a typical answer.
const typicalRemainingTokens = 250

func reportedWork(load *engine.Load) float64 {
	return DecodeWeight*typicalRemainingTokens*float64(load.Running) + DecodeWeight*float64(load.QueuedTokens)
}

// meanWork returns the mean work per engine of other routers and of all routers.
func (p *pool) meanWork() (others, all float64) {
	n := float64(max(1, len(p.all)))
	return p.othersWork / n, (p.ownWork + p.othersWork) / n
}

// summarize recomputes the aggregates of a pool's reports. It runs per report, not
// per decision.
func (t *Table) summarize(p *pool) {
	p.othersWork = 0
	steps := make([]float64, 0, len(p.all))
	for _, i := range p.all {
		s := t.engines[i]
		p.othersWork += s.othersWork
		if s.stepMS > 0 {
			steps = append(steps, s.stepMS)
		}
	}
	if len(steps) > 0 {
		slices.Sort(steps)
		p.medianStepMS = steps[len(steps)/2]
	}
}

// workHistory keeps this router's outstanding work on a server for the last
// seconds. A report includes that work; subtracting its value at the time of the
// report yields the work of the other routers.
type workHistory struct {
	times [historyLen]time.Time
	work  [historyLen]float64
	head  int
}

// Samples are historyStep apart. 16 of them cover 4 s, longer than the delay of
// reports that have a significant weight.
const (
	historyLen  = 16
	historyStep = 250 * time.Millisecond
)

func (h *workHistory) add(now time.Time, work float64) {
	if now.Sub(h.times[h.head]) >= historyStep {
		h.head = (h.head + 1) % historyLen
		h.times[h.head] = now
	}
	h.work[h.head] = work
}

func (h *workHistory) workAt(t time.Time) float64 {
	for n := range historyLen {
		i := (h.head - n + historyLen) % historyLen
		if !h.times[i].After(t) {
			return h.work[i]
		}
	}
	return h.work[(h.head+1)%historyLen]
}
