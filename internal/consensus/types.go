package consensus

import (
	"errors"
	"strings"
)

// MemberID identifies one member for its lifetime. It consists of the VM's id, a
// slash and an identity that is stored beside the log. A VM that lost its disk
// gets a new MemberID, because the votes of the old one are lost with the disk.
type MemberID string

// NewMemberID returns the MemberID of a VM with the given identity.
func NewMemberID(vm, identity string) MemberID { return MemberID(vm + "/" + identity) }

// VM returns the id of the member's VM.
func (id MemberID) VM() string {
	vm, _, _ := strings.Cut(string(id), "/")
	return vm
}

// EntryKind is the type of a log entry's data.
type EntryKind uint8

// The kinds of entries. The numbers are stored on disk.
const (
	EntryCommand EntryKind = 1
	EntryConfig  EntryKind = 2 // an encoded Config, which takes effect when it is appended
	EntryNoop    EntryKind = 3 // the first entry of a new leader
	EntryPiece   EntryKind = 4 // a part of a command that continues in the next entry
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a member must persist. A change of Commit alone
// needs no sync, because the leader sends it again.
type HardState struct {
	Term   uint64   `cbor:"1,keyasint"`
	Vote   MemberID `cbor:"2,keyasint,omitempty"`
	Commit uint64   `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta identifies the state after the entry at Index was applied.
type SnapshotMeta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
}

// MessageKind is the type of a message between members.
type MessageKind uint8

// The kinds of messages. The numbers are part of the protocol.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	VoteRequest
	VoteReply
	AppendRequest
	AppendReply
	HeartbeatRequest
	HeartbeatReply
	TimeoutNow        // a leader transfers its leadership: the receiver campaigns at once
	SnapshotInstalled // from a Node that received the last chunk to its own Core
)

// Message is a message between members. Kind determines which fields are used.
type Message struct {
	Kind               MessageKind   `cbor:"1,keyasint"`
	From               MemberID      `cbor:"2,keyasint"`
	To                 MemberID      `cbor:"3,keyasint"`
	Term               uint64        `cbor:"4,keyasint"`
	Index              uint64        `cbor:"5,keyasint,omitempty"` // append: the entry before Entries; vote: the last entry; reply: the last matching entry
	LogTerm            uint64        `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit             uint64        `cbor:"7,keyasint,omitempty"`
	Entries            []Entry       `cbor:"8,keyasint,omitempty"`
	Reject             bool          `cbor:"9,keyasint,omitempty"`
	Hint               uint64        `cbor:"10,keyasint,omitempty"` // rejecting reply: the last index at which the logs may agree
	Round              uint64        `cbor:"11,keyasint,omitempty"` // heartbeat round, which confirms reads
	Meta               *SnapshotMeta `cbor:"12,keyasint,omitempty"`
	LeadershipTransfer bool          `cbor:"13,keyasint,omitempty"` // vote request: the leader itself transfers its leadership
}

// Errors of proposals, membership changes and reads.
var (
	ErrNotLeader      = errors.New("consensus: not the leader")
	ErrBusy           = errors.New("consensus: too many pending proposals")
	ErrConfigBusy     = errors.New("consensus: another membership change is in progress")
	ErrBadChange      = errors.New("consensus: membership change is not valid for the current configuration")
	ErrOutcomeUnknown = errors.New("consensus: leadership lost before the outcome was known")
	ErrNoMember       = errors.New("consensus: VM has no member in the group")
	ErrClosed         = errors.New("consensus: closed")
)

// Role is a member's current Raft role.
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
