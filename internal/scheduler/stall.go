package scheduler

import "time"

// Stalled engines.
//
// The failure. An engine stops for some seconds, or its machine is taken by others, and short
// prompts wait there. Their sum takes less than maxPrefillBacklog at the usual speed, so the
// engine counts as free, and all streams that it gets are late together.
//
// An engine is therefore stalled while prompts are pending there and no first event was
// reported in twice the time that their prefill takes at the engine's speed. It then gets no
// prompts, also no cached ones, until it shows progress, and copies only if no other engine
// has room. Once its prompts are gone, with a first event or withdrawn, slow.go accounts for
// the time that they took.

// stallFactor is the multiple of the expected time after which an engine is stalled. Prefills
// that decoding steps interrupt take up to half as long again.
const stallFactor = 2

// notePending records progress. The pending prompt tokens have changed from former, by a
// grant or by a report of the VM that runs them.
func (e *server) notePending(former int, now time.Time) {
	if pending := e.usage.PendingPrompt; former <= 0 || pending < former {
		e.progressAt = now
		if e.stalled {
			e.stalled = false
			e.service.updateReady(e)
		}
	}
}

// isStalled reports whether an engine's pending prompts are overdue.
func (e *server) isStalled(now time.Time) bool {
	if e.usage.PendingPrompt <= 0 || e.progressAt.IsZero() {
		return false
	}
	perToken := max(e.speed.perToken, e.service.timing.prefillTime(1))
	return now.Sub(e.progressAt) > stallFactor*(time.Duration(e.usage.PendingPrompt)*perToken+maxPrefillBacklog)
}

// findStalled removes the stalled engines from those that are ready. Engines with a longer
// backlog are not ready anyway.
func (v *service) findStalled(now time.Time) {
	for _, e := range v.backlog {
		if e.usage.PendingPrompt > v.maxPending {
			return
		}
		if e.isStalled(now) {
			e.stalled = true
			v.updateReady(e)
		}
	}
}
