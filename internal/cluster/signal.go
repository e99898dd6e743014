package cluster

import "context"

// signal says that there is something to do. What is raised while the last is under way
// is one more, however often: whoever does it sees the newest state.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// raise does not wait.
func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// each calls f for what is raised, until ctx ends.
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
