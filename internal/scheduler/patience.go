package scheduler

import "time"

// The overload. Streams wait for longer than their callers do. A caller that has received
// nothing for several times its objective leaves, long before the request's deadline. A
// stream that is kept waiting until then takes its place in the order for nothing, and its
// caller learns too late that it has to come back.
//
// Therefore a stream is refused as soon as its first event cannot come while its caller still
// waits for it.

// missesFirstEvent reports whether a stream that starts after wait cannot produce its first
// event in time for a waiting caller.
func (r *round) missesFirstEvent(w *waiter, wait time.Duration) bool {
	if w.FirstEventBy.IsZero() || w.Interrupted {
		return false
	}
	first := wait
	if r.cached(w) == nil {
		first += r.service.timing.prefillTime(w.Need.Prompt)
	}
	return r.now.Add(first).After(w.FirstEventBy)
}
