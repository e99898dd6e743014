// Package decider determines which control VM decides about streams. It is pure: messages,
// probes and the time are inputs.
//
// The overload. When the deciding control VM answers late, each router that gives up on it
// asks another one. Without an agreement two to four control VMs then decide at once, each
// with its own view of the engines: prompts meet on the same engines, and waiting streams
// lose their place with each change. It happens under the highest load, when the order of
// the streams matters most.
//
// Therefore a control VM decides under a term that it claimed, routers follow the newest
// term that they heard of, and a grant of an older term is given back. Claims are soft
// state: an entry in the replicated log would need its leader, and the election of a new
// leader would stop all new streams for a second. Two control VMs that decide for a moment
// do no harm.
package decider

import (
	"cmp"
	"time"
)

// Term identifies a claim to decide. Terms are ordered by Number, then by Holder.
type Term struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // 0: no term
	// Holder is the control VM that claimed the term; empty: not known.
	Holder string `cbor:"2,keyasint,omitempty"`
}

// Newer reports whether t supersedes other.
func (t Term) Newer(other Term) bool {
	return cmp.Or(cmp.Compare(t.Number, other.Number), cmp.Compare(t.Holder, other.Holder)) > 0
}

const (
	// minPlaceTimeout is the time in which an overloaded small control VM answers. A
	// shorter timeout would take it for lost.
	minPlaceTimeout = 300 * time.Millisecond
	// maxPlaceTimeout bounds the wait for a frozen control VM.
	maxPlaceTimeout = time.Second
	// placeTimeoutShare is the share of a stream's objective that a request for an engine
	// may take before another control VM is asked.
	placeTimeoutShare = 0.1
)

// PlaceTimeout returns how long a router waits for the answer to a request for an engine.
// objective is the time from the request to the due time of the stream's first event.
func PlaceTimeout(objective time.Duration) time.Duration {
	return min(max(time.Duration(placeTimeoutShare*float64(objective)), minPlaceTimeout), maxPlaceTimeout)
}

// termShift separates the number of a term from that of a grant within the term. It leaves
// room for 10^12 grants.
const termShift = 40

// GrantNumber returns the number of the n-th grant under a term. Numbers grow over all
// terms. Otherwise a router that confirmed the hundredth grant of the former holder would
// confirm the first hundred grants of the new one before it acted on them.
func GrantNumber(term, n uint64) uint64 { return term<<termShift | n }

// GrantOf returns n if number is the n-th grant under a term, or 0 if it belongs to another
// term. A number below all terms belongs to a router that states no term.
func GrantOf(term, number uint64) uint64 {
	if of := number >> termShift; of != term && of != 0 {
		return 0
	}
	return number & (1<<termShift - 1)
}
