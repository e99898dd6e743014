package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
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

// admitsContent reports whether the next send of a request may carry its content. If not,
// it sets when the caller may retry. Each trial is for one run.
func (h *Handler) admitsContent(q *request) bool {
	if q.trial != nil && !q.trial.ran(q) {
		return true
	}
	h.endTrial(q)
	standing, until := h.opts.SuspectContents.Standing(q.digest)
	if standing == recovery.ContentOnTrial {
		answer, answered := h.opts.ContentTrials.RequestTrial(q.ctx, ContentTrialRequest{
			Digest: q.digest, Known: h.opts.SuspectContents.record(q.digest), Service: q.service.Name, Stream: q.isStream(),
		})
		if !answered {
			q.setRetryAfter(noGranterRetryAfter)
			return false
		}
		if answer.Granted {
			q.trial = &contentTrial{granter: answer.Granter, runsBefore: q.history.possibleRuns}
			h.opts.Log.Info().Str("request", q.RequestID).Uint64("digest", q.digest).Str("granter", answer.Granter).Msg("suspect content is tried")
			return true
		}
		if answer.Wait > 0 {
			q.setRetryAfter(admission.SpreadRetry(answer.Wait, rand.Float64()))
			return false
		}
		standing, until = h.opts.SuspectContents.learnOne(q.digest, answer.Known)
	}
	if standing <= recovery.ContentSuspect {
		return true
	}
	q.setRetryAfter(max(noGranterRetryAfter, time.Until(until)))
	return false
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
