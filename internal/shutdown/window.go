// Package shutdown decides which requests a process still takes between the order to stop and its
// end. A request that is taken and then cut off is the worse mistake, since nobody can tell its
// caller whether it has run. One that is refused costs its caller a connection to another VM,
// which may be about to stop as well.
package shutdown

import "time"

// earlyShare bounds the early part of the grace period, as a fraction of it. During that part requests
// are admitted that usually end in time, or of unknown duration, since callers may still hold this
// VM's address. One that is refused runs completely elsewhere.
const earlyShare = 0.3

// Work is how long a request takes from now on.
type Work struct {
	Wait     time.Duration // until it is sent to a server, a part of Expected; 0: not known
	Expected time.Duration // by the requests before it; 0: not known
	Left     time.Duration // until its deadline
	Basis    string        // of Wait and Expected, for logs
}

// Window is the time that a process has to end its requests.
type Window struct {
	Grace  time.Duration // from the order to stop until the process is killed
	Margin time.Duration // the part of Grace that the process needs to end
	Early  time.Duration // how long callers may hold this VM's address; 0: for the whole of Grace
}

// CannotFinish reports whether a request that comes elapsed after the order to stop could not
// finish in time. At first, callers still hold this VM's address, and what usually finishes is
// admitted. Later on, only what is certain to finish: its deadline is in time. The durations of
// requests before it are no proof, since any request may be the longest so far. A request that would
// wait until then is refused at once.
func (w Window) CannotFinish(elapsed time.Duration, work Work) bool {
	remaining := w.Grace - w.Margin - elapsed
	if work.Left <= remaining {
		return false // its caller gets an answer by its deadline
	}
	early := w.early() - elapsed
	return early < 0 || work.Wait > early || work.Expected > remaining
}

// early returns how long the early part lasts.
func (w Window) early() time.Duration {
	share := time.Duration(earlyShare * float64(w.Grace))
	if w.Early == 0 {
		return share
	}
	return min(share, w.Early)
}
