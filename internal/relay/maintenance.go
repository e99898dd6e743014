package relay

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Constants of the maintenance of runs.
const (
	maintainInterval = 100 * time.Millisecond
	watchInterval    = 500 * time.Millisecond
	sweepInterval    = 1 * time.Second

	// abdicateAfter is how long an owner waits for a majority of its keepers before it
	// gives the generation up: three write timeouts. In a one-way partition its callers
	// would otherwise receive heartbeats from it forever, although every other VM could
	// continue the answer.
	abdicateAfter = 3 * writeTimeout

	touchesPerKeep        = 4                // touches within Limits.AbandonedRetention
	maxTouchInterval      = 10 * time.Second // also bounds the detection of a partition while no token arrives
	maxConcurrentReplaces = 16               // concurrent moves of journals after a change of the list of VMs
)

// maintain moves journals after changes of the list of VMs and sweeps the keeper.
func (h *Hub) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentReplaces)
	var version uint64
	var swept time.Time
	for {
		views := h.members.Views()
		if newest := views[0].Version; newest != version {
			version = newest
			h.setMinVersion(views[len(views)-1].Version)
		}
		for _, run := range h.owned() {
			h.maybeReplace(run, views, slots)
		}
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			h.sweep(swept)
		}
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hub) setMinVersion(oldest uint64) {
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	h.keeper.SetMinVersion(oldest)
}

func (h *Hub) sweep(now time.Time) {
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	if n := h.keeper.Sweep(now); n > 0 {
		h.metrics.Add("journals_abandoned", int64(n))
	}
	h.setGauge("journals_kept", int64(h.keeper.Len()))
	h.setGauge("journal_bytes", h.keeper.Bytes())
}

// maybeReplace starts the move of a journal if its keepers are no longer those of the
// newest list of VMs, or if the version in its epoch will soon be dropped from the
// list's history.
func (h *Hub) maybeReplace(run *Run, views []generation.Membership, slots chan struct{}) {
	if !run.needsReplace(views) {
		return
	}
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	if !run.beginMove() {
		<-slots
		return
	}
	go func() {
		defer func() { <-slots }()
		defer run.endMove()
		h.replace(run)
	}()
}

func (r *Run) needsReplace(views []generation.Membership) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moving || r.err != nil || r.seenVersion == views[0].Version {
		return false
	}
	oldest := views[len(views)-1].Version
	expiring := len(views) > 1 && r.owner.Epoch.Version <= oldest
	sets := generation.KeeperSets(r.owner.Request.ID, views[:1])
	if generation.SameKeepers(r.owner.KeeperSet().Keepers, sets[0].Keepers) && !expiring {
		r.seenVersion = views[0].Version
		return false
	}
	return true
}

// beginMove claims the run for one move at a time, to other keepers or to another
// owner. Both moves propose a new epoch. Without the claim, a move to other keepers
// that follows a handover would depose the successor, and the ownership would
// alternate between the two VMs.
func (r *Run) beginMove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moving {
		return false
	}
	r.moving = true
	return true
}

func (r *Run) endMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = false
}

// replace seals the journal on a majority of every keeper set and installs it on the
// newest set. The attempt continues meanwhile, but no token is released.
func (h *Hub) replace(run *Run) {
	ctx, cancel := context.WithTimeout(h.ctx, h.cfg.OpenTimeout)
	defer cancel()
	run.mu.Lock()
	run.owner.BeginSeal()
	epoch := run.owner.Epoch
	run.mu.Unlock()
	for try := 0; ctx.Err() == nil && !run.stopped(); try++ {
		o := h.opener(*run.Request(), true)
		next := o.nextEpoch(epoch)
		replies, err := o.requestPromises(ctx, generation.Promise{ID: o.req.ID, Epoch: next})
		if err == nil && replies.Ready() {
			run.replaced(o, next, replies)
			return
		}
		if err == nil && epoch.Less(replies.MaxEpoch) && vmOf(replies.MaxEpoch.VM) != h.cfg.VM {
			run.stop(generation.ErrDeposed)
			return
		}
		if backOff(ctx, try) != nil {
			return
		}
	}
}

func (r *Run) replaced(o *opener, epoch generation.Epoch, replies *generation.Replies) {
	err := r.update(func() error { return r.owner.MoveTo(epoch, o.keeperSets[0], replies) })
	if err != nil {
		r.stop(err)
		return
	}
	r.mu.Lock()
	r.seenVersion = o.newest.Version
	r.mu.Unlock()
	r.targets.Store(r.hub.replicator.targets(r, o.keeperSets[0].Keepers))
	r.hub.metrics.Add("replacements", 1)
	r.hub.replicator.mark(r)
}

// watch cancels a run that had no reader for CallerKeep and abdicates from one that
// cannot reach its keepers. It touches the journals of other runs, which the keepers
// would otherwise sweep as abandoned.
func (h *Hub) watch(ctx context.Context, run *Run) {
	defer h.forget(run)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	touch := min(maxTouchInterval, h.cfg.Limits.AbandonedRetention/touchesPerKeep)
	touched, caughtUp := time.Now(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		idle, behind := run.idleOrBehind(now, h.cfg.CallerKeep)
		if !behind {
			caughtUp = now
		}
		switch {
		case idle:
			run.stop(result.New(result.CallerGone))
			return
		case now.Sub(caughtUp) >= abdicateAfter:
			h.metrics.Add("abdications", 1)
			run.stop(result.New(result.KeepersUnavail).WithRan(result.RanYes))
			return
		case now.Sub(touched) >= touch:
			touched = now
			run.touch()
		}
	}
}

func (r *Run) idleOrBehind(now time.Time, keep time.Duration) (idle, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.unreadSince) >= keep, r.owner.ReplicationPending()
}

func (r *Run) touch() uint64 {
	r.mu.Lock()
	touch := r.owner.Touch()
	r.mu.Unlock()
	r.hub.replicator.mark(r)
	return touch
}

// handedOff reports whether another VM owns the generation or will take it over. Its
// stream on the engine must then not be cancelled.
func (r *Run) handedOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hub.ctx.Err() != nil || r.owner.Deposed() || errors.Is(r.err, generation.ErrDeposed) ||
		errors.Is(r.err, result.New(result.KeepersUnavail))
}
