package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Constants of calls.
const (
	// hedgeShare is the part of the objective after which an unanswered idempotent call
	// goes to another server, which can still answer within the objective.
	hedgeShare = 0.7
	// minHedgeDelay keeps short delays of a busy VM from being taken for silence.
	minHedgeDelay = 60 * time.Millisecond
	// maxHoldShare is the part of the objective for which a request that no server
	// accepts is held. A caller that is refused early can still be served in time
	// elsewhere.
	maxHoldShare = 0.125
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. A server's
	// queue moves within some tens of ms; a lost server is replaced in seconds.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxSends bounds the sends of one request, however they end.
	maxSends = 8
)

// serveCall carries a request that has a single answer.
func (h *Handler) serveCall(w http.ResponseWriter, q *request) {
	skip := map[string]bool{}
	var failure *reply // a server's own failure, delivered if no other server succeeds
	q.held = newHeldCalls(h, q)
	defer q.held.release()
	ended := h.durations.Begin(q.route.Name, time.Now())
	defer func() { ended(time.Now(), q.history.arrivals > 0) }()
	for sends := 0; ; {
		if h.deliverHeld(w, q, &failure) {
			return
		}
		choice, code := h.nextServer(q, skip, sends)
		s := choice.server
		if s == nil {
			if q.held.await() {
				continue
			}
			if !h.deliverHeld(w, q, &failure) {
				h.endCall(w, q, failure, code)
			}
			return
		}
		sends++
		r := h.sendCall(q, &choice)
		if h.deliverHeld(w, q, &failure) {
			return
		}
		q.history.Add(r.outcome)
		h.logSend(q, s, &r)
		if r.fault != faultWithheld {
			skip[s.ID] = true
		}
		if q.ctx.Err() != nil {
			h.endCall(w, q, failure, result.RouteTimeout)
			return
		}
		if r.outcome == sendAnswered {
			if r.isUsable() || !q.history.MaySend() {
				observe(h.Stats.CallTime, q.arrived)
				h.deliver(w, q, &r)
				return
			}
			failure = &r
		}
	}
}

// deliverHeld settles the held calls that have ended, and delivers a usable answer. It reports
// whether there was one. failure is set to a server's own failure.
func (h *Handler) deliverHeld(w http.ResponseWriter, q *request, failure **reply) bool {
	for late := q.held.next(); late != nil; late = q.held.next() {
		q.held.settle(late)
		if late.reply.isUsable() {
			observe(h.Stats.CallTime, q.arrived)
			h.deliver(w, q, late.reply)
			return true
		}
		if late.reply.outcome == sendAnswered {
			*failure = late.reply
		}
	}
	return false
}

// nextServer chooses the server for the next send of a call, if it may be sent. If there is none,
// it returns the reason.
func (h *Handler) nextServer(q *request, skip map[string]bool, sends int) (serverChoice, result.Code) {
	if !q.history.MaySend() {
		return serverChoice{}, result.OutcomeUnknown
	}
	if !h.admitsContent(q, q.holdUntil()) {
		return serverChoice{}, result.ContentHeldBack
	}
	h.recheckVersion(q, sends > 0)
	return h.chooseServer(q, skip, sends)
}

// logSend logs the result of one send.
func (h *Handler) logSend(q *request, s *upstream.Server, r *reply) {
	log, status := h.opts.Log, 0
	if r.resp != nil {
		status = r.resp.StatusCode
	}
	if r.outcome == sendAnswered && status < http.StatusInternalServerError && q.history.arrivals == 1 {
		log = h.opts.RoutineLog
	}
	log.Info().Str("request", q.RequestID).Uint64("digest", q.digest).Str("route", q.route.Name).Str("server", s.ID).Str("sent", r.outcome.String()).
		Str("fault", r.fault.String()).Str("cause", r.cause).Int("status", status).Bool("signed", r.answer.Signed).Int("arrivals", q.history.arrivals).
		Dur("held", time.Since(q.arrived)).Msg("call sent")
}

// serverChoice is the server for the next send of a call.
type serverChoice struct {
	server *upstream.Server // nil: there is none
	load   float64          // with this call, as a part of the server's slots
	permit backpressure.Permit
	// granted reports that a control VM granted the server. The call counts as in flight there
	// until it is ended.
	granted bool
}

// chooseServer chooses the server for the next send. If there is none, it returns the
// reason.
func (h *Handler) chooseServer(q *request, skip map[string]bool, sends int) (serverChoice, result.Code) {
	if sends >= maxSends {
		return serverChoice{}, result.BackendsFull
	}
	for {
		if h.cannotFinish(q) {
			q.setRetryAfter(otherRouterRetryAfter)
			return serverChoice{}, result.ShuttingDown
		}
		servers, candidates := h.opts.Fleet.CallCandidates(q.service.Name, q.versionChoice.Versions, skip)
		i, load := placement.ChooseServer(candidates, h.opts.Zone, rand.IntN)
		switch {
		case i < 0 && h.leaveTrialVersion(q):
			continue
		case i < 0 && h.holdUntilAccepted(q, skip):
			continue
		case i < 0 && q.retryAfterSet:
			return serverChoice{}, result.BackendsWithheld
		case i < 0 && len(skip) > 0:
			return serverChoice{}, result.BackendsFull
		case i < 0:
			return serverChoice{}, result.NoBackendServer
		}
		if h.asksForGrant(q, load) {
			choice, code, decided := h.grantCall(q, skip, servers)
			if !decided {
				continue
			}
			return choice, code
		}
		if h.opts.Fleet.IsFragile(q.service.Name) {
			servers, candidates = upstream.WithoutUngranted(h.opts.Fleet, servers, candidates)
			if i, load = placement.ChooseServer(candidates, h.opts.Zone, rand.IntN); i < 0 {
				if !h.holdForRoom(q) {
					return serverChoice{}, result.DeadlineTooSoon
				}
				continue
			}
		}
		w := admission.CallWait{Load: load, ServiceTime: h.opts.Fleet.ServiceTime(servers[i]), Objective: q.route.Objective, Held: time.Since(q.arrived)}
		switch w.Decide() {
		case admission.HoldCall:
			if timer.Sleep(q.ctx, callHoldInterval) != nil {
				return serverChoice{}, result.RouteTimeout
			}
			h.recheckVersion(q, false)
			continue
		case admission.RefuseCall:
			q.setRetryAfter(w.RetryAfter(rand.Float64()))
			return serverChoice{}, result.DeadlineTooSoon
		case admission.SendCall:
		}
		permit, ok := h.gate.reserve(q.ctx, servers[i], backpressure.NewWork)
		if !ok {
			continue
		}
		if q.history.IsRetry() && !h.mayRetry(q, InTime) {
			return serverChoice{}, result.RetriesSpent
		}
		return serverChoice{server: servers[i], load: load, permit: permit}, 0
	}
}

// holdForRoom waits for room at a server, if the call may be held for it.
func (h *Handler) holdForRoom(q *request) bool {
	hold := time.Duration(maxHoldShare * float64(q.dueTime().Sub(q.arrived)))
	return time.Since(q.arrived) < hold && timer.Sleep(q.ctx, callHoldInterval) == nil
}

// holdUntilAccepted waits until one of the withheld servers accepts requests again, if the call
// may be held that long. Otherwise it sets when the caller may retry. It returns false at
// once if no server is withheld.
func (h *Handler) holdUntilAccepted(q *request, skip map[string]bool) bool {
	at := h.opts.Fleet.AcceptedAgainAt(q.service.Name, q.versionChoice.Versions, skip)
	if at.IsZero() {
		return false
	}
	wait := max(0, time.Until(at))
	if hold := maxHoldShare * float64(q.dueTime().Sub(q.arrived)); time.Since(q.arrived)+wait <= time.Duration(hold) {
		return timer.Sleep(q.ctx, wait) == nil
	}
	q.setRetryAfter(admission.SpreadRetry(wait, rand.Float64()))
	return false
}

// callHoldInterval separates two searches for a server that can answer in time.
const callHoldInterval = 8 * time.Millisecond

// sendCall sends a call to one server and records what the result says about the
// server.
func (h *Handler) sendCall(q *request, c *serverChoice) reply {
	s, use := c.server, placement.Usage{Requests: 1}
	h.opts.Fleet.Take(s, use)
	end := h.beginCall(q, c)
	began := time.Now()
	ticket := h.trackAnswer(q, s)
	q.status.noteSent(s.ID)
	r, run := h.exchangeWatched(q, c)
	h.opts.Fleet.Release(s, use)
	end(&r, time.Since(began))
	h.noteSendResult(q, s, &r, began, run)
	h.noteAnswer(ticket, q, s, &r) // after the answer's load: it tells whether the duration counts
	if r.flight != nil {
		q.held.hold(&heldCall{flight: r.flight, server: s, run: run, began: began})
	}
	return r
}

// exchangeWatched sends a call and records its content as running on the server meanwhile.
func (h *Handler) exchangeWatched(q *request, c *serverChoice) (reply, *contentRun) {
	contents := h.opts.SuspectContents
	alive := q.trial == nil || h.answersProbe(c.server)
	run := contents.began(c.server, q.digest, q.trial != nil)
	if !alive {
		contents.forget(run)
		return reply{outcome: sendNotSent, fault: faultDial}, run
	}
	r := h.exchange(q, c.server, c.permit, Send{}, h.hedgeDelay(q, c.load))
	if r.flight == nil {
		h.endContentRun(c.server, run, &r)
	}
	return r, run
}

// endContentRun ends the record of a content on a server.
func (h *Handler) endContentRun(s *upstream.Server, run *contentRun, r *reply) {
	contents := h.opts.SuspectContents
	switch r.outcome {
	case sendUnknown:
		contents.abandon(run)
		return
	case sendAnswered, sendRefused:
		contents.heard(s)
	case sendNotSent:
	}
	contents.forget(run)
}

// hedgeDelay returns how long a call waits for the answer of one server before it is sent
// to another. 0 means that it stays at the server until the request's deadline. A call
// stays if it may not run once more, if its route has no objective, or if it has to queue
// at the server (load above 1). The server is the least loaded candidate. If the call
// moved, it would queue again elsewhere, and the first server would still run it for
// nothing. A suspect content would run on both servers at once, and could end both.
func (h *Handler) hedgeDelay(q *request, load float64) time.Duration {
	mayMove := q.history.MayRunAgain() && !h.opts.SuspectContents.isSuspect(q.digest)
	if !mayMove || load > 1 || q.route.Objective <= 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeShare*float64(q.route.Objective)))
}

// noteSendResult records what the result of a send says about its server.
func (h *Handler) noteSendResult(q *request, s *upstream.Server, r *reply, began time.Time, run *contentRun) {
	f, took := h.opts.Fleet, time.Since(began)
	switch {
	case q.ctx.Err() != nil && r.outcome == sendUnknown && q.left() <= 0:
		h.probeForDeath(s, run, false) // it may be cut off, which nothing else would show
	case q.ctx.Err() != nil, r.fault == faultDial, r.fault == faultWithheld:
	case r.outcome == sendRefused && r.answer.WrongInstance:
		f.MarkStale(s)
	case r.outcome == sendRefused:
		f.MarkFull(s)
	case r.fault == faultBroken:
		f.Failed(s)
		h.confirmDeath(q, s, run)
	case r.fault == faultSlow, r.fault == faultOvertaken:
		f.Late(s, took)
	case r.resp.StatusCode >= http.StatusInternalServerError:
		f.Failed(s)
	default:
		f.Succeeded(s, took)
		h.opts.SuspectContents.cleared(run, began, q.RequestID)
	}
	if r.resp != nil {
		h.learnLoad(s, &r.answer)
	}
}

// endCall gives the final answer to a call that no server has served.
func (h *Handler) endCall(w http.ResponseWriter, q *request, failure *reply, code result.Code) {
	switch {
	case failure != nil:
		h.deliver(w, q, failure)
	case q.cutOff.Load():
		h.giveUp(w, q, result.ShuttingDown)
	case q.left() > 0 && q.ctx.Err() != nil:
		h.endGone()
	default:
		h.giveUp(w, q, code)
	}
}

// endGone aborts the connection of a caller that has left. One that closed only its sending
// direction counts as gone too and still reads: a regular end would make what it has of the
// answer, or an empty one, look complete.
func (h *Handler) endGone() {
	h.Stats.CallersGone.Inc()
	panic(http.ErrAbortHandler)
}

// setRetryAfter sets when the refused caller may retry; 0: a retry is of no use.
func (q *request) setRetryAfter(retryAfter time.Duration) {
	q.retryAfterSet, q.retryAfter = true, retryAfter
}

// retryDelay returns when a refused caller may retry. Unless the refusal set a time, it
// is half of the route's objective, and at most a quarter of the caller's remaining
// time: a later retry could not be served any more.
func (q *request) retryDelay() time.Duration {
	if q.retryAfterSet {
		return q.retryAfter
	}
	d := min(q.route.Objective/2, q.left()/4)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// deliver forwards a server's answer unchanged, unless its status would have the caller repeat a
// request that must run once. Such a failure is replaced by one without the server's signature.
func (h *Handler) deliver(w http.ResponseWriter, q *request, r *reply) {
	if !q.history.repeatable && promisesNotRun(r.resp.StatusCode) {
		r.memory.Close()
		h.giveUp(w, q, result.BackendFailed)
		return
	}
	h.copyHeaders(q.ctx, w, r.resp)
	if r.resp.StatusCode != http.StatusNoContent && r.resp.StatusCode != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	}
	w.WriteHeader(r.resp.StatusCode)
	r.memory.OnEnd(func() { resulthttp.EndWrites(w) })
	err := writePieces(w, r)
	if r.memory.Close() {
		h.Stats.refused(result.CallerTooSlow)
	}
	if err != nil {
		h.Stats.CallersGone.Inc()
	}
}

// promisesNotRun reports whether a status tells a caller that its request has not run, so that the
// caller sends it again. A server may answer with such a status although it has run the request.
// A misdirected request is not among them: no server runs it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writePieces writes the body of an answer, and gives up the memory of what was written.
func writePieces(w http.ResponseWriter, r *reply) error {
	for i, piece := range r.body {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		r.body[i] = nil
		r.memory.Add(-len(piece))
	}
	return nil
}

// copyHeaders copies the server's end-to-end headers.
func (h *Handler) copyHeaders(ctx context.Context, w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	for name, values := range endToEnd(resp.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing it from the body
	}
	if h.closesConnection(ctx) {
		header.Set("Connection", "close")
	}
}
