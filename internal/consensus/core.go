// Package consensus is the replicated log of the control group, after the Raft
// paper (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, reads by
// leader confirmation, snapshots and membership changes of one voter at a time.
//
// Core is the protocol alone: no sockets, no disk, no clock; messages, ticks and
// randomness come in, a Ready goes out. Node joins it to the log on disk, to the
// other VMs and to a state machine.
package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// Options of a Core.
type Options struct {
	ID MemberID
	// ElectionTicks without a leader begin an election; the real timeout is drawn
	// from ElectionTicks to twice that, so that voters seldom collide.
	ElectionTicks int
	// FirstTicks is the same for the first election after a start; 0: ElectionTicks.
	// Nobody is deposed by it: a pre-vote comes first, which a member that hears a
	// leader refuses. After a loss of power on all VMs there is none to wait for.
	FirstElectionTicks int
	HeartbeatTicks     int
	// MaxEntryBytes bounds the data of one entry; 0: maxEntryBytes.
	MaxEntryBytes int
	// Rand returns a number from 0 to n-1.
	Rand func(n int) int
}

// Bounds of one Core.
const (
	// maxUncommitted bounds what waits for a majority, so that a leader without
	// followers refuses proposals instead of filling its memory.
	maxUncommittedBytes   = 8 << 20
	maxUncommittedEntries = 8192
	// resendBeats is after how many heartbeats an append without an answer counts
	// as lost.
	resendBeats = 3
)

// State is what a Core starts from: what its disk held.
type State struct {
	Hard     HardState
	Snapshot SnapshotMeta // what stands before Entries
	Entries  []Entry
	Applied  uint64 // what the state machine holds; at least Snapshot.Index
}

// progress is what a leader knows of a member.
type progress struct {
	match   uint64 // last entry known to be on the member's disk
	next    uint64 // next entry to send
	waiting bool   // an append is under way; one at a time
	waited  int    // heartbeats since
	sent    int    // bytes of its entries
	sending bool   // a snapshot is under way
	active  bool   // heard from since the last quorum check
	silent  int    // quorum checks in a row without a word
	round   uint64 // last heartbeat round answered
	told    uint64 // commit that the member was told last
}

// Core is one member's protocol state. It is not safe for concurrent use.
type Core struct {
	o    Options
	log  *raftLog
	term uint64
	vote MemberID

	role     Role
	leader   MemberID
	commit   uint64
	handed   uint64 // last entry given out in Ready.Committed
	elapsed  int    // ticks since the leader was heard, or since the last quorum check
	beat     int    // ticks since the last heartbeat round
	timeout  int    // ticks, drawn anew for each election
	votes    map[MemberID]bool
	progress map[MemberID]*progress

	uncommittedBytes   int
	uncommittedEntries int

	round       uint64 // heartbeat rounds sent in this term
	reads       []pendingRead
	wantBeat    bool
	out         []Message
	released    []Read
	snapshots   []MemberID
	installed   *SnapshotMeta
	saved       HardState // as last handed to the disk
	steppedDown *StepDown
}

// StepDown describes a leader that stepped down because no majority had answered
// for an election timeout.
type StepDown struct {
	Term             uint64
	Answered, Quorum int // voters, this member included
	UncommittedBytes int // of proposals that waited for a majority
	InFlightBytes    int // of the appends that were not answered yet
}

// NewCore returns a follower with the state of its disk.
func NewCore(o Options, s State) *Core {
	c := &Core{
		o: o, log: newRaftLog(s.Snapshot, s.Entries), term: s.Hard.Term, vote: s.Hard.Vote,
		commit: max(s.Hard.Commit, s.Snapshot.Index, s.Applied), handed: max(s.Snapshot.Index, s.Applied), saved: s.Hard,
	}
	if c.commit > c.log.last() {
		panic(fmt.Sprintf("consensus: commit %d beyond the last entry %d", c.commit, c.log.last()))
	}
	c.resetTimeout()
	if c.o.MaxEntryBytes == 0 {
		c.o.MaxEntryBytes = maxEntryBytes
	}
	if o.FirstElectionTicks > 0 {
		c.timeout = o.FirstElectionTicks + o.Rand(2*o.FirstElectionTicks)
	}
	return c
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.o.ElectionTicks + c.o.Rand(c.o.ElectionTicks)
}

// Status describes a Core.
type Status struct {
	ID       MemberID
	Role     Role
	Term     uint64
	Leader   MemberID
	Commit   uint64
	Last     uint64
	Snapshot uint64
	Config   Config
	Match    map[MemberID]uint64 // on a leader
}

// Status returns the present state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.o.ID, Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit,
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

// IsLeader reports whether this member leads, as far as it knows.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Leader is the leader that this member knows, or "".
func (c *Core) Leader() MemberID { return c.leader }

// Tick advances the time by one tick.
func (c *Core) Tick() {
	c.elapsed++
	if c.role != Leader {
		if c.elapsed >= c.timeout {
			c.Campaign()
		}
		return
	}
	if c.elapsed >= c.o.ElectionTicks {
		c.elapsed = 0
		c.checkQuorum()
	}
	c.beat++
	if c.role == Leader && c.beat >= c.o.HeartbeatTicks {
		c.heartbeat()
	}
}

// checkQuorum ends the leadership of a leader that no majority answered during
// an election timeout. Without it a leader cut off one way goes on sending
// heartbeats, and so keeps the others from electing one that can commit.
func (c *Core) checkQuorum() {
	config := c.log.config().config
	active := 0
	for _, id := range config.Voters {
		if id == c.o.ID || c.progress[id].active {
			active++
		}
	}
	if active < config.Quorum() {
		c.steppedDown = c.newStepDown(active, config.Quorum())
	}
	for _, p := range c.progress {
		p.silent++
		if p.active {
			p.silent = 0
		}
		p.active = false
	}
	if active < config.Quorum() {
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) newStepDown(answered, quorum int) *StepDown {
	r := &StepDown{Term: c.term, Answered: answered, Quorum: quorum, UncommittedBytes: c.uncommittedBytes}
	for _, p := range c.progress {
		if p.waiting {
			r.InFlightBytes += p.sent
		}
	}
	return r
}

// TakeStepDown returns the last one, once; nil: there was none.
func (c *Core) TakeStepDown() *StepDown {
	r := c.steppedDown
	c.steppedDown = nil
	return r
}

func (c *Core) heartbeat() {
	c.beat = 0
	c.wantBeat = true
	for _, p := range c.progress {
		if p.waiting {
			p.waited++
		}
	}
}

// Step takes a message from another member.
func (c *Core) Step(m Message) {
	if m.To != c.o.ID {
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
		c.follow(m.From)
		c.stepAppend(m)
	case HeartbeatRequest:
		c.follow(m.From)
		c.stepHeartbeat(m)
	case SnapshotInstalled:
		c.follow(m.From)
		c.stepSnapshot(m)
	case TimeoutNow:
		c.stepTimeoutNow(m)
	case AppendReply, HeartbeatReply:
		if p := c.progress[m.From]; c.role == Leader && p != nil {
			p.active = true
			c.stepReply(p, m)
		}
	}
}

// stepNewerTerm reports whether the message is to be handled further.
func (c *Core) stepNewerTerm(m Message) bool {
	asks := m.Kind == VoteRequest || m.Kind == PreVoteRequest
	if asks && !m.LeadershipTransfer && c.leader != "" && c.elapsed < c.o.ElectionTicks {
		// The leader was heard just now. A member that cannot hear it must not
		// depose it: it would do so again and again.
		return false
	}
	switch {
	case m.Kind == PreVoteRequest, m.Kind == PreVoteReply && !m.Reject:
		// A pre-vote's term is one that the candidate would use, not one in use.
	case m.Kind == AppendRequest, m.Kind == HeartbeatRequest, m.Kind == SnapshotInstalled:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, "")
	}
	return true
}

// stepOlderTerm tells a sender that it is behind, else a leader or candidate of
// an old term goes on for ever.
func (c *Core) stepOlderTerm(m Message) {
	switch m.Kind {
	case AppendRequest, HeartbeatRequest, SnapshotInstalled:
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.log.last()})
	case PreVoteRequest:
		c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// follow accepts the sender as the leader of this term.
func (c *Core) follow(leader MemberID) {
	if c.role == Leader {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and %s", c.term, c.o.ID, leader))
	}
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.elapsed = 0
}

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.term {
		c.term, c.vote = term, ""
	}
	c.role, c.leader = Follower, leader
	c.votes, c.progress, c.reads = nil, nil, nil
	c.wantBeat, c.snapshots = false, nil
	c.uncommittedBytes, c.uncommittedEntries = 0, 0
	c.resetTimeout()
}

func (c *Core) send(m Message) {
	m.From = c.o.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out = append(c.out, m)
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
