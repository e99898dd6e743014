package forward

import (
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// handleResult handles a result of the reader and all others that have come by then.
// One flush serves them all.
func (r *run) handleResult(res readResult) (runEnd, bool) {
	for {
		if r.isProgress(&res) {
			r.noteHeard()
		}
		if r.progress.isStuck() {
			r.st.h.noteBroken(r.server, errNoProgress)
			return r.lost(errNoProgress.Error()), true
		}
		end, done := r.handleOne(res)
		if done {
			return end, true
		}
		var more bool
		if res, more = r.results.pop(); more {
			continue
		}
		if r.forwarded > 0 && !r.st.flush() {
			return endCallerDone, true
		}
		return 0, false
	}
}

// isProgress reports whether a result shows that the run goes on.
func (r *run) isProgress(res *readResult) bool {
	return res.head != nil || res.err == nil && r.progress.note(res.event)
}

// noteHeard records that the engine works on the run.
func (r *run) noteHeard() {
	r.lastHeard, r.reportIsCurrent, r.probeFailed, r.missingReports = time.Now(), false, false, 0
	r.st.h.opts.Fleet.Heard(r.server)
}

func (r *run) handleOne(res readResult) (runEnd, bool) {
	switch {
	case res.head != nil:
		r.reply.resp, r.reply.answer = res.head.resp, res.head.answer
		return r.handleHead()
	case res.err != nil && r.reply.resp != nil && isCleanEOF(res.err) && r.isComplete():
		return r.finish()
	case res.err != nil:
		return r.handleReadError(res.err), true
	}
	return r.handleEvent(res.event)
}

// isComplete reports whether the answer ended regularly. An answer without a length
// ends with its connection and counts as complete only if its engine is alive.
func (r *run) isComplete() bool {
	if upstream.Framed(r.reply.resp) {
		return true
	}
	if r.forwarded == 0 {
		return false
	}
	p := r.st.h.prober.startAnew(r.server)
	<-p.done
	return p.answered
}

// handleHead classifies the head of the engine's answer.
func (r *run) handleHead() (runEnd, bool) {
	rep := &r.reply
	r.takenAt = time.Now()
	r.st.h.opts.SuspectContents.heard(r.server)
	r.st.h.learnLoad(r.server, &rep.answer)
	r.st.h.learnSlowdown(r.server, rep.answer.Load)
	*rep = r.st.h.classifyReply(*rep)
	switch {
	case rep.outcome == sendRefused:
		r.outcome = sendRefused
		if rep.answer.WrongInstance {
			r.st.h.opts.Fleet.MarkStale(r.server)
		} else if r.from == nil {
			r.st.h.opts.Fleet.MarkFull(r.server)
		}
		return endNotRun, true
	case rep.fault != noFault:
		return r.lost("not the engine's answer"), true
	case rep.resp.StatusCode != http.StatusOK:
		return r.readPlainAnswer()
	}
	if r.from != nil {
		r.st.leaveHeld("another engine resumes from a copy")
	}
	return 0, false
}

// readPlainAnswer reads an answer that is no stream.
func (r *run) readPlainAnswer() (runEnd, bool) {
	h := r.st.h
	r.conn.SetReadDeadline(time.Now().Add(plainAnswerTimeout))
	err := readAnswerBody(&r.reply, h.answerLimits(r.st.q), r.st.q.beginAnswer(h, r.server, r.conn.Close))
	if err == nil {
		err = h.checkEnd(r.server, &r.reply)
	}
	if err != nil {
		h.noteBroken(r.server, err)
		return r.lost(causeOf(err)), true
	}
	r.outcome = sendAnswered
	h.opts.Rollouts.Recorder.End(r.ticket, isFailure(r.reply.resp), false)
	h.opts.Fleet.Failed(r.server)
	return endPlainAnswer, true
}

// plainAnswerTimeout bounds the read of a short body after its head.
const plainAnswerTimeout = 500 * time.Millisecond

func (r *run) handleEvent(e event) (runEnd, bool) {
	st := r.st
	pass, ok := st.seq.accept(e)
	if !ok {
		st.h.opts.Log.Warn().Str("request", st.q.RequestID).Str("engine", r.server.ID).Uint64("event", e.id).
			Uint64("expected", st.seq.last+1).Msg("events are missing from the stream; ending the run on this engine")
		return endBroken, true
	}
	if !pass {
		return 0, false
	}
	if r.forwarded == 0 {
		if !r.fixVersion() {
			return r.lost("engine of another version than the stream"), true
		}
		st.releaseHeld("another run brought the next event", endBroken)
		r.recordVersion()
		r.noteFirstEvent()
	}
	r.duration.Event(time.Now())
	r.paceEvent()
	st.sendHead(r.reply.resp)
	if !st.writeEvent(e) {
		return endCallerDone, true
	}
	if r.forwarded++; r.forwarded == clearedAfterEvents {
		r.clearContent()
		r.notePace()
	}
	return 0, false
}

// noteFirstEvent records that the prompt is prefilled. For a resumed stream it also
// records the resume latency, which is how long the caller saw no event.
func (r *run) noteFirstEvent() {
	if st := r.st; st.headSent {
		observe(st.h.Stats.ResumePause, st.lastEventAt)
		st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Bool("from_copy", r.from != nil).
			Str("version", r.server.Version).Dur("pause", time.Since(st.lastEventAt)).Dur("taken_after", r.takenAt.Sub(r.writtenAt)).
			Dur("event_after", time.Since(r.writtenAt)).Msg("stream went on")
	} else {
		observe(st.h.Stats.FirstEvent, st.q.arrived)
		st.h.opts.RoutineLog.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("send", st.sends).
			Str("version", r.server.Version).Str("first_attempt", st.q.FirstAttempt).Bool("rest_only", st.q.HasAfter).Dur("after", time.Since(st.q.arrived)).Msg("stream began")
	}
	r.st.h.Stats.firstEventFrom(r.server.Service, r.server.Version, r.st.seq.started)
	fleet := r.st.h.opts.Fleet
	r.firstEventAt = time.Now()
	r.st.h.opts.Rollouts.Recorder.End(r.ticket, false, fleet.SlowForNow(r.server))
	if r.from != nil {
		r.st.h.resumes.note(r.st.q.service.Name, time.Since(r.writtenAt))
	}
	if r.granted && r.fromStart {
		r.st.h.paces.notePrompt(r.st.q.service.Name, r.use.PendingPrompt, r.firstEventAt.Sub(r.sentAt))
	}
	r.beginPace(r.use.PendingPrompt)
	fleet.Release(r.server, placement.Usage{PendingPrompt: r.use.PendingPrompt})
	r.use.PendingPrompt = 0
	r.st.h.opts.Placer.UseChanged()
	fleet.Succeeded(r.server, 0)
	r.reportRun()
	r.st.skip = map[string]bool{}
	r.st.lostAt, r.st.lostZone = time.Time{}, ""
}

// finish ends a complete stream.
func (r *run) finish() (runEnd, bool) {
	r.st.sendHead(r.reply.resp)
	r.outcome = sendAnswered
	r.endPace()
	if r.fromStart && !r.firstEventAt.IsZero() && r.heldAt.IsZero() {
		r.st.h.paces.noteRun(r.st.q.service.Name, time.Since(r.firstEventAt), r.forwarded)
	}
	r.st.flush()
	r.clearContent()
	return endComplete, true
}
