// Package peer carries typed messages between the system's VMs: CBOR frames
// over one WebSocket per pair, opened on first use.
//
// Safeguards: every write has a deadline and every silent connection is pinged
// and closed, since a silent partition sends no reset and would otherwise hold
// callers for minutes; each connection has bounded queues; control frames leave
// before token frames and between the fragments of large ones, so that neither can
// delay an election.
package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is checked in the hello; VMs of other versions are refused.
const ProtocolVersion = 2

// Kind names a message type. The numbers are part of the protocol.
type Kind uint16

// Message kinds, in ranges of 20 per concern.
const (
	kindFragment        Kind = 1  // of a frame too large to leave at once
	KindJournal         Kind = 20 // journal writes and promises, batched per keeper
	KindPromise         Kind = 21
	KindFollow          Kind = 22
	KindAdopt           Kind = 23 // planned takeover
	KindControl         Kind = 40 // commands for the control group
	KindWatch           Kind = 41
	KindQuery           Kind = 42
	KindPiece           Kind = 43 // of a value that is too large for an answer
	KindRaft            Kind = 60
	KindProbe           Kind = 80
	KindHeartbeat       Kind = 81 // of a routed VM, to control VMs
	KindFindOrphan      Kind = 82 // where is the copy of a stream?
	KindRetrySpending   Kind = 83 // of retry budgets, to control VMs
	KindPlace           Kind = 84 // which engine may a stream go to?
	KindPlaceDecision   Kind = 85 // the answer for a stream that had to wait
	KindUseReport       Kind = 86 // of engines by a VM, as it changes
	KindRoutes          Kind = 87 // the route list's text, by an observer
	KindBackendList     Kind = 88 // the whole list of backend servers
	KindRollout         Kind = 89 // an order, or the state of a roll-out, by an observer
	KindPoisonSuspicion Kind = 100
	KindExplain         Kind = 120
	KindStatus          Kind = 121
)

// Lane says which queue a message leaves by.
type Lane uint8

// Lanes, first to leave first.
const (
	LaneControl Lane = iota
	LaneTokens
	laneLarge // frames that leave in fragments
	laneCount
)

func laneOf(k Kind) Lane {
	if k >= KindControl {
		return LaneControl
	}
	return LaneTokens
}

type frame struct {
	Kind  Kind            `cbor:"1,keyasint"`
	Call  uint64          `cbor:"2,keyasint,omitempty"` // 0: no reply wanted
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Err   string          `cbor:"5,keyasint,omitempty"`
	Code  int             `cbor:"6,keyasint,omitempty"`
}

type hello struct {
	Version int    `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
}

// maxFrameBytes bounds a frame: a journal's installation is a body and a million
// tokens.
const maxFrameBytes = 32 << 20

// Errors of Call and Send.
var (
	ErrUnreachable = errors.New("peer: VM unreachable")
	ErrQueueFull   = errors.New("peer: queue full")
	ErrClosed      = errors.New("peer: closed")
)

// RemoteError is an error that the other VM's handler returned. Code is a
// result code, or 0.
type RemoteError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer: remote: %s", e.Message) }

// Handler answers messages of one kind. body is valid during the call only. The
// returned value is encoded as the reply; nil sends an empty one.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Transport sends messages to VMs by id. Network implements it over sockets;
// tests use fakes that drop, delay and cut.
type Transport interface {
	// Call sends a message and decodes the reply into reply unless it is nil.
	Call(ctx context.Context, vm string, kind Kind, body, reply any) error
	// Send sends a message without waiting; it may be lost.
	Send(vm string, kind Kind, body any) error
	// Handle registers the handler of a kind, before the first message.
	Handle(kind Kind, h Handler)
}
