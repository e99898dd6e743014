package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"

	"go.opentelemetry.io/otel/attribute"
)

// attempt is one attempt to generate the rest of an answer on one engine. A hedge is a
// second attempt that runs beside a silent one, for maxOverlap at most. Only the current
// attempt appends tokens to the journal. A hedge becomes the current attempt when its first
// token arrives, unless the other attempt has appended tokens since the hedge began; see claim.
type attempt struct {
	choice     Choice
	completion engine.Completion
	number     int // 0: a hedge that has not won; guarded by Run.mu
	from       int // number of tokens before the attempt
	events     int // used only by the goroutine that launch starts
	stream     *recovery.Stream
	resume     *recovery.Resume
	begun      time.Time
	suspect    bool
	silent     bool // abandoned because the engine was silent
	slow       bool // abandoned because the engine was slow
	cancel     context.CancelFunc
	err        error
}

// maxOverlap bounds how long two engines may work on one request. It leaves time for a
// check that comes late and for the order that cancels an attempt.
const maxOverlap = 200 * time.Millisecond

// launch starts an attempt and sends it to ends when it has ended.
func (r *Run) launch(ctx context.Context, a *attempt, ends chan<- *attempt) {
	ctx, a.cancel = context.WithCancel(ctx)
	a.begun = time.Now()
	span := r.hub.span(r.Request(), "attempt", attribute.String("engine", a.choice.Backend.Name), attribute.Int("from", a.from))
	go func() {
		defer func() { endSpan(span, a.err) }()
		defer a.cancel()
		a.err = r.hub.engines.Generate(ctx, a.choice.Backend.Addr, a.completion, func(e engine.Event) error {
			return r.onEvent(a, e)
		})
		ends <- a
	}()
}

// follow runs an attempt until it ends. It may hedge a silent attempt, and abandons
// one that stays silent for too long or whose engine is too slow. It reports whether
// another attempt is needed.
func (r *Run) follow(ctx context.Context, a *attempt) (bool, error) {
	ends := make(chan *attempt, 2)
	r.launch(ctx, a, ends)
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	var hedge *attempt
	hedged := false
	for {
		select {
		case <-timer.C:
			if hedge != nil && r.endOverlap(a, hedge) {
				continue // one of the two is then received from ends
			}
			suspect, due, again := r.hub.recovery.check(a.stream, a.from+r.Request().PromptTokens())
			if suspect {
				a.silent = true
				a.cancel()
				continue // the attempt is then received from ends
			}
			if hedge == nil && r.worthMoving(a) {
				a.slow = true
				a.cancel()
				continue
			}
			if due && !hedged {
				hedged = true
				hedge = r.hedge(ctx, a, ends)
			}
			timer.Reset(again)
		case ended := <-ends:
			if ended == hedge && !r.hasWon(hedge) {
				r.discard(hedge)
				hedge = nil
				timer.Reset(checkInterval)
				continue
			}
			if hedge == nil {
				return r.endCurrent(ctx, ended)
			}
			other := hedge
			if ended == hedge {
				other = a
			}
			if ended.err == nil || ctx.Err() != nil {
				other.cancel()
				r.discard(<-ends)
				return r.endCurrent(ctx, ended)
			}
			r.settleFailed(ctx, ended)
			a, hedge = other, nil
			timer.Reset(checkInterval)
		}
	}
}

// endOverlap cancels an attempt or its hedge once one of them is not needed, and the attempt
// before after maxOverlap. It reports whether it did.
func (r *Run) endOverlap(a, hedge *attempt) bool {
	r.mu.Lock()
	won, isStale := hedge.number != 0, r.owner.Journal().Len() != hedge.from
	r.mu.Unlock()
	switch {
	case won:
		a.cancel()
	case isStale:
		hedge.cancel()
	case time.Since(hedge.begun) >= maxOverlap:
		a.silent = true
		a.cancel()
	default:
		return false
	}
	return true
}

// worthMoving reports whether the answer would finish sooner on another engine and
// the budget of extra work allows the move, which it then charges.
func (r *Run) worthMoving(a *attempt) bool {
	slowness := a.choice.slowness()
	if slowness <= 1 {
		return false
	}
	q := r.query()
	left := r.Request().MaxTokens - q.Tokens
	return recovery.WorthMoving(slowness, left, q.PrefillTokens()) && r.hub.recovery.spendMove(q.PrefillTokens())
}

// settleFailed settles an attempt whose answer continues in the other attempt.
func (r *Run) settleFailed(ctx context.Context, a *attempt) {
	if errors.Is(a.err, generation.ErrStaleAttempt) || r.superseded(a) {
		r.discard(a)
		return
	}
	o := a.outcome(ctx)
	a.choice.done(o)
	r.hub.recovery.end(a.stream)
	r.endLost(a, o)
	r.recordLoss(a, o)
}

// endLost cancels a failed attempt on its engine. An engine whose connection broke may be alive, and
// would work on until the attempt's detach time has passed.
func (r *Run) endLost(a *attempt, o Outcome) {
	if o != OutcomeRefused {
		r.endAttempt(a.choice.Backend.Addr, a.completion.Attempt)
	}
}

func (r *Run) superseded(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.number != 0 && a.number != r.current
}

func (r *Run) hasWon(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.number != 0
}

// discard settles an attempt whose tokens are discarded.
func (r *Run) discard(a *attempt) {
	a.choice.done(OutcomeCancelled)
	r.hub.recovery.end(a.stream)
	r.endAttempt(a.choice.Backend.Addr, a.completion.Attempt)
}

// hedge starts a second attempt on another engine if the budget allows it.
func (r *Run) hedge(ctx context.Context, a *attempt, ends chan<- *attempt) *attempt {
	q := r.query()
	q.Resume = true
	q.Avoid = append(q.Avoid, a.choice.Backend.Name)
	if !r.hub.recovery.spendHedge(q.PrefillTokens()) {
		return nil
	}
	choice, err := r.hub.router.Pick(ctx, q)
	if err != nil {
		return nil
	}
	if choice.Backend.Name == a.choice.Backend.Name {
		choice.done(OutcomeCancelled)
		return nil
	}
	r.mu.Lock()
	hedge := r.newAttempt(choice, a.completion.Attempt+"-hedge")
	r.stats.ExtraPrefill += q.PrefillTokens()
	r.mu.Unlock()
	r.hub.metrics.Add("hedges", 1)
	r.hub.note(r.Request().ID, explain.Suspected, fmt.Sprintf("%s is silent; hedged on %s", a.choice.Backend.Name, choice.Backend.Name))
	r.launch(ctx, hedge, ends)
	return hedge
}

var errForeignEvent = errors.New("relay: event of another attempt")

func (r *Run) onEvent(a *attempt, e engine.Event) error {
	if e.Attempt != a.completion.Attempt {
		r.hub.metrics.Add("events_foreign", 1)
		return errForeignEvent
	}
	span := generation.Span{From: e.Index - len(e.TokenIDs), Tokens: e.TokenIDs, Texts: e.Texts}
	err := r.update(func() error {
		if err := r.claim(a); err != nil {
			r.stats.ExtraDecoded += len(e.TokenIDs)
			return err
		}
		if err := r.pin(e); err != nil {
			return err
		}
		r.noteResumed()
		return r.owner.Append(a.number, span, e.Finish, r.usage(e))
	})
	if err != nil {
		return err
	}
	r.hub.replicator.mark(r)
	r.progress(a, e)
	return nil
}

// pin fixes the answer's model version to that of its first event. It refuses an
// event of any other version, whose tokens would belong to a different generation.
// It needs r.mu.
func (r *Run) pin(e engine.Event) error {
	pinned := r.owner.Version()
	if pinned != "" && e.Version != "" && e.Version != pinned {
		r.hub.metrics.Add("events_of_another_version", 1)
		return errForeignEvent
	}
	r.owner.PinVersion(e.Version)
	return nil
}

// claim makes a hedge the current attempt when its first token arrives. It fails if
// the first attempt has appended tokens in the meantime, because the hedge's tokens
// then no longer continue the journal. It needs r.mu.
func (r *Run) claim(a *attempt) error {
	switch {
	case a.number != 0:
		r.current = max(r.current, a.number)
		return nil
	case r.owner.Journal().Len() != a.from:
		return generation.ErrStaleAttempt
	}
	id, _ := r.owner.BeginAttempt()
	a.number, r.current = id.Number, id.Number
	r.owner.SetSource(a.source())
	r.stats.Attempts++
	r.hub.metrics.Add("hedges_won", 1)
	return nil
}

func (a *attempt) source() generation.Source {
	b := a.choice.Backend
	return generation.Source{Backend: b.Name, Addr: b.Addr, Attempt: a.completion.Attempt, From: a.from}
}

// progress reports an event to admission, recovery and the router.
func (r *Run) progress(a *attempt, e engine.Event) {
	model := r.Request().Model
	if a.events == 0 && a.resume != nil {
		r.hub.recovery.releaseResume(model, a.resume)
	}
	a.events++
	if e.Index == len(e.TokenIDs) && r.ticket != nil {
		r.ticket.FirstToken()
	}
	r.hub.recovery.event(a.stream, len(e.TokenIDs))
	a.choice.progress(len(e.TokenIDs))
	if a.suspect && r.hub.recovery.noteProgress(r.Request().ContentDigest(), e.Index-a.from) {
		a.suspect = false
		a.choice.cleared()
	}
}

// noteResumed records the latency of a resume at its first token. It needs r.mu.
func (r *Run) noteResumed() {
	if r.lostAt.IsZero() {
		return
	}
	r.stats.ResumeLatency = append(r.stats.ResumeLatency, time.Since(r.lostAt))
	r.resumeSpan.End()
	r.lostAt = time.Time{}
}

// outcome classifies the end of an attempt.
func (a *attempt) outcome(ctx context.Context) Outcome {
	switch {
	case a.err == nil:
		return OutcomeOK
	case a.silent:
		return OutcomeSuspected
	case a.slow:
		return OutcomeSlow
	case errors.Is(a.err, generation.ErrDeposed), ctx.Err() != nil:
		return OutcomeCancelled
	default:
		return classify(a.err)
	}
}

// classify maps an error to an outcome. It distinguishes an engine's death from a
// refusal: only a death makes the requests that ran there suspects, and only a
// refused connection proves immediately that no engine listens there.
func classify(err error) Outcome {
	var status *engine.StatusError
	var op *net.OpError
	switch {
	case errors.As(err, &status):
		return classifyStatus(status.Status)
	case errors.As(err, &op) && op.Op == "dial":
		return OutcomeRefused
	case errors.Is(err, errForeignEvent), errors.Is(err, generation.ErrStaleAttempt):
		return OutcomeFailed
	default:
		return OutcomeDied
	}
}

func classifyStatus(status int) Outcome {
	switch status {
	case http.StatusNotFound:
		return OutcomeUnserved
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return OutcomeOverloaded
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return OutcomeRejected
	default:
		return OutcomeFailed
	}
}
