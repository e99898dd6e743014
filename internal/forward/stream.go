package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Figures of streams.
const (
	// fullPause is between two rounds over engines that were all full.
	fullPause = 40 * time.Millisecond
	// strandedFor is how long a stream that has begun looks for an engine to go on
	// at; the caller gives up on a pause of two seconds.
	strandedFor = 1500 * time.Millisecond
)

// stream is one caller's stream over all engines that it runs on.
type stream struct {
	h    *Handler
	q    *request
	w    http.ResponseWriter
	need placement.Need
	seq  sequence

	begun   bool       // the answer's head is out
	moved   bool       // off a live engine, once
	copied  protection // of the last run
	left    *Copy      // of a run that another router carried, or nil
	ran     string     // address of the engine that ran it there; empty: not known
	id      uint64     // identity
	skip    map[string]bool
	sends   int
	since   time.Time // when the last engine was lost; zero: none is
	wrote   time.Time // when the last event was passed on
	failure *reply
	failed  bool // an engine has failed it

	began   time.Time     // when the first event was passed on
	longest time.Duration // pause between two events
	events  int           // passed on
	waited  time.Duration // for an engine
}

// ending is how a run at one engine ended.
type ending uint8

const (
	endDone      ending = iota // whole
	endNotRun                  // refused, or never sent
	endBroken                  // the engine died, broke off or was left
	endAnswer                  // an answer that is no stream of events
	endCallerEnd               // the caller left, or its time is over
)

// stream carries a request whose answer is a series of events.
func (h *Handler) stream(w http.ResponseWriter, q *request) {
	st := &stream{
		h: h, q: q, w: w, skip: map[string]bool{},
		need: placement.Need{Prompt: q.PromptTokens, Output: q.OutputTokens},
		seq:  sequence{last: q.After, started: q.HasAfter},
		id:   q.identity(h.o.Wire.PerAttemptHeaders()),
	}
	defer h.kept.drop(q.RequestID)
	st.findLeft()
	outcome := "cut off"
	defer func() { st.logEnd(outcome) }()
	for {
		c := st.next()
		if c.server == nil {
			outcome = st.outcome(c.refused)
			st.give(c.refused)
			return
		}
		run := st.start(c)
		end := run.follow()
		run.close(end)
		outcome = st.outcome(result.RouteTimeout)
		if st.settled(run, end) {
			if end != endCallerEnd {
				outcome = "whole"
			}
			return
		}
	}
}

// outcome names how a stream ends that is not whole.
func (st *stream) outcome(code result.Code) string {
	if st.callerLeft() {
		return "caller left"
	}
	return result.Lookup(code).Name
}

func (st *stream) callerLeft() bool { return st.q.ctx.Err() != nil && st.q.left() > 0 }

// logEnd tells what a stream's caller saw.
func (st *stream) logEnd(outcome string) {
	var first time.Duration
	if !st.began.IsZero() {
		first = st.began.Sub(st.q.arrived)
	}
	st.h.o.RoutineLog.Info().Str("request", st.q.RequestID).Str("outcome", outcome).Int("events", st.events).
		Dur("first_event", first).Dur("longest_pause", st.longest).Dur("waited", st.waited).Int("sends", st.sends).
		Bool("rest_only", st.q.HasAfter).Dur("objective", st.q.route.Objective).Dur("pause_objective", st.q.route.PauseObjective).Dur("held", time.Since(st.q.arrived)).Msg("stream ended")
}

// settled takes in how a run ended; true: the caller has its final answer.
func (st *stream) settled(run *run, end ending) bool {
	st.q.rec.Add(run.sent)
	switch end {
	case endDone:
		return true
	case endAnswer:
		return st.answered(run)
	case endCallerEnd:
		st.give(result.RouteTimeout)
		return true
	case endNotRun:
		if run.from != nil {
			st.copied = protection{} // the copy is gone, or its engine is full
		}
		st.skip[run.server.ID] = true
	case endBroken:
		st.skip[run.server.ID] = true
		st.copied = run.shield.now
		if run.passed == 0 && run.from == nil {
			st.copied = protection{} // a prompt that was being read has no copy yet
		}
		if st.since.IsZero() {
			st.since = time.Now()
		}
	}
	return false
}

// answered takes an engine's answer that is no stream: its own failure may pass
// at another engine.
func (st *stream) answered(run *run) bool {
	r := &run.reply
	retry := r.resp.StatusCode >= http.StatusInternalServerError && st.q.rec.MaySend()
	if !st.begun && !retry {
		st.h.deliver(st.w, r)
		return true
	}
	st.skip[run.server.ID] = true
	st.failure, st.failed = r, true
	return false
}

// next chooses the engine for the next run: the keeper of a copy goes first. It
// returns the reason where there is none.
func (st *stream) next() chosen {
	for {
		if !st.q.rec.MaySend() || st.sends > 0 && st.h.o.SuspectContents.ForbidsRetry(st.q.digest) {
			return chosen{refused: result.StreamBroken}
		}
		c := st.choose()
		if c.again {
			continue
		}
		if c.server == nil && !c.final && st.mayWait() && timer.Sleep(st.q.ctx, fullPause) == nil {
			clear(st.skip)
			continue
		}
		switch {
		case st.q.ctx.Err() != nil:
			c.refused = result.RouteTimeout
		case c.server == nil && c.final:
		case c.server == nil && st.sends == 0:
			c.refused = result.NoBackendServer
		case c.server == nil:
			c.refused = result.BackendsFull
		case st.q.rec.IsRetry() && !st.h.mayRepeat(st.q, st.urgency(c.from)):
			c.refused = result.RetriesSpent
		default:
			st.sends++
			return c
		}
		if c.granted {
			st.h.o.Placer.Took(c.grant.Number) // not needed
		}
		return chosen{refused: c.refused}
	}
}

// urgency is that of a second send from a copy; nil: from the prompt.
func (st *stream) urgency(from *Copy) Urgency {
	if st.begun && from != nil {
		return InTime
	}
	return Late
}

// findLeft looks for the copy of a stream whose rest is asked for.
func (st *stream) findLeft() {
	if !st.q.HasAfter || !st.q.rec.repeatable || st.h.o.FindOrphan == nil {
		return
	}
	left, ok := st.h.o.FindOrphan(st.q.ctx, st.id)
	if !ok {
		return
	}
	st.ran = left.PrefillEngine
	if left.Copy.Address != "" {
		st.left = &left.Copy
	}
}

func (st *stream) choose() chosen {
	if left := st.left; left != nil {
		st.left = nil // a copy can be used once
		if s := st.h.o.Fleet.At(st.q.service.Name, left.Address); s != nil && st.permits(s) {
			return chosen{server: s, from: left}
		}
	}
	if p := st.copied; p.keeper != nil {
		if s := st.h.o.Fleet.Lookup(p.keeper.ID); s != nil && st.permits(s) {
			return chosen{server: s, from: &p.copy}
		}
		st.copied = protection{}
	}
	st.h.recheckVersion(st.q, st.failed)
	if st.sends >= maxSends {
		return chosen{}
	}
	return st.place()
}

func (st *stream) kvTokens() int {
	if e := st.q.service.Engine; e != nil {
		return e.KVTokens
	}
	return 0
}

// mayWait reports whether a stream that no engine takes now is kept: one that
// has not begun for a small share of its objective, one that has begun until the
// caller would give it up.
func (st *stream) mayWait() bool {
	if st.sends >= maxSends {
		return false
	}
	if st.begun {
		return time.Since(st.since) < strandedFor
	}
	return time.Since(st.q.arrived) < time.Duration(refusalShare*float64(st.q.route.Objective))
}

// give is the final answer where the stream cannot be finished. One that has
// begun is broken off, so that it does not look whole.
func (st *stream) give(code result.Code) {
	h := st.h
	switch {
	case st.callerLeft():
		h.Stats.CallersGone.Inc()
	case st.begun:
		h.Stats.BrokenStreams.Inc()
		h.o.Log.Warn().Str("request", st.q.RequestID).Uint64("last_event", st.seq.last).Int("sends", st.q.rec.arrivals).
			Str("reason", result.Lookup(code).Name).Msg("stream broken off")
		panic(http.ErrAbortHandler)
	case st.failure != nil:
		h.deliver(st.w, st.failure)
	default:
		h.giveUp(st.w, st.q, code)
	}
}

// begin passes the head of the first engine's answer on.
func (st *stream) begin(resp *http.Response) {
	if st.begun {
		return
	}
	st.begun = true
	st.h.copyHead(st.w, resp)
	st.w.WriteHeader(resp.StatusCode)
}

// write passes whole events on; false: the caller is gone.
func (st *stream) write(e event) bool {
	_, err := st.w.Write(e.raw)
	st.seq.passed(e)
	now := time.Now()
	if st.events == 0 {
		st.began = now
	} else {
		st.longest = max(st.longest, now.Sub(st.wrote))
	}
	st.events++
	st.wrote = now
	return err == nil
}

func (st *stream) flush() bool { return http.NewResponseController(st.w).Flush() == nil }

// wholeEnd reports whether a read error is the proper end of a stream.
func wholeEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
