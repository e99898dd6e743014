package admission

import "time"

// This file admits calls.
//
// The load pattern: five times the usual calls, a little more than the servers can
// answer. A server queues what it has no slot for and sheds beyond that; a call that is
// shed is tried at the next, which sheds it too. Each server so works on a full queue:
// every call waits for as long as its objective allows, and most come late, though the
// servers could answer nearly all of them in time. A tenth less is all that is needed.
//
// So a call is sent only where it can be expected in time. Otherwise it is held for a
// moment, in which a slot may become free, and then refused, with the time after which
// the queue is short enough: its caller comes back while it still can be served.

const (
	// sendShare of the objective is the longest that an answer may be expected to take:
	// the rest is for the way and for what others send meanwhile.
	sendShare = 0.8
	// holdShare of the objective is the longest that a call is held.
	holdShare = 0.125
	// leastCallRetry and mostCallRetry bound what a refused caller is told: a server's
	// queue moves in some tens of ms, and is a second long at most.
	leastCallRetry = 50 * time.Millisecond
	mostCallRetry  = 1 * time.Second
)

// CallWait is what a call meets at the server with the least load.
type CallWait struct {
	// Load is the part of the server's slots that is taken once the call is there; above
	// 1 it waits.
	Load float64
	// Work is how long a call takes there without waiting; 0: not known.
	ServiceTime time.Duration
	Objective   time.Duration // 0: none is stated
	Held        time.Duration // so far, at this VM
}

// CallVerdict is what to do with a call.
type CallVerdict uint8

// Call verdicts.
const (
	SendCall CallVerdict = iota
	HoldCall
	RefuseCall
)

// Expected is how long the answer will take.
func (c CallWait) ExpectedLatency() time.Duration {
	return time.Duration(max(1, c.Load) * float64(c.ServiceTime))
}

// Decide is the whole policy. While a server has a free slot every call is sent.
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

// RetryAfter is when a refused caller may come back: once the queue is short enough, and
// spread over as long again, draw being from [0, 1).
func (c CallWait) RetryAfter(draw float64) time.Duration {
	excess := c.ExpectedLatency() - time.Duration(sendShare*float64(c.Objective)) + c.ServiceTime
	d := min(max(excess, leastCallRetry), mostCallRetry)
	return d + time.Duration(draw*float64(d))
}
