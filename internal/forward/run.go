package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// run is a stream's run at one engine.
type run struct {
	st          *streamRelay
	server      *upstream.Server
	from        *Copy           // the copy that it resumes from; nil: none
	use         placement.Usage // counted at the engine
	backupUse   placement.Usage // counted at the backup engine
	backup      backupState
	died        <-chan struct{}
	suspected   <-chan struct{}
	beganStream bool // its version is that of the stream, which had none before
	fromStart   bool // it starts at the first event: the engine counts the same events

	sentAt       time.Time // when the request was sent
	writtenAt    time.Time // when its last byte was written; zero: it was not
	takenAt      time.Time // when the engine's answer began; zero: it has not
	firstEventAt time.Time // when the first event came
	granted      bool      // the scheduler granted the engine, which was prefilling no other prompt

	content            *contentRun
	conn               *upstream.Conn
	stopWatchingCaller func() bool
	reply              reply
	outcome            sendOutcome

	results         *resultQueue
	heldAt          time.Time   // when it was last held; zero: it was not
	silence         string      // why it was last held
	engineAnswers   atomic.Bool // the engine of the held run answers probes
	stopWatching    func()      // ends the watch for that; nil: there is none
	counted         bool        // in the history of sends
	callerTooSlow   bool        // the memory for what the caller had not read was needed for others
	silenceTimer    *silenceTimer
	forwarded       int // events of this run that the caller was sent
	progress        progress
	lastHeard       time.Time
	probe           *probe
	report          Report
	reportIsCurrent bool // report was received during the present silence
	// missingReports counts the complete reports in a row that do not list the run.
	missingReports int
	probedAt       time.Time  // when the last probe was started
	lifeCheck      *lifeCheck // was started with the run; nil: no other run was held
	startCheck     *probe     // tells whether the engine has started again; nil: it is not checked
	// stallExcused is set if a stall of this VM has put off the end of one of two runs.
	stallExcused bool
	// probeFailed is set if the last probe brought no answer.
	probeFailed bool
	// ticket tracks the run's first event for the roll-out under way.
	ticket rollout.Ticket
	// duration measures the run for what a shutdown admits.
	duration *shutdown.StreamRun
	// pace measures the run for the speed of its engine; nil: it is not measured.
	pace *enginespeed.Run
	// expectedPause is the longest gap that is usual on the engine; 0: not known.
	expectedPause time.Duration
}

// readResult is what the reader of a run delivers: the head of the answer, an event
// or the error that ended it.
type readResult struct {
	head  *answerHead // nil: it is something else
	event event
	err   error
}

// answerHead is the head of an answer.
type answerHead struct {
	resp   *http.Response
	answer Answer
}

// clearedAfterEvents is the number of events after which a request is cleared of
// killing its engine. It is past its prompt by then, and past the events that a dying
// engine may have sent and that were lost.
const clearedAfterEvents = 16

// startRun sends the request to an engine and reserves memory for a copy at another.
func (st *streamRelay) startRun(c engineChoice) *run {
	h, s, from := st.h, c.server, c.from
	r := &run{st: st, server: s, from: from, fromStart: !st.seq.started, died: h.opts.Fleet.Died(s), suspected: h.opts.Fleet.Suspected(s)}
	r.use = placement.Usage{Requests: 1, Tokens: st.need.Tokens(), PendingPrompt: st.need.Prompt}
	if from != nil {
		r.use.PendingPrompt = 0
	}
	h.opts.Fleet.Take(s, r.use)
	st.countAt(s)
	send := Send{After: st.seq.last, HasAfter: st.seq.started, ResumeFrom: from}
	if backup := st.backupEngineFor(&c); backup != nil {
		r.setBackupEngine(backup)
		r.backup.current.ref = Copy{Address: backup.Address, ID: st.q.RequestID}
		send.CopyTo = backup.Address
	}
	if c.granted {
		h.opts.Placer.Took(c.grant.Number)
	} else {
		h.opts.Placer.UseChanged()
	}
	r.sentAt, r.granted = time.Now(), c.granted
	r.expectedPause = time.Duration(c.grant.PauseMS) * time.Millisecond
	r.logPlaced()
	// An idle connection may have died unnoticed. A resume has no time to find that
	// out and opens a new one.
	alive := st.answersBeforeSend(s) && (st.q.trial == nil || h.answersProbe(s))
	r.content = h.opts.SuspectContents.began(s, st.q.digest, st.q.trial != nil)
	if !alive {
		r.reply, r.outcome = reply{outcome: sendNotSent, fault: faultDial}, sendNotSent
		return r
	}
	conn, failed := h.open(st.q, s, c.permit, h.headers(st.q, s, send), st.headSent)
	if conn == nil {
		r.reply, r.outcome = failed, failed.outcome
		return r
	}
	r.conn, r.outcome, r.writtenAt = conn, sendUnknown, time.Now()
	r.beginDuration()
	st.q.status.noteSent(s.ID)
	r.checkStart()
	if st.events == 0 {
		r.reportRun() // a copy of the run before it may still be of use
	}
	r.trackFirstEvent()
	r.stopWatchingCaller = context.AfterFunc(st.q.ctx, conn.Close)
	r.lastHeard = time.Now()
	suspect := h.spoilers.has(s.ID)
	r.results = newResultQueue(st.ready, h.opts.Memory.BeginAnswer(suspect, func() { resulthttp.EndWrites(st.w) }))
	go r.readAnswer(h, h.opts.Memory.BeginAnswer(suspect, conn.Close))
	return r
}

// beginDuration measures how long the run takes, and how long its stream waited for it.
func (r *run) beginDuration() {
	st, streams, service := r.st, &r.st.h.streams, r.st.q.service.Name
	if st.sends == 1 {
		streams.Waited(service, st.q.waited(r.writtenAt), r.writtenAt)
	}
	size := shutdown.StreamSize{Prompt: r.use.PendingPrompt, Output: st.q.OutputTokens, After: eventCount(st.seq.last)}
	r.duration = streams.Begin(service, r.server.ID, size, r.sentAt)
}

func (r *run) logPlaced() {
	st, h := r.st, r.st.h
	if st.headSent {
		h.Stats.Resumes.Inc()
	}
	if r.from != nil {
		h.Stats.ResumesFromCopy.Inc()
	}
	backupID := ""
	if r.backup.current.engine != nil {
		backupID = r.backup.current.engine.ID
	}
	use := h.opts.Fleet.UseOf(r.server)
	log := h.opts.RoutineLog
	if st.sends > 1 {
		log = h.opts.Log
	}
	log.Info().Str("request", st.q.RequestID).Str("route", st.q.route.Name).Str("engine", r.server.ID).
		Str("zone", r.server.Zone).Str("keeper", backupID).Bool("from_copy", r.from != nil).Int("send", st.sends).
		Uint64("after", st.seq.last).Int("tokens", st.need.Tokens()).Int("there", use.Requests).
		Int("tokens_there", use.Tokens).Int("prompt_there", use.PendingPrompt).Str("version", r.server.Version).Bool("granted", r.granted).Dur("expected_pause", r.expectedPause).Dur("waited", st.waited).
		Dur("list_age", time.Since(h.opts.Fleet.AsOf())).Msg("stream placed")
}

// readAnswer reads the head and the events of the engine's answer into r.results. It runs
// in its own goroutine, because relay also waits for timers and signals. partial is the memory of
// the event that is being read.
func (r *run) readAnswer(h *Handler, partial *memory.Answer) {
	defer partial.Close()
	resp, a, err := h.readHead(r.st.q, r.server, r.conn, r.sentAt)
	if err != nil {
		r.results.push(readResult{err: err})
		return
	}
	if !r.results.push(readResult{head: &answerHead{resp, a}}) || resp.StatusCode != http.StatusOK {
		return
	}
	in := newEventReader(resp.Body, partial.Add)
	pace := newReadPace(time.Now())
	for {
		ev, err := in.next()
		if err != nil {
			err = endedFor(partial, err)
		}
		if !r.results.push(readResult{event: ev, err: err}) || err != nil {
			return
		}
		if wait := pace.read(len(ev.raw), time.Now()); wait > 0 {
			_ = timer.Sleep(r.st.q.ctx, wait) // the next read fails if the request has ended
		}
	}
}

// relay forwards the run's events until it ends.
func (r *run) relay() runEnd {
	if r.conn == nil {
		if r.outcome == sendNotSent {
			return endNotRun
		}
		return endBroken
	}
	r.silenceTimer = newSilenceTimer(r.silenceLimits().ProbeAfter)
	defer r.silenceTimer.timer.Stop()
	backupCheck := time.NewTicker(backupCheckInterval)
	defer backupCheck.Stop()
	for {
		if end, done := r.step(backupCheck.C); done {
			return end
		}
	}
}

// step waits for the next result, timer or signal of the run and handles it. It reports
// whether the run has ended.
//
// Results come first: while a slow caller blocks the run, the engine may have finished, and its
// silence since then means nothing.
func (r *run) step(backupCheck <-chan time.Time) (runEnd, bool) {
	if res, ok := r.results.pop(); ok {
		heard := r.lastHeard
		end, done := r.handleResult(res)
		if r.lastHeard != heard {
			r.silenceTimer.set(r.silenceLimits().ProbeAfter)
		}
		return end, done
	}
	select {
	case <-r.st.ready:
		if r.isOvertaken() {
			return endOvertaken, true
		}
	case <-r.probeDone():
		end, done := r.handleProbe()
		r.silenceTimer.set(r.probeInterval())
		return end, done
	case <-r.silenceTimer.timer.C:
		return r.onSilenceTimer()
	case <-backupCheck:
		r.checkBackup()
		r.st.dropExpiredHeld()
	case p := <-r.backup.pending:
		r.handleBackupOrdered(p)
	case <-r.suspected:
		r.suspected = r.st.h.opts.Fleet.Suspected(r.server)
		r.startProbe()
	case <-r.died:
		return r.silent("engine judged dead"), true
	case <-r.st.q.ctx.Done():
		return endCallerDone, true
	}
	return 0, false
}

func (r *run) silenceLimits() SilenceLimits {
	pause := r.st.q.route.PauseObjective
	limits := SilenceLimitsFor(pause, r.st.headSent).scaled(pause, r.expectedPause)
	return limits.leavingAfter(r.st.h.resumes.expected(r.st.q.service.Name))
}

// resumable returns what another router needs to resume the stream now.
func (r *run) resumable() ResumableRun {
	out := ResumableRun{RunID: r.st.id, Orphan: Orphan{PrefillEngine: r.server.Address}}
	if r.backup.current.engine != nil && !r.firstEventAt.IsZero() {
		out.Copy = r.backup.current.ref
	}
	return out
}

// clearContent records that the run got past the point where its content could have
// crashed the engine.
func (r *run) clearContent() {
	contents := r.st.h.opts.SuspectContents
	contents.forget(r.content)
	contents.cleared(r.content, r.sentAt, r.st.q.RequestID)
}

// leaveContent ends the run's record at the engine.
func (r *run) leaveContent(end runEnd) {
	if r.outcome == sendNotSent || end == endNotRun || end == endPlainAnswer {
		r.st.h.opts.SuspectContents.forget(r.content)
		return
	}
	r.st.h.opts.SuspectContents.abandon(r.content)
}

func (r *run) handleReadError(err error) runEnd {
	if r.st.q.ctx.Err() != nil {
		return endCallerDone
	}
	r.st.h.noteBroken(r.server, err)
	r.st.h.confirmDeath(r.st.q, r.server, r.content)
	return r.lost(causeOf(err))
}

// lost logs that the run was lost, and why, and returns how it ended.
func (r *run) lost(why string) runEnd {
	r.st.h.opts.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.forwarded).
		Dur("silent", time.Since(r.lastHeard)).Str("reason", why).Msg("run lost")
	return endBroken
}

// close releases what the run used. It returns the connection to the pool after a
// complete answer and closes it otherwise. The engine drops a run whose connection
// closes, which keeps it from working beside the next run.
func (r *run) close(end runEnd) {
	fleet := r.st.h.opts.Fleet
	r.st.h.opts.Rollouts.Recorder.Drop(r.ticket)
	r.leaveContent(end)
	fleet.Release(r.server, r.use)
	if r.backup.current.engine != nil {
		fleet.Release(r.backup.current.engine, r.backupUse)
	}
	r.st.h.opts.Placer.UseChanged()
	// Callers whose streams end with this VM's shutdown ask another router for the
	// rest, which needs the copies.
	if end == endComplete || end == endOvertaken || end == endCallerDone && !r.st.h.opts.Closing() {
		r.dropBackups()
	}
	if r.conn == nil {
		return
	}
	r.duration.End(time.Now(), end == endComplete)
	r.st.noteClosed(r)
	r.callerTooSlow = r.results.close()
	reusable := r.stopWatchingCaller() && (end == endComplete || end == endPlainAnswer)
	if reusable {
		r.st.h.opts.Pool.Put(r.conn, r.reply.resp)
		return
	}
	r.conn.Close()
}
