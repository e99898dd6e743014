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

// lane is one attempt on one engine. A hedge is a second lane: it may append
// only after it has become the current attempt by being first with a token.
type lane struct {
	choice     Choice
	completion engine.Completion
	number     int // of the attempt; 0: a hedge that has not won (Run.mu)
	from       int // tokens before it
	events     int // used by the lane's goroutine alone
	stream     *recovery.Stream
	resume     *recovery.Resume
	suspect    bool
	silent     bool // given up for its silence
	slow       bool // given up for its slowness
	cancel     context.CancelFunc
	err        error
}

// launch runs a lane and reports its end.
func (r *Run) launch(ctx context.Context, l *lane, ends chan<- *lane) {
	ctx, l.cancel = context.WithCancel(ctx)
	span := r.hub.span(r.Request(), "attempt", attribute.String("engine", l.choice.Backend.Name), attribute.Int("from", l.from))
	go func() {
		defer func() { endSpan(span, l.err) }()
		defer l.cancel()
		l.err = r.hub.engines.Generate(ctx, l.choice.Backend.Addr, l.completion, func(e engine.Event) error {
			return r.onEvent(l, e)
		})
		ends <- l
	}()
}

// follow runs a lane to its end, gives it up when it is silent for too long,
// and may hedge it before.
func (r *Run) follow(ctx context.Context, l *lane) (bool, error) {
	ends := make(chan *lane, 2)
	r.launch(ctx, l, ends)
	timer := time.NewTimer(checkEvery)
	defer timer.Stop()
	var hedge *lane
	hedged := false
	for {
		select {
		case <-timer.C:
			if hedge != nil && r.won(hedge) {
				l.cancel() // its end follows, and the hedge goes on alone
				continue
			}
			suspect, due, again := r.hub.recovery.check(l.stream, l.from+r.Request().PromptTokens())
			if suspect {
				l.silent = true
				l.cancel()
				continue // its end follows
			}
			if hedge == nil && r.worthMoving(l) {
				l.slow = true
				l.cancel()
				continue
			}
			if due && !hedged {
				hedged = true
				hedge = r.hedge(ctx, l, ends)
			}
			timer.Reset(again)
		case ended := <-ends:
			if ended == hedge && !r.won(hedge) {
				r.discard(hedge)
				hedge = nil
				continue
			}
			if hedge == nil {
				return r.concluded(ctx, ended)
			}
			other := hedge
			if ended == hedge {
				other = l
			}
			if ended.err == nil || ctx.Err() != nil {
				other.cancel()
				r.discard(<-ends)
				return r.concluded(ctx, ended)
			}
			r.giveUp(ctx, ended)
			l, hedge = other, nil
			timer.Reset(checkEvery)
		}
	}
}

// worthMoving reports whether the answer ends sooner elsewhere, within the
// budget of work done twice.
func (r *Run) worthMoving(l *lane) bool {
	slowness := l.choice.slowness()
	if slowness <= 1 {
		return false
	}
	q := r.query()
	left := r.Request().MaxTokens - q.Tokens
	return recovery.WorthMoving(slowness, left, q.PrefillTokens()) && r.hub.recovery.spendMove(q.PrefillTokens())
}

// giveUp settles a lane whose answer goes on in the other one.
func (r *Run) giveUp(ctx context.Context, l *lane) {
	if errors.Is(l.err, generation.ErrStaleAttempt) || r.superseded(l) {
		r.discard(l)
		return
	}
	o := l.outcome(ctx)
	l.choice.done(o)
	r.hub.recovery.end(l.stream)
	r.lost(l, o)
}

func (r *Run) superseded(l *lane) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.number != 0 && l.number != r.current
}

func (r *Run) won(l *lane) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.number != 0
}

// discard settles a lane whose tokens are thrown away.
func (r *Run) discard(l *lane) {
	l.choice.done(OutcomeCancelled)
	r.hub.recovery.end(l.stream)
	r.endAttempt(l.choice.Backend.Addr, l.completion.Attempt)
}

// hedge starts a second lane on another engine if the budget allows it.
func (r *Run) hedge(ctx context.Context, l *lane, ends chan<- *lane) *lane {
	q := r.query()
	q.Resume = true
	q.Avoid = append(q.Avoid, l.choice.Backend.Name)
	if !r.hub.recovery.spendHedge(q.PrefillTokens()) {
		return nil
	}
	choice, err := r.hub.router.Pick(ctx, q)
	if err != nil {
		return nil
	}
	if choice.Backend.Name == l.choice.Backend.Name {
		choice.done(OutcomeCancelled)
		return nil
	}
	r.mu.Lock()
	h := r.lane(choice, l.completion.Attempt+"-hedge")
	r.stats.ExtraPrefill += q.PrefillTokens()
	r.mu.Unlock()
	r.hub.metrics.Add("hedges", 1)
	r.hub.note(r.Request().ID, explain.Suspected, fmt.Sprintf("%s is silent; hedged on %s", l.choice.Backend.Name, choice.Backend.Name))
	r.launch(ctx, h, ends)
	return h
}

var errForeignEvent = errors.New("relay: event of another attempt")

func (r *Run) onEvent(l *lane, e engine.Event) error {
	if e.Attempt != l.completion.Attempt {
		r.hub.metrics.Add("events_foreign", 1)
		return errForeignEvent
	}
	span := generation.Span{From: e.Index - len(e.TokenIDs), Tokens: e.TokenIDs, Texts: e.Texts}
	err := r.update(func() error {
		if err := r.claim(l); err != nil {
			r.stats.ExtraDecoded += len(e.TokenIDs)
			return err
		}
		if err := r.pin(e); err != nil {
			return err
		}
		r.noteResumed()
		return r.owner.Append(l.number, span, e.Finish, r.usage(e))
	})
	if err != nil {
		return err
	}
	r.hub.journals.mark(r)
	r.progress(l, e)
	return nil
}

// pin takes the event's model version as the answer's, or refuses an event of
// another version: its tokens would belong to another generation. Needs r.mu.
func (r *Run) pin(e engine.Event) error {
	pinned := r.owner.Version()
	if pinned != "" && e.Version != "" && e.Version != pinned {
		r.hub.metrics.Add("events_of_another_version", 1)
		return errForeignEvent
	}
	r.owner.PinVersion(e.Version)
	return nil
}

// claim makes a hedge the current attempt with its first token, unless the
// first lane has gone on in the meantime: then the hedge's tokens no longer
// follow the journal, and it has lost. Needs r.mu.
func (r *Run) claim(l *lane) error {
	switch {
	case l.number != 0:
		r.current = max(r.current, l.number)
		return nil
	case r.owner.Journal().Len() != l.from:
		return generation.ErrStaleAttempt
	}
	id, _ := r.owner.BeginAttempt()
	l.number, r.current = id.Number, id.Number
	r.owner.SetSource(l.source())
	r.stats.Attempts++
	r.hub.metrics.Add("hedges_won", 1)
	return nil
}

func (l *lane) source() generation.Source {
	b := l.choice.Backend
	return generation.Source{Backend: b.Name, Addr: b.Addr, Attempt: l.completion.Attempt, From: l.from}
}

// progress tells the policies of an event.
func (r *Run) progress(l *lane, e engine.Event) {
	model := r.Request().Model
	if l.events == 0 && l.resume != nil {
		r.hub.recovery.paced(model, l.resume)
	}
	l.events++
	if e.Index == len(e.TokenIDs) && r.ticket != nil {
		r.ticket.FirstToken()
	}
	r.hub.recovery.event(l.stream, len(e.TokenIDs))
	l.choice.progress(len(e.TokenIDs))
	if l.suspect && r.hub.recovery.passed(r.Request().ContentDigest(), e.Index-l.from) {
		l.suspect = false
		l.choice.cleared()
	}
}

// noteResumed needs r.mu.
func (r *Run) noteResumed() {
	if r.lostAt.IsZero() {
		return
	}
	r.stats.ResumeLatency = append(r.stats.ResumeLatency, time.Since(r.lostAt))
	r.resumeSpan.End()
	r.lostAt = time.Time{}
}

// outcome classifies a lane's end.
func (l *lane) outcome(ctx context.Context) Outcome {
	switch {
	case l.err == nil:
		return OutcomeOK
	case l.silent:
		return OutcomeSuspected
	case l.slow:
		return OutcomeSlow
	case errors.Is(l.err, generation.ErrDeposed), ctx.Err() != nil:
		return OutcomeCancelled
	default:
		return classify(l.err)
	}
}

// classify tells an engine's death from its refusal. Only a death is blamed on
// the requests that ran there, and only a refused connection proves at once
// that nothing serves.
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
