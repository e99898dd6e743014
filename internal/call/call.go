// Package call is the aggregate of non-idempotent calls of plain services: who
// may dispatch a call, and what became of it. The package is pure; its Part is
// state of the control group.
//
// One key of a workspace and service is granted to one claimant, once. What ends
// a claim is final: the whole answer, "unknown", or "not run". Only the claimant
// may say "not run", of bytes that it did not write: nobody else can tell whether
// a paused claimant wrote after its last check. Everybody else can only seal a
// claim as "unknown", which is true whatever the claimant did, and so needs no
// agreement of clocks.
package call

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Ref names a call: a key means nothing outside its workspace and service.
type Ref struct {
	Workspace string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"` // Idempotency-Key
}

// Digest tells requests apart that carry the same key.
type Digest [16]byte

// DigestOf covers everything that the service would act on.
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

// State is where a claim stands.
type State uint8

// The states. All but Granted are final. The numbers are on disk.
const (
	Granted State = 1 // the claimant may dispatch, or has
	Done    State = 2 // the service's whole answer is known
	Unknown State = 3 // a byte may have reached a service and no whole answer came
	NotRun  State = 4 // the claimant wrote no byte and never will
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s > Granted }

// Header is one header line of an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is a service's whole answer. A body above the bound is not kept; Status
// and Headers are.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	NoBody  bool     `cbor:"4,keyasint,omitempty"` // the body was too large to be kept
}

// size is what the answer costs of the budget, in bytes.
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

// Claim asks for the right to dispatch. Claimant is unique to the incarnation of
// a VM and to the one request there; it is never granted twice.
type Claim struct {
	Ref      Ref    `cbor:"1,keyasint"`
	Request  Digest `cbor:"2,keyasint"`
	Claimant string `cbor:"3,keyasint"`
}

// Look asks what became of a call, and claims nothing.
type Lookup struct {
	Ref     Ref    `cbor:"1,keyasint"`
	Request Digest `cbor:"2,keyasint"`
}

// Renew asks for another permission to dispatch: the claimant says that it wrote
// no byte under the permission Attempt and will not use it any more.
type Renew struct {
	Ref      Ref    `cbor:"1,keyasint"`
	Claimant string `cbor:"2,keyasint"`
	Attempt  int    `cbor:"3,keyasint"`
}

// Finish ends a claim by its claimant.
type Finish struct {
	Ref      Ref     `cbor:"1,keyasint"`
	Claimant string  `cbor:"2,keyasint"`
	State    State   `cbor:"3,keyasint"`
	Answer   *Answer `cbor:"4,keyasint,omitempty"`
}

// Seal ends the claim of a vanished claimant as Unknown. Gone is the observer's
// evidence that the claimant's incarnation has ended; without it the group's own
// clock must show that the claim is old.
type Seal struct {
	Ref          Ref    `cbor:"1,keyasint"`
	Claimant     string `cbor:"2,keyasint"`
	ClaimantGone bool   `cbor:"3,keyasint"`
}

// Command is one command of the part; exactly one field is set.
type Command struct {
	Claim  *Claim  `cbor:"1,keyasint,omitempty"`
	Lookup *Lookup `cbor:"2,keyasint,omitempty"`
	Renew  *Renew  `cbor:"3,keyasint,omitempty"`
	Finish *Finish `cbor:"4,keyasint,omitempty"`
	Seal   *Seal   `cbor:"5,keyasint,omitempty"`
}

// Verdict is the part's answer to a command.
type Verdict uint8

// The verdicts. The numbers are in replies between VMs.
const (
	Malformed   Verdict = 0 // not a command of this part
	Permitted   Verdict = 1 // the sender may dispatch, once
	Claimed     Verdict = 2 // see State: running elsewhere, or final
	Unclaimed   Verdict = 3 // Look: the key is free
	KeyReused   Verdict = 4 // the key belongs to a different request
	KeyExpired  Verdict = 5 // the key's claim is no longer kept, or its own time is too old
	KeyInFuture Verdict = 6 // the key's own time is in the future
	Full        Verdict = 7 // no room for a new claim
)

// Reply answers a command.
type Reply struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	State    State   `cbor:"2,keyasint,omitempty"`
	Claimant string  `cbor:"3,keyasint,omitempty"`
	Attempt  int     `cbor:"4,keyasint,omitempty"` // of the permission
	AgeMS    int64   `cbor:"5,keyasint,omitempty"` // since the last permission
	Answer   *Answer `cbor:"6,keyasint,omitempty"`
}
