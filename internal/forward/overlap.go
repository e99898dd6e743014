package forward

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The failure pattern is a request that two engines work on. One falls silent, or makes no events
// while it answers probes, and the request goes on at another one, which may take a second or more to
// make the next event. If the run before stayed open until then, both engines would work on the
// request, and the first one's room and the copy would be lost to others.
//
// Sending the request elsewhere therefore decides: the run before ends once the other engine answers
// with a resume from a copy, and after maxOverlap in any case. Only an engine that refuses the
// request within that time, or gives no sign of life at all, does not count, since the request does
// not run there. The run before then stays, so that a silence alone ends no answer. If the request
// may not be sent once more, the later run stays, whose engine has been silent for less long.
//
// An engine whose answers do not arrive works on a request without a sign of life, and two engines then
// have it. While a run is held, the request is therefore sent only to an engine that answers a probe.
//
// Without a copy the other engine prefills the prompt again. If the engine before is back within
// maxOverlap, its run is worth more, and the other one ends.

// maxOverlap bounds how long two engines may work on one request. It leaves time for a refusal to
// come, and the rest of 400 ms for the close to reach the engine before.
const maxOverlap = 270 * time.Millisecond

// lifeCheckTimeout bounds the probes of the second engine: the one before the request is sent there, and
// the one whose result decides after maxOverlap.
const lifeCheckTimeout = maxOverlap - 20*time.Millisecond

// noteOpened records that a run was started, if its connection is open. If another run is held, one
// of the two ends after maxOverlap.
func (st *streamRelay) noteOpened(r *run) {
	if r == nil || r.conn == nil {
		return
	}
	st.open = append(st.open, r)
	if st.held != nil {
		r.lifeCheck = st.h.checkLife(r.server, r.writtenAt)
		r.wakeIn(maxOverlap - time.Since(r.writtenAt))
	}
}

// wakeIn has the stream look at its runs after a time.
func (r *run) wakeIn(d time.Duration) { time.AfterFunc(d, r.st.wake) }

// isOvertaken ends one of two runs if both have been open for too long. It reports whether the stream
// goes on with the held one in place of this one.
func (r *run) isOvertaken() bool {
	st := r.st
	goesOn, late := st.heldGoesOn(), time.Since(r.writtenAt)-maxOverlap
	switch {
	case st.held == nil:
		return false
	case late < 0:
		return goesOn && r.from == nil
	case r.lifeCheck.showsLife():
	case late >= maxTimerDelay && !r.stallExcused: // this VM stalled, and may not have read the answer
		r.stallExcused = true
		r.wakeIn(stallReadTime)
		return false
	case goesOn || st.q.history.MayRunAgain():
		r.lifeCheck.judge()
		return true
	}
	st.leaveHeld("another engine has the request")
	return false
}

// leaveHeld closes the held run, since another engine has the request.
func (st *streamRelay) leaveHeld(why string) {
	if st.held != nil {
		st.lostAt, st.leftHeld = time.Time{}, true
	}
	st.releaseHeld(why, endBroken)
}

// answersBeforeSend reports whether a server answers now, if a run is held. It returns false at once if
// the search for a server ends.
func (st *streamRelay) answersBeforeSend(s *upstream.Server) bool {
	if st.heldEngine == "" {
		return true
	}
	st.h.Stats.Probes.Inc()
	p := st.h.prober.startWithin(s, lifeCheckTimeout)
	select {
	case <-p.done:
	case <-st.q.ctx.Done():
		return false
	}
	if p.alive || p.withheld || p.reset {
		return true
	}
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", s.ID).Bool("replaced", p.replaced).
		Msg("engine does not answer; the request is not sent there")
	if !p.replaced {
		st.h.judgeDead(s, p, false)
	}
	return false
}

// lifeCheck tells whether a server shows life once a request was written there.
type lifeCheck struct {
	h         *Handler
	server    *upstream.Server
	writtenAt time.Time
	probe     *probe // its answer is a sign of life
}

func (h *Handler) checkLife(s *upstream.Server, writtenAt time.Time) *lifeCheck {
	h.Stats.Probes.Inc()
	return &lifeCheck{h: h, server: s, writtenAt: writtenAt, probe: h.prober.startWithin(s, lifeCheckTimeout)}
}

// showsLife reports whether anything has come from the server since the request was written. One that
// resets the probe is at its limit of connections, and the connection of the request stands.
func (c *lifeCheck) showsLife() bool {
	return c.h.heardSince(c.server, c.writtenAt) || isClosed(c.probe.done) && c.probe.reset
}

// heardSince reports whether anything has come from a server since a moment.
func (h *Handler) heardSince(s *upstream.Server, moment time.Time) bool {
	return h.opts.Fleet.SilentFor(s) <= time.Since(moment)
}

// judge judges the server dead if it has not answered the probe.
func (c *lifeCheck) judge() {
	if p := c.probe; isClosed(p.done) && !p.alive && !p.withheld {
		c.h.judgeDead(c.server, p, false)
	}
}

// noteClosed records that the connection of a run is closed, and for how long another run of the
// stream was open beside it.
func (st *streamRelay) noteClosed(r *run) {
	i := slices.Index(st.open, r)
	if i < 0 {
		return
	}
	st.open = slices.Delete(st.open, i, i+1)
	for _, other := range st.open {
		st.noteOverlap(r, other)
	}
}

func (st *streamRelay) noteOverlap(closed, kept *run) {
	second := kept
	if closed.writtenAt.After(kept.writtenAt) {
		second = closed
	}
	overlap := time.Since(second.writtenAt)
	st.h.Stats.RunOverlap.Update(overlap.Seconds())
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("closed", closed.server.ID).Str("kept", kept.server.ID).
		Str("second", second.server.ID).Bool("from_copy", second.from != nil).Bool("taken", !second.takenAt.IsZero()).
		Bool("closed_answers", closed.engineAnswers.Load()).Dur("overlap", overlap).Msg("one of two runs ended")
}
