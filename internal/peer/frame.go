// Package peer sends typed messages between the VMs of the system. The messages are CBOR
// frames over WebSocket connections, which are opened on first use.
//
// Every write has a deadline, and a connection on which nothing arrives is pinged and then
// closed: a partition sends no TCP reset, and callers would otherwise wait for minutes. The
// queues of a connection are bounded. Control frames are sent before token frames and
// between the fragments of large frames, because a heartbeat that waits behind them can
// cause an election.
package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is sent in the first message of a connection. A VM refuses connections
// from VMs with another version.
const ProtocolVersion = 2

// Kind identifies a message type. The numbers are part of the protocol.
type Kind uint16

// Message kinds. Each subsystem has a range of 20 numbers. Kinds from KindControl on are
// sent in LaneControl.
const (
	kindFragment          Kind = 1  // part of a large frame
	KindJournal           Kind = 20 // journal writes and promises, in batches for one keeper
	KindPromise           Kind = 21 // asks a keeper to refuse writes of earlier epochs of a journal
	KindFollow            Kind = 22 // reads a journal on the VM that owns it
	KindAdopt             Kind = 23 // planned takeover
	KindOffer             Kind = 24 // offers a request to a VM that reaches its service
	KindReadAnswer        Kind = 25 // reads the answer to a request that was taken
	KindReleaseOffer      Kind = 26 // ends a request that was taken
	KindControl           Kind = 40 // proposes commands to the control group
	KindWatch             Kind = 41 // long poll for changes of the replicated state
	KindQuery             Kind = 42 // reads the operators' lists on a control VM
	KindPiece             Kind = 43 // requests part of a value that is too large for one reply
	KindRaft              Kind = 60
	KindProbe             Kind = 80 // checks whether a VM answers, directly or through another VM
	KindHeartbeat         Kind = 81 // sent by routers to control VMs several times a second
	KindRetrySpending     Kind = 83 // reports spent retry budget to control VMs
	KindPlace             Kind = 84 // asks for an engine for a stream
	KindPlaceDecision     Kind = 85 // decision for a stream that had to wait
	KindUseReport         Kind = 86 // reports a VM's use of engines, on each change
	KindRoutes            Kind = 87 // text of the route list, served by observers
	KindBackendList       Kind = 88 // complete list of backend servers
	KindRollout           Kind = 89 // orders a roll-out or returns its state, served by observers
	KindPermit            Kind = 90 // asks for a permit to send to a server with a rate limit
	KindCallGrant         Kind = 91 // asks for a server for a call
	KindCallGrantDecision Kind = 92 // decision for a call that had to wait
	KindCallDone          Kind = 93 // reports ended calls
	KindRoom              Kind = 94 // what is waiting in a service and why, served by observers and other control VMs
	KindCordon            Kind = 95 // orders, removes or lists cordons, served by observers
	KindContentTrial      Kind = 96 // asks for a trial of a suspect content
	KindContentTrialEnd   Kind = 97 // ends a trial
	KindStreamVersions    Kind = 98 // records which versions began streams
	KindFindStreamVersion Kind = 99 // asks which version began a stream
	KindPoisonSuspicion   Kind = 100
	KindFindRun           Kind = 101 // asks what is known of a stream that another VM carried
	KindCarriesStream     Kind = 102 // asks a router whether it carries a stream now
	KindCountStreams      Kind = 103 // asks how many streams with a content have begun
	KindExplain           Kind = 120
	KindStatus            Kind = 121
)

// Lane is the send queue of a message within a connection.
type Lane uint8

// Lanes. LaneControl has strict priority over the others.
const (
	LaneControl Lane = iota
	LaneTokens
	laneLarge // frames that are sent in fragments
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
	Call  uint64          `cbor:"2,keyasint,omitempty"` // ID of the call; 0: the sender expects no reply
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Err   string          `cbor:"5,keyasint,omitempty"`
	Code  int             `cbor:"6,keyasint,omitempty"`
}

type hello struct {
	Version int    `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
}

// maxFrameBytes bounds the size of a frame. The largest frames install a journal: a request
// body and up to a million tokens.
const maxFrameBytes = 32 << 20

// Errors that Call and Send return.
var (
	ErrUnreachable = errors.New("peer: VM unreachable")
	ErrQueueFull   = errors.New("peer: queue full")
	ErrClosed      = errors.New("peer: closed")
)

// RemoteError is an error that the handler on the called VM returned. Code is a result
// code, or 0 if the error had none.
type RemoteError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer: remote: %s", e.Message) }

// Handler processes messages of one kind from the VM from. body is valid only during the
// call. The returned value is encoded as the reply; nil sends an empty reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Transport sends messages to VMs by ID. Network implements it over WebSockets. The
// implementation in package peertest injects network faults.
type Transport interface {
	// Call sends a message, waits for the reply and decodes it into reply, unless reply is
	// nil. An error of the handler is returned as a *RemoteError.
	Call(ctx context.Context, vm string, kind Kind, body, reply any) error
	// Send queues a message and does not wait for its delivery. The message may be lost.
	Send(vm string, kind Kind, body any) error
	// Handle registers the handler of a kind. It must be called before the first message
	// of this kind arrives.
	Handle(kind Kind, h Handler)
}
