// Package generation models one long model generation: its request, its
// attempts on engines, and the journal of its tokens, which keepers replicate.
// The package does no I/O: messages, time and randomness are inputs.
//
// Owner and Keeper assert these invariants:
//   - A token is released to a caller only once a majority of the journal's
//     keepers holds it under the owner's epoch.
//   - A keeper that promised an epoch refuses every write of a lower epoch. An
//     owner that was deposed can therefore release nothing more.
//   - Within one epoch a journal only grows, and no index changes its token.
//   - A keeper is a VM in one incarnation. A VM that lost its memory never counts
//     as the keeper that promised.
//
// Without them, a router that resumes after a pause would splice its own late
// tokens into an answer that another router has continued.
package generation

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Epoch orders the owners of one journal. Version is the membership version by
// which the owner placed the journal. It is compared first: a keeper that
// promised an epoch of one version refuses every owner that still places
// journals by an older list. VM is unique to an incarnation and breaks ties, so
// two owners never share an epoch.
type Epoch struct {
	Version uint64 `cbor:"3,keyasint"`
	Round   uint64 `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
}

// Less reports whether e orders before o.
func (e Epoch) Less(o Epoch) bool {
	if e.Version != o.Version {
		return e.Version < o.Version
	}
	if e.Round != o.Round {
		return e.Round < o.Round
	}
	return e.VM < o.VM
}

// IsZero reports whether e is the zero epoch, which orders before that of any owner.
func (e Epoch) IsZero() bool { return e.Round == 0 }

// String returns "version.round@vm".
func (e Epoch) String() string { return fmt.Sprintf("%d.%d@%s", e.Version, e.Round, e.VM) }

// RequestID identifies a generation across the system. Key is the caller's
// Idempotency-Key, which is unique only within its workspace.
type RequestID struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// String returns "workspace/key". Neither part may contain a slash.
func (id RequestID) String() string { return id.Workspace + "/" + id.Key }

// Request is the caller's request. It is stored with the journal, and any router
// can resume the generation from it.
type Request struct {
	ID         RequestID `cbor:"1,keyasint"`
	Model      string    `cbor:"2,keyasint"`
	Version    string    `cbor:"3,keyasint"`
	Adapter    string    `cbor:"4,keyasint,omitempty"`
	Prompt     string    `cbor:"5,keyasint,omitempty"`
	PromptIDs  []int32   `cbor:"6,keyasint,omitempty"`
	MaxTokens  int       `cbor:"7,keyasint"`
	Priority   int       `cbor:"8,keyasint"`
	DeadlineMS int64     `cbor:"9,keyasint,omitempty"`
	Plan       string    `cbor:"10,keyasint,omitempty"`
	TraceID    string    `cbor:"11,keyasint,omitempty"`
}

// ContentDigest identifies the content of the request, independent of its ID:
// equal digests mean the same work. A resend must have the same digest, and
// poison suspicion after an engine crash is tracked by digest.
func (r *Request) ContentDigest() uint64 {
	d := xxhash.New()
	var n [8]byte
	str := func(s string) {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	str(r.Model)
	str(r.Adapter)
	str(r.Prompt)
	for _, t := range r.PromptIDs {
		binary.LittleEndian.PutUint32(n[:4], uint32(t))
		_, _ = d.Write(n[:4])
	}
	binary.LittleEndian.PutUint64(n[:], uint64(r.MaxTokens))
	_, _ = d.Write(n[:])
	return d.Sum64()
}

// PromptTokens returns an upper bound of the prompt's token count: a token of
// text has at least one byte.
func (r *Request) PromptTokens() int { return len(r.PromptIDs) + len(r.Prompt) }

// Cost returns the maximum number of tokens that the request may use.
func (r *Request) Cost() int { return r.PromptTokens() + r.MaxTokens }

// PrefixDigest extends the digest of a token prefix by one token. The empty
// prefix has digest 0.
func PrefixDigest(prev uint64, token int32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], prev)
	binary.LittleEndian.PutUint32(b[8:], uint32(token))
	return xxhash.Sum64(b[:])
}

// AttemptID identifies one run of a request on one engine. Engines echo it in
// every event. An event with another ID is dropped and counted.
type AttemptID struct {
	Request RequestID
	Epoch   Epoch
	Number  int
}

// String returns the form that engines echo.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Epoch, a.Number)
}

// InvariantError reports a broken invariant of this package. Tests panic on it;
// the daemon ends only the affected answer.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "generation: invariant broken: " + e.What }
