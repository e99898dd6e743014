package forward

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The failure pattern is the silence of a sound engine. For a second or so it neither makes
// events nor answers probes, like an engine that died without a reset, and then goes on. If its
// runs were closed at the first failed probe, the engine would drop them, and a stream that no
// other engine takes would be cut off although nothing was lost.
//
// A silent run is therefore held. The search for another engine begins at once, as for a dead
// engine, but the connection stays open until another run has brought the next event. The
// stream goes on with whichever run speaks first.
//
// Two engines must not work on one request for long. Once the engine of a held run answers
// probes again, the stream goes on there, unless another engine already resumes it from a copy;
// then the held run is closed. A stream leaves an engine that answers only for a copy.

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
	// heldSearchInterval separates two searches for an engine while a run is held.
	heldSearchInterval = 250 * time.Millisecond
	// acceptTime is how long an engine has to accept a resume from a copy while the engine of a
	// held run answers.
	acceptTime = 200 * time.Millisecond
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
	case res.head != nil && res.head.resp.StatusCode != http.StatusOK && (r.st.seq.started || len(r.st.held) > 1):
		return heldRefused // other runs of the stream may still serve it
	}
	return heldSpoke
}

// heldUntil returns how long the stream waits for a held run if no other engine takes it.
func (r *run) heldUntil() time.Time {
	until, q := r.lastHeard.Add(maxHeldSilence), r.st.q
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
	st.held = append(st.held, r)
	if !r.engineAnswers.Load() {
		r.watchEngine()
	}
}

// nextHeld returns the held run with which the stream goes on; nil: there is none yet. It closes
// the held runs whose connections have failed.
func (st *streamRelay) nextHeld() *run {
	var spoke, answers *run
	for _, r := range slices.Clone(st.held) {
		switch state := r.heldState(); {
		case state == heldBroken:
			if !st.callerGone() {
				st.h.probeForDeath(r.server, r.content, true)
			}
			st.closeHeld(r, "connection ended", endBroken)
		case state == heldRefused:
			st.closeHeld(r, "refused", endBroken)
		case state == heldSpoke:
			spoke = cmp.Or(spoke, r)
		case r.engineAnswers.Load() && !st.onlyFromCopy:
			answers = cmp.Or(answers, r)
		}
	}
	return cmp.Or(spoke, answers)
}

// isOvertaken reports whether the stream goes on with a held run in place of this one. While the
// engine of the held run has only answered a probe, a run that resumes from a copy is preferred: it
// is about to speak, if its engine accepts it soon.
func (r *run) isOvertaken() bool {
	next := r.st.nextHeld()
	if next == nil {
		return false
	}
	switch {
	case next.heldState() == heldSpoke:
		return true
	case !r.heldAt.IsZero():
		r.st.closeHeld(next, "another engine answers", endBroken) // this run's own
		return false
	case r.from == nil:
		return true
	}
	if r.reply.resp != nil {
		r.st.closeHeld(next, "another engine resumes from a copy", endBroken)
		return false
	}
	left := acceptTime - time.Since(r.sentAt)
	if left > 0 {
		time.AfterFunc(left, r.st.wake)
	}
	return left <= 0
}

// releaseHeld closes all held runs.
func (st *streamRelay) releaseHeld(why string, end runEnd) {
	for _, r := range slices.Clone(st.held) {
		st.closeHeld(r, why, end)
	}
	st.onlyFromCopy = false
}

// releaseAnswering closes the held runs whose engines answer, since another engine has taken
// the stream.
func (st *streamRelay) releaseAnswering() {
	for _, r := range slices.Clone(st.held) {
		if r.engineAnswers.Load() {
			st.closeHeld(r, "another engine took the stream", endBroken)
		}
	}
	st.onlyFromCopy = false
}

// dropExpiredHeld closes the held runs that the stream waits for no longer.
func (st *streamRelay) dropExpiredHeld() {
	for _, r := range slices.Clone(st.held) {
		if time.Until(r.heldUntil()) <= 0 {
			st.closeHeld(r, "silent for too long", endBroken)
		}
	}
}

func (st *streamRelay) closeHeld(r *run, why string, end runEnd) {
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Dur("held", time.Since(r.heldAt)).Str("reason", r.silence).
		Str("closed", why).Msg("run lost")
	st.unhold(r)
	r.close(end)
}

func (st *streamRelay) unhold(r *run) {
	if r.stopWatching != nil {
		r.stopWatching()
		r.stopWatching = nil
	}
	st.held = slices.DeleteFunc(st.held, func(h *run) bool { return h == r })
}

// copyUsed records that a run was sent with a copy, which can be used only once.
func (st *streamRelay) copyUsed(c *Copy) {
	for _, r := range st.held {
		if c != nil && r.backup.current.ref == *c {
			r.loseBackup()
		}
	}
}

// nextRun returns the run with which the stream goes on: one at another engine, or a held one
// that speaks or whose engine answers first. It returns nil and the reason if there is none.
func (st *streamRelay) nextRun() (*run, result.Code) {
	for {
		if r := st.nextHeld(); r != nil {
			st.goOnWith(r)
			return r, 0
		}
		if len(st.held) == 0 {
			st.heldEngines, st.onlyFromCopy = nil, false
			next, reason := st.search()
			st.noteOpened(next)
			return next, reason
		}
		next, reason := st.searchBesideHeld()
		switch {
		case next == nil && st.nextHeld() != nil, next != nil && next.isOvertaken():
			st.abandon(next)
		case next != nil:
			return next, 0
		case st.onlyFromCopy:
			st.onlyFromCopy = false // no copy can be used: the stream stays at its engine
		case !st.awaitHeld():
			return nil, reason
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

// searchBesideHeld is search, which ends early once the stream goes on with a held run. Nothing
// else touches the stream meanwhile.
func (st *streamRelay) searchBesideHeld() (*run, result.Code) {
	st.heldEngines = nil
	for _, r := range st.held {
		st.heldEngines = append(st.heldEngines, r.server.ID)
	}
	st.skipHeldEngines()
	caller := st.q.ctx
	ctx, cancel := context.WithCancel(caller)
	st.q.ctx = ctx
	defer func() { st.q.ctx = caller }()
	var next *run
	var reason result.Code
	done := make(chan struct{})
	go func() {
		defer close(done)
		next, reason = st.search()
	}()
	for {
		select {
		case <-done:
			if next == nil {
				cancel()
				return nil, reason
			}
			st.searches = append(st.searches, cancel) // the run lasts no longer than ctx
			st.noteOpened(next)
			return next, reason
		case <-st.ready:
			if st.nextHeld() != nil {
				cancel()
			}
		}
	}
}

// clearSkip makes all engines a choice again, but those of held runs.
func (st *streamRelay) clearSkip() {
	clear(st.skip)
	st.skipHeldEngines()
}

func (st *streamRelay) skipHeldEngines() {
	for _, id := range st.heldEngines {
		st.skip[id] = true
	}
}

// endSearches ends the contexts of all searches.
func (st *streamRelay) endSearches() {
	for _, cancel := range st.searches {
		cancel()
	}
}

// abandon ends a run that was started while the stream went on with a held one.
func (st *streamRelay) abandon(r *run) {
	if r == nil {
		return
	}
	st.count(r)
	st.copyUsed(r.from)
	r.close(endOvertaken)
}

// awaitHeld waits for a held run until the next search. It returns false if there is nothing
// left to wait for.
func (st *streamRelay) awaitHeld() bool {
	st.dropExpiredHeld()
	if len(st.held) == 0 || st.q.ctx.Err() != nil {
		return false
	}
	next := time.NewTimer(min(heldSearchInterval, time.Until(st.held[0].heldUntil())))
	defer next.Stop()
	select {
	case <-next.C:
	case <-st.ready:
	case <-st.q.ctx.Done():
		return false
	}
	return true
}

// goOnWith makes a held run the stream's current one again.
func (st *streamRelay) goOnWith(r *run) {
	st.h.Stats.HeldRunsGoOn.Inc()
	spoke := r.heldState() == heldSpoke
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Int("sends", st.sends).Bool("spoke", spoke).Msg("held run goes on")
	st.unhold(r)
	st.h.opts.SuspectContents.heard(r.server)
	if !r.engineAnswers.Swap(false) {
		st.h.probeRevived(r.server)
	}
	for _, other := range slices.Clone(st.held) {
		if other.engineAnswers.Load() && other.heldState() == heldSilent {
			st.closeHeld(other, "another engine answers", endBroken)
		}
	}
	r.lastHeard = time.Now()
	st.lostAt, st.lostZone, st.lastCopy = time.Time{}, "", backupCopy{}
	st.clearSkip()
	r.died = st.h.opts.Fleet.Died(r.server)
	r.suspected = st.h.opts.Fleet.Suspected(r.server)
	st.countAt(r.server)
	if r.forwarded > 0 {
		r.reportRun()
	}
}

// searchedFor returns how long the stream has had no engine that sends events.
func (st *streamRelay) searchedFor() time.Duration {
	if st.lostAt.IsZero() {
		return 0
	}
	return time.Since(st.lostAt)
}
