package admission

import "time"

// Admission of calls.
//
// The overload. Five times the usual calls arrive, a little more than the servers can
// answer. A server queues calls beyond its slots and sheds those beyond its queue, and a
// call that is shed is retried at the next server, which sheds it too. Every server then
// works on a full queue: each call waits as long as its objective allows, and most
// answers come late, although the servers could answer nearly all calls in time. A tenth
// less load would be enough.
//
// A call is therefore sent only if its answer can be expected in time. Otherwise it is
// held briefly, since a slot may become free, and then refused with the time after which
// the queue is short enough. Its caller can then retry while it can still be served.

const (
	// sendShare is the share of the objective within which an answer must be expected.
	// The rest is for the network and for calls that other VMs send meanwhile.
	sendShare = 0.8
	// holdShare is the share of the objective for which a call is held at most.
	holdShare = 0.125
	// minCallRetry and maxCallRetry bound RetryAfter: a server's queue advances in some
	// tens of ms and is at most a second long.
	minCallRetry = 50 * time.Millisecond
	maxCallRetry = 1 * time.Second
)

// CallWait describes what a call would meet at the server with the lowest load.
type CallWait struct {
	// Load is the share of the server's slots that is taken once the call is there. Above
	// 1 the call waits.
	Load float64
	// ServiceTime is how long a call takes there without waiting; 0: unknown.
	ServiceTime time.Duration
	Objective   time.Duration // 0: not stated
	Held        time.Duration // time held so far at this VM
}

// CallVerdict states what to do with a call.
type CallVerdict uint8

// The call verdicts.
const (
	SendCall CallVerdict = iota
	HoldCall
	RefuseCall
)

// ExpectedLatency returns the expected time to the answer.
func (c CallWait) ExpectedLatency() time.Duration {
	return time.Duration(max(1, c.Load) * float64(c.ServiceTime))
}

// Decide returns the verdict for the call. While a server has a free slot, every call is
// sent.
func (c CallWait) Decide() CallVerdict {
	inTime := time.Duration(sendShare * float64(c.Objective))
	switch {
	case c.Load <= 1, c.ServiceTime == 0, c.Objective <= 0, c.Held+c.ExpectedLatency() <= inTime:
		return SendCall
	case c.Held < time.Duration(holdShare*float64(c.Objective)):
		return HoldCall
	}
	return RefuseCall
}

// RetryAfter returns the time after which a refused caller may retry: once the queue is
// short enough, plus a random part of up to the same length. draw is a random number in
// [0, 1).
func (c CallWait) RetryAfter(draw float64) time.Duration {
	excess := c.ExpectedLatency() - time.Duration(sendShare*float64(c.Objective)) + c.ServiceTime
	d := min(max(excess, minCallRetry), maxCallRetry)
	return d + time.Duration(draw*float64(d))
}

// SpreadRetry returns when a caller may retry that is refused until a server accepts requests
// again after wait. A random part of up to the same length keeps the refused callers from
// returning at the same moment.
func SpreadRetry(wait time.Duration, draw float64) time.Duration {
	wait = max(wait, minCallRetry)
	return wait + time.Duration(draw*float64(min(wait, maxCallRetry)))
}
