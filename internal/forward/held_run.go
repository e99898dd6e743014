package forward

import (
	"context"
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
)

// silent logs that the engine of a run is silent, and returns how the run ended.
func (r *run) silent(why string) runEnd {
	r.silence = why
	r.st.h.opts.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Str("reason", why).Msg("run held")
	return endSilent
}

// spoke reports whether the engine of a held run has sent something. broke reports that its
// connection has ended instead.
func (r *run) spoke() (spoke, broke bool) {
	res, ok := r.results.peek()
	return ok && res.err == nil, ok && res.err != nil
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

// hold keeps a run open whose engine is silent.
func (st *streamRelay) hold(r *run) {
	st.h.Stats.RunsHeld.Inc()
	st.count(r)
	st.leave(r)
	r.heldAt = time.Now()
	st.held = append(st.held, r)
}

// heldRunSpeaks reports whether the engine of a held run has sent something.
func (st *streamRelay) heldRunSpeaks() bool { return st.speakingRun() != nil }

// speakingRun returns the first held run whose engine has sent something; nil: none has. It
// closes the held runs whose connections have ended.
func (st *streamRelay) speakingRun() *run {
	var speaking *run
	for _, r := range slices.Clone(st.held) {
		spoke, broke := r.spoke()
		switch {
		case broke:
			st.h.probeForDeath(r.server, r.content, true)
			st.closeHeld(r, "connection ended")
		case spoke && speaking == nil:
			speaking = r
		}
	}
	return speaking
}

// releaseHeld closes all held runs.
func (st *streamRelay) releaseHeld(why string) {
	for _, r := range slices.Clone(st.held) {
		st.closeHeld(r, why)
	}
}

func (st *streamRelay) closeHeld(r *run, why string) {
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Dur("held", time.Since(r.heldAt)).Str("reason", r.silence).
		Str("closed", why).Msg("run lost")
	st.unhold(r)
	r.close(endBroken)
}

func (st *streamRelay) unhold(r *run) {
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
// that speaks first. It returns nil and the reason if there is none.
func (st *streamRelay) nextRun() (*run, result.Code) {
	for {
		if r := st.speakingRun(); r != nil {
			st.goOnWith(r)
			return r, 0
		}
		if len(st.held) == 0 {
			return st.search()
		}
		next, reason := st.searchBesideHeld()
		switch {
		case st.heldRunSpeaks():
			st.abandon(next)
		case next != nil:
			return next, 0
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

// searchBesideHeld is search, which ends early once a held run speaks. Nothing else touches the
// stream meanwhile.
func (st *streamRelay) searchBesideHeld() (*run, result.Code) {
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
			return next, reason
		case <-st.ready:
			if st.heldRunSpeaks() {
				cancel()
			}
		}
	}
}

// endSearches ends the contexts of all searches.
func (st *streamRelay) endSearches() {
	for _, cancel := range st.searches {
		cancel()
	}
}

// abandon ends a run that was started while a held one spoke.
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
	if st.q.ctx.Err() != nil || len(st.held) == 0 {
		return false
	}
	first := st.held[0]
	left := time.Until(first.heldUntil())
	if left <= 0 {
		st.closeHeld(first, "silent for too long")
		return len(st.held) > 0
	}
	next := time.NewTimer(min(heldSearchInterval, left))
	defer next.Stop()
	select {
	case <-next.C:
	case <-st.ready:
	case <-st.q.ctx.Done():
		return false
	}
	return len(st.held) > 0
}

// goOnWith makes a held run the stream's current one again.
func (st *streamRelay) goOnWith(r *run) {
	st.h.Stats.HeldRunsGoOn.Inc()
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Int("sends", st.sends).Msg("held run goes on")
	st.unhold(r)
	st.h.opts.SuspectContents.heard(r.server)
	st.h.probeRevived(r.server)
	st.lostAt, st.lostZone, st.lastCopy = time.Time{}, "", backupCopy{}
	clear(st.skip)
	r.died = st.h.opts.Fleet.Died(r.server)
	r.suspected = st.h.opts.Fleet.Suspected(r.server)
	st.countAt(r.server)
}

// searchedFor returns how long the stream has had no engine that sends events.
func (st *streamRelay) searchedFor() time.Duration {
	if st.lostAt.IsZero() {
		return 0
	}
	return time.Since(st.lostAt)
}
