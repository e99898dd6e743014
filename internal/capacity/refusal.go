package capacity

import "time"

const (
	// NearLimit is the share of a limit from which a VM refuses requests. Above it, requests
	// wait for the processor or the link longer than they take.
	NearLimit = 0.95
	// refusalGain is how many times its excess over NearLimit the admitted share falls by. A
	// load never measures above 1, whatever is offered, and therefore needs a steep fall.
	refusalGain = 2
	// maxAdmissionGrowth bounds the growth of the admitted share in a SampleInterval, since
	// the load follows what is admitted only once that has run.
	maxAdmissionGrowth = 1.5
	// maxRefusedShare leaves some requests, by which the VM notices that it has room again.
	maxRefusedShare = 0.9
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry.
	// The load of a VM changes within a second, and most callers go to another VM.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// Gate decides which new requests a VM at its limit refuses. It is not safe for concurrent
// use.
type Gate struct{ refused float64 }

// Update sets the refused share after a SampleInterval in which the given share of a limit was
// in use. known is false if that was not measured; the VM then refuses nothing.
func (g *Gate) Update(share float64, known bool) {
	if !known {
		g.refused = 0
		return
	}
	admitted := 1 - g.refused
	if share >= NearLimit {
		admitted *= 1 - refusalGain*(share-NearLimit)
	} else { // what is admitted would use NearLimit, at the present cost of a request
		admitted *= min(NearLimit/share, maxAdmissionGrowth)
	}
	g.refused = min(max(0, 1-admitted), maxRefusedShare)
}

// Refused returns the share of the new requests that are refused.
func (g *Gate) Refused() float64 { return g.refused }

// Refuses decides on one request. random is in [0, 1).
func (g *Gate) Refuses(random float64) bool { return random < g.refused }

// RetryAfter returns the time after which a refused caller may retry. random is in [0, 1).
func RetryAfter(random float64) time.Duration {
	return minRetryAfter + time.Duration(random*float64(maxRetryAfter-minRetryAfter))
}
