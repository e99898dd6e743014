package cluster

import "context"

// signal announces pending work. Any number of calls of raise while the work is in
// progress cause one more run, which sees the latest state.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// raise does not block.
func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// each calls f after the signal is raised, one call at a time, until ctx ends.
func (s signal) each(ctx context.Context, f func(context.Context)) {
	for {
		select {
		case <-s:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}
