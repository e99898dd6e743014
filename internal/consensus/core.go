// Package consensus implements the replicated log of the control group. It follows
// the Raft paper (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, reads
// confirmed by a heartbeat round (ReadIndex), snapshots, and membership changes of
// one voter at a time.
//
// Core implements the protocol without sockets, disk or clock: its inputs are
// messages, ticks and random numbers, and its output is a Ready. Node connects a
// Core to the log on disk, to the other VMs and to a state machine.
package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// Options configure a Core.
type Options struct {
	ID MemberID
	// ElectionTicks is the minimum election timeout. Each timeout is drawn at random
	// from ElectionTicks to twice that, which makes split votes rare.
	ElectionTicks int
	// FirstElectionTicks is the minimum timeout of the first election after a start;
	// the timeout is drawn from it to three times that. 0 means ElectionTicks. After a
	// power loss on all VMs there is no leader to wait for, so it can be shorter. It
	// deposes no leader: members that hear a leader refuse the pre-vote.
	FirstElectionTicks int
	HeartbeatTicks     int
	// MaxEntryBytes bounds the data of one entry; 0 means maxEntryBytes.
	MaxEntryBytes int
	// Rand returns a random number from 0 to n-1.
	Rand func(n int) int
}

// Bounds of a leader's unacknowledged work.
const (
	// maxUncommittedBytes and maxUncommittedEntries bound the entries that wait for a
	// majority. A leader without followers refuses proposals at these bounds instead
	// of exhausting its memory.
	maxUncommittedBytes   = 8 << 20
	maxUncommittedEntries = 8192
	// resendAfterHeartbeats is the number of heartbeats after which an append without
	// a reply counts as lost.
	resendAfterHeartbeats = 3
)

// State is the persisted state from which a Core starts.
type State struct {
	Hard     HardState
	Snapshot SnapshotMeta // the state before Entries
	Entries  []Entry
	Applied  uint64 // last entry that the state machine contains; at least Snapshot.Index
}

// progress is a leader's view of one other member.
type progress struct {
	match                 uint64 // last entry known to be on the member's disk
	next                  uint64 // next entry to send
	appendInFlight        bool   // at most one append is in flight per member
	heartbeatsSinceAppend int    // heartbeats since the append was sent
	bytesInFlight         int    // size of the append's entries
	snapshotInFlight      bool   // a snapshot transfer is in progress
	recentlyActive        bool   // the member has replied since the last quorum check
	missedChecks          int    // consecutive quorum checks without a reply
	ackedRound            uint64 // last heartbeat round that the member answered
	commitSent            uint64 // commit index last sent to the member
}

// Core is one member's protocol state. It is not safe for concurrent use.
type Core struct {
	options Options
	log     *raftLog
	term    uint64
	vote    MemberID

	role             Role
	leader           MemberID
	commit           uint64
	delivered        uint64 // last entry returned in Ready.Committed
	electionElapsed  int    // ticks since the last message from the leader; on a leader, since the last quorum check
	heartbeatElapsed int    // ticks since the last heartbeat round
	electionTimeout  int    // in ticks; drawn at random for each election
	votes            map[MemberID]bool
	progress         map[MemberID]*progress

	uncommittedBytes   int
	uncommittedEntries int

	round             uint64 // number of heartbeat rounds sent in this term
	pendingReads      []pendingRead
	heartbeatDue      bool
	outbox            []Message
	confirmedReads    []Read
	snapshotTargets   []MemberID
	installedSnapshot *SnapshotMeta
	savedHardState    HardState // as last written to the disk
	steppedDown       *StepDown
}

// StepDown describes why a leader stepped down: no majority had replied within an
// election timeout.
type StepDown struct {
	Term             uint64
	Answered, Quorum int // number of voters, including this member
	UncommittedBytes int // size of the proposals that waited for a majority
	InFlightBytes    int // size of the appends without a reply
}

// NewCore returns a follower that starts from the state s. It panics if the
// commit index of s lies beyond its last entry.
func NewCore(o Options, s State) *Core {
	c := &Core{
		options: o, log: newRaftLog(s.Snapshot, s.Entries), term: s.Hard.Term, vote: s.Hard.Vote,
		commit: max(s.Hard.Commit, s.Snapshot.Index, s.Applied), delivered: max(s.Snapshot.Index, s.Applied), savedHardState: s.Hard,
	}
	if c.commit > c.log.last() {
		panic(fmt.Sprintf("consensus: commit index %d is beyond the last entry %d", c.commit, c.log.last()))
	}
	c.resetElectionTimeout()
	if c.options.MaxEntryBytes == 0 {
		c.options.MaxEntryBytes = maxEntryBytes
	}
	if o.FirstElectionTicks > 0 {
		c.electionTimeout = o.FirstElectionTicks + o.Rand(2*o.FirstElectionTicks)
	}
	return c
}

func (c *Core) resetElectionTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.options.ElectionTicks + c.options.Rand(c.options.ElectionTicks)
}

// Status is a snapshot of a Core's protocol state.
type Status struct {
	ID       MemberID
	Role     Role
	Term     uint64
	Leader   MemberID
	Commit   uint64
	Last     uint64
	Snapshot uint64
	Config   Config
	Match    map[MemberID]uint64 // last entry known to be stored per member; set on a leader only
}

// Status returns the current protocol state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.options.ID, Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit,
		Last: c.log.last(), Snapshot: c.log.snap.Index, Config: c.Config(),
	}
	if c.role == Leader {
		s.Match = map[MemberID]uint64{}
		for id, p := range c.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// IsLeader reports whether this member believes it is the leader. A deposed leader
// may not know it yet.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Leader returns the leader that this member knows, or "".
func (c *Core) Leader() MemberID { return c.leader }

// Tick advances the time by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role != Leader {
		if c.electionElapsed >= c.electionTimeout {
			c.Campaign()
		}
		return
	}
	if c.electionElapsed >= c.options.ElectionTicks {
		c.electionElapsed = 0
		c.checkQuorum()
	}
	c.heartbeatElapsed++
	if c.role == Leader && c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.scheduleHeartbeat()
	}
}

// checkQuorum makes a leader step down if no majority replied during an election
// timeout. Without this check a leader that can send but not receive continues to
// send heartbeats, which keeps the others from electing a leader that can commit.
func (c *Core) checkQuorum() {
	config := c.log.config().config
	active := 0
	for _, id := range config.Voters {
		if id == c.options.ID || c.progress[id].recentlyActive {
			active++
		}
	}
	if active < config.Quorum() {
		c.steppedDown = c.newStepDown(active, config.Quorum())
	}
	for _, p := range c.progress {
		p.missedChecks++
		if p.recentlyActive {
			p.missedChecks = 0
		}
		p.recentlyActive = false
	}
	if active < config.Quorum() {
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) newStepDown(answered, quorum int) *StepDown {
	r := &StepDown{Term: c.term, Answered: answered, Quorum: quorum, UncommittedBytes: c.uncommittedBytes}
	for _, p := range c.progress {
		if p.appendInFlight {
			r.InFlightBytes += p.bytesInFlight
		}
	}
	return r
}

// TakeStepDown returns the last step-down and clears it. It returns nil if there was
// none since the last call.
func (c *Core) TakeStepDown() *StepDown {
	r := c.steppedDown
	c.steppedDown = nil
	return r
}

func (c *Core) scheduleHeartbeat() {
	c.heartbeatElapsed = 0
	c.heartbeatDue = true
	for _, p := range c.progress {
		if p.appendInFlight {
			p.heartbeatsSinceAppend++
		}
	}
}

// Step processes a message from another member.
func (c *Core) Step(m Message) {
	if m.To != c.options.ID {
		return
	}
	switch {
	case m.Term > c.term:
		if !c.stepNewerTerm(m) {
			return
		}
	case m.Term < c.term:
		c.stepOlderTerm(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest, VoteRequest:
		c.stepVoteRequest(m)
	case PreVoteReply, VoteReply:
		c.stepVoteReply(m)
	case AppendRequest:
		c.acceptLeader(m.From)
		c.stepAppend(m)
	case HeartbeatRequest:
		c.acceptLeader(m.From)
		c.stepHeartbeat(m)
	case SnapshotInstalled:
		c.acceptLeader(m.From)
		c.stepSnapshot(m)
	case TimeoutNow:
		c.stepTimeoutNow(m)
	case AppendReply, HeartbeatReply:
		if p := c.progress[m.From]; c.role == Leader && p != nil {
			p.recentlyActive = true
			c.stepReply(p, m)
		}
	}
}

// stepNewerTerm handles the term of a message from a newer term. It reports whether
// the message is to be processed further.
func (c *Core) stepNewerTerm(m Message) bool {
	voteRequest := m.Kind == VoteRequest || m.Kind == PreVoteRequest
	if voteRequest && !m.LeadershipTransfer && c.leader != "" && c.electionElapsed < c.options.ElectionTicks {
		// The leader was heard within the election timeout. A member that cannot
		// reach it must not depose it: it would do so repeatedly.
		return false
	}
	switch {
	case m.Kind == PreVoteRequest, m.Kind == PreVoteReply && !m.Reject:
		// A pre-vote carries the term that the candidate would use, which is not in
		// use yet.
	case m.Kind == AppendRequest, m.Kind == HeartbeatRequest, m.Kind == SnapshotInstalled:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, "")
	}
	return true
}

// stepOlderTerm rejects a message of an older term. Without the reply a leader or
// candidate of that term would never learn that it is outdated.
func (c *Core) stepOlderTerm(m Message) {
	switch m.Kind {
	case AppendRequest, HeartbeatRequest, SnapshotInstalled:
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.log.last()})
	case PreVoteRequest:
		c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// acceptLeader records the sender as the leader of the current term.
func (c *Core) acceptLeader(leader MemberID) {
	if c.role == Leader {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and %s", c.term, c.options.ID, leader))
	}
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.electionElapsed = 0
}

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.term {
		c.term, c.vote = term, ""
	}
	c.role, c.leader = Follower, leader
	c.votes, c.progress, c.pendingReads = nil, nil, nil
	c.heartbeatDue, c.snapshotTargets = false, nil
	c.uncommittedBytes, c.uncommittedEntries = 0, 0
	c.resetElectionTimeout()
}

func (c *Core) send(m Message) {
	m.From = c.options.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.outbox = append(c.outbox, m)
}

// quorumValue returns the highest value that a majority of voters has reached.
func (c *Core) quorumValue(config Config, value func(MemberID) uint64) uint64 {
	values := make([]uint64, 0, MaxVoters)
	for _, id := range config.Voters {
		values = append(values, value(id))
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[config.Quorum()-1]
}
