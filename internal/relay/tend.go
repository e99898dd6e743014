package relay

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Figures of the upkeep of runs.
const (
	tendEvery  = 100 * time.Millisecond
	watchEvery = 500 * time.Millisecond
	sweepEvery = 1 * time.Second

	// abdicateAfter is how long an owner waits for its majority before it lets go:
	// three write timeouts. It may be cut off one way: its callers would hear
	// heartbeats from it for ever, while every other VM can go on with the answer.
	abdicateAfter = 3 * writeTimeout

	touchesPerKeep = 4                // of AbandonKeep
	mostTouchEvery = 10 * time.Second // also bounds how late a cut is noticed while no token comes
	replacesAtOnce = 16               // journals re-placed at the same time after a change of the list
)

// tend follows the list of VMs and sweeps the keeper.
func (h *Hub) tend() {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	slots := make(chan struct{}, replacesAtOnce)
	var version uint64
	var swept time.Time
	for {
		views := h.members.Views()
		if newest := views[0].Version; newest != version {
			version = newest
			h.setFloor(views[len(views)-1].Version)
		}
		for _, run := range h.owned() {
			h.considerReplace(run, views, slots)
		}
		if time.Since(swept) >= sweepEvery {
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

func (h *Hub) setFloor(oldest uint64) {
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

// considerReplace starts the move of a journal whose keepers are no longer those
// that the newest list gives, or whose epoch will soon fall out of the list's
// history.
func (h *Hub) considerReplace(run *Run, views []generation.Membership, slots chan struct{}) {
	if !run.wantsReplace(views) {
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

func (r *Run) wantsReplace(views []generation.Membership) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moving || r.err != nil || r.seenVersion == views[0].Version {
		return false
	}
	oldest := views[len(views)-1].Version
	expiring := len(views) > 1 && r.owner.Epoch.Version <= oldest
	groups := generation.KeeperSets(r.owner.Request.ID, views[:1])
	if generation.SameKeepers(r.owner.KeeperSet().Keepers, groups[0].Keepers) && !expiring {
		r.seenVersion = views[0].Version
		return false
	}
	return true
}

// beginMove claims the run for one move at a time: to other keepers, or to
// another owner. Both bid for the journal: a bid for other keepers that comes
// behind the successor's deposes it, and its callers' answers go to and fro.
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

// replace seals the journal on a majority of every keeper set and installs it on
// the newest, while the attempt goes on. Nothing is released in between.
func (h *Hub) replace(run *Run) {
	ctx, cancel := context.WithTimeout(h.ctx, h.cfg.OpenTimeout)
	defer cancel()
	run.mu.Lock()
	run.owner.BeginSeal()
	epoch := run.owner.Epoch
	run.mu.Unlock()
	for try := 0; ctx.Err() == nil && !run.ended(); try++ {
		o := h.opener(*run.Request(), true)
		next := o.nextEpoch(epoch)
		replies, err := o.ask(ctx, generation.Promise{ID: o.req.ID, Epoch: next})
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
	err := r.update(func() error { return r.owner.MoveTo(epoch, o.groups[0], replies) })
	if err != nil {
		r.stop(err)
		return
	}
	r.mu.Lock()
	r.seenVersion = o.newest.Version
	r.mu.Unlock()
	r.targets.Store(r.hub.journals.targets(r, o.groups[0].Keepers))
	r.hub.metrics.Add("replacements", 1)
	r.hub.journals.mark(r)
}

// watch cancels a run that nobody has read for CallerKeep, lets go of one that
// cannot reach its keepers, and keeps the rest from being forgotten.
func (h *Hub) watch(ctx context.Context, run *Run) {
	defer h.forget(run)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	touch := min(mostTouchEvery, h.cfg.Limits.AbandonedRetention/touchesPerKeep)
	touched, caughtUp := time.Now(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		idle, behind := run.state(now, h.cfg.CallerKeep)
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

func (r *Run) state(now time.Time, keep time.Duration) (idle, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.vacant) >= keep, r.owner.ReplicationPending()
}

func (r *Run) touch() uint64 {
	r.mu.Lock()
	touch := r.owner.Touch()
	r.mu.Unlock()
	r.hub.journals.mark(r)
	return touch
}

// letGo reports whether the run ended because another VM has it or will have
// it, so that what the engine still does for it must not be cancelled.
func (r *Run) letGo() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hub.ctx.Err() != nil || r.owner.Deposed() || errors.Is(r.err, generation.ErrDeposed) ||
		errors.Is(r.err, result.New(result.KeepersUnavail))
}
