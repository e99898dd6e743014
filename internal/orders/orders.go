// Package orders sends the orders of package fleet to engines, on the VM that leads the
// control group. It commits each order, sends it once, and reads the engine's state until
// the state shows the outcome.
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

// Time limits and bounds of rounds.
const (
	roundInterval      = 1 * time.Second
	stateTimeout       = 1 * time.Second
	commitTimeout      = 2 * time.Second
	maxConcurrentReads = 32
	// Each round reads the states of as many engines as the budget allows, because the
	// control traffic of a VM has to stay under 11 KB/s. Reading 710 engines once takes
	// 40 s.
	stateBytes         = 450 // size of one state as JSON with HTTP headers
	readBytesPerSecond = 8000
	// maxMissedReads is how many reads an engine may miss before it counts as lost.
	maxMissedReads = 5
	// lostOrderTimeout is how long an order stays pending if the state of its living engine
	// does not show it, or if its engine does not answer. It exceeds fleet.TakeoverDelay:
	// the order can no longer arrive after it.
	lostOrderTimeout = 15 * time.Second
	// Size in tokens and interval of the fleet.Bucket for the weight store.
	storeBurst    = 2
	storeInterval = 30 * time.Second
)

// Engines sends requests to engines by address. *engine.Client implements it.
type Engines interface {
	Order(ctx context.Context, addr string, o engine.Order) (engine.State, error)
	State(ctx context.Context, addr string) (engine.State, error)
}

// Backend is an engine from the settings or from the platform's list.
type Backend struct {
	fleet.Engine
	Addr string
}

// Deps are the dependencies of a Leader.
type Deps struct {
	Name     string // VM and incarnation
	Control  control.Client
	Engines  Engines
	IsLeader func() bool
	Backends func() []Backend
	Orders   func() []fleet.Order // pending orders, as committed
	Served   func() *fleet.View   // what engines serve, as committed; may return nil
	Metrics  *expvar.Map
	Log      zerolog.Logger
}

// Leader sends orders while its VM leads the control group.
type Leader struct {
	Deps
	planner      *fleet.Planner
	fence        uint64
	fenceSince   time.Time            // when this VM got the fencing number
	pendingSince map[string]time.Time // by engine: when its pending order was first seen
	seen         map[string]engineState
	lastRead     map[string]time.Time // by engine: when the last read of its state began
	readInterval time.Duration        // between two reads of an engine
	wants        []fleet.Want
}

// engineState is the last state that an engine has reported.
type engineState struct {
	readAt time.Time
	copies []fleet.Copy
}

// NewLeader returns a Leader that keeps the wanted copies loaded.
func NewLeader(d Deps, wants []fleet.Want) *Leader {
	return &Leader{Deps: d, wants: wants, seen: map[string]engineState{}, lastRead: map[string]time.Time{}, pendingSince: map[string]time.Time{}}
}

// Run runs a round each roundInterval until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
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

// round records the end of pending orders that were carried out or have expired, and then
// sends new orders to engines. Only the VM that leads the control group does this. On any
// other VM, round discards the fencing number and returns.
func (l *Leader) round(ctx context.Context) {
	if !l.IsLeader() {
		l.fence = 0
		return
	}
	if l.fence == 0 && !l.acquireFence(ctx) {
		return
	}
	backends := l.Backends()
	l.readInterval = max(roundInterval, time.Duration(len(backends))*stateBytes*time.Second/readBytesPerSecond)
	l.readStates(ctx, l.due(backends))
	busy := l.endOrders(ctx, backends)
	engines := make([]fleet.Engine, 0, len(backends))
	for _, b := range backends {
		engines = append(engines, l.plannerView(b))
	}
	for _, o := range l.planner.Plan(time.Now(), engines, l.wants, busy) {
		l.issue(ctx, o, backends)
	}
}

// acquireFence gets a new fencing number for this VM. It discards the plans made under an
// earlier number, because another leader may have sent orders since.
func (l *Leader) acquireFence(ctx context.Context) bool {
	r, err := l.propose(ctx, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: l.Name}})
	if err != nil || !r.OK {
		return false
	}
	l.fence, l.fenceSince = r.Fence, time.Now()
	l.planner = fleet.NewPlanner(fleet.NewBucket(storeBurst, storeInterval))
	l.pendingSince = map[string]time.Time{}
	l.Log.Info().Uint64("fence", l.fence).Msg("fencing number acquired; this VM sends orders to engines")
	return true
}

func (l *Leader) propose(ctx context.Context, cmd *fleet.Command) (fleet.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r, err := control.Propose[fleet.Reply](ctx, l.Control, control.FleetStateMachine, cmd)
	if err == nil && r.Fence != l.fence && cmd.AcquireFence == nil {
		l.fence = 0 // another VM has acquired a newer number
	}
	return r, err
}

// endOrders ends each order that its engine's state shows as carried out. It also ends each
// order that has expired, once revoke has made sure that the engine can no longer accept it.
// Then it records the changes that engines made without an order. It returns the orders that
// are still pending, as a map from engine to model.
func (l *Leader) endOrders(ctx context.Context, backends []Backend) map[string]string {
	busy := map[string]string{}
	for _, o := range l.Orders() {
		if _, ok := l.pendingSince[o.Engine]; !ok {
			l.pendingSince[o.Engine] = time.Now()
		}
		e := l.seen[o.Engine]
		done, expired := o.Done(e.copies), l.expired(&o, &e)
		if !done && !expired || time.Since(e.readAt) > stateTimeout && !expired {
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
		delete(l.pendingSince, o.Engine)
		l.Log.Info().Str("engine", o.Engine).Str("op", string(o.Op)).Str("model", o.Model).Bool("done", done).Msg("order ended")
	}
	l.record(ctx, backends, busy)
	return busy
}

// revoke makes a living engine refuse an order that it has not carried out, before another
// engine gets the order. An engine knows only the fencing numbers that it has seen: without
// an order with a higher number it would accept the delayed order of a deposed leader. For
// that, revoke sends an order to unload a model that is not loaded, which changes only the
// number that the engine knows. It reports whether the engine can no longer accept the order.
func (l *Leader) revoke(ctx context.Context, o *fleet.Order, e *engineState, backends []Backend) bool {
	if time.Since(e.readAt) > lostOrderTimeout {
		return true // the engine has died and its queue is lost
	}
	if o.Fence >= l.fence && !l.raiseFence(ctx) {
		return false
	}
	for _, b := range backends {
		if b.Name == o.Engine {
			unload := fleet.Order{Op: fleet.Unload, Model: o.Model, Version: o.Version, Fence: l.fence}
			return l.send(ctx, b.Addr, &unload, time.Now()) == nil
		}
	}
	return true // no longer listed
}

// raiseFence gets a higher fencing number for this leader and keeps its plans.
func (l *Leader) raiseFence(ctx context.Context) bool {
	r, err := l.propose(ctx, &fleet.Command{AcquireFence: &fleet.AcquireFence{Leader: l.Name}})
	if err != nil || !r.OK {
		return false
	}
	l.fence = r.Fence
	return true
}

// expired reports whether an order has been pending for too long. The limit is
// ConfirmTimeout while the engine shows that it loads the model, and lostOrderTimeout
// otherwise.
func (l *Leader) expired(o *fleet.Order, e *engineState) bool {
	waited := time.Since(l.pendingSince[o.Engine])
	loading := false
	for _, c := range e.copies {
		loading = loading || c.Model == o.Model && c.Version == o.Version
	}
	if time.Since(e.readAt) < lostOrderTimeout && loading && o.Op == fleet.Load {
		return waited >= fleet.ConfirmTimeout
	}
	return waited >= lostOrderTimeout
}

// record commits the copies of living engines without a pending order if they differ from
// the committed ones. Routers learn of them by the commit.
func (l *Leader) record(ctx context.Context, backends []Backend, busy map[string]string) {
	for _, b := range backends {
		e, ok := l.seen[b.Name]
		_, pending := busy[b.Name]
		if !ok || pending || l.fence == 0 || time.Since(e.readAt) > stateTimeout || l.Served().Matches(b.Name, e.copies) {
			continue
		}
		_, _ = l.propose(ctx, &fleet.Command{Record: &fleet.Record{Fence: l.fence, Engine: b.Name, Copies: e.copies}})
	}
}

// issue commits an order and sends it once. The outcome is always read from the engine's
// state, even if an answer arrives: an answer may be late, and a lost answer must not be
// taken for a refusal.
func (l *Leader) issue(ctx context.Context, o fleet.Order, backends []Backend) {
	var b *Backend
	for i := range backends {
		if backends[i].Name == o.Engine {
			b = &backends[i]
		}
	}
	if b == nil || l.fence == 0 || !fleet.MayOrder(b.Fences, time.Since(l.fenceSince)) {
		return
	}
	o.Fence = l.fence
	began := time.Now()
	r, err := l.propose(ctx, &fleet.Command{Begin: &fleet.Begin{Order: o}})
	if err != nil || !r.OK {
		return
	}
	l.pendingSince[o.Engine] = began
	l.Metrics.Add("orders_given", 1)
	if err := l.send(ctx, b.Addr, &o, began); err != nil {
		l.Log.Warn().Err(err).Str("engine", o.Engine).Msg("no answer to an order; its outcome will be read from the engine's state")
	}
}

// send sends an order within its SendWindow. A leader that was paused after the commit may
// have been deposed by then.
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
