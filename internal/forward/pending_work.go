package forward

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
)

// Multiples of the mean duration of a run.
const (
	// longRunFactor is the duration of a long run.
	longRunFactor = 1.5
	// longestRunFactor is the duration that no run exceeds, whatever its length.
	longestRunFactor = 4
)

// cannotFinish reports that a request cannot be finished before this VM shuts down.
func (h *Handler) cannotFinish(q *request) bool {
	if !h.opts.Closing() {
		return false
	}
	work := h.pendingWork(q)
	if !h.opts.CannotFinish(work) {
		return false
	}
	h.noteRefusedForShutdown(q, work)
	return true
}

// Bases of durations.
const (
	basisMeanRun     = "mean run of the service"
	basisLongestCall = "longest call of the route"
)

func (h *Handler) pendingWork(q *request) shutdown.Work {
	if q.route.Kind == routes.Stream {
		return shutdown.Work{Expected: h.runDuration(q, longRunFactor), AtMost: h.runDuration(q, longestRunFactor), Left: q.left(), Basis: basisMeanRun}
	}
	bound := h.durations.Bound(q.route.Name, time.Now())
	return shutdown.Work{Expected: bound, AtMost: bound, Left: q.left(), Basis: basisLongestCall}
}

// runDuration returns the duration of a stream of the service that takes a multiple of the mean; 0:
// not known.
func (h *Handler) runDuration(q *request, multiple float64) time.Duration {
	return h.paces.pace(q.service.Name).ExpectedDuration(q.PromptTokens, eventCount(q.After), multiple)
}
