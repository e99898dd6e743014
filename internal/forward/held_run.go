package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The failure pattern is the silence of a sound engine. For a second or so it neither makes
// events nor answers probes, like an engine that died without a reset, and then goes on. If its
// runs were closed at the first failed probe, the engine would drop them, and a stream that no
// other engine takes would be cut off although nothing was lost.
//
// A silent run is therefore held. The search for another engine begins at once, as for a dead
// engine, but the connection stays open: if no other engine takes the request, the stream goes on
// with the held run once it speaks, or once its engine answers probes again. Once another engine
// has the request, the held run ends; see overlap.go. A stream leaves an engine that answers only
// for a copy.

// Constants of held runs.
const (
	// maxHeldSilence is the silence after which a stream that no other engine takes is broken
	// off. Sound engines are silent for a second or so. The caller of a dead one still has time
	// to go on through another VM within six seconds.
	maxHeldSilence = 3 * time.Second
	// firstEventHoldShare of the objective is how long a stream without an event waits for a
	// held run. Its caller can then still be served in time by another VM.
	firstEventHoldShare = 2.0 / 3
	// minHoldTime is how long a run is held at least, however late it is.
	minHoldTime = 1 * time.Second
	// prefillAfterSilence is the silence of an engine after which another one prefills the prompt
	// of a stream that has begun. Sound engines mostly go on earlier, and a prefill takes about as
	// long.
	prefillAfterSilence = 1500 * time.Millisecond
	// heldSearchInterval separates two searches for an engine while a run is held.
	heldSearchInterval = 250 * time.Millisecond
)

// silent logs that the engine of a run is silent, and returns how the run ended.
func (r *run) silent(why string) runEnd {
	r.silence = why
	r.st.h.opts.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Str("reason", why).Msg("run held")
	return endSilent
}

// heldState is what has become of a held run.
type heldState uint8

const (
	heldSilent  heldState = iota
	heldSpoke             // its engine has sent a part of the answer, or ended it
	heldRefused           // its engine has refused the request, or failed
	heldBroken            // its connection has failed
)

func (r *run) heldState() heldState {
	res, ok := r.results.peek()
	switch {
	case !ok:
		return heldSilent
	case res.err != nil && (r.reply.resp == nil || !isCleanEOF(res.err)):
		return heldBroken
	case res.head != nil && res.head.resp.StatusCode != http.StatusOK && r.st.seq.started:
		return heldRefused
	}
	return heldSpoke
}

// silentFor returns how long the engine of the run has sent nothing, neither for the run nor for
// others, or in answer to a probe.
func (r *run) silentFor() time.Duration {
	return min(r.st.h.opts.Fleet.SilentFor(r.server), time.Since(r.lastHeard))
}

// heldUntil returns how long the stream waits for a held run if no other engine takes it.
func (r *run) heldUntil() time.Time {
	until, q := time.Now().Add(maxHeldSilence-r.silentFor()), r.st.q
	if !r.st.headSent && q.route.Objective > 0 {
		until = q.arrived.Add(time.Duration(firstEventHoldShare * float64(q.route.Objective)))
	}
	if least := r.heldAt.Add(minHoldTime); least.After(until) {
		return least
	}
	return until
}

// watchEngine wakes the stream once the engine of a held run answers probes again.
func (r *run) watchEngine() {
	ctx, cancel := context.WithCancel(r.st.q.ctx)
	r.stopWatching = cancel
	revived := r.st.h.opts.Fleet.Revived(r.server)
	go func() {
		select {
		case <-revived:
			r.engineAnswers.Store(true)
			r.st.wake()
		case <-ctx.Done():
		}
	}()
}

// wake has the stream look at its held runs.
func (st *streamRelay) wake() {
	select {
	case st.ready <- struct{}{}:
	default:
	}
}

// hold keeps a run open whose engine is silent.
func (st *streamRelay) hold(r *run) {
	st.h.Stats.RunsHeld.Inc()
	st.count(r)
	st.copyUsed(r.from)
	st.leave(r)
	r.heldAt, r.pace = time.Now(), nil // its silence says nothing of the engine's speed
	st.held, st.heldEngine = r, r.server.ID
	if !r.engineAnswers.Load() {
		r.watchEngine()
	}
}

// dropFailedHeld closes the held run if its connection has failed or its engine has refused it.
func (st *streamRelay) dropFailedHeld() {
	r := st.held
	if r == nil {
		return
	}
	switch r.heldState() {
	case heldBroken:
		if !st.callerGone() {
			st.h.probeForDeath(r.server, r.content, true)
		}
		st.closeHeld("connection ended", endBroken)
	case heldRefused:
		st.closeHeld("refused", endBroken)
	case heldSilent, heldSpoke:
	}
}

// heldGoesOn reports whether the stream goes on with the held run, unless another engine has the
// request.
func (st *streamRelay) heldGoesOn() bool {
	st.dropFailedHeld()
	r := st.held
	return r != nil && (r.heldState() == heldSpoke || r.engineAnswers.Load() && !st.onlyFromCopy)
}

// releaseHeld closes the held run.
func (st *streamRelay) releaseHeld(why string, end runEnd) {
	if st.held != nil {
		st.closeHeld(why, end)
	}
	st.onlyFromCopy = false
}

// dropExpiredHeld closes the held run if the stream waits for it no longer.
func (st *streamRelay) dropExpiredHeld() {
	if st.held != nil && time.Until(st.held.heldUntil()) <= 0 {
		st.closeHeld("silent for too long", endBroken)
	}
}

func (st *streamRelay) closeHeld(why string, end runEnd) {
	r := st.held
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Dur("held", time.Since(r.heldAt)).Str("reason", r.silence).
		Str("closed", why).Msg("run lost")
	st.unhold()
	r.close(end)
}

// unhold returns the held run, which is held no longer.
func (st *streamRelay) unhold() *run {
	r := st.held
	if r.stopWatching != nil {
		r.stopWatching()
		r.stopWatching = nil
	}
	st.held = nil
	return r
}

// copyUsed records that a run was sent with a copy, which can be used only once.
func (st *streamRelay) copyUsed(c *Copy) {
	if r := st.held; r != nil && c != nil && r.backup.current.ref == *c {
		r.loseBackup()
	}
}

// nextRun returns the run with which the stream goes on: one at another engine, or the held one if
// it speaks or its engine answers first. It returns nil and the reason if there is none.
func (st *streamRelay) nextRun() (*run, result.Code) {
	for {
		if st.heldGoesOn() {
			return st.goOnWithHeld(), 0
		}
		if st.held == nil {
			delete(st.skip, st.leftEngine)
			st.heldEngine, st.leftEngine, st.onlyFromCopy = "", "", false
			next, reason := st.search()
			st.noteOpened(next)
			return next, reason
		}
		if wait := st.waitForSoundEngine(); wait > 0 {
			st.awaitHeld(wait)
			st.clearSkip()
			continue
		}
		next, reason, ended := st.searchBesideHeld()
		switch {
		case next != nil:
			return next, 0
		case ended: // its reason is not that of a search, should the held run have failed since
			st.clearSkip()
		case st.heldGoesOn():
		case st.onlyFromCopy:
			st.onlyFromCopy = false // no copy can be used: the stream stays at its engine
		case !st.awaitHeld(heldSearchInterval) && (st.held != nil || st.leftEngine == ""):
			return nil, reason
		default:
			st.clearSkip()
		}
	}
}

// search chooses an engine and starts a run there. It returns nil and the reason if there is
// no engine.
func (st *streamRelay) search() (*run, result.Code) {
	c := st.nextEngine()
	if c.server == nil {
		return nil, c.reason
	}
	return st.startRun(c), 0
}

// searchBesideHeld is search, which is ended early, without a run, once the stream goes on with the held
// one. Nothing else touches the stream meanwhile.
func (st *streamRelay) searchBesideHeld() (next *run, reason result.Code, ended bool) {
	st.skipHeldEngine()
	caller := st.q.ctx
	ctx, cancel := context.WithCancel(caller)
	st.q.ctx = ctx
	defer func() { st.q.ctx = caller }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		next, reason = st.search()
	}()
	for {
		select {
		case <-done:
			if next == nil || ended {
				cancel()
				st.abandon(next)
				return nil, reason, ended
			}
			st.searches = append(st.searches, cancel) // the run lasts no longer than ctx
			st.noteOpened(next)
			return next, reason, false
		case <-st.ready:
			if st.heldGoesOn() {
				ended = true
				cancel()
			}
		}
	}
}

// clearSkip makes all engines a choice again, but those that the held run is preferred to.
func (st *streamRelay) clearSkip() {
	clear(st.skip)
	st.skipHeldEngine()
}

// skipHeldEngine excludes the engine of the held run, and the live one that the stream has left: it
// may still make no events.
func (st *streamRelay) skipHeldEngine() {
	if st.heldEngine == "" {
		return
	}
	st.skip[st.heldEngine] = true
	if st.leftEngine != "" {
		st.skip[st.leftEngine] = true
	}
}

// endSearches ends the contexts of all searches.
func (st *streamRelay) endSearches() {
	for _, cancel := range st.searches {
		cancel()
	}
}

// abandon ends a run that was started while the stream went on with the held one.
func (st *streamRelay) abandon(r *run) {
	if r == nil {
		return
	}
	st.count(r)
	st.copyUsed(r.from)
	r.close(endOvertaken)
}

// waitForSoundEngine returns how much longer the stream waits for the engine of its held run before
// another engine prefills the prompt again.
func (st *streamRelay) waitForSoundEngine() time.Duration {
	fleet, r := st.h.opts.Fleet, st.held
	hasCopy := st.lastCopy.engine != nil || st.orphanCopy != nil
	if !st.headSent || hasCopy || st.onlyFromCopy || fleet.IsGone(r.server) || st.q.ctx.Err() != nil {
		return 0
	}
	return prefillAfterSilence - r.silentFor()
}

// awaitHeld waits for the held run, until the next search at most. It returns false if there is
// nothing left to wait for.
func (st *streamRelay) awaitHeld(searchAfter time.Duration) bool {
	st.dropExpiredHeld()
	if st.held == nil || st.q.ctx.Err() != nil {
		return false
	}
	next := time.NewTimer(min(searchAfter, time.Until(st.held.heldUntil())))
	defer next.Stop()
	select {
	case <-next.C:
	case <-st.ready:
	case <-st.q.ctx.Done():
		return false
	}
	return true
}

// goOnWithHeld makes the held run the stream's current one again, and returns it.
func (st *streamRelay) goOnWithHeld() *run {
	st.h.Stats.HeldRunsGoOn.Inc()
	r := st.unhold()
	spoke := r.heldState() == heldSpoke
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Int("sends", st.sends).Bool("spoke", spoke).Msg("held run goes on")
	st.h.opts.SuspectContents.heard(r.server)
	if !r.engineAnswers.Swap(false) {
		st.h.probeRevived(r.server)
	}
	r.lastHeard = time.Now()
	st.lostAt, st.lostZone, st.lastCopy, st.onlyFromCopy = time.Time{}, "", backupCopy{}, false
	st.clearSkip()
	r.died = st.h.opts.Fleet.Died(r.server)
	r.suspected = st.h.opts.Fleet.Suspected(r.server)
	st.countAt(r.server)
	if r.forwarded > 0 {
		r.reportRun()
	}
	return r
}

// searchedFor returns how long the stream has had no engine that sends events.
func (st *streamRelay) searchedFor() time.Duration {
	if st.lostAt.IsZero() {
		return 0
	}
	return time.Since(st.lostAt)
}
