package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"

	"go.opentelemetry.io/otel/attribute"
)

// attachOverlap is how many tokens of the journal a new owner reads again from
// the stream that it attaches to. They must be equal: a stream of another
// attempt that slipped in would differ within a few tokens.
const attachOverlap = 8

var errSourceDiffers = errors.New("relay: the engine's stream does not continue the journal")

// attachFirst goes on with the stream that the former owner left on an engine,
// which saves the prefill of prompt and journal. The attempt is a new one of
// this epoch; the old attempt's id is only the label that its events carry here,
// on a connection of this owner's own. It reports whether the run needs no
// further attempt.
func (r *Run) attachFirst(ctx context.Context) bool {
	src := r.source
	if src == nil {
		return false
	}
	r.source = nil
	id, from := r.beginAttach(*src)
	r.hub.note(r.Request().ID, explain.Resumed, fmt.Sprintf("attached to the stream on %s behind %d tokens", src.Backend, from))
	span := r.hub.span(r.Request(), "attempt", attribute.String("engine", src.Backend), attribute.Int("from", from), attribute.Bool("attached", true))
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := r.hub.recovery.begin(src.Backend)
	defer r.hub.recovery.end(stream)
	go r.hub.recovery.cancelSilent(actx, cancel, stream)
	err := r.hub.engines.Attach(actx, src.Addr, src.Attempt, from, func(e engine.Event) error {
		err := r.onAttached(id, src.Attempt, e)
		if err == nil {
			r.hub.recovery.event(stream, len(e.TokenIDs))
		}
		return err
	})
	endSpan(span, err)
	if err == nil {
		r.hub.metrics.Add("attached", 1)
		return true
	}
	if ctx.Err() != nil || errors.Is(err, generation.ErrDeposed) {
		r.endAttempt(src.Addr, src.Attempt)
		return true
	}
	r.hub.metrics.Add("attach_failed", 1)
	r.log.Info().Err(err).Str("engine", src.Backend).Msg("stream of the former owner is gone; resuming")
	r.cancelAttempt(src.Addr, src.Attempt)
	return false
}

// cancelSilent ends an attached stream once its engine is suspected. There is
// nothing to prefill: a stream that is there goes on at once.
func (c *recoverer) cancelSilent(ctx context.Context, cancel context.CancelFunc, s *recovery.Stream) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if suspect, _, _ := c.check(s, 0); suspect {
			cancel()
			return
		}
	}
}

// beginAttach returns the attempt and the index to read from.
func (r *Run) beginAttach(src generation.Source) (generation.AttemptID, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, n := r.owner.BeginAttempt()
	r.owner.SetSource(src)
	overlap := min(attachOverlap, max(0, n-src.From))
	return id, n - overlap
}

func (r *Run) onAttached(id generation.AttemptID, label engine.Attempt, e engine.Event) error {
	if e.Attempt != label {
		r.hub.metrics.Add("events_foreign", 1)
		return errForeignEvent
	}
	err := r.update(func() error {
		span, err := behind(r.owner.Journal(), e)
		if err != nil {
			return err
		}
		if len(span.Tokens) == 0 && e.Finish == "" {
			return nil
		}
		if err := r.pin(e); err != nil {
			return err
		}
		r.noteResumed()
		return r.owner.Append(id.Number, span, e.Finish, r.usage(e))
	})
	if err == nil {
		r.hub.journals.mark(r)
	}
	return err
}

// behind returns the part of an event that comes after the journal's end. The
// part before it must be equal to the journal.
func behind(j *generation.Journal, e engine.Event) (generation.Span, error) {
	from := e.Index - len(e.TokenIDs)
	if from < 0 || from > j.Len() {
		return generation.Span{}, errSourceDiffers
	}
	known := min(j.Len()-from, len(e.TokenIDs))
	if !slices.Equal(j.Tokens[from:from+known], e.TokenIDs[:known]) {
		return generation.Span{}, errSourceDiffers
	}
	return generation.Span{From: from + known, Tokens: e.TokenIDs[known:], Texts: e.Texts[known:]}, nil
}

// began notes on which engine an attempt runs, before its first token.
func (r *Run) began(b Backend, c *engine.Completion) {
	r.mu.Lock()
	r.owner.SetSource(generation.Source{Backend: b.Name, Addr: b.Addr, Attempt: c.Attempt, From: len(c.Generated)})
	r.mu.Unlock()
	r.hub.journals.mark(r)
}

// endAttempt cancels an attempt on its engine, unless the generation goes on
// elsewhere: its new owner may be reading that very stream.
func (r *Run) endAttempt(addr string, id engine.Attempt) {
	if !r.letGo() {
		r.cancelAttempt(addr, id)
	}
}
