package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// drive runs attempts until the generation has finished, was taken over, or
// cannot go on.
func (r *Run) drive(ctx context.Context) {
	defer r.release()
	if r.attachFirst(ctx) {
		return
	}
	if r.ticket != nil {
		if err := r.ticket.Wait(ctx); err != nil {
			r.stop(err)
			return
		}
	}
	for ctx.Err() == nil {
		again, err := r.attempt(ctx)
		if err != nil {
			r.stop(err)
			return
		}
		if !again {
			return
		}
	}
}

// attempt runs one attempt and reports whether another is needed.
func (r *Run) attempt(ctx context.Context) (bool, error) {
	choice, err := r.hub.router.Pick(ctx, r.query())
	if err != nil {
		return false, err
	}
	id, c := r.begin()
	r.began(choice.Backend, &c)
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(r.hub.cfg.SilenceLimit, cancel)
	defer silence.Stop()
	r.log.Debug().Str("engine", choice.Backend.Name).Int("attempt", id.Number).Int("from", len(c.Generated)).Msg("attempt")
	err = r.hub.engines.Generate(actx, choice.Backend.Addr, c, func(e engine.Event) error {
		silence.Reset(r.hub.cfg.SilenceLimit)
		return r.onEvent(id, e)
	})
	switch {
	case err == nil:
		choice.Done(OutcomeOK)
		return false, nil
	case errors.Is(err, generation.ErrDeposed), ctx.Err() != nil:
		choice.Done(OutcomeCancelled)
		r.endAttempt(choice.Backend.Addr, c.Attempt)
		return false, nil
	case actx.Err() != nil:
		choice.Done(OutcomeSuspected)
		r.cancelAttempt(choice.Backend.Addr, c.Attempt)
	default:
		choice.Done(OutcomeFailed)
	}
	r.lost(choice.Backend.Name, err)
	return true, nil
}

func (r *Run) query() Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Query{
		Request: &r.owner.Request, Tokens: r.owner.Journal().Len(),
		Resume: r.stats.Attempts > 0, Avoid: slices.Clone(r.failed),
	}
}

func (r *Run) begin() (generation.AttemptID, engine.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _ := r.owner.BeginAttempt()
	r.stats.Attempts++
	req := &r.owner.Request
	j := r.owner.Journal()
	if r.stats.Attempts > 1 {
		r.stats.ExtraPrefill += req.PromptTokens() + j.Len()
	}
	return id, engine.Completion{
		Attempt: id.String(), Model: req.Model, Version: req.Version, Adapter: req.Adapter,
		Prompt: req.Prompt, PromptIDs: req.PromptIDs, Generated: slices.Clone(j.Tokens),
		MaxTokens: req.MaxTokens, Priority: req.Priority, Stream: true,
		DetachMS: r.hub.cfg.DetachKeep.Milliseconds(),
	}
}

var errForeignEvent = errors.New("relay: event of another attempt")

func (r *Run) onEvent(id generation.AttemptID, e engine.Event) error {
	if e.Attempt != id.String() {
		r.hub.metrics.Add("events_foreign", 1)
		return errForeignEvent
	}
	span := generation.Span{From: e.Index - len(e.TokenIDs), Tokens: e.TokenIDs, Texts: e.Texts}
	err := r.update(func() error {
		r.noteResumed()
		return r.owner.Append(id.Number, span, e.Finish, r.usage(e))
	})
	if err == nil {
		r.hub.journals.mark(r)
	}
	return err
}

func (r *Run) noteResumed() {
	if r.lostAt.IsZero() {
		return
	}
	r.stats.ResumeLatency = append(r.stats.ResumeLatency, time.Since(r.lostAt))
	r.lostAt = time.Time{}
}

func (r *Run) usage(e engine.Event) generation.Usage {
	if e.Usage == nil {
		return generation.Usage{}
	}
	return generation.Usage{PromptTokens: e.Usage.Prompt, CompletionTokens: e.Index}
}

func (r *Run) lost(backend string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, backend)
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
	r.hub.metrics.Add("attempts_lost", 1)
	r.log.Warn().Err(err).Str("engine", backend).Int("tokens", r.owner.Journal().Len()).Msg("attempt lost; resuming")
}

// cancelAttempt frees the engine of work that nobody wants any more.
func (r *Run) cancelAttempt(addr string, id engine.Attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		_ = r.hub.engines.Cancel(ctx, addr, id)
	}()
}
