package forward

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
)

// longRunFactor is the duration of a long run as a multiple of the mean.
const longRunFactor = 1.5

// Bases of durations.
const (
	basisMeanRun       = "mean run of the service"
	basisLongestCall   = "longest call of the route"
	basisLongestStream = "longest streams at the quickest server"
	basisLongestThere  = "longest streams at the server"
)

// cannotFinish reports that a request, which has not run, cannot be finished before this VM shuts
// down. One that may have run goes on wherever it can: its caller could not be told more if it ended now.
func (h *Handler) cannotFinish(q *request) bool {
	if !h.opts.Closing() || q.mayHaveRun() {
		return false
	}
	work := h.pendingWork(q)
	if !h.opts.CannotFinish(work) {
		return false
	}
	q.status.refused.Store(&work)
	return true
}

func (h *Handler) pendingWork(q *request) shutdown.Work {
	if q.route.Kind != routes.Stream {
		return shutdown.Work{Expected: h.durations.Expected(q.route.Name, time.Now()), Left: q.left(), Basis: basisLongestCall}
	}
	e := h.estimate(q)
	if !e.Known {
		return h.meanWork(q)
	}
	wait := h.expectedWait(q, &e)
	return shutdown.Work{Wait: wait, Expected: wait + h.quickest(&e), Left: q.left(), Basis: basisLongestStream}
}

// expectedWait returns how long a stream still waits for a server, by the longest waits of late.
func (h *Handler) expectedWait(q *request, e *shutdown.StreamEstimate) time.Duration {
	now := time.Now()
	return max(0, max(e.Wait, h.inProgress.longestWait(q.service.Name, now))-q.waited(now))
}

// workAt returns how long a stream takes that is sent to a server after a wait.
func (h *Handler) workAt(q *request, e *shutdown.StreamEstimate, server string, wait time.Duration) shutdown.Work {
	took, known := e.At(server)
	if !known {
		return h.meanWork(q)
	}
	return shutdown.Work{Expected: wait + took, Left: q.left(), Basis: basisLongestThere}
}

func (h *Handler) estimate(q *request) shutdown.StreamEstimate {
	size := shutdown.StreamSize{Prompt: q.PromptTokens, Output: q.OutputTokens, After: eventCount(q.After)}
	return h.streams.Estimate(q.service.Name, size, time.Now())
}

// quickest returns how long a stream takes at the quickest server that is listed.
func (h *Handler) quickest(e *shutdown.StreamEstimate) time.Duration {
	out := e.Others
	for id, took := range e.Servers {
		if took < out && h.opts.Fleet.Lookup(id) != nil {
			out = took
		}
	}
	return out
}

// meanWork is what is known of a stream of a service that this VM has hardly served.
func (h *Handler) meanWork(q *request) shutdown.Work {
	mean := h.paces.pace(q.service.Name).ExpectedDuration(q.PromptTokens, eventCount(q.After), longRunFactor)
	return shutdown.Work{Expected: mean, Left: q.left(), Basis: basisMeanRun}
}

// mayRefuse reports whether the stream can be refused as not run.
func (st *streamRelay) mayRefuse() bool {
	return !st.headSent && !st.q.mayHaveRun()
}

// cannotFinish reports that the stream, which has not run, cannot be finished before this VM shuts
// down. If it were held until the process ends, its caller would get no answer. Refused now, it can
// still be served by another VM.
func (st *streamRelay) cannotFinish() bool {
	return st.mayRefuse() && st.h.cannotFinish(st.q)
}

// refuseForShutdown is the choice for a stream that cannot be finished.
func (st *streamRelay) refuseForShutdown() engineChoice {
	st.q.setRetryAfter(otherRouterRetryAfter)
	return engineChoice{reason: result.ShuttingDown, final: true}
}

// addTooSlow adds the engines that cannot finish the stream before this VM shuts down to those that
// are skipped. A stream that may have run goes on wherever it can.
func (st *streamRelay) addTooSlow() {
	if !st.h.opts.Closing() || !st.mayRefuse() {
		return
	}
	e := st.h.estimate(st.q)
	wait := st.h.expectedWait(st.q, &e)
	for id := range e.Servers {
		if st.h.opts.CannotFinish(st.h.workAt(st.q, &e, id, wait)) {
			st.skip[id] = true
		}
	}
}

// isTooSlow reports whether an engine cannot finish the stream before this VM shuts down.
func (st *streamRelay) isTooSlow(engine string) bool {
	if !st.h.opts.Closing() || !st.mayRefuse() {
		return false
	}
	e := st.h.estimate(st.q)
	return st.h.opts.CannotFinish(st.h.workAt(st.q, &e, engine, 0))
}
