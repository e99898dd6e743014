package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Rollouts gives a Handler the state of the roll-outs, and the Recorder of its
// observations of them.
type Rollouts struct {
	State    func() *rollout.State
	Recorder *rollout.Recorder
}

// NewRollouts returns a Rollouts without any roll-out.
func NewRollouts() *Rollouts {
	none := &rollout.State{}
	return &Rollouts{State: func() *rollout.State { return none }, Recorder: rollout.NewRecorder(time.Now)}
}

// chooseVersion chooses the version that a new request goes to.
func (h *Handler) chooseVersion(q *request) {
	if q.origin != nil {
		return // it reconnects to a stream
	}
	r := h.opts.Rollouts
	q.versionChoice = r.State().Choose(q.service.Name, q.route.Name, rand.Float64())
	r.Recorder.Request(q.service.Name, q.route.Name, q.versionChoice)
}

// recheckVersion chooses the version again if the roll-out has advanced since, or if the
// request has failed on a version that is on trial.
func (h *Handler) recheckVersion(q *request, failed bool) {
	state := h.opts.Rollouts.State()
	if failed && q.versionChoice.Target || !state.Allows(q.service.Name, q.versionChoice) {
		q.versionChoice = state.Fallback(q.service.Name, q.versionChoice)
	}
}

// leaveTrialVersion moves a request whose version has no usable server off the trial, unless it is
// a stream that has begun. It reports whether there is another version to use.
func (h *Handler) leaveTrialVersion(q *request) bool {
	if !q.versionChoice.Target || q.origin != nil {
		return false
	}
	back := h.opts.Rollouts.State().Fallback(q.service.Name, q.versionChoice)
	if back.Only == q.versionChoice.Only {
		return false
	}
	q.versionChoice = back
	return true
}

// trackAnswer begins to track a server's answer to a request that is about to be sent.
func (h *Handler) trackAnswer(q *request, s *upstream.Server) rollout.Ticket {
	recorder := h.opts.Rollouts.Recorder
	recorder.Sent(q.service.Name, q.versionChoice)
	return recorder.Begin(q.service.Name, q.route.Name, q.versionChoice, s.ID)
}

// noteAnswer records the result of a call for the roll-out. A server that was too slow
// counts with the time that it was given.
func (h *Handler) noteAnswer(t rollout.Ticket, q *request, s *upstream.Server, r *reply) {
	recorder := h.opts.Rollouts.Recorder
	switch {
	case r.outcome == sendAnswered:
		recorder.End(t, isFailure(r.resp), h.opts.Fleet.SlowForNow(s))
	case r.fault == faultSlow, errors.Is(q.ctx.Err(), context.DeadlineExceeded):
		recorder.End(t, false, h.opts.Fleet.SlowForNow(s))
	default:
		recorder.Drop(t)
	}
}

// isFailure reports whether a server's own answer is a failure.
func isFailure(resp *http.Response) bool { return resp.StatusCode >= http.StatusBadRequest }

// trackFirstEvent begins to track the run's first event. A run that resumes after an
// event, or from a copy, has less to prefill and is not tracked.
func (r *run) trackFirstEvent() {
	q, recorder := r.st.q, r.st.h.opts.Rollouts.Recorder
	if !r.fromStart || r.from != nil {
		recorder.Sent(q.service.Name, q.versionChoice)
		return
	}
	r.ticket = r.st.h.trackAnswer(q, r.server)
}

// notePace records how fast a run's first events came, for the roll-out under way. With a
// slow version, the end of the run would come too late for the decision.
func (r *run) notePace() {
	q, fleet := r.st.q, r.st.h.opts.Fleet
	if !r.fromStart || r.from != nil || fleet.SlowForNow(r.server) {
		return
	}
	r.st.h.opts.Rollouts.Recorder.Pace(q.service.Name, q.route.Name, q.versionChoice, r.server.ID, time.Since(r.firstEventAt)/time.Duration(r.forwarded-1))
}
