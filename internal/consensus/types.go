package consensus

import (
	"errors"
	"strings"
)

// MemberID names one member for its whole life: the VM's id, a slash and an
// identity that is stored beside the log. A VM that lost its disk comes back
// under a new MemberID: the old one may have voted, and nobody remembers how.
type MemberID string

// NewMemberID joins a VM's id and an identity.
func NewMemberID(vm, identity string) MemberID { return MemberID(vm + "/" + identity) }

// VM is the id of the member's VM.
func (id MemberID) VM() string {
	vm, _, _ := strings.Cut(string(id), "/")
	return vm
}

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries. The numbers are on disk.
const (
	EntryCommand EntryKind = 1
	EntryConfig  EntryKind = 2 // an encoded Config, in force from its append on
	EntryNoop    EntryKind = 3 // a new leader's first
	EntryPiece   EntryKind = 4 // the begin of a command that goes on in the next entry
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must not forget. Commit alone needs no sync: the
// leader tells it again.
type HardState struct {
	Term   uint64   `cbor:"1,keyasint"`
	Vote   MemberID `cbor:"2,keyasint,omitempty"`
	Commit uint64   `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta names the state after the entry Index.
type SnapshotMeta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
}

// MessageKind names a message between members.
type MessageKind uint8

// The messages. The numbers are part of the protocol.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	VoteRequest
	VoteReply
	AppendRequest
	AppendReply
	HeartbeatRequest
	HeartbeatReply
	TimeoutNow        // from a leader that leaves: campaign at once
	SnapshotInstalled // from the Node that received the last chunk to its own Core
)

// Message is sent between members. Which fields count depends on Kind.
type Message struct {
	Kind               MessageKind   `cbor:"1,keyasint"`
	From               MemberID      `cbor:"2,keyasint"`
	To                 MemberID      `cbor:"3,keyasint"`
	Term               uint64        `cbor:"4,keyasint"`
	Index              uint64        `cbor:"5,keyasint,omitempty"` // of the entry before Entries; a voter's last; a reply's match
	LogTerm            uint64        `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit             uint64        `cbor:"7,keyasint,omitempty"`
	Entries            []Entry       `cbor:"8,keyasint,omitempty"`
	Reject             bool          `cbor:"9,keyasint,omitempty"`
	Hint               uint64        `cbor:"10,keyasint,omitempty"` // of a rejecting reply: where the logs may still agree
	Round              uint64        `cbor:"11,keyasint,omitempty"` // heartbeat round, for reads
	Meta               *SnapshotMeta `cbor:"12,keyasint,omitempty"`
	LeadershipTransfer bool          `cbor:"13,keyasint,omitempty"` // of a vote request: the leader itself asked for it
}

// Errors of proposals and reads.
var (
	ErrNotLeader      = errors.New("consensus: not the leader")
	ErrBusy           = errors.New("consensus: too many proposals wait")
	ErrConfigBusy     = errors.New("consensus: another membership change is under way")
	ErrBadChange      = errors.New("consensus: membership change does not apply")
	ErrOutcomeUnknown = errors.New("consensus: leadership lost before the outcome was known")
	ErrNoMember       = errors.New("consensus: no member on this VM")
	ErrClosed         = errors.New("consensus: closed")
)

// Role is what a member does at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
