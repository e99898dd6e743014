// Package control hosts the control group's replicated state. The state consists
// of several state machines, each an aggregate with its own commands. The package
// also has the clients that propose commands and the feed that VMs follow.
package control

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// StateMachineID identifies a state machine in commands and snapshots. The numbers
// are stored on disk.
type StateMachineID uint8

// The state machines.
const (
	PlansStateMachine   StateMachineID = 1 // the operators' two lists and their history
	LedgerStateMachine  StateMachineID = 2 // grants and consumption of each allowance
	CallsStateMachine   StateMachineID = 3 // claims and results of non-idempotent calls
	FleetStateMachine   StateMachineID = 4 // backend servers, orders, fencing numbers
	MembersStateMachine StateMachineID = 5 // VMs and their incarnations
	RoutesStateMachine  StateMachineID = 6 // the route list
	// RolloutsStateMachine holds the roll-outs of services' versions.
	RolloutsStateMachine StateMachineID = 7
	// CordonsStateMachine holds the servers and VMs that operators took out of service.
	CordonsStateMachine StateMachineID = 8
)

// StateMachine is one aggregate within the group's state. Apply must be
// deterministic: it may depend only on its arguments and the current state. nowMS is
// the group's clock in Unix milliseconds, which the leader stamps and which never
// goes back.
type StateMachine interface {
	// Apply executes a command and returns the encoded reply.
	Apply(nowMS int64, cmd []byte) []byte
	// Version increases with each change that following VMs must receive.
	Version() uint64
	// Changes returns the encoded difference between version since and the current
	// version, or the complete state if since is too old.
	Changes(since uint64) []byte
	// Snapshot encodes the complete state; Restore replaces it with an encoded one.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Client sends commands and reads to the control group from any VM.
type Client interface {
	// Propose commits a command of a state machine and returns the reply. It
	// retries across leader changes, and the group executes the command once.
	// After an error the outcome is unknown.
	Propose(ctx context.Context, smID StateMachineID, cmd []byte) ([]byte, error)
	// Barrier returns once this VM's local view contains everything that was
	// committed before the call.
	Barrier(ctx context.Context) error
}

// Propose encodes cmd, commits it through c and decodes the reply.
func Propose[R any](ctx context.Context, c Client, smID StateMachineID, cmd any) (R, error) {
	return proposeWith[R](ctx, c.Propose, smID, cmd)
}

// ProposeDeduplicated is Propose for a command that the group executes once, however
// many VMs propose it.
func ProposeDeduplicated[R any](ctx context.Context, r *RemoteClient, smID StateMachineID, cmd any) (R, error) {
	return proposeWith[R](ctx, r.ProposeDeduplicated, smID, cmd)
}

type proposeFunc func(ctx context.Context, smID StateMachineID, cmd []byte) ([]byte, error)

func proposeWith[R any](ctx context.Context, propose proposeFunc, smID StateMachineID, cmd any) (R, error) {
	var out R
	data, err := codec.Marshal(cmd)
	if err != nil {
		return out, err
	}
	reply, err := propose(ctx, smID, data)
	if err != nil {
		return out, err
	}
	return out, codec.Unmarshal(reply, &out)
}

// Envelope is one committed log entry. ID is unique to the proposal: a retry after
// a lost reply carries the same ID and receives the first reply.
type Envelope struct {
	StateMachine StateMachineID  `cbor:"1,keyasint"`
	ID           string          `cbor:"2,keyasint"`
	AtMS         int64           `cbor:"3,keyasint"`
	Body         cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// Packed is the compressed body of a large command, in which case Body is empty.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// command returns the uncompressed command.
func (e *Envelope) command() ([]byte, error) {
	if e.Packed == nil {
		return e.Body, nil
	}
	return codec.Unpack(e.Packed, maxCommandBytes)
}

// maxCachedReplies bounds the replies kept for retries. A proposer retries for some
// seconds; at 5,000 commands a second the cache covers more than ten seconds.
const maxCachedReplies = 1 << 16

// maxCachedReplyBytes bounds the memory of these replies. 65,536 replies of about
// 100 bytes fit.
const maxCachedReplyBytes = 16 << 20

// ReplicatedState is the complete replicated state: the state machines and the replies
// kept for retries. It is safe for concurrent use.
type ReplicatedState struct {
	mu            sync.Mutex
	stateMachines map[StateMachineID]StateMachine
	nowMS         int64
	replies       map[string][]byte
	replyOrder    []string
	replyBytes    int // size of the cached replies and their IDs
	changed       chan struct{}
}

// ErrNotApplied reports a committed command that no state machine could execute.
var ErrNotApplied = errors.New("control: command not executed")

// NewReplicatedState returns a ReplicatedState without state machines.
func NewReplicatedState() *ReplicatedState {
	return &ReplicatedState{stateMachines: map[StateMachineID]StateMachine{}, replies: map[string][]byte{}, changed: make(chan struct{})}
}

// Register adds a state machine. It must be called before the first command is applied.
func (rs *ReplicatedState) Register(id StateMachineID, sm StateMachine) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.stateMachines[id] = sm
}

// Apply executes a committed entry and returns the encoded reply. An entry whose ID is
// in the reply cache is not executed again.
func (rs *ReplicatedState) Apply(entry []byte) ([]byte, error) {
	var e Envelope
	if err := codec.Unmarshal(entry, &e); err != nil {
		return nil, fmt.Errorf("%w: committed entry: %w", ErrNotApplied, err)
	}
	cmd, err := e.command()
	if err != nil {
		return nil, fmt.Errorf("%w: compressed command: %w", ErrNotApplied, err)
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if reply, ok := rs.replies[e.ID]; ok && e.ID != "" {
		return reply, nil
	}
	sm := rs.stateMachines[e.StateMachine]
	if sm == nil {
		return nil, fmt.Errorf("%w: no state machine %d", ErrNotApplied, e.StateMachine)
	}
	rs.nowMS = max(rs.nowMS, e.AtMS)
	before := sm.Version()
	reply := sm.Apply(rs.nowMS, cmd)
	rs.cacheReply(e.ID, reply)
	if sm.Version() != before {
		rs.notifyChanged()
	}
	return reply, nil
}

// CachedReply returns the reply to an executed proposal while it is in the cache.
func (rs *ReplicatedState) CachedReply(id string) ([]byte, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	reply, ok := rs.replies[id]
	return reply, ok
}

func (rs *ReplicatedState) notifyChanged() {
	close(rs.changed)
	rs.changed = make(chan struct{})
}

func (rs *ReplicatedState) cacheReply(id string, reply []byte) {
	if id == "" {
		return
	}
	rs.replies[id] = reply
	rs.replyOrder = append(rs.replyOrder, id)
	rs.replyBytes += len(id) + len(reply)
	for len(rs.replyOrder) > maxCachedReplies || rs.replyBytes > maxCachedReplyBytes {
		oldest := rs.replyOrder[0]
		rs.replyBytes -= len(oldest) + len(rs.replies[oldest])
		delete(rs.replies, oldest)
		rs.replyOrder = rs.replyOrder[1:]
	}
}

// Read runs f on a state machine under the lock. f must not retain it.
func (rs *ReplicatedState) Read(id StateMachineID, f func(StateMachine)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	f(rs.stateMachines[id])
}

// Changed returns a channel that is closed when the version of a state machine next
// changes.
func (rs *ReplicatedState) Changed() <-chan struct{} {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.changed
}
