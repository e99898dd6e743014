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
	return h.opts.Closing() && h.opts.CannotFinish(h.pendingWork(q))
}

func (h *Handler) pendingWork(q *request) shutdown.Work {
	if q.route.Kind == routes.Stream {
		return shutdown.Work{Expected: h.runDuration(q, longRunFactor), AtMost: h.runDuration(q, longestRunFactor), Left: q.left()}
	}
	bound := h.durations.Bound(q.route.Name, time.Now())
	return shutdown.Work{Expected: bound, AtMost: bound, Left: q.left()}
}

// runDuration returns the duration of a stream of the service that takes a multiple of the mean; 0:
// not known.
func (h *Handler) runDuration(q *request, multiple float64) time.Duration {
	return h.paces.pace(q.service.Name).ExpectedDuration(q.PromptTokens, eventCount(q.After), multiple)
}
