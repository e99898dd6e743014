package relay

import "github.com/amaranthshelf/amaranthshelf/internal/generation"

// enter takes a place in the admission queue. A refusal comes before the
// journal is opened, so that it can promise that nothing ran.
func (r *Run) enter(accepted bool) error {
	if r.hub.admission == nil {
		return nil
	}
	ticket, err := r.hub.admission.Enter(r.Request(), accepted)
	r.ticket = ticket
	return err
}

func (r *Run) release() {
	if r.ticket != nil {
		r.ticket.Release()
	}
}

func noteOr(f NoteFunc) NoteFunc {
	if f != nil {
		return f
	}
	return func(generation.RequestID, string, string) {}
}
