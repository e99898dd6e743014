package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Figures of calls.
const (
	// hedgeShare of the objective: after it an unanswered call that may be repeated
	// goes to another server, which can still answer within the objective.
	hedgeShare = 0.7
	// minHedge keeps chance delays of a busy VM from being taken for silence.
	minHedge = 60 * time.Millisecond
	// refusalShare of the objective is the longest that a call which no server
	// takes is kept: a caller who is told at once can still be served in time.
	refusalShare = 0.125
	// minRetryAfter and maxRetryAfter bound what a refused caller is told: the
	// queue of a server moves in some tens of ms, a lost server is back in seconds.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxSends bounds the sends of one request whatever servers say.
	maxSends = 8
)

// call carries a request that has one answer.
func (h *Handler) call(w http.ResponseWriter, q *request) {
	skip := map[string]bool{}
	var failure *reply // a server's own failure, should nothing better come
	for sends := 0; ; sends++ {
		h.recheckVersion(q, sends > 0)
		s, load, code := h.chooseServer(q, skip, sends)
		if s == nil {
			h.endCall(w, q, failure, code)
			return
		}
		r := h.callAt(q, s, load)
		q.rec.Add(r.sent)
		h.logSend(q, s, &r)
		skip[s.ID] = true
		if q.ctx.Err() != nil {
			h.endCall(w, q, failure, result.RouteTimeout)
			return
		}
		if r.sent == answered {
			if r.resp.StatusCode < http.StatusInternalServerError || !q.rec.MaySend() {
				observe(h.Stats.CallTime, q.arrived)
				h.deliver(w, &r)
				return
			}
			failure = &r
		}
		if !q.rec.MaySend() || h.o.SuspectContents.ForbidsRetry(q.digest) {
			h.endCall(w, q, failure, result.OutcomeUnknown)
			return
		}
	}
}

// logSend tells what came of one send.
func (h *Handler) logSend(q *request, s *upstream.Server, r *reply) {
	log, status := h.o.Log, 0
	if r.resp != nil {
		status = r.resp.StatusCode
	}
	if r.sent == answered && status < http.StatusInternalServerError && q.rec.arrivals == 1 {
		log = h.o.RoutineLog
	}
	log.Info().Str("request", q.RequestID).Str("route", q.route.Name).Str("server", s.ID).Str("sent", r.sent.String()).
		Str("fault", r.fault.String()).Int("status", status).Int("arrivals", q.rec.arrivals).
		Dur("held", time.Since(q.arrived)).Msg("call sent")
}

// chooseServer returns the server for the next send and the part of its slots that is
// then taken, or the reason why there is none.
func (h *Handler) chooseServer(q *request, skip map[string]bool, sends int) (*upstream.Server, float64, result.Code) {
	if sends >= maxSends {
		return nil, 0, result.BackendsFull
	}
	for {
		servers, candidates := h.o.Fleet.CallCandidates(q.service.Name, q.choice.Versions, skip)
		i, load := placement.ChooseServer(candidates, h.o.Zone, rand.IntN)
		switch {
		case i < 0 && h.leaveTrial(q):
			continue
		case i < 0 && len(skip) > 0:
			return nil, 0, result.BackendsFull
		case i < 0:
			return nil, 0, result.NoBackendServer
		}
		w := admission.CallWait{Load: load, ServiceTime: h.o.Fleet.ServiceTime(servers[i]), Objective: q.route.Objective, Held: time.Since(q.arrived)}
		switch w.Decide() {
		case admission.HoldCall:
			if timer.Sleep(q.ctx, callHold) != nil {
				return nil, 0, result.RouteTimeout
			}
			h.recheckVersion(q, false)
			continue
		case admission.RefuseCall:
			q.refuse(w.RetryAfter(rand.Float64()))
			return nil, 0, result.DeadlineTooSoon
		case admission.SendCall:
		}
		if q.rec.IsRetry() && !h.mayRepeat(q, InTime) {
			return nil, 0, result.RetriesSpent
		}
		return servers[i], load, 0
	}
}

// callHold is the pause between two looks for a server that can answer in time.
const callHold = 8 * time.Millisecond

// callAt sends a call to one server and notes what that says about it.
func (h *Handler) callAt(q *request, s *upstream.Server, load float64) reply {
	use := placement.Usage{Requests: 1}
	h.o.Fleet.Take(s, use)
	began := time.Now()
	watched := h.watchAnswer(q, s)
	r := h.exchange(q, s, Send{}, h.patience(q, load))
	h.noteAnswer(watched, q, s, &r)
	h.o.Fleet.Release(s, use)
	h.learn(q, s, &r, time.Since(began))
	return r
}

// patience is how long a call waits at one server where another may be asked. Where it
// waits for a slot already at the least loaded one, it stays: given up there, it would
// wait again elsewhere behind others, and the slot that it gets be worked for nobody.
func (h *Handler) patience(q *request, load float64) time.Duration {
	another := q.rec.repeatable && q.rec.runs+1 < q.rec.maxAttempts
	if !another || load > 1 || q.route.Objective <= 0 {
		return 0
	}
	return max(minHedge, time.Duration(hedgeShare*float64(q.route.Objective)))
}

// learn notes what a send says about its server.
func (h *Handler) learn(q *request, s *upstream.Server, r *reply, took time.Duration) {
	f := h.o.Fleet
	switch {
	case q.ctx.Err() != nil, r.fault == faultDial:
	case r.sent == refused && r.answer.WrongInstance:
		f.MarkStale(s)
	case r.sent == refused:
		f.MarkFull(s)
	case r.fault == faultBreak:
		f.Failed(s)
		h.confirmDeath(q, s, 0)
	case r.fault == faultSlow:
		f.Succeeded(s, took)
		f.Failed(s)
	case r.resp.StatusCode >= http.StatusInternalServerError:
		f.Failed(s)
	default:
		f.Succeeded(s, took)
		h.o.SuspectContents.Clear(q.digest)
	}
	if r.answer.Load >= 0 && r.resp != nil {
		f.SetReportedLoad(s, r.answer.Load)
	}
}

// endCall is the final answer where no server brought a good one.
func (h *Handler) endCall(w http.ResponseWriter, q *request, failure *reply, code result.Code) {
	switch {
	case failure != nil:
		h.deliver(w, failure)
	case q.left() > 0 && q.ctx.Err() != nil:
		h.Stats.CallersGone.Inc()
	default:
		h.giveUp(w, q, code)
	}
}

// refuse notes when the caller may come back, as it was decided with a refusal.
func (q *request) refuse(retryAfter time.Duration) {
	q.refused, q.retryAfter = true, retryAfter
}

// comeBack is when a caller may come again: as it was decided, or soon for a request
// that must be quick, and never so late that it could not be served any more.
func (q *request) comeBack() time.Duration {
	if q.refused {
		return q.retryAfter
	}
	d := min(q.route.Objective/2, q.left()/4)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// deliver passes a server's answer on unchanged.
func (h *Handler) deliver(w http.ResponseWriter, r *reply) {
	h.copyHead(w, r.resp)
	if r.resp.StatusCode != http.StatusNoContent && r.resp.StatusCode != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.resp.StatusCode)
	if _, err := w.Write(r.body); err != nil {
		h.Stats.CallersGone.Inc()
	}
}

// copyHead sets the server's end-to-end headers.
func (h *Handler) copyHead(w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	for name, values := range endToEnd(resp.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // none is guessed from the body
	}
	if h.o.Closing() {
		header.Set("Connection", "close")
	}
}
