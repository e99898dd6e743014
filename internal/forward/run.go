package forward

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// run is one stream's run at one engine.
type run struct {
	st     *stream
	server *upstream.Server
	from   *Copy           // the copy it goes on from, or nil
	use    placement.Usage // of the engine
	kept   placement.Usage // of the copy's keeper
	shield shield
	died   <-chan struct{}
	doubt  <-chan struct{}
	fresh  bool // the stream's first run: its report counts the same events

	began   time.Time // when it was sent
	firstAt time.Time // when its first event came
	alone   bool      // granted: the engine had nothing else to read

	conn  *upstream.Conn
	stop  func() bool
	reply reply
	sent  sent

	items  chan item
	clock  *clock
	passed int // events that this run passed on
	last   time.Time
	asked  *probe
	told   Report
	known  bool // told is an answer about the present silence
	// unknown is how many answers in a row did not name the run among all there.
	unknown int
	askAt   time.Time // of the last question
	// unanswered: the last question brought no answer
	unanswered bool
	// watched is for the roll-out under way, until the run's first event.
	watched rollout.Ticket
}

// item is what the reader of a run brings: the answer's head, an event or the end.
type item struct {
	head *http.Response
	ans  Answer
	ev   event
	err  error
}

// clearedAfter events a request has not ended its engine: it is past its prompt, and
// past what can be lost on the way from a dying engine.
const clearedAfter = 16

// itemQueue lets an engine run a few events ahead of a caller that reads slowly.
const itemQueue = 16

// start sends the request to an engine, with room for a copy elsewhere.
func (st *stream) start(c chosen) *run {
	h, s, from := st.h, c.server, c.from
	r := &run{st: st, server: s, from: from, fresh: !st.seq.started, died: h.o.Fleet.Died(s), doubt: h.o.Fleet.Suspected(s)}
	r.use = placement.Usage{Requests: 1, Tokens: st.need.Tokens(), PendingPrompt: st.need.Prompt}
	if from != nil {
		r.use.PendingPrompt = 0
	}
	h.o.Fleet.Take(s, r.use)
	more := Send{After: st.seq.last, HasAfter: st.seq.started, ResumeFrom: from}
	if keeper := st.keeperFor(&c); keeper != nil {
		r.setKeeper(keeper)
		r.shield.now.copy = Copy{Address: keeper.Address, ID: st.q.RequestID}
		more.CopyTo = keeper.Address
	}
	if c.granted {
		h.o.Placer.Took(c.grant.Number)
	} else {
		h.o.Placer.UseChanged()
	}
	r.began, r.alone = time.Now(), c.granted
	r.logPlaced()
	// A kept connection may have gone silent by itself; a resume has no time to
	// find out.
	conn, failed := h.open(st.q, s, h.headers(st.q, s, more), st.begun)
	if conn == nil {
		r.reply, r.sent = failed, failed.sent
		return r
	}
	r.conn, r.sent = conn, unknown
	r.watch()
	r.stop = context.AfterFunc(st.q.ctx, conn.Close)
	r.last = time.Now()
	r.items = make(chan item, itemQueue)
	go r.read(h)
	return r
}

func (r *run) logPlaced() {
	st, h := r.st, r.st.h
	if st.begun {
		h.Stats.Resumes.Inc()
	}
	if r.from != nil {
		h.Stats.ResumesFromCopy.Inc()
	}
	keeper := ""
	if r.shield.now.keeper != nil {
		keeper = r.shield.now.keeper.ID
	}
	use := h.o.Fleet.UseOf(r.server)
	log := h.o.RoutineLog
	if st.sends > 1 {
		log = h.o.Log
	}
	log.Info().Str("request", st.q.RequestID).Str("route", st.q.route.Name).Str("engine", r.server.ID).
		Str("zone", r.server.Zone).Str("keeper", keeper).Bool("from_copy", r.from != nil).Int("send", st.sends).
		Uint64("after", st.seq.last).Int("tokens", st.need.Tokens()).Int("there", use.Requests).
		Int("tokens_there", use.Tokens).Int("prompt_there", use.PendingPrompt).Str("version", r.server.Version).Bool("granted", r.alone).Dur("waited", st.waited).
		Dur("list_age", time.Since(h.o.Fleet.AsOf())).Msg("stream placed")
}

// read runs beside follow, which must not wait for the engine alone.
func (r *run) read(h *Handler) {
	defer close(r.items)
	resp, a, err := h.readHead(r.st.q, r.conn)
	r.items <- item{head: resp, ans: a, err: err}
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	br := bufio.NewReader(resp.Body)
	for {
		ev, err := readEvent(br)
		r.items <- item{ev: ev, err: err}
		if err != nil {
			return
		}
	}
}

// follow passes the run's events on until it ends.
func (r *run) follow() ending {
	if r.conn == nil {
		if r.sent == notSent {
			return endNotRun
		}
		return endBroken
	}
	r.clock = newClock(r.patience().ProbeAfter)
	defer r.clock.timer.Stop()
	look := time.NewTicker(protectLook)
	defer look.Stop()
	for {
		if end, over := r.step(look.C); over {
			return end
		}
	}
}

// step waits for the next thing that concerns the run.
func (r *run) step(look <-chan time.Time) (ending, bool) {
	select {
	case it := <-r.items:
		end, over := r.take(it)
		r.clock.set(r.patience().ProbeAfter)
		return end, over
	case <-r.answerToQuestion():
		end, over := r.heed()
		r.clock.set(askAgain)
		return end, over
	case <-r.clock.timer.C:
		return r.timeUp()
	case <-look:
		if r.leavesVersion() {
			return r.lost("goes on at the new version"), true
		}
		r.look()
	case p := <-r.shield.ordered:
		r.protected(p)
	case <-r.doubt:
		r.doubt = r.st.h.o.Fleet.Suspected(r.server)
		r.ask()
	case <-r.died:
		return r.lost("engine judged dead"), true
	case <-r.st.q.ctx.Done():
		return endCallerEnd, true
	}
	return 0, false
}

func (r *run) patience() SilenceLimits {
	return SilenceLimitsFor(r.st.q.route.PauseObjective, r.st.begun)
}

// take handles what the reader brought, and what else has come by then, so that
// one flush serves all of it.
func (r *run) take(it item) (ending, bool) {
	r.last, r.known, r.unanswered, r.unknown = time.Now(), false, false, 0
	r.st.h.o.Fleet.Heard(r.server)
	for {
		end, over := r.takeOne(it)
		if over {
			return end, true
		}
		select {
		case it = <-r.items:
			continue
		default:
		}
		if r.passed > 0 && !r.st.flush() {
			return endCallerEnd, true
		}
		return 0, false
	}
}

func (r *run) takeOne(it item) (ending, bool) {
	switch {
	case it.head != nil:
		r.reply.resp, r.reply.answer = it.head, it.ans
		return r.takeHead()
	case it.err != nil && r.reply.resp != nil && wholeEnd(it.err) && r.isWhole():
		return r.finish()
	case it.err != nil:
		return r.broke(it.err), true
	}
	return r.takeEvent(it.ev)
}

// isWhole tells a proper end from a broken connection where the answer has no
// length: an engine that lives has ended it.
func (r *run) isWhole() bool {
	if upstream.Framed(r.reply.resp) {
		return true
	}
	if r.passed == 0 {
		return false
	}
	p := r.st.h.prober.ask(r.server)
	<-p.done
	return p.alive
}

// takeHead sorts the engine's first word.
func (r *run) takeHead() (ending, bool) {
	rep := &r.reply
	if rep.answer.Load >= 0 {
		r.st.h.o.Fleet.SetReportedLoad(r.server, rep.answer.Load)
	}
	*rep = r.st.h.judge(*rep)
	switch {
	case rep.sent == refused:
		r.sent = refused
		if rep.answer.WrongInstance {
			r.st.h.o.Fleet.MarkStale(r.server)
		} else if r.from == nil {
			r.st.h.o.Fleet.MarkFull(r.server)
		}
		return endNotRun, true
	case rep.fault != noFault:
		return r.lost("not the engine's answer"), true
	case rep.resp.StatusCode != http.StatusOK:
		return r.wholeAnswer()
	}
	return 0, false
}

// wholeAnswer reads an answer that is no stream.
func (r *run) wholeAnswer() (ending, bool) {
	r.conn.SetReadDeadline(time.Now().Add(wholeAnswerTime))
	body, err := upstream.ReadBody(r.reply.resp, maxAnswer)
	if err != nil {
		return endBroken, true
	}
	r.reply.body, r.sent = body, answered
	r.st.h.o.Rollouts.Book.End(r.watched, isFailure(r.reply.resp), false)
	r.st.h.o.Fleet.Failed(r.server)
	return endAnswer, true
}

// wholeAnswerTime bounds the body of a short answer whose head has come.
const wholeAnswerTime = 500 * time.Millisecond

func (r *run) takeEvent(e event) (ending, bool) {
	st := r.st
	pass, ok := st.seq.follows(e)
	if !ok {
		st.h.o.Log.Warn().Str("request", st.q.RequestID).Str("engine", r.server.ID).Uint64("event", e.id).
			Uint64("expected", st.seq.last+1).Msg("events missing")
		return endBroken, true
	}
	if !pass {
		return 0, false
	}
	if r.passed == 0 {
		r.first()
	}
	st.begin(r.reply.resp)
	if !st.write(e) {
		return endCallerEnd, true
	}
	if r.passed++; r.passed == clearedAfter {
		st.h.o.SuspectContents.Clear(st.q.digest)
		r.notePace()
	}
	return 0, false
}

// first notes that the prompt is read and, for a stream that had begun, how long
// its caller saw nothing: the resume latency.
func (r *run) first() {
	if st := r.st; st.begun {
		observe(st.h.Stats.ResumePause, st.wrote)
		st.h.o.Log.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Bool("from_copy", r.from != nil).
			Dur("pause", time.Since(st.wrote)).Msg("stream went on")
	} else {
		observe(st.h.Stats.FirstEvent, st.q.arrived)
		st.h.o.RoutineLog.Info().Str("request", st.q.RequestID).Str("engine", r.server.ID).Int("send", st.sends).
			Dur("after", time.Since(st.q.arrived)).Msg("stream began")
	}
	fleet := r.st.h.o.Fleet
	r.firstAt = time.Now()
	r.st.h.o.Rollouts.Book.End(r.watched, false, fleet.Cold(r.server))
	if r.alone && r.fresh {
		r.st.h.paces.read(r.st.q.service.Name, r.use.PendingPrompt, r.firstAt.Sub(r.began))
	}
	fleet.Release(r.server, placement.Usage{PendingPrompt: r.use.PendingPrompt})
	r.use.PendingPrompt = 0
	r.st.h.o.Placer.UseChanged()
	fleet.Succeeded(r.server, 0)
	r.st.h.kept.put(r.st.q.RequestID, r.leaves())
	r.st.skip = map[string]bool{}
	r.st.since = time.Time{}
}

// leaves is what the run would leave behind now.
func (r *run) leaves() ResumableRun {
	k := ResumableRun{Identity: r.st.id, Orphan: Orphan{PrefillEngine: r.server.Address}}
	if r.shield.now.keeper != nil {
		k.Copy = r.shield.now.copy
	}
	return k
}

// finish ends a whole stream.
func (r *run) finish() (ending, bool) {
	r.st.begin(r.reply.resp)
	r.sent = answered
	if r.fresh && !r.firstAt.IsZero() {
		r.st.h.paces.ran(r.st.q.service.Name, time.Since(r.firstAt), r.passed)
	}
	r.st.flush()
	r.st.h.o.SuspectContents.Clear(r.st.q.digest)
	return endDone, true
}

func (r *run) broke(err error) ending {
	if r.st.q.ctx.Err() != nil {
		return endCallerEnd
	}
	r.st.h.confirmDeath(r.st.q, r.server, r.passed)
	return r.lost(err.Error())
}

func (r *run) lost(why string) ending {
	r.st.h.o.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Int("passed", r.passed).
		Dur("silent", time.Since(r.last)).Str("reason", why).Msg("run lost")
	return endBroken
}

// close ends the run's connection, or keeps it after a whole answer, and gives
// back what it used. The engine drops a run whose connection closes, so that it
// never works on beside the next one.
func (r *run) close(end ending) {
	fleet := r.st.h.o.Fleet
	r.st.h.o.Rollouts.Book.Drop(r.watched)
	fleet.Release(r.server, r.use)
	if r.shield.now.keeper != nil {
		fleet.Release(r.shield.now.keeper, r.kept)
	}
	r.st.h.o.Placer.UseChanged()
	// Callers whose streams this VM's shutdown ends come for the rest elsewhere.
	if end == endDone || end == endCallerEnd && !r.st.h.o.Closing() {
		r.unprotect()
	}
	if r.conn == nil {
		return
	}
	kept := r.stop() && (end == endDone || end == endAnswer)
	if kept {
		r.st.h.o.Pool.Put(r.conn, r.reply.resp)
		return
	}
	r.conn.Close()
	go func() {
		for range r.items { // the reader ends with its connection
		}
	}()
}
