package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// Generate runs a completion in process. It has the signature of engine.Client.Generate.
func (e *Engine) Generate(ctx context.Context, _ string, c engine.Completion, on func(engine.Event) error) error {
	r, err := e.submit(c)
	if errors.Is(err, errNotServed) {
		return errors.Join(err, &engine.StatusError{Status: http.StatusNotFound, Body: err.Error()})
	}
	if err != nil {
		return err
	}
	return e.streamEvents(ctx, r, len(c.Generated), on)
}

// Attach reads the events of a run that follow the token at index from.
func (e *Engine) Attach(ctx context.Context, _ string, id engine.Attempt, from int, on func(engine.Event) error) error {
	e.mu.Lock()
	r := e.runs[id]
	e.mu.Unlock()
	if r == nil {
		return errNoRun
	}
	return e.streamEvents(ctx, r, from, on)
}

// Cancel ends a run.
func (e *Engine) Cancel(_ context.Context, _ string, id engine.Attempt) error {
	e.cancel(id)
	return nil
}

func (e *Engine) streamEvents(ctx context.Context, r *run, from int, on func(engine.Event) error) error {
	e.attachReader(r)
	defer e.detachReader(r)
	for {
		event, ok, changed, err := e.nextEvent(r, from)
		if err != nil {
			return err
		}
		if !ok {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := e.delayEvent(ctx); err != nil {
			return err
		}
		if err := on(event); err != nil {
			return err
		}
		from = event.Index
		if event.Finish != "" {
			return nil
		}
	}
}

// delayEvent waits while the engine is paused, and for the delay of events.
func (e *Engine) delayEvent(ctx context.Context) error {
	e.mu.Lock()
	wait := max(time.Until(e.faults.pausedUntil), e.faults.eventDelay)
	e.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) attachReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers++
	r.detachedAt = time.Time{}
}

// detachReader removes a reader of a run. A run without readers is kept for its detach
// time.
func (e *Engine) detachReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 {
		return
	}
	r.detachedAt = time.Now()
	if r.req.DetachMS == 0 || r.finish != "" {
		e.endRun(r.req.Attempt, r)
	}
}

func (e *Engine) nextEvent(r *run, from int) (engine.Event, bool, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.err != nil {
		return engine.Event{}, false, nil, r.err
	}
	if len(r.tokens) <= from && r.finish == "" {
		return engine.Event{}, false, r.changed, nil
	}
	event := engine.Event{Attempt: e.attemptLabel(r), Index: len(r.tokens), TokenIDs: append([]int32(nil), r.tokens[from:]...), Texts: []string{}, Version: r.version}
	for _, t := range event.TokenIDs {
		event.Texts = append(event.Texts, TextOf(t))
	}
	if r.finish != "" {
		usage := r.usage
		event.Finish, event.Usage = r.finish, &usage
	}
	return event, true, nil, nil
}

// attemptLabel returns the run's attempt id, or that of another run if attempt ids are
// swapped.
func (e *Engine) attemptLabel(r *run) engine.Attempt {
	if !e.faults.swapAttemptIDs {
		return r.req.Attempt
	}
	for id := range e.runs {
		if id != r.req.Attempt {
			return id
		}
	}
	return r.req.Attempt + "?"
}
