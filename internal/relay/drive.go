package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/result"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"go.opentelemetry.io/otel/attribute"
)

// Pauses between tries to find an engine. A busy engine becomes free within tens of
// milliseconds. After an outage, an additional half second is not noticeable.
const (
	pickPauseMin = 20 * time.Millisecond
	pickPauseMax = 500 * time.Millisecond
)

// rejectLimit is the number of engines that must reject a request before it counts as
// invalid.
const rejectLimit = 2

// drive waits for a slot and runs attempts until the generation has finished, has
// been taken over by another VM, or cannot continue.
func (r *Run) drive(ctx context.Context) {
	defer r.release()
	if r.attachToSource(ctx) {
		return
	}
	deadline := deadlineOf(r.Request(), time.Now())
	err := r.awaitSlot(ctx)
	for again := true; again && err == nil && ctx.Err() == nil; {
		again, err = r.runAttempt(ctx, deadline)
	}
	if err != nil && ctx.Err() == nil {
		r.stop(err)
	}
}

func (r *Run) awaitSlot(ctx context.Context) error {
	if r.ticket == nil {
		return nil
	}
	span := r.hub.span(r.Request(), "queue")
	err := r.ticket.Wait(ctx)
	endSpan(span, err)
	return err
}

// runAttempt runs one attempt and reports whether another one is needed.
func (r *Run) runAttempt(ctx context.Context, deadline time.Time) (bool, error) {
	resume, err := r.pace(ctx, deadline)
	if err != nil {
		return false, err
	}
	defer r.hub.recovery.releaseResume(r.Request().Model, resume)
	choice, err := r.pick(ctx, deadline)
	if err != nil {
		return false, err
	}
	a := r.begin(choice, resume)
	r.recordSource(choice.Backend, &a.completion)
	return r.follow(ctx, a)
}

// pace delays a resume while the engines are busy with other resumes. The first
// attempt is not delayed, because it already has its slot.
func (r *Run) pace(ctx context.Context, deadline time.Time) (*recovery.Resume, error) {
	q := r.query()
	if !q.Resume {
		return nil, nil
	}
	req := r.Request()
	resume := &recovery.Resume{Deadline: deadline, Priority: req.Priority, Prefill: q.PrefillTokens()}
	return resume, r.hub.recovery.pace(ctx, req.Model, resume)
}

// pick finds an engine. An accepted request survives an outage of all engines: it
// waits for an engine until its deadline, or until its run is stopped because the
// caller has not come back.
func (r *Run) pick(ctx context.Context, deadline time.Time) (Choice, error) {
	req := r.Request()
	digest := req.ContentDigest()
	pause := pickPauseMin
	for waited := false; ; waited = true {
		q := r.query()
		if err := r.hub.recovery.refusePoison(digest, r.ran()); err != nil {
			r.hub.note(req.ID, explain.Refused, err.Error())
			return Choice{}, err
		}
		q.Suspect = r.hub.recovery.standing(digest) == recovery.Suspect
		choice, err := r.hub.router.Pick(ctx, q)
		if err == nil {
			r.notePlaced(&choice, &q)
			return choice, nil
		}
		if !errors.Is(err, result.New(result.NoBackendServer)) {
			return Choice{}, err
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return Choice{}, result.New(result.DeadlinePassed).WithRan(r.ran())
		}
		if !waited {
			r.hub.metrics.Add("waits_for_engine", 1)
			r.hub.note(req.ID, explain.Queued, "no engine can take it now")
		}
		if err := timer.Sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return Choice{}, err
		}
		pause = min(2*pause, pickPauseMax)
	}
}

func (r *Run) notePlaced(c *Choice, q *Query) {
	what, why := explain.Placed, fmt.Sprintf("on %s in %s", c.Backend.Name, c.Backend.Zone)
	if q.Resume {
		what, why = explain.Resumed, fmt.Sprintf("on %s in %s behind %d tokens", c.Backend.Name, c.Backend.Zone, q.Tokens)
	}
	if c.Cached > 0 {
		why += fmt.Sprintf(", %d prompt tokens cached there", c.Cached)
	}
	if q.Suspect {
		why += ", alone: its last engine died"
	}
	r.hub.note(r.Request().ID, what, why)
}

// ran reports whether the request was sent to any engine.
func (r *Run) ran() result.Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats.Attempts > 0 || r.owner.Journal().Len() > 0 {
		return result.RanYes
	}
	return result.RanNo
}

// maxAvoided is how many of the engines that failed this request are avoided while
// others are available. Engines that failed earlier have had time to recover.
const maxAvoided = 3

func (r *Run) query() Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := r.failedEngines[max(0, len(r.failedEngines)-maxAvoided):]
	tokens := r.owner.Journal().Len()
	return Query{
		Request: &r.owner.Request, Tokens: tokens, Resume: r.stats.Attempts > 0 || tokens > 0,
		Affinity: r.hub.recovery.policy.Affinity, Avoid: slices.Clone(avoid),
	}
}

// begin starts a new attempt, which becomes the only one that may append.
func (r *Run) begin(choice Choice, resume *recovery.Resume) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _ := r.owner.BeginAttempt()
	a := r.newAttempt(choice, id.String())
	a.number, a.resume = id.Number, resume
	r.stats.Attempts++
	if r.stats.Attempts > 1 {
		r.stats.ExtraPrefill += max(0, r.owner.Request.PromptTokens()+a.from-choice.Cached)
	}
	r.log.Debug().Str("engine", choice.Backend.Name).Int("attempt", id.Number).Int("from", a.from).Msg("attempt started")
	return a
}

// newAttempt builds an attempt that continues the journal. It needs r.mu.
func (r *Run) newAttempt(choice Choice, attemptID engine.Attempt) *attempt {
	req := &r.owner.Request
	j := r.owner.Journal()
	priority := req.Priority
	if r.stats.Attempts > 0 || j.Len() > 0 {
		priority += recovery.ResumePriority
	}
	return &attempt{
		choice: choice, from: j.Len(), stream: r.hub.recovery.begin(choice.Backend.Name),
		suspect: r.hub.recovery.standing(req.ContentDigest()) == recovery.Suspect,
		completion: engine.Completion{
			Attempt: attemptID, Model: req.Model, Version: r.owner.Version(), Adapter: req.Adapter,
			Prompt: req.Prompt, PromptIDs: req.PromptIDs, Generated: slices.Clone(j.Tokens),
			MaxTokens: req.MaxTokens, Priority: priority, Stream: true,
			DetachMS: r.hub.cfg.DetachKeep.Milliseconds(),
		},
	}
}

// endCurrent settles the current attempt after it has ended. It reports the outcome to
// the router, records a loss, and cancels the attempt on its engine if that may still be
// running it. It returns true if another attempt has to continue the answer. It returns
// false after a complete answer or a cancellation. It returns an error if the request
// cannot be served: its adapter is not served, or engines keep rejecting it as invalid.
func (r *Run) endCurrent(ctx context.Context, a *attempt) (bool, error) {
	outcome := a.outcome(ctx)
	a.choice.done(outcome)
	r.hub.recovery.end(a.stream)
	if outcome == OutcomeOK {
		r.hub.recovery.noteProgress(r.Request().ContentDigest(), a.from+r.Request().MaxTokens)
		return false, nil
	}
	r.endLost(a, outcome)
	if outcome == OutcomeCancelled {
		return false, nil
	}
	r.recordLoss(a, outcome)
	if outcome == OutcomeUnserved && r.adapterUnserved() {
		return false, result.New(result.AdapterNotServed)
	}
	if outcome == OutcomeRejected && r.countRejection() >= rejectLimit {
		return false, result.Newf(result.BackendFailed, "the backend servers refuse the request: %v", a.err)
	}
	return true, nil
}

// adapterUnserved counts an engine that serves the model without the request's
// adapter, and reports whether rejectLimit engines have been counted. It counts only
// before the first token: an answer that has begun waits until an engine serves its
// adapter again.
func (r *Run) adapterUnserved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner.Request.Adapter == "" || r.owner.Journal().Len() > 0 {
		return false
	}
	r.adapterRefusals++
	return r.adapterRefusals >= rejectLimit
}

func (r *Run) countRejection() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejections++
	return r.rejections
}

// recordLoss records that an attempt has failed and starts the measurement of the
// resume latency.
func (r *Run) recordLoss(a *attempt, o Outcome) {
	name := a.choice.Backend.Name
	r.mu.Lock()
	r.failedEngines = append(r.failedEngines, name)
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
		r.resumeSpan = r.hub.span(r.Request(), "resume", attribute.String("lost", name))
	}
	tokens := r.owner.Journal().Len()
	r.mu.Unlock()
	r.hub.metrics.Add("attempts_lost", 1)
	r.hub.metrics.Add("attempts_lost_"+o.String(), 1)
	if o == OutcomeDied {
		r.hub.recovery.died(name, r.Request().ContentDigest(), tokens-a.from)
	}
	r.log.Warn().Err(a.err).Str("engine", name).Stringer("outcome", o).Int("tokens", tokens).Msg("attempt lost; resuming")
	r.hub.note(r.Request().ID, explain.Suspected, fmt.Sprintf("%s: %s after %d tokens", name, o, tokens))
}

// cancelAttempt cancels an attempt on its engine in the background.
func (r *Run) cancelAttempt(addr string, id engine.Attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		_ = r.hub.engines.Cancel(ctx, addr, id)
	}()
}

func (r *Run) usage(e engine.Event) generation.Usage {
	if e.Usage == nil {
		return generation.Usage{}
	}
	return generation.Usage{PromptTokens: e.Usage.Prompt, CompletionTokens: e.Index}
}
