package relay

import (
	"context"
	"errors"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// admit reserves the request's cost and takes a place in the admission queue. This
// happens before the journal is opened, and a refusal can therefore promise that
// nothing ran.
func (r *Run) admit(ctx context.Context, accepted bool) error {
	if !accepted {
		if err := r.hub.recovery.refusePoison(r.Request().ContentDigest(), result.RanNo); err != nil {
			r.hub.note(r.Request().ID, explain.Refused, err.Error())
			return err
		}
	}
	if err := r.reserve(ctx, accepted); err != nil {
		return err
	}
	if r.hub.admission == nil {
		return nil
	}
	span := r.hub.span(r.Request(), "admission")
	ticket, err := r.hub.admission.Enter(r.Request(), accepted)
	endSpan(span, err)
	r.ticket = ticket
	if err != nil {
		r.charge(false)
	}
	return err
}

func (r *Run) release() {
	if r.ticket != nil {
		r.ticket.Release()
	}
	r.charge(true)
}

func (r *Run) reserve(ctx context.Context, accepted bool) error {
	if r.hub.quota == nil || accepted {
		return nil
	}
	settle, err := r.hub.quota.Reserve(ctx, r.Request())
	r.settle = settle
	if err != nil {
		r.hub.note(r.Request().ID, explain.Refused, err.Error())
	}
	return err
}

// charge settles the reservation. sentToKeepers reports whether the journal was sent to
// keepers. A finished answer is charged by its usage. A request of which
// nothing ran is not charged. Every answer that may still continue on another VM is
// charged in full, because a takeover reserves nothing: the answer of a deposed owner,
// a journal that some keepers may hold, and an unfinished answer for which the caller
// may still come back.
func (r *Run) charge(sentToKeepers bool) {
	if r.settle == nil {
		return
	}
	r.mu.Lock()
	j := r.owner.Journal()
	used := r.owner.Request.Cost()
	if j.Finish != "" {
		used = j.Usage.PromptTokens + j.Len()
	}
	if j.Finish != "" && j.Usage.PromptTokens == 0 {
		used += r.owner.Request.PromptTokens() // the engine reported no usage
	}
	adapterNotServed := errors.Is(r.err, result.New(result.AdapterNotServed)) // no engine started the request
	ran := sentToKeepers && !adapterNotServed && (r.stats.Attempts > 0 || r.owner.Deposed() || !r.owner.Accepted())
	r.mu.Unlock()
	r.settle(ran, used)
}

func noteFuncOrNop(f NoteFunc) NoteFunc {
	if f != nil {
		return f
	}
	return func(generation.RequestID, string, string) {}
}
