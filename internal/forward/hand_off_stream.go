package forward

import (
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The failure pattern is the end of a VM that serves streams for another one: it is stopped as
// planned, killed, or cut off from the engines itself. Its streams could go on at other engines,
// but the VM that holds their callers would abort them.
//
// Therefore that VM keeps track of the events that it passes on, and goes on with the stream
// after the last of them: itself if it reaches the engines again, or through another VM.

// handOffRetryPause separates two searches for a VM that goes on with a stream.
const handOffRetryPause = 50 * time.Millisecond

// handOffStream has other VMs serve a stream.
func (h *Handler) handOffStream(w http.ResponseWriter, q *request) {
	r := newRelayedStream(h, q, w)
	defer r.memory.Close()
	r.seq = sequence{last: q.After, started: q.HasAfter}
	h.relayStream(w, q, r, time.Now())
}

// relayStream has other VMs serve what the caller lacks of a stream, one after the other. lostAt is
// when the stream lost its engine or VM.
func (h *Handler) relayStream(w http.ResponseWriter, q *request, r *relayedStream, lostAt time.Time) {
	for isRetry := false; q.ctx.Err() == nil; {
		if isRetry && !h.mayRetry(q, InTime) {
			h.endHandOff(w, q, r, result.RetriesSpent)
			return
		}
		isRetry = false
		switch r.serve() {
		case handoff.Answered:
			return
		case handoff.CallerLeft:
			h.endGone()
		case handoff.NotTaken:
			if !r.begun() {
				h.refuseHandOff(w, q)
				return
			}
		case handoff.Broken, handoff.Lost:
			q.history.Add(sendUnknown)
			isRetry, lostAt = true, time.Now()
			q.reconnectAfter(r.seq)
			if !r.mayGoOn() {
				h.endHandOff(w, q, r, result.OutcomeUnknown)
				return
			}
		}
		if !h.mustHandOff(q) {
			h.goOnWithStream(w, q, r, lostAt)
			return
		}
		if time.Since(lostAt) > maxResumeSearch || timer.Sleep(q.ctx, handOffRetryPause) != nil {
			break
		}
	}
	h.endHandOff(w, q, r, result.RouteTimeout)
}

// handOffRest has other VMs go on with a stream that has lost its engine, if this VM reaches none
// any more. It reports whether the caller has its final answer.
func (st *streamRelay) handOffRest() bool {
	h, q := st.h, st.q
	if q.ctx.Err() != nil || !h.mustHandOff(q) || st.cannotFinish() {
		return false
	}
	r := newRelayedStream(h, q, st.w)
	defer r.memory.Close()
	r.seq, r.headSent, r.events, r.lastEventAt = st.seq, st.headSent, st.events, st.lastEventAt
	if !r.mayGoOn() || q.history.IsRetry() && !h.mayRetry(q, InTime) {
		return false
	}
	st.releaseHeld("another VM goes on with the stream", endBroken)
	h.opts.Log.Info().Str("request", q.RequestID).Uint64("after", st.seq.last).Int("sends", st.sends).
		Dur("searched", st.searchedFor()).Msg("no engine is reached; handing off the rest of the stream")
	q.reconnectAfter(r.seq)
	h.relayStream(st.w, q, r, time.Now())
	return true
}

// endHandOff gives the final answer to a stream that cannot be finished.
func (h *Handler) endHandOff(w http.ResponseWriter, q *request, r *relayedStream, code result.Code) {
	if r.begun() {
		h.abortHandOff()
	}
	h.endCall(w, q, nil, code)
}

// goOnWithStream serves the rest of a stream that another VM began, at an engine of the version
// that began it.
func (h *Handler) goOnWithStream(w http.ResponseWriter, q *request, r *relayedStream, lostAt time.Time) {
	if q.HasAfter {
		if err := h.reconnect(q); err != nil {
			h.endHandOff(w, q, r, result.CodeOf(err))
			return
		}
	}
	h.chooseVersion(q)
	defer h.endTrial(q)
	st := h.newStreamRelay(w, q)
	if r.begun() {
		st.headSent, st.lostAt, st.lastEventAt = true, lostAt, r.lastEventAt
	}
	st.serve()
}

// relayedStream passes the events of a stream that other VMs serve to its caller. It implements
// http.ResponseWriter for one VM after the other: the caller gets one head, each event once and
// only complete events.
type relayedStream struct {
	h      *Handler
	q      *request
	w      http.ResponseWriter
	memory *memory.Answer // of partial

	header      http.Header // of the present VM's answer
	status      int         // of that answer; 0: it has no head yet
	headSent    bool        // to the caller
	plain       bool        // the answer is no stream of events
	fault       error       // why the present VM's answer is of no use; nil: it is
	seq         sequence
	events      int    // that the caller was sent
	partial     []byte // the beginning of an event
	lastEventAt time.Time
}

func newRelayedStream(h *Handler, q *request, w http.ResponseWriter) *relayedStream {
	m := h.opts.Memory.BeginAnswer(false, func() { resulthttp.EndWrites(w) })
	return &relayedStream{h: h, q: q, w: relayedAnswer{w, h}, memory: m}
}

// begun reports whether the caller has a part of the answer.
func (r *relayedStream) begun() bool { return r.headSent }

// serve has another VM serve what the caller lacks of the stream.
func (r *relayedStream) serve() handoff.Outcome {
	r.header, r.status, r.fault = http.Header{}, 0, nil
	r.memory.Add(-len(r.partial))
	r.partial = nil
	outcome := r.h.serveElsewhere(r.q, r)
	switch {
	case r.fault != nil:
		return handoff.Broken
	case outcome == handoff.Answered && len(r.partial) > 0:
		if _, err := r.w.Write(r.partial); err != nil {
			return handoff.CallerLeft
		}
	}
	return outcome
}

// mayGoOn reports whether the stream may go on after its VM was lost. One whose events have no ids
// cannot.
func (r *relayedStream) mayGoOn() bool {
	return r.q.history.MaySend() && !r.plain && (r.events == 0 || r.seq.started)
}

// reconnectAfter makes a request ask for the events that its caller lacks.
func (q *request) reconnectAfter(s sequence) {
	if !s.started {
		return
	}
	q.After, q.HasAfter = s.last, true
	if q.FirstAttempt == "" {
		q.FirstAttempt = q.RequestID
	}
}

// Header implements http.ResponseWriter.
func (r *relayedStream) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *relayedStream) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.headSent {
		if status != http.StatusOK {
			r.fault = result.New(result.StreamBroken)
		}
		return
	}
	r.headSent, r.plain = true, status != http.StatusOK
	header := r.w.Header()
	for name, values := range r.header {
		header[name] = values
	}
	r.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *relayedStream) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	switch {
	case r.fault != nil:
		return 0, r.fault
	case r.plain:
		return r.w.Write(p)
	}
	if len(r.partial)+len(p) > maxEventBytes {
		r.fault = errEventTooLarge
		return 0, r.fault
	}
	if !r.memory.Add(len(p)) {
		return 0, upstream.ErrNoMemory // the caller's connection is ended
	}
	r.partial = append(r.partial, p...)
	for rest := r.partial; ; {
		e, ok := cutEvent(rest)
		if !ok {
			r.memory.Add(len(rest) - len(r.partial))
			r.partial = append([]byte(nil), rest...)
			return len(p), nil
		}
		rest = rest[len(e.raw):]
		if err := r.pass(e); err != nil {
			return 0, err
		}
	}
}

// pass sends an event that the caller lacks.
func (r *relayedStream) pass(e event) error {
	pass, ok := r.seq.accept(e)
	switch {
	case !ok:
		r.fault = result.New(result.StreamBroken) // an event before it is missing
		return r.fault
	case !pass:
		return nil
	}
	r.seq.advance(e)
	r.events++
	r.q.status.events.Add(1)
	r.lastEventAt = time.Now()
	_, err := r.w.Write(e.raw)
	return err
}

// FlushError sends what was written to the caller.
func (r *relayedStream) FlushError() error { return http.NewResponseController(r.w).Flush() }

// SetWriteDeadline bounds the writes to the caller.
func (r *relayedStream) SetWriteDeadline(t time.Time) error {
	return http.NewResponseController(r.w).SetWriteDeadline(t)
}
