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

// attachOverlap is how many tokens at the journal's end a new owner reads again from
// the stream to which it attaches. They must equal the journal's, because the stream
// of a wrong attempt would differ within a few tokens.
const attachOverlap = 8

var errSourceDiffers = errors.New("relay: the engine's stream does not continue the journal")

// attachToSource continues the stream that the former owner left running on an
// engine, which saves the prefill of prompt and journal. This counts as a new attempt
// of this epoch. The events still carry the old attempt's id, but they arrive on this
// owner's own connection. It reports whether the run needs no further attempt.
func (r *Run) attachToSource(ctx context.Context) bool {
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
	r.log.Info().Err(err).Str("engine", src.Backend).Msg("former owner's stream is gone; resuming on another engine")
	r.cancelAttempt(src.Addr, src.Attempt)
	return false
}

// cancelSilent cancels an attached stream once its engine is suspected. It allows no
// time for prefill, because a stream that is still running continues immediately.
func (c *recoverer) cancelSilent(ctx context.Context, cancel context.CancelFunc, s *recovery.Stream) {
	ticker := time.NewTicker(checkInterval)
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

// beginAttach starts an attempt for an attached stream. It returns the attempt's id
// and the index from which to read.
func (r *Run) beginAttach(src generation.Source) (generation.AttemptID, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, n := r.owner.BeginAttempt()
	r.owner.SetSource(src)
	overlap := min(attachOverlap, max(0, n-src.From))
	return id, n - overlap
}

func (r *Run) onAttached(id generation.AttemptID, attemptID engine.Attempt, e engine.Event) error {
	if e.Attempt != attemptID {
		r.hub.metrics.Add("events_foreign", 1)
		return errForeignEvent
	}
	err := r.update(func() error {
		span, err := afterJournal(r.owner.Journal(), e)
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
		r.hub.replicator.mark(r)
	}
	return err
}

// afterJournal returns the part of an event after the journal's end. The part before
// it must equal the journal.
func afterJournal(j *generation.Journal, e engine.Event) (generation.Span, error) {
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

// recordSource records the engine of an attempt in the journal, before the attempt's
// first token.
func (r *Run) recordSource(b Backend, c *engine.Completion) {
	r.mu.Lock()
	r.owner.SetSource(generation.Source{Backend: b.Name, Addr: b.Addr, Attempt: c.Attempt, From: len(c.Generated)})
	r.mu.Unlock()
	r.hub.replicator.mark(r)
}

// endAttempt cancels an attempt on its engine, unless the generation may continue on
// another VM, whose run may have attached to the same stream.
func (r *Run) endAttempt(addr string, id engine.Attempt) {
	if !r.handedOff() {
		r.cancelAttempt(addr, id)
	}
}
