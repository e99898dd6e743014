package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// ContentTrials grants trials of suspect contents on behalf of all VMs.
type ContentTrials interface {
	// RequestTrial asks for a trial. It returns false if no control VM answers.
	RequestTrial(ctx context.Context, r ContentTrialRequest) (ContentTrialAnswer, bool)
	// EndTrial ends a trial that was granted. It does not block.
	EndTrial(granter string, e ContentTrialEnd)
}

// ContentTrialRequest asks for a trial of a content.
type ContentTrialRequest struct {
	Digest  uint64
	Known   recovery.ContentRecord // what this VM knows of the content
	Service string
	Stream  bool
}

// ContentTrialAnswer is the answer to a ContentTrialRequest. If neither Granted nor Wait is
// set, the content needs no trial, or is held back, as Known tells.
type ContentTrialAnswer struct {
	Granter string // the control VM that answered
	Granted bool
	Wait    time.Duration          // until the next request, if a trial is needed and not granted
	Known   recovery.ContentRecord // what the granter knows of the content
}

// ContentTrialEnd is what came of a trial.
type ContentTrialEnd struct {
	Digest uint64
	Known  recovery.ContentRecord // what this VM knows of the content
	NotRun bool                   // no server has run it
}

// noGranterRetryAfter is the Retry-After of a suspect content while no control VM answers,
// about the time that they take to elect another leader.
const noGranterRetryAfter = time.Second

// contentTrial is a trial that was granted to a request.
type contentTrial struct {
	granter    string
	runsBefore int // possible runs of the request before the trial
}

// ran reports whether a server may have run the request since the trial was granted.
func (t *contentTrial) ran(q *request) bool { return q.history.possibleRuns > t.runsBefore }

// maxTrialHold bounds how long a request is held for a trial if no server has received it. The first
// trial ends about then.
const maxTrialHold = time.Second

// doubtPollInterval separates two requests for a trial while deaths are doubtful.
const doubtPollInterval = 100 * time.Millisecond

// noGranterRetryInterval separates two requests for a trial while no control VM answers.
const noGranterRetryInterval = 100 * time.Millisecond

// admitsContent reports whether the next send of a request may carry its content. It waits
// for a trial until holdUntil: servers that die together, as when a zone is lost, make every
// content suspect that ran on two of them. It does not wait once a server has died of a trial. If the content is not admitted, admitsContent sets
// when the caller may retry. Each trial is for one run.
func (h *Handler) admitsContent(q *request, holdUntil time.Time) bool {
	if q.trial != nil && !q.trial.ran(q) {
		return true
	}
	h.endTrial(q)
	for {
		certain := h.opts.SuspectContents.doubtEnds(q.digest) // before the answer, which may rest on it
		wait, admitted := h.requestTrial(q)
		if admitted {
			return true
		}
		if !certain.IsZero() {
			wait = h.waitForDoubt(q, certain)
		}
		if wait == 0 || time.Now().Add(wait).After(holdUntil) || timer.Sleep(q.ctx, wait) != nil {
			return false
		}
		if h.opts.Context.Err() != nil {
			return false // the VM ends, and would not report what came of a trial
		}
		h.Stats.TrialWaits.Inc()
	}
}

// waitForDoubt returns when to ask again for a trial of a content that is blamed for doubtful
// deaths. The caller may retry once they are certain.
func (h *Handler) waitForDoubt(q *request, certain time.Time) time.Duration {
	left := time.Until(certain)
	if left < q.left() && (q.retryAfter == 0 || left < q.retryAfter) {
		q.setRetryAfter(admission.SpreadRetry(left, rand.Float64()))
	}
	return doubtPollInterval
}

// requestTrial asks for a trial of the request's content if it needs one. If the content is
// not admitted, it sets when the caller may retry, and returns when to ask again; 0: the
// content is held back.
func (h *Handler) requestTrial(q *request) (wait time.Duration, admitted bool) {
	standing, until := h.opts.SuspectContents.Standing(q.digest)
	if standing == recovery.ContentOnTrial {
		answer, answered := h.opts.ContentTrials.RequestTrial(q.ctx, ContentTrialRequest{
			Digest: q.digest, Known: h.opts.SuspectContents.record(q.digest), Service: q.service.Name, Stream: q.isStream(),
		})
		if !answered {
			q.setRetryAfter(noGranterRetryAfter)
			return noGranterRetryInterval, false
		}
		if answer.Granted {
			q.trial = &contentTrial{granter: answer.Granter, runsBefore: q.history.possibleRuns}
			h.opts.Log.Info().Str("request", q.RequestID).Uint64("digest", q.digest).Str("granter", answer.Granter).Msg("suspect content is tried")
			return 0, true
		}
		if answer.Wait > 0 {
			q.setRetryAfter(admission.SpreadRetry(answer.Wait, rand.Float64()))
			if answer.Known.DiedOnTrial() {
				return 0, false
			}
			return answer.Wait, false
		}
		standing, until = h.opts.SuspectContents.learnOne(q.digest, answer.Known)
	}
	if standing <= recovery.ContentSuspect {
		return 0, true
	}
	q.setRetryAfter(q.retryAt(until))
	return 0, false
}

// retryAt returns the Retry-After of a request whose content is held until a time; 0: none, since
// the request's deadline is earlier. A content may be held for an hour, and a caller that waits as
// it is told would hang for as long.
func (q *request) retryAt(until time.Time) time.Duration {
	wait := max(noGranterRetryAfter, time.Until(until))
	if wait > q.left() {
		return 0
	}
	return wait
}

// holdUntil returns until when a request may wait for a trial of its content. No other VM can serve
// it earlier. A request that may run once is held no longer than for a server.
func (q *request) holdUntil() time.Time {
	if !q.history.repeatable {
		return q.arrived.Add(time.Duration(maxHoldShare * float64(q.dueTime().Sub(q.arrived))))
	}
	if due := q.dueTime(); q.history.arrivals > 0 && due.Sub(q.arrived) > maxTrialHold {
		return due
	}
	return q.arrived.Add(min(maxTrialHold, q.expires.Sub(q.arrived)))
}

// endTrial ends the trial of a request, if it has one.
func (h *Handler) endTrial(q *request) {
	if q.trial == nil {
		return
	}
	h.opts.ContentTrials.EndTrial(q.trial.granter, ContentTrialEnd{
		Digest: q.digest, Known: h.opts.SuspectContents.record(q.digest), NotRun: !q.trial.ran(q),
	})
	q.trial = nil
}

// localContentTrials grants trials on a VM without control VMs.
type localContentTrials struct {
	mu     sync.Mutex
	trials *recovery.ContentTrials
}

func newLocalContentTrials() *localContentTrials {
	return &localContentTrials{trials: recovery.NewContentTrials()}
}

// RequestTrial implements ContentTrials.
func (l *localContentTrials) RequestTrial(_ context.Context, r ContentTrialRequest) (ContentTrialAnswer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := r.Known.TrialWait(time.Now())
	if wait == 0 {
		wait = l.trials.Request(r.Digest, "", r.Service, r.Stream, time.Now())
	}
	return ContentTrialAnswer{Granted: wait == 0, Wait: wait, Known: r.Known}, true
}

// EndTrial implements ContentTrials.
func (l *localContentTrials) EndTrial(_ string, e ContentTrialEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trials.End(e.Digest, "", e.NotRun)
	if e.Known.Standing(time.Now()) == recovery.ContentFree {
		l.trials.Cleared(e.Digest)
	}
}
