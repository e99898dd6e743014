package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// Table holds what one router knows of the backend servers. It is not safe for
// concurrent use.
type Table struct {
	zone    string
	peers   int // routers that use the same engines, this one included
	rng     *rand.Rand
	engines []*server
	byName  map[string]int
	pools   map[string]*pool
	zones   map[string]*zone
	hints   *hints
}

type server struct {
	Spec
	gone     bool // no longer listed
	leaving  bool // by either of the next two
	says     bool // leaving by its own report
	listed   bool // leaving by the platform's list
	inflight int
	limit    int     // of own work in flight
	work     float64 // own outstanding work
	history  history
	others   float64 // work of other routers at the time of the report
	base     float64 // own outstanding work at that time
	reported time.Time
	running  int
	step     float64 // ms, smoothed; 0: unknown
	suspects int
	health   health
	pools    []*pool
	in       *zone
	cacheSeq uint64
	cacheGen uint16
}

type pool struct {
	near, far []int
	all       []int
	stepMid   float64 // median step time, ms
	othersSum float64
	ownSum    float64 // of this router's outstanding work
}

// zone counts the backend servers of an availability zone, and those that are
// out for failures.
type zone struct{ all, down int }

func (z *zone) note(was, is bool) {
	switch {
	case is && !was:
		z.down++
	case was && !is:
		z.down--
	}
}

// doubtful: so many of the zone's servers are out that the rest, not yet heard
// of, is likely lost as well.
func (z *zone) doubtful() bool { return float64(z.down) > doubtfulShare*float64(z.all) }

// NoLimit is the limit of a backend server before SetLimit.
const NoLimit = math.MaxInt32

// NewTable returns the table of a router in a zone. rng decides ties and
// samples; with a fixed seed every decision repeats.
func NewTable(zone string, rng *rand.Rand) *Table {
	return &Table{zone: zone, peers: 1, rng: rng, byName: map[string]int{}, pools: map[string]*pool{}, hints: newHints()}
}

// SetPeers tells how many routers use the same engines, this one included.
func (t *Table) SetPeers(n int) { t.peers = max(1, n) }

// SetServers replaces the list. Those that are gone take no new work; work
// placed on them may still end.
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
	t.index()
}

func (t *Table) index() {
	t.pools, t.zones = map[string]*pool{}, map[string]*zone{}
	for i, s := range t.engines {
		s.pools = nil
		if s.gone {
			continue
		}
		t.locate(s)
		for _, name := range s.Pools {
			p := t.pools[name]
			if p == nil {
				p = &pool{}
				t.pools[name] = p
			}
			p.all = append(p.all, i)
			p.ownSum += s.work
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

func (t *Table) locate(s *server) {
	z := t.zones[s.Zone]
	if z == nil {
		z = &zone{}
		t.zones[s.Zone] = z
	}
	s.in = z
	z.all++
	if s.health.down {
		z.down++
	}
}

// Has reports whether any backend server is listed for a pool.
func (t *Table) HasPool(poolName string) bool { return t.pools[poolName] != nil }

// Spec returns the description of a backend server.
func (t *Table) Spec(i int) *Spec { return &t.engines[i].Spec }

// Len is the number of backend servers ever listed; indexes are below it.
func (t *Table) Len() int { return len(t.engines) }

// Index finds a backend server by name.
func (t *Table) Index(name string) (int, bool) {
	i, ok := t.byName[name]
	return i, ok
}

// Inflight is the number of own pieces of work on a backend server.
func (t *Table) Inflight(i int) int { return t.engines[i].inflight }

// Slowness is a backend server's step time over the median of its pool, at
// least 1; 1 too while it is not taken to be slow, as when half of a pool looks so.
func (t *Table) Slowness(i int) float64 {
	s := t.engines[i]
	if !s.health.slow || len(s.pools) == 0 {
		return 1
	}
	return t.slowness(s.pools[0], s)
}

// SetLimit bounds the own work in flight on a backend server.
func (t *Table) SetLimit(i, limit int) { t.engines[i].limit = limit }

// SetLeaving marks a backend server that the platform's list or its own report
// says is leaving: it gets no new work.
func (t *Table) SetLeaving(i int, leaving bool) {
	s := t.engines[i]
	s.listed = leaving
	s.leaving = s.listed || s.says
}

// Capacity returns the sum of the limits and the own work in flight over the
// backend servers of a pool that take new work.
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

// Usable is the number of backend servers of a pool that take new work.
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
	return !s.gone && !s.leaving && s.health.state(now) != stateOut
}

// Place records work on the backend server that Pick chose.
func (t *Table) place(i int, q *Query, cached int, now time.Time) Placement {
	s := t.engines[i]
	p := Placement{Engine: i, cached: cached, work: Work(q.PromptTokens-cached, q.NewTokens), suspect: q.Suspect}
	if s.health.state(now) == stateProbing {
		p.probe = true
		s.health.probing = true
	}
	if q.Suspect {
		s.suspects++
	}
	s.inflight++
	s.addWork(p.work)
	s.history.add(now, s.work)
	t.hints.learn(i, s.cacheGen, q.BlockDigests, cached/BlockTokens)
	return p
}

// Progress takes generated tokens off the outstanding work.
func (t *Table) Progress(p *Placement, tokens int) {
	done := min(p.work, DecodeWeight*float64(tokens))
	p.work -= done
	t.engines[p.Engine].addWork(-done)
}

func (s *server) addWork(w float64) {
	w = max(w, -s.work)
	s.work += w
	for _, p := range s.pools {
		p.ownSum = max(0, p.ownSum+w)
	}
}

// Cleared ends the isolation of a suspect that has proved innocent.
func (t *Table) EndIsolation(p *Placement) {
	if p.suspect {
		p.suspect = false
		t.engines[p.Engine].suspects--
	}
}

// Done ends placed work.
func (t *Table) Done(p *Placement, o Outcome, now time.Time) {
	s := t.engines[p.Engine]
	s.inflight--
	s.addWork(-p.work)
	if s.inflight == 0 {
		s.addWork(-s.work) // floating point leaves crumbs
	}
	t.EndIsolation(p)
	if p.probe {
		s.health.probing = false
	}
	s.history.add(now, s.work)
	wasDown := s.health.down
	defer func() { s.in.note(wasDown, s.health.down) }()
	switch o {
	case OK:
		s.health.success()
	case Failed:
		s.health.failure(now)
	case Suspected:
		s.health.eject(now)
	case Refused:
		s.health.eject(now)
		t.voidHints(s)
	case Cancelled:
	}
}

// stepGain smooths the reported step time: about the last five reports.
const stepGain = 0.2

// Report takes a backend server's report, which is age old.
func (t *Table) ApplyReport(i int, load *engine.Load, now time.Time) {
	s := t.engines[i]
	at := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	if at.Before(s.reported) {
		return // late: a newer one is known
	}
	s.reported = at
	s.running = load.Running + load.Queued
	s.says = load.Leaving
	s.leaving = s.listed || s.says
	s.base = s.history.at(at)
	s.others = max(0, reportedWork(load)-s.base)
	if load.StepMS > 0 {
		s.step = smooth(s.step, load.StepMS)
	}
	s.health.answered(now)
	for _, p := range s.pools {
		t.summarize(p)
		t.judgeSlow(p)
	}
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + stepGain*(sample-old)
}

// typicalLeft is what a running request of unknown length is taken to have left
// to generate: half of the 500 tokens that a usual answer has.
const typicalLeft = 250

func reportedWork(load *engine.Load) float64 {
	return DecodeWeight*typicalLeft*float64(load.Running) + DecodeWeight*float64(load.QueuedTokens)
}

// means returns the pool's mean work of other routers, and of all.
func (p *pool) means() (others, all float64) {
	n := float64(max(1, len(p.all)))
	return p.othersSum / n, (p.ownSum + p.othersSum) / n
}

// summarize recomputes what reports tell of a pool. It runs per report, not per decision.
func (t *Table) summarize(p *pool) {
	p.othersSum = 0
	steps := make([]float64, 0, len(p.all))
	for _, i := range p.all {
		s := t.engines[i]
		p.othersSum += s.others
		if s.step > 0 {
			steps = append(steps, s.step)
		}
	}
	if len(steps) > 0 {
		slices.Sort(steps)
		p.stepMid = steps[len(steps)/2]
	}
}

// history remembers the own work of the last seconds, so that a report can be
// set against what was placed at its time.
type history struct {
	at0  [historyLen]time.Time
	work [historyLen]float64
	head int
}

// Samples are historyStep apart: 16 of them reach back 4 s, beyond the lag of
// reports that still count.
const (
	historyLen  = 16
	historyStep = 250 * time.Millisecond
)

func (h *history) add(now time.Time, work float64) {
	if now.Sub(h.at0[h.head]) >= historyStep {
		h.head = (h.head + 1) % historyLen
		h.at0[h.head] = now
	}
	h.work[h.head] = work
}

func (h *history) at(t time.Time) float64 {
	for n := range historyLen {
		i := (h.head - n + historyLen) % historyLen
		if !h.at0[i].After(t) {
			return h.work[i]
		}
	}
	return h.work[(h.head+1)%historyLen]
}
