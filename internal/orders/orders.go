// Package orders gives the orders of package fleet to engines, on the VM that
// leads the control group: it commits each order, sends it once, and reads the
// engine's state back until that shows the outcome.
package orders

import (
	"context"
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

// Timings of rounds.
const (
	roundEvery   = 1 * time.Second
	stateTimeout = 1 * time.Second
	commitLimit  = 2 * time.Second
	readsAtOnce  = 32
	// Engines are read each round as far as the budget allows: control traffic of
	// a node is to stay under 11 KB/s. 710 engines take 40 s for a pass.
	stateBytes = 450  // of one state, as JSON with HTTP headers
	readBudget = 8000 // bytes a second
	// lostReads is how many reads an engine may miss before it counts as lost.
	lostReads = 5
	// lostAfter ends an order that left no trace in the state of its living
	// engine, or whose engine is gone. It exceeds fleet.LeaseOver, so that the
	// order can no longer arrive.
	lostAfter = 15 * time.Second
	// weight store: see fleet.Bucket
	storeBurst = 2
	storeEvery = 30 * time.Second
)

// Engines reaches engines by address. *engine.Client does.
type Engines interface {
	Order(ctx context.Context, addr string, o engine.Order) (engine.State, error)
	State(ctx context.Context, addr string) (engine.State, error)
}

// Backend is an engine of the settings or the platform's list.
type Backend struct {
	fleet.Engine
	Addr string
}

// Deps are what a Leader uses.
type Deps struct {
	Name     string // of this VM's incarnation
	Control  control.Client
	Engines  Engines
	IsLeader func() bool
	Backends func() []Backend
	Orders   func() []fleet.Order // under way, as committed
	Served   func() *fleet.View   // as committed; may be nil
	Metrics  *expvar.Map
	Log      zerolog.Logger
}

// Leader gives orders while its VM leads the control group.
type Leader struct {
	Deps
	planner *fleet.Planner
	fence   uint64
	led     time.Time            // since when the fencing number is ours
	noticed map[string]time.Time // orders under way, since when seen, by engine
	seen    map[string]sight
	asked   map[string]time.Time // of the last read, by engine
	every   time.Duration        // between reads of an engine
	wants   []fleet.Want
}

// sight is an engine's last answer.
type sight struct {
	at     time.Time
	copies []fleet.Copy
}

// NewLeader returns a Leader for the wanted copies.
func NewLeader(d Deps, wants []fleet.Want) *Leader {
	return &Leader{Deps: d, wants: wants, seen: map[string]sight{}, asked: map[string]time.Time{}, noticed: map[string]time.Time{}}
}

// Run works until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	tick := time.NewTicker(roundEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round is one pass of a leader; on any other VM it forgets what it knew.
func (l *Leader) round(ctx context.Context) {
	if !l.IsLeader() {
		l.fence = 0
		return
	}
	if l.fence == 0 && !l.lead(ctx) {
		return
	}
	backends := l.Backends()
	l.every = max(roundEvery, time.Duration(len(backends))*stateBytes*time.Second/readBudget)
	l.look(ctx, l.due(backends))
	busy := l.confirm(ctx, backends)
	engines := make([]fleet.Engine, 0, len(backends))
	for _, b := range backends {
		engines = append(engines, l.view(b))
	}
	for _, o := range l.planner.Plan(time.Now(), engines, l.wants, busy) {
		l.give(ctx, o, backends)
	}
}

// lead gets a fencing number of its own. What was planned under an earlier one
// is forgotten: somebody else may have acted since.
func (l *Leader) lead(ctx context.Context) bool {
	r, err := l.propose(ctx, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: l.Name}})
	if err != nil || !r.OK {
		return false
	}
	l.fence, l.led = r.Fence, time.Now()
	l.planner = fleet.NewPlanner(fleet.NewBucket(storeBurst, storeEvery))
	l.noticed = map[string]time.Time{}
	l.Log.Info().Uint64("fence", l.fence).Msg("orders engines from now on")
	return true
}

func (l *Leader) propose(ctx context.Context, cmd *fleet.Command) (fleet.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	r, err := control.Propose[fleet.Reply](ctx, l.Control, control.FleetStateMachine, cmd)
	if err == nil && r.Fence != l.fence && cmd.AcquireFence == nil {
		l.fence = 0 // another leads
	}
	return r, err
}

// confirm ends the orders that the engines' states decide, records what changed
// without an order, and returns the engines that are still busy.
func (l *Leader) confirm(ctx context.Context, backends []Backend) map[string]string {
	busy := map[string]string{}
	for _, o := range l.Orders() {
		if _, ok := l.noticed[o.Engine]; !ok {
			l.noticed[o.Engine] = time.Now()
		}
		e := l.seen[o.Engine]
		done, over := o.Done(e.copies), l.over(&o, &e)
		if !done && !over || time.Since(e.at) > stateTimeout && !over {
			busy[o.Engine] = o.Model
			continue
		}
		if !done {
			if !l.revoke(ctx, &o, &e, backends) {
				busy[o.Engine] = o.Model
				continue
			}
			l.planner.NoteFailure(o.Engine, time.Now())
			l.Metrics.Add("orders_failed", 1)
		}
		if r, err := l.propose(ctx, &fleet.Command{End: &fleet.End{Fence: l.fence, Engine: o.Engine, Copies: e.copies}}); err != nil || !r.OK {
			busy[o.Engine] = o.Model
			continue
		}
		delete(l.noticed, o.Engine)
		l.Log.Info().Str("engine", o.Engine).Str("op", string(o.Op)).Str("model", o.Model).Bool("done", done).Msg("order ended")
	}
	l.record(ctx, backends, busy)
	return busy
}

// revoke makes a living engine refuse an order that it has not carried out, before
// another engine gets it. An engine knows only the numbers that it has seen: one
// that was never ordered since would take the late order of a deposed leader.
// Unloading what is not loaded changes nothing but that number.
func (l *Leader) revoke(ctx context.Context, o *fleet.Order, e *sight, backends []Backend) bool {
	if time.Since(e.at) > lostAfter {
		return true // it has died, and its queue with it
	}
	if o.Fence >= l.fence && !l.raise(ctx) {
		return false
	}
	for _, b := range backends {
		if b.Name == o.Engine {
			again := fleet.Order{Op: fleet.Unload, Model: o.Model, Version: o.Version, Fence: l.fence}
			return l.send(ctx, b.Addr, &again, time.Now()) == nil
		}
	}
	return true // no longer listed
}

// raise gets a higher number for the same leader.
func (l *Leader) raise(ctx context.Context) bool {
	r, err := l.propose(ctx, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: l.Name}})
	if err != nil || !r.OK {
		return false
	}
	l.fence = r.Fence
	return true
}

// over reports whether an order can no longer be carried out.
func (l *Leader) over(o *fleet.Order, e *sight) bool {
	waited := time.Since(l.noticed[o.Engine])
	loading := false
	for _, c := range e.copies {
		loading = loading || c.Model == o.Model && c.Version == o.Version
	}
	if time.Since(e.at) < lostAfter && loading && o.Op == fleet.Load {
		return waited >= fleet.ConfirmTimeout
	}
	return waited >= lostAfter
}

// record commits what living engines serve where that differs from what is
// committed, so that routers learn of it.
func (l *Leader) record(ctx context.Context, backends []Backend, busy map[string]string) {
	for _, b := range backends {
		e, ok := l.seen[b.Name]
		_, ordered := busy[b.Name]
		if !ok || ordered || l.fence == 0 || time.Since(e.at) > stateTimeout || l.Served().Matches(b.Name, e.copies) {
			continue
		}
		_, _ = l.propose(ctx, &fleet.Command{Record: &fleet.Record{Fence: l.fence, Engine: b.Name, Copies: e.copies}})
	}
}

// give commits an order and sends it once. Its outcome is read from the
// engine's state, also where the answer comes: an answer may be late, and one
// that is lost must not be taken for a refusal.
func (l *Leader) give(ctx context.Context, o fleet.Order, backends []Backend) {
	var b *Backend
	for i := range backends {
		if backends[i].Name == o.Engine {
			b = &backends[i]
		}
	}
	if b == nil || l.fence == 0 || !fleet.MayOrder(b.Fences, time.Since(l.led)) {
		return
	}
	o.Fence = l.fence
	began := time.Now()
	r, err := l.propose(ctx, &fleet.Command{Begin: &fleet.Begin{Order: o}})
	if err != nil || !r.OK {
		return
	}
	l.noticed[o.Engine] = began
	l.Metrics.Add("orders_given", 1)
	if err := l.send(ctx, b.Addr, &o, began); err != nil {
		l.Log.Warn().Err(err).Str("engine", o.Engine).Msg("order without an answer")
	}
}

// send stops at the end of the order's window: a leader that was paused since
// its commit may have been followed by another.
func (l *Leader) send(ctx context.Context, addr string, o *fleet.Order, began time.Time) error {
	left := fleet.SendWindow - time.Since(began)
	if left <= 0 {
		return context.DeadlineExceeded
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	_, err := l.Engines.Order(ctx, addr, engine.Order{Fence: o.Fence, Op: string(o.Op), Model: o.Model, Version: o.Version})
	return err
}
