package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Bounds of the search for an engine.
const (
	// fullEnginesRetryDelay separates two rounds over engines that were all full.
	fullEnginesRetryDelay = 40 * time.Millisecond
	// maxResumeSearch bounds the search for an engine that resumes a stream. A caller
	// gives up after a pause of two seconds.
	maxResumeSearch = 1500 * time.Millisecond
)

// streamRelay carries one caller's stream, over all engines that it runs on.
type streamRelay struct {
	h    *Handler
	q    *request
	w    http.ResponseWriter
	need placement.Need
	seq  sequence

	headSent      bool       // the head of the answer was sent to the caller
	movedOffLive  bool       // the stream was moved off a live engine, which happens at most once
	leftEngine    string     // id of that engine; empty: none
	lastCopy      backupCopy // backup copy of the last run
	orphanCopy    *Copy      // copy of a run that another router carried; nil: none
	orphanEngine  string     // address of the engine that ran it for that router; empty: not known
	id            RunID
	skip          map[string]bool
	sends         int
	lostAt        time.Time // when the stream lost its engine; zero: it has one
	lostZone      string    // zone of that engine; empty: it has one
	leftHeld      bool      // a held run was closed, since another engine had the request
	lastEventAt   time.Time // when the last event was forwarded
	engineFailure *reply
	engineFailed  bool // an engine answered with a failure of its own

	firstEventAt time.Time     // when the first event was forwarded
	longestPause time.Duration // between two events
	events       int           // forwarded
	waited       time.Duration // total wait for an engine
	countedAt    string        // version at which the stream is counted, valid if endCount is set
	endCount     func()        // ends the count; nil: the stream was not sent

	open []*run // runs whose connections are open, in the order in which they were sent

	// The fields of held runs.
	ready        chan struct{}        // receives a value when results of any run of the stream wait
	held         *run                 // run whose engine is silent; it stays open until the stream goes on; nil: none
	heldEngine   string               // id of its engine, which is no choice for another run
	onlyFromCopy bool                 // the stream leaves a live engine only for a copy of its run
	searches     []context.CancelFunc // end the contexts of the runs that were started beside a held one
}

// runEnd is how a run at one engine ended.
type runEnd uint8

const (
	endComplete    runEnd = iota // the stream is complete
	endNotRun                    // the request was refused, or never sent
	endBroken                    // the engine died or broke off
	endSilent                    // the engine is silent, and the run may still go on
	endOvertaken                 // the held run stays, since this one's engine gave no sign of life
	endPlainAnswer               // the answer is complete, and no stream of events
	endCallerDone                // the caller left, or its deadline passed
)

// serveStream carries a request whose answer is a stream of events.
func (h *Handler) serveStream(w http.ResponseWriter, q *request) {
	h.newStreamRelay(w, q).serve()
}

func (h *Handler) newStreamRelay(w http.ResponseWriter, q *request) *streamRelay {
	st := &streamRelay{
		h: h, q: q, w: w, skip: map[string]bool{}, ready: make(chan struct{}, 1),
		need: placement.Need{Prompt: q.PromptTokens, Output: q.OutputTokens},
		seq:  sequence{last: q.After, started: q.HasAfter},
	}
	st.id = q.runID(h.opts.Wire.PerAttemptHeaders())
	return st
}

// serve sends the stream, or what the caller lacks of it.
func (st *streamRelay) serve() {
	h, q := st.h, st.q
	whole := false
	defer func() { h.activeRuns.drop(q.RequestID, !whole && st.events > 0) }()
	defer st.endCounted()
	st.findOrphan()
	outcome := "cut off"
	defer func() { st.logEnd(outcome) }()
	defer st.endSearches()
	defer st.releaseHeld("the stream ends", endCallerDone)
	for {
		run, reason := st.nextRun()
		if run == nil {
			outcome = "handed off"
			if st.handOffRest() {
				return
			}
			outcome = st.outcomeName(reason)
			st.fail(reason)
			return
		}
		end := run.relay()
		if end == endSilent && st.held == nil {
			st.hold(run)
			continue
		}
		run.close(end)
		outcome = st.outcomeName(result.RouteTimeout)
		if st.handleEnd(run, end) {
			if end != endCallerDone {
				outcome, whole = "whole", true
			}
			return
		}
	}
}

// countAt counts the stream at the version of a server, for a roll-out that waits for the streams of
// former versions.
func (st *streamRelay) countAt(s *upstream.Server) {
	if st.endCount != nil && st.countedAt == s.Version {
		return
	}
	st.endCounted()
	st.countedAt, st.endCount = s.Version, st.h.opts.Rollouts.Recorder.StreamSent(s.Service, s.Version)
}

func (st *streamRelay) endCounted() {
	if st.endCount != nil {
		st.endCount()
	}
}

// outcomeName names the end of a stream that is not complete.
func (st *streamRelay) outcomeName(code result.Code) string {
	if st.callerGone() {
		return "caller left"
	}
	return result.Lookup(code).Name
}

func (st *streamRelay) callerGone() bool { return st.q.ctx.Err() != nil && st.q.left() > 0 }

// logEnd logs what the caller of the stream saw.
func (st *streamRelay) logEnd(outcome string) {
	var first time.Duration
	if !st.firstEventAt.IsZero() {
		first = st.firstEventAt.Sub(st.q.arrived)
	}
	st.h.opts.RoutineLog.Info().Str("request", st.q.RequestID).Str("outcome", outcome).Int("events", st.events).
		Dur("first_event", first).Dur("longest_pause", st.longestPause).Dur("waited", st.waited).Int("sends", st.sends).
		Bool("rest_only", st.q.HasAfter).Dur("objective", st.q.route.Objective).Dur("pause_objective", st.q.route.PauseObjective).Dur("held", time.Since(st.q.arrived)).Msg("stream ended")
}

// handleEnd acts on the end of a run. It reports whether the caller has its final
// answer.
func (st *streamRelay) handleEnd(run *run, end runEnd) bool {
	st.count(run)
	st.copyUsed(run.from)
	switch end {
	case endComplete:
		return true
	case endPlainAnswer:
		return st.handlePlainAnswer(run)
	case endCallerDone:
		code := result.RouteTimeout
		if run.callerTooSlow {
			code = result.CallerTooSlow
		}
		st.fail(code)
		return true
	case endNotRun:
		if run.from != nil {
			st.lastCopy = backupCopy{} // the copy is gone, or the engine that holds it is full
		}
		st.skip[run.server.ID] = true
		if st.headSent || st.leftHeld {
			st.noteLost()
		}
	case endBroken:
		st.leave(run)
	case endSilent, endOvertaken: // another run is held
		if run.from != nil {
			st.lastCopy = backupCopy{} // it was used
		}
		st.skip[run.server.ID] = true
	}
	return false
}

// count adds a run to the history of sends, once.
func (st *streamRelay) count(run *run) {
	if run.counted && run.outcome == sendRefused {
		st.q.history.Refused() // it counted as sent while it was held
	}
	if run.counted {
		return
	}
	run.counted = true
	st.q.history.Add(run.outcome)
}

// leave prepares the search for the engine that goes on after a run.
func (st *streamRelay) leave(run *run) {
	st.skip[run.server.ID] = true
	st.lastCopy = run.backup.current
	if run.forwarded == 0 && run.from == nil {
		st.lastCopy = backupCopy{} // the prompt was still being prefilled: no copy exists yet
	}
	st.lostZone = run.server.Zone
	st.noteLost()
}

// noteLost records that the stream has no engine that has the request.
func (st *streamRelay) noteLost() {
	if st.lostAt.IsZero() {
		st.lostAt = time.Now()
	}
}

// handlePlainAnswer delivers an engine's answer that is no stream. A failure of the
// engine itself is kept back while another engine may still succeed.
func (st *streamRelay) handlePlainAnswer(run *run) bool {
	r := &run.reply
	retry := r.resp.StatusCode >= http.StatusInternalServerError && st.q.history.MaySend()
	if !st.headSent && !retry {
		st.h.deliver(st.w, st.q, r)
		return true
	}
	st.skip[run.server.ID] = true
	st.engineFailure, st.engineFailed = r, true
	return false
}

// nextEngine chooses the engine for the next run, preferring one that holds a copy.
// If there is none, the choice carries the reason.
func (st *streamRelay) nextEngine() engineChoice {
	for {
		if !st.q.history.MaySend() {
			return engineChoice{reason: result.StreamBroken}
		}
		if st.versionGone() {
			return engineChoice{reason: result.StreamVersionGone}
		}
		if !st.h.admitsContent(st.q, st.holdUntil()) {
			return engineChoice{reason: result.ContentHeldBack}
		}
		c := st.chooseEngine()
		if c.server != nil && st.isTooSlow(c.server.ID) {
			st.giveBack(&c)
			if st.cannotFinish() {
				return st.refuseForShutdown()
			}
			continue
		}
		if c.tryAgain || c.server != nil && !st.reserve(&c) {
			continue
		}
		if c.server == nil && !c.final && st.mayWait() && timer.Sleep(st.q.ctx, fullEnginesRetryDelay) == nil {
			st.clearSkip()
			continue
		}
		switch {
		case st.q.ctx.Err() != nil:
			c.reason = result.RouteTimeout
		case c.server == nil && c.final:
		case c.server == nil && st.h.opts.Closing() && st.mayRefuse():
			return st.refuseForShutdown()
		case c.server == nil && st.enginesWithheld():
			c.reason = result.BackendsWithheld
		case c.server == nil && st.sends == 0:
			c.reason = result.NoBackendServer
		case c.server == nil:
			c.reason = result.BackendsFull
		case st.q.history.IsRetry() && !st.h.mayRetry(st.q, st.retryUrgency(c.from)):
			c.reason = result.RetriesSpent
		default:
			st.sends++
			return c
		}
		if c.granted {
			st.h.opts.Placer.Took(c.grant.Number) // frees the grant, which is not needed
		}
		return engineChoice{reason: c.reason}
	}
}

// enginesWithheld reports whether the service has engines that accept no request now, and
// sets when the caller may retry.
func (st *streamRelay) enginesWithheld() bool {
	at := st.h.opts.Fleet.AcceptedAgainAt(st.q.service.Name, st.q.versionChoice.Versions, nil)
	if at.IsZero() {
		return false
	}
	st.q.setRetryAfter(admission.SpreadRetry(time.Until(at), rand.Float64()))
	return true
}

// reserve gets the permit for the next send. If there is none, it frees the engine and
// excludes it.
func (st *streamRelay) reserve(c *engineChoice) bool {
	var ok bool
	if c.permit, ok = st.h.gate.reserve(st.q.ctx, c.server, backpressure.NewWork); ok {
		return true
	}
	st.giveBack(c)
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", c.server.ID).Msg("engine accepts no request now; choosing another")
	return false
}

// giveBack gives up the engine of a choice, and excludes it.
func (st *streamRelay) giveBack(c *engineChoice) {
	if c.granted {
		st.h.opts.Placer.Took(c.grant.Number)
	}
	st.skip[c.server.ID] = true
}

// retryUrgency returns the urgency of a retry that resumes from a copy. from is nil if the
// prompt must be prefilled again.
func (st *streamRelay) retryUrgency(from *Copy) Urgency {
	if st.headSent && from != nil {
		return InTime
	}
	return Late
}

func (st *streamRelay) chooseEngine() engineChoice {
	if ref := st.orphanCopy; ref != nil {
		st.orphanCopy = nil // a copy can be used only once
		if s := st.h.opts.Fleet.At(st.q.service.Name, ref.Address); s != nil && st.allowsEngine(s.Version) {
			return engineChoice{server: s, from: ref}
		}
	}
	if p := st.lastCopy; p.engine != nil {
		if s := st.h.opts.Fleet.Lookup(p.engine.ID); s != nil && st.allowsEngine(s.Version) {
			return engineChoice{server: s, from: &p.ref}
		}
		st.lastCopy = backupCopy{}
	}
	if st.onlyFromCopy {
		return engineChoice{reason: result.BackendsFull, final: true}
	}
	if st.q.origin == nil {
		st.h.recheckVersion(st.q, st.engineFailed)
	}
	if st.sends >= maxSends {
		return engineChoice{}
	}
	st.addTooSlow()
	return st.requestEngine()
}

func (st *streamRelay) kvTokens() int {
	if e := st.q.service.Engine; e != nil {
		return e.KVTokens
	}
	return 0
}

// holdUntil returns until when the stream may wait for a trial of its content. One that has
// lost its engine is not served earlier elsewhere.
func (st *streamRelay) holdUntil() time.Time {
	resumeBy := st.lostAt.Add(st.resumeSearch())
	if st.headSent {
		return resumeBy
	}
	if due := st.q.holdUntil(); due.After(resumeBy) {
		return due
	}
	return resumeBy
}

// resumeSearch bounds the search for an engine that goes on with the stream. One that left a held run
// searches as long as it would have waited for that.
func (st *streamRelay) resumeSearch() time.Duration {
	if st.leftHeld {
		return maxHeldSilence
	}
	return maxResumeSearch
}

// mayWait reports whether a stream that no engine takes now keeps waiting. Before its
// head is sent it waits for a small share of its objective. After that, or if it left a run
// that might have served it, it waits until its caller would give up.
func (st *streamRelay) mayWait() bool {
	if st.sends >= maxSends {
		return false
	}
	if st.headSent || st.leftHeld {
		return time.Since(st.lostAt) < st.resumeSearch()
	}
	return time.Since(st.q.arrived) < time.Duration(maxHoldShare*float64(st.q.route.Objective))
}

// fail ends a stream that cannot be finished. If the head was sent, the connection is
// aborted: a regular end would make the stream look complete.
func (st *streamRelay) fail(code result.Code) {
	h := st.h
	switch {
	case st.endsUnanswered():
		h.giveUp(st.w, st.q, result.ShuttingDown)
	case st.callerGone():
		h.endGone()
	case st.headSent:
		h.Stats.BrokenStreams.Inc()
		retries := st.q.budget.Level()
		h.opts.Log.Warn().Str("request", st.q.RequestID).Uint64("last_event", st.seq.last).Int("sends", st.q.history.arrivals).
			Dur("silent", time.Since(st.lastEventAt)).Dur("searched", st.searchedFor()).
			Int("retries_used", retries.Used).Int("retries_allowed", retries.Allowed).
			Str("reason", result.Lookup(code).Name).Msg("stream broken off")
		panic(http.ErrAbortHandler)
	case st.engineFailure != nil:
		h.deliver(st.w, st.q, st.engineFailure)
	default:
		h.giveUp(st.w, st.q, code)
	}
}

// endsUnanswered reports that this VM ends before the stream has begun.
func (st *streamRelay) endsUnanswered() bool { return st.q.cutOff.Load() && !st.headSent }

// sendHead forwards the head of the first engine's answer.
func (st *streamRelay) sendHead(resp *http.Response) {
	if st.headSent {
		return
	}
	st.headSent = true
	st.h.copyHeaders(st.q.ctx, st.w, resp)
	st.w.WriteHeader(resp.StatusCode)
}

// writeEvent forwards a complete event. It returns false if the caller is gone.
func (st *streamRelay) writeEvent(e event) bool {
	_, err := st.w.Write(e.raw)
	st.seq.advance(e)
	now := time.Now()
	if st.events == 0 {
		st.firstEventAt = now
	} else {
		st.longestPause = max(st.longestPause, now.Sub(st.lastEventAt))
	}
	st.events++
	st.q.status.events.Add(1)
	st.lastEventAt = now
	return err == nil
}

func (st *streamRelay) flush() bool { return http.NewResponseController(st.w).Flush() == nil }

// isCleanEOF reports whether a read error is the regular end of a stream.
func isCleanEOF(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
