package backpressure

import (
	"math"
	"time"
)

// A server that accepts requests again looks idle, and every VM would send it all that comes
// next. A VM therefore raises its rate step by step.

const (
	// rampDoubling is the time in which the rate doubles. A server that is overloaded again
	// says so in its answers, which take some tens of milliseconds.
	rampDoubling = 500 * time.Millisecond
	// rampTime is how long the rate is bounded: by then it has doubled eight times.
	rampTime = 8 * rampDoubling
)

// ramp bounds a VM's sends to a server that accepts requests again.
type ramp struct {
	base  float64   // requests per second at the start
	start time.Time // zero: the rate is not bounded
	sent  float64   // since the start
}

func (r *ramp) begin(base float64, now time.Time) { *r = ramp{base: base, start: now} }

// waitUntil returns when the next request may be sent; zero: now.
func (r *ramp) waitUntil(now time.Time) time.Time {
	elapsed := now.Sub(r.start)
	if r.start.IsZero() || elapsed >= rampTime || r.allowed(elapsed) >= r.sent+1 {
		return time.Time{}
	}
	// The inverse of allowed.
	doublings := math.Log2(1 + (r.sent+1)*math.Ln2/(r.base*rampDoubling.Seconds()))
	at := time.Duration(min(doublings*float64(rampDoubling), float64(rampTime)))
	return r.start.Add(max(at, elapsed+minWait))
}

// allowed returns how many requests may be sent within a time from the start.
func (r *ramp) allowed(elapsed time.Duration) float64 {
	doublings := elapsed.Seconds() / rampDoubling.Seconds()
	return r.base * rampDoubling.Seconds() / math.Ln2 * (math.Exp2(doublings) - 1)
}
