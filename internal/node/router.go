package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// router picks engines with package routing, and keeps a limiter of package admission for
// each engine. It is safe for concurrent use.
type router struct {
	self            settings.VM
	now             func() time.Time
	onCapacityFreed func() // called without the lock when engines may have capacity again

	mu       sync.Mutex
	table    *routing.Table
	limiters []*admission.Limiter // by the table's index
	models   map[string]bool      // of all engines, including those outside the subset
	vms      int
	peers    int // routers that use the same engines
}

func newRouter(self settings.VM, backends []settings.Backend, vms int) *router {
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	r := &router{
		self: self, now: time.Now, onCapacityFreed: func() {}, vms: max(1, vms),
		table: routing.NewTable(self.Zone, rand.New(seed)),
	}
	r.SetBackends(backends)
	return r
}

// SetBackends replaces the list of backend servers. Engines that are no longer listed get
// no new work.
func (r *router) SetBackends(backends []settings.Backend) {
	var specs []routing.Spec
	models := map[string]bool{}
	for _, b := range backends {
		if b.Kind == settings.KindService {
			continue
		}
		specs = append(specs, routing.Spec{Name: b.Name, Addr: b.Address, Zone: b.Zone, Pools: b.Models})
		for _, m := range b.Models {
			models[m] = true
		}
	}
	subset := routing.Subset(r.self.ID, r.self.Zone, specs)
	r.mu.Lock()
	r.models = models
	r.peers = max(1, r.vms*len(subset)/max(1, len(specs)))
	r.table.SetPeers(r.peers)
	r.table.SetServers(subset)
	for i := len(r.limiters); i < r.table.Len(); i++ {
		l := admission.NewLimiter(r.peers, rand.Float64())
		r.limiters = append(r.limiters, l)
		r.table.SetLimit(i, l.Limit())
	}
	r.mu.Unlock()
	r.onCapacityFreed()
}

// SetLeaving marks whether the platform lists a backend server as leaving.
func (r *router) SetLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, ok := r.table.Index(name); ok {
		r.table.SetLeaving(i, leaving)
	}
}

// HasModel implements gateway.Models.
func (r *router) HasModel(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.models[model]
}

// Usable implements relay.Router.
func (r *router) Usable(model string) (engines, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Usable(model, r.now()), r.peers
}

// Capacity returns how many requests this router may have in flight on a model's engines.
func (r *router) Capacity(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit, _ := r.table.Capacity(model, r.now())
	return limit
}

// Pick implements relay.Router.
func (r *router) Pick(_ context.Context, q relay.Query) (relay.Choice, error) {
	req := q.Request
	query := routing.Query{
		Pool: req.Model, PromptTokens: req.PromptTokens() + q.Tokens, NewTokens: max(0, req.MaxTokens-q.Tokens),
		BlockDigests: routing.BlockDigests(req), Avoid: q.Avoid, Resume: q.Resume, Suspect: q.Suspect, Affinity: q.Affinity,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	placed, ok := r.table.Pick(&query, r.now())
	if !ok {
		return relay.Choice{}, result.New(result.NoBackendServer)
	}
	spec := r.table.Spec(placed.Engine)
	return relay.Choice{
		Backend:  relay.Backend{Name: spec.Name, Addr: spec.Addr, Zone: spec.Zone},
		Cached:   placed.CachedTokens(),
		Done:     func(o relay.Outcome) { r.done(&placed, o) },
		Progress: func(tokens int) { r.progress(&placed, tokens) },
		Cleared:  func() { r.endIsolation(&placed) },
		Slowness: func() float64 { return r.slowness(placed.Engine) },
	}, nil
}

func (r *router) progress(p *routing.Placement, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Progress(p, tokens)
}

func (r *router) slowness(i int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Slowness(i)
}

func (r *router) endIsolation(p *routing.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.EndIsolation(p)
}

var outcomes = map[relay.Outcome]routing.Outcome{
	relay.OutcomeOK:         routing.OK,
	relay.OutcomeFailed:     routing.Failed,
	relay.OutcomeSuspected:  routing.Suspected,
	relay.OutcomeCancelled:  routing.Cancelled,
	relay.OutcomeDied:       routing.Failed,
	relay.OutcomeRefused:    routing.Refused,
	relay.OutcomeUnserved:   routing.Cancelled,
	relay.OutcomeOverloaded: routing.Cancelled,
	relay.OutcomeRejected:   routing.Cancelled,
	relay.OutcomeSlow:       routing.Cancelled,
}

func (r *router) done(p *routing.Placement, o relay.Outcome) {
	r.mu.Lock()
	l := r.limiters[p.Engine]
	r.table.Done(p, outcomes[o], r.now())
	switch o {
	case relay.OutcomeOverloaded:
		l.Report(0, 1, r.table.Inflight(p.Engine))
	case relay.OutcomeDied, relay.OutcomeRefused:
		l.Reset()
	default:
	}
	r.table.SetLimit(p.Engine, l.Limit())
	r.mu.Unlock()
	r.onCapacityFreed()
}

// applyReport applies an engine's load report.
func (r *router) applyReport(i int, load *engine.Load) {
	r.mu.Lock()
	r.table.ApplyReport(i, load, r.now())
	l := r.limiters[i]
	l.Report(load.StepMS, load.Queued, r.table.Inflight(i))
	r.table.SetLimit(i, l.Limit())
	r.mu.Unlock()
	r.onCapacityFreed()
}

// EngineStatus is this router's view of an engine as operators see it.
type EngineStatus struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Inflight int    `json:"inflight"`
	Limit    int    `json:"limit"`
}

func (r *router) status() []EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EngineStatus, 0, r.table.Len())
	for i := range r.table.Len() {
		s := r.table.Spec(i)
		out = append(out, EngineStatus{
			Name: s.Name, Zone: s.Zone, State: r.table.State(i, r.now()),
			Inflight: r.table.Inflight(i), Limit: r.limiters[i].Limit(),
		})
	}
	return out
}

// pollTargets returns the engines that are polled.
func (r *router) pollTargets() []pollTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []pollTarget
	for i := range r.table.Len() {
		if s := r.table.Spec(i); r.table.State(i, r.now()) != "gone" {
			out = append(out, pollTarget{index: i, name: s.Name, addr: s.Addr, cacheSeq: r.table.CacheSeq(i)})
		}
	}
	return slices.Clip(out)
}

// applyCacheEvents applies a page of cache events that was requested after since. If two
// pages were requested at once, the later answer is dropped, since it would look like a
// restart of the engine.
func (r *router) applyCacheEvents(i int, since uint64, page *engine.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.CacheSeq(i) == since {
		r.table.ApplyCacheEvents(i, page)
	}
}

func (n *Node) startRouting() {
	n.router = newRouter(n.s.Self, n.s.Backends, len(n.s.VMs))
	n.metrics.Set("engines", expvar.Func(func() any { return n.router.status() }))
}
