// Package control hosts the control group's replicated state: one state machine
// made of parts, each an aggregate with its own commands.
package control

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// PartID names a part in commands and snapshots. The numbers are on disk.
type StateMachineID uint8

// The parts.
const (
	PlansStateMachine   StateMachineID = 1 // the operators' two lists and their history
	LedgerStateMachine  StateMachineID = 2 // grants and what is spent of each allowance
	CallsStateMachine   StateMachineID = 3 // claims and results of non-idempotent calls
	FleetStateMachine   StateMachineID = 4 // backend servers, orders, fencing numbers
	MembersStateMachine StateMachineID = 5 // VMs and their incarnations
	RoutesStateMachine  StateMachineID = 6 // the route list
	// PartRollouts are the roll-outs of services' versions.
	RolloutsStateMachine StateMachineID = 7
)

// Part is one aggregate within the group's state. Apply must be deterministic:
// it depends on its arguments and the part's state alone. nowMS is the group's
// clock: stamped by the leader, never going back.
type StateMachine interface {
	// Apply executes a command and returns the encoded reply.
	Apply(nowMS int64, cmd []byte) []byte
	// Version grows with each change that watchers must see.
	Version() uint64
	// Changes returns an encoded change from version since to Version, or the
	// whole state where since is too old.
	Changes(since uint64) []byte
	// Snapshot and Restore carry the whole state.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Client reaches the control group from any VM.
type Client interface {
	// Propose commits a command of a part and returns the part's reply. It
	// retries over leader changes; the group executes the command once. After an
	// error the outcome is unknown.
	Propose(ctx context.Context, part StateMachineID, cmd []byte) ([]byte, error)
	// Barrier returns once this VM's view holds all that was committed before
	// the call.
	Barrier(ctx context.Context) error
}

// Propose encodes cmd, commits it and decodes the reply.
func Propose[R any](ctx context.Context, c Client, part StateMachineID, cmd any) (R, error) {
	return proposeBy[R](ctx, c.Propose, part, cmd)
}

// ProposeSame is Propose for a command that runs once, however many VMs propose it.
func ProposeDeduplicated[R any](ctx context.Context, r *RemoteClient, part StateMachineID, cmd any) (R, error) {
	return proposeBy[R](ctx, r.ProposeDeduplicated, part, cmd)
}

type proposer func(ctx context.Context, part StateMachineID, cmd []byte) ([]byte, error)

func proposeBy[R any](ctx context.Context, propose proposer, part StateMachineID, cmd any) (R, error) {
	var out R
	data, err := codec.Marshal(cmd)
	if err != nil {
		return out, err
	}
	reply, err := propose(ctx, part, data)
	if err != nil {
		return out, err
	}
	return out, codec.Unmarshal(reply, &out)
}

// Envelope is one committed entry. ID is unique to the proposal: a retry after
// a lost answer carries it again and gets the first reply.
type Envelope struct {
	StateMachine StateMachineID  `cbor:"1,keyasint"`
	ID           string          `cbor:"2,keyasint"`
	AtMS         int64           `cbor:"3,keyasint"`
	Body         cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// Packed is the body of a large command, compressed; Body is empty then.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// command returns the part's command.
func (e *Envelope) command() ([]byte, error) {
	if e.Packed == nil {
		return e.Body, nil
	}
	return codec.Unpack(e.Packed, maxCommandBytes)
}

// maxReplies bounds how many first replies are kept for retries. A proposer
// retries for seconds; at 5,000 commands a second this holds more than ten.
const maxReplies = 1 << 16

// replyBytes bounds their memory: 65,536 replies of some 100 bytes fit.
const replyBytes = 16 << 20

// Machine is the whole replicated state. Safe for concurrent use.
type ReplicatedState struct {
	mu      sync.Mutex
	parts   map[StateMachineID]StateMachine
	nowMS   int64
	replies map[string][]byte
	order   []string
	held    int // bytes of replies and their ids
	changed chan struct{}
}

// ErrNotApplied reports a committed command that no part could execute.
var ErrNotApplied = errors.New("control: command not executed")

// NewMachine returns an empty Machine.
func NewReplicatedState() *ReplicatedState {
	return &ReplicatedState{parts: map[StateMachineID]StateMachine{}, replies: map[string][]byte{}, changed: make(chan struct{})}
}

// Register adds a part before the first command.
func (m *ReplicatedState) Register(id StateMachineID, p StateMachine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parts[id] = p
}

// Apply executes a committed entry.
func (m *ReplicatedState) Apply(entry []byte) ([]byte, error) {
	var e Envelope
	if err := codec.Unmarshal(entry, &e); err != nil {
		return nil, fmt.Errorf("%w: committed entry: %w", ErrNotApplied, err)
	}
	cmd, err := e.command()
	if err != nil {
		return nil, fmt.Errorf("%w: packed command: %w", ErrNotApplied, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply, ok := m.replies[e.ID]; ok && e.ID != "" {
		return reply, nil
	}
	p := m.parts[e.StateMachine]
	if p == nil {
		return nil, fmt.Errorf("%w: no part %d", ErrNotApplied, e.StateMachine)
	}
	m.nowMS = max(m.nowMS, e.AtMS)
	before := p.Version()
	reply := p.Apply(m.nowMS, cmd)
	m.remember(e.ID, reply)
	if p.Version() != before {
		m.announce()
	}
	return reply, nil
}

// Reply returns the reply to a command that was executed, as long as it is kept.
func (m *ReplicatedState) CachedReply(id string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, ok := m.replies[id]
	return reply, ok
}

func (m *ReplicatedState) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *ReplicatedState) remember(id string, reply []byte) {
	if id == "" {
		return
	}
	m.replies[id] = reply
	m.order = append(m.order, id)
	m.held += len(id) + len(reply)
	for len(m.order) > maxReplies || m.held > replyBytes {
		oldest := m.order[0]
		m.held -= len(oldest) + len(m.replies[oldest])
		delete(m.replies, oldest)
		m.order = m.order[1:]
	}
}

// Read runs f on a part's state, which must not be kept.
func (m *ReplicatedState) Read(id StateMachineID, f func(StateMachine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.parts[id])
}

// Changed returns a channel that is closed at the next change of a version.
func (m *ReplicatedState) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
