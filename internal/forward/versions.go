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

// Rollouts is what a Handler needs to know of roll-outs, and where it notes what it
// observes of them.
type Rollouts struct {
	State func() *rollout.State
	Book  *rollout.Recorder
}

// NewRollouts returns a Rollouts of no roll-outs.
func NewRollouts() *Rollouts {
	none := &rollout.State{}
	return &Rollouts{State: func() *rollout.State { return none }, Book: rollout.NewRecorder(time.Now)}
}

// chooseVersion decides which version a request that has just come goes to.
func (h *Handler) chooseVersion(q *request) {
	r := h.o.Rollouts
	q.choice = r.State().Choose(q.service.Name, q.route.Name, rand.Float64())
	r.Book.Request(q.service.Name, q.route.Name, q.choice)
}

// recheckVersion chooses again where a roll-out has gone on since, or where the request
// has failed on a version that is on trial.
func (h *Handler) recheckVersion(q *request, failed bool) {
	state := h.o.Rollouts.State()
	if failed && q.choice.Target || !state.Allows(q.service.Name, q.choice) {
		q.choice = state.Fallback(q.service.Name, q.choice)
	}
}

// leaveTrial has a request whose version has no server go where the others go. It
// reports whether there is another version to go to.
func (h *Handler) leaveTrial(q *request) bool {
	if !q.choice.Target {
		return false
	}
	back := h.o.Rollouts.State().Fallback(q.service.Name, q.choice)
	if back.Only == q.choice.Only {
		return false
	}
	q.choice = back
	return true
}

// watchAnswer begins to watch for a server's answer to a request that is about to be
// sent.
func (h *Handler) watchAnswer(q *request, s *upstream.Server) rollout.Ticket {
	book := h.o.Rollouts.Book
	book.Sent(q.service.Name, q.choice)
	return book.Begin(q.service.Name, q.route.Name, q.choice, s.ID)
}

// noteAnswer tells what came of a call. A server that was given up for being slow counts
// with the time that it had.
func (h *Handler) noteAnswer(t rollout.Ticket, q *request, s *upstream.Server, r *reply) {
	book := h.o.Rollouts.Book
	switch {
	case r.sent == answered:
		book.End(t, isFailure(r.resp), h.o.Fleet.Cold(s))
	case r.fault == faultSlow, errors.Is(q.ctx.Err(), context.DeadlineExceeded):
		book.End(t, false, h.o.Fleet.Cold(s))
	default:
		book.Drop(t)
	}
}

// isFailure reports whether a server's own answer is a failure.
func isFailure(resp *http.Response) bool { return resp.StatusCode >= http.StatusBadRequest }

// watch begins to watch for the run's first event. One that goes on behind others, or
// from a copy, has less to read.
func (r *run) watch() {
	q, book := r.st.q, r.st.h.o.Rollouts.Book
	if !r.fresh || r.from != nil {
		book.Sent(q.service.Name, q.choice)
		return
	}
	r.watched = r.st.h.watchAnswer(q, r.server)
}

// notePace notes how fast a run's first events came, for the roll-out under way. At a
// version that is slow the whole run would end too late to tell.
func (r *run) notePace() {
	q, fleet := r.st.q, r.st.h.o.Fleet
	if !r.fresh || r.from != nil || fleet.Cold(r.server) {
		return
	}
	r.st.h.o.Rollouts.Book.Pace(q.service.Name, q.route.Name, q.choice, r.server.ID, time.Since(r.firstAt)/time.Duration(r.passed-1))
}
