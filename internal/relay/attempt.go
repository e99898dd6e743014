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

// Pauses between tries to find an engine. Others run out of work within tens of
// milliseconds; after an outage a half second more is not noticed.
const (
	pickPauseMin = 20 * time.Millisecond
	pickPauseMax = 500 * time.Millisecond
)

// rejectLimit engines that refuse the request itself are enough to believe it.
const rejectLimit = 2

// drive waits for a slot and runs attempts until the generation has finished,
// was taken over, or cannot go on.
func (r *Run) drive(ctx context.Context) {
	defer r.release()
	if r.attachFirst(ctx) {
		return
	}
	deadline := deadlineOf(r.Request(), time.Now())
	err := r.admitted(ctx)
	for again := true; again && err == nil && ctx.Err() == nil; {
		again, err = r.attempt(ctx, deadline)
	}
	if err != nil && ctx.Err() == nil {
		r.stop(err)
	}
}

func (r *Run) admitted(ctx context.Context) error {
	if r.ticket == nil {
		return nil
	}
	span := r.hub.span(r.Request(), "queue")
	err := r.ticket.Wait(ctx)
	endSpan(span, err)
	return err
}

// attempt runs one attempt and reports whether another is needed.
func (r *Run) attempt(ctx context.Context, deadline time.Time) (bool, error) {
	resume, err := r.pace(ctx, deadline)
	if err != nil {
		return false, err
	}
	defer r.hub.recovery.paced(r.Request().Model, resume)
	choice, err := r.pick(ctx, deadline)
	if err != nil {
		return false, err
	}
	l := r.begin(choice, resume)
	r.began(choice.Backend, &l.completion)
	return r.follow(ctx, l)
}

// pace holds a resume back while the engines are busy with others; the first
// attempt has its slot already.
func (r *Run) pace(ctx context.Context, deadline time.Time) (*recovery.Resume, error) {
	q := r.query()
	if !q.Resume {
		return nil, nil
	}
	req := r.Request()
	resume := &recovery.Resume{Deadline: deadline, Priority: req.Priority, Prefill: q.PrefillTokens()}
	return resume, r.hub.recovery.pace(ctx, req.Model, resume)
}

// pick finds an engine. An accepted request outlives an outage of all engines:
// it waits for one until its deadline or until its caller is gone for good.
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

// ran tells whether any engine was given the request.
func (r *Run) ran() result.Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats.Attempts > 0 || r.owner.Journal().Len() > 0 {
		return result.RanYes
	}
	return result.RanNo
}

// avoidLast is how many engines that failed this request are avoided while
// there are others: older ones have had time to come back.
const avoidLast = 3

func (r *Run) query() Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := r.failed[max(0, len(r.failed)-avoidLast):]
	tokens := r.owner.Journal().Len()
	return Query{
		Request: &r.owner.Request, Tokens: tokens, Resume: r.stats.Attempts > 0 || tokens > 0,
		Affinity: r.hub.recovery.policy.Affinity, Avoid: slices.Clone(avoid),
	}
}

// begin makes a new attempt the one that may append.
func (r *Run) begin(choice Choice, resume *recovery.Resume) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _ := r.owner.BeginAttempt()
	l := r.lane(choice, id.String())
	l.number, l.resume = id.Number, resume
	r.stats.Attempts++
	if r.stats.Attempts > 1 {
		r.stats.ExtraPrefill += max(0, r.owner.Request.PromptTokens()+l.from-choice.Cached)
	}
	r.log.Debug().Str("engine", choice.Backend.Name).Int("attempt", id.Number).Int("from", l.from).Msg("attempt")
	return l
}

// lane needs r.mu.
func (r *Run) lane(choice Choice, label engine.Attempt) *lane {
	req := &r.owner.Request
	j := r.owner.Journal()
	priority := req.Priority
	if r.stats.Attempts > 0 || j.Len() > 0 {
		priority += recovery.ResumePriority
	}
	return &lane{
		choice: choice, from: j.Len(), stream: r.hub.recovery.begin(choice.Backend.Name),
		suspect: r.hub.recovery.standing(req.ContentDigest()) == recovery.Suspect,
		completion: engine.Completion{
			Attempt: label, Model: req.Model, Version: r.owner.Version(), Adapter: req.Adapter,
			Prompt: req.Prompt, PromptIDs: req.PromptIDs, Generated: slices.Clone(j.Tokens),
			MaxTokens: req.MaxTokens, Priority: priority, Stream: true,
			DetachMS: r.hub.cfg.DetachKeep.Milliseconds(),
		},
	}
}

// concluded takes the end of the current attempt and reports whether another one is
// needed.
func (r *Run) concluded(ctx context.Context, l *lane) (bool, error) {
	outcome := l.outcome(ctx)
	l.choice.done(outcome)
	r.hub.recovery.end(l.stream)
	if outcome == OutcomeOK {
		r.hub.recovery.passed(r.Request().ContentDigest(), l.from+r.Request().MaxTokens)
		return false, nil
	}
	if outcome != OutcomeDied && outcome != OutcomeRefused {
		r.endAttempt(l.choice.Backend.Addr, l.completion.Attempt)
	}
	if outcome == OutcomeCancelled {
		return false, nil
	}
	r.lost(l, outcome)
	if outcome == OutcomeUnserved && r.adapterUnserved() {
		return false, result.New(result.AdapterNotServed)
	}
	if outcome == OutcomeRejected && r.reject() >= rejectLimit {
		return false, result.Newf(result.BackendFailed, "the backend servers refuse the request: %v", l.err)
	}
	return true, nil
}

// adapterUnserved counts engines that serve the model and not the request's
// adapter, and reports whether they are enough to believe that none does. Before
// the first token only: an answer that has begun waits for its adapter to return.
func (r *Run) adapterUnserved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner.Request.Adapter == "" || r.owner.Journal().Len() > 0 {
		return false
	}
	r.unserved++
	return r.unserved >= rejectLimit
}

func (r *Run) reject() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
	return r.rejected
}

// lost notes that an attempt's engine is given up.
func (r *Run) lost(l *lane, o Outcome) {
	name := l.choice.Backend.Name
	r.mu.Lock()
	r.failed = append(r.failed, name)
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
		r.resumeSpan = r.hub.span(r.Request(), "resume", attribute.String("lost", name))
	}
	tokens := r.owner.Journal().Len()
	r.mu.Unlock()
	r.hub.metrics.Add("attempts_lost", 1)
	r.hub.metrics.Add("attempts_lost_"+o.String(), 1)
	if o == OutcomeDied {
		r.hub.recovery.died(name, r.Request().ContentDigest(), tokens-l.from)
	}
	r.log.Warn().Err(l.err).Str("engine", name).Stringer("outcome", o).Int("tokens", tokens).Msg("attempt lost; resuming")
	r.hub.note(r.Request().ID, explain.Suspected, fmt.Sprintf("%s: %s after %d tokens", name, o, tokens))
}

// cancelAttempt frees the engine of work that nobody wants any more.
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
