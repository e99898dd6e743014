// Package call models non-idempotent calls of plain services: who may dispatch a
// call, and its outcome. The package does no I/O; its StateMachine is part of the
// control group's replicated state.
//
// A key of a workspace and service is granted to one claimant, once. The outcome
// of a claim is final: the complete answer, "unknown", or "not run". Only the
// claimant may report "not run", if it wrote no byte: no other process can tell
// whether a paused claimant wrote after its last check. All others can only seal a
// claim as "unknown". That is true regardless of what the claimant did, and it
// needs no agreement between clocks.
package call

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Ref identifies a call. A key is unique only within its workspace and service.
type Ref struct {
	Workspace string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"` // Idempotency-Key
}

// Digest distinguishes requests that carry the same key.
type Digest [16]byte

// DigestOf returns the digest of all parts of a request that the service acts on.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, path} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:16])
}

// State is the state of a claim.
type State uint8

// The states. All but Granted are final. The numbers are stored on disk.
const (
	Granted State = 1 // the claimant may dispatch, or has dispatched
	Done    State = 2 // the service's complete answer is known
	Unknown State = 3 // a byte may have reached a service, and no complete answer arrived
	NotRun  State = 4 // the claimant wrote no byte and never will write one
)

// Final reports whether the state is final.
func (s State) Final() bool { return s > Granted }

// Header is one header line of an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is a service's complete answer. A body above the size limit is not kept;
// Status and Headers are.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	NoBody  bool     `cbor:"4,keyasint,omitempty"` // the body was too large to be kept
}

// size returns the number of bytes that the answer uses of the memory limits.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Claim asks for the permission to dispatch a call. Claimant is unique to one
// request at one incarnation of a VM; it is never granted twice.
type Claim struct {
	Ref      Ref    `cbor:"1,keyasint"`
	Request  Digest `cbor:"2,keyasint"`
	Claimant string `cbor:"3,keyasint"`
}

// Lookup asks for the outcome of a call without claiming it.
type Lookup struct {
	Ref     Ref    `cbor:"1,keyasint"`
	Request Digest `cbor:"2,keyasint"`
}

// Renew asks for another permission to dispatch. The claimant thereby confirms that
// it wrote no byte under permission Attempt and will not use that one any more.
type Renew struct {
	Ref      Ref    `cbor:"1,keyasint"`
	Claimant string `cbor:"2,keyasint"`
	Attempt  int    `cbor:"3,keyasint"`
}

// Finish reports the outcome of a claim. Only the claimant may send it.
type Finish struct {
	Ref      Ref     `cbor:"1,keyasint"`
	Claimant string  `cbor:"2,keyasint"`
	State    State   `cbor:"3,keyasint"`
	Answer   *Answer `cbor:"4,keyasint,omitempty"`
}

// Seal ends the claim of a lost claimant as Unknown. ClaimantGone states that the
// sender knows that the claimant's incarnation has ended. Without it, the claim
// must be older than Limits.SealAfter by the control group's clock.
type Seal struct {
	Ref          Ref    `cbor:"1,keyasint"`
	Claimant     string `cbor:"2,keyasint"`
	ClaimantGone bool   `cbor:"3,keyasint"`
}

// Command is one command of the state machine. Exactly one field is set.
type Command struct {
	Claim  *Claim  `cbor:"1,keyasint,omitempty"`
	Lookup *Lookup `cbor:"2,keyasint,omitempty"`
	Renew  *Renew  `cbor:"3,keyasint,omitempty"`
	Finish *Finish `cbor:"4,keyasint,omitempty"`
	Seal   *Seal   `cbor:"5,keyasint,omitempty"`
}

// Verdict is the state machine's result of a command.
type Verdict uint8

// The verdicts. The numbers are part of the replies between VMs.
const (
	Malformed   Verdict = 0 // not a command of this state machine
	Permitted   Verdict = 1 // the sender may dispatch, once
	Claimed     Verdict = 2 // the key has a claim: see State
	Unclaimed   Verdict = 3 // Lookup: the key is free
	KeyReused   Verdict = 4 // the key belongs to a different request
	KeyExpired  Verdict = 5 // the key's claim is no longer kept, or its UUIDv7 time is too old
	KeyInFuture Verdict = 6 // the key's UUIDv7 time is in the future
	Full        Verdict = 7 // no room for a new claim
)

// Reply is the reply to a Command.
type Reply struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	State    State   `cbor:"2,keyasint,omitempty"`
	Claimant string  `cbor:"3,keyasint,omitempty"`
	Attempt  int     `cbor:"4,keyasint,omitempty"` // number of the permission
	AgeMS    int64   `cbor:"5,keyasint,omitempty"` // since the last permission
	Answer   *Answer `cbor:"6,keyasint,omitempty"`
}
