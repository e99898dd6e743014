package consensus

import "math"

// pendingRead is a read that waits for a heartbeat round that started after the read
// was requested.
type pendingRead struct {
	id    uint64
	round uint64
}

// Read is a confirmed read. A state that includes the entry at Index includes everything
// that was committed when the read was requested.
type Read struct {
	ID    uint64
	Index uint64
}

// ReadIndex requests a confirmed read with the given id, which a later Ready returns.
// A majority confirms by a heartbeat round that this member still leads, so a leader
// that was deposed without knowing it confirms no read, whatever its clock shows. A
// read that is not urgent waits for the next regular heartbeat and costs no message.
func (c *Core) ReadIndex(id uint64, urgent bool) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.round + 1})
	c.heartbeatDue = c.heartbeatDue || urgent
	return nil
}

func (c *Core) confirmReads() {
	if c.role != Leader || len(c.pendingReads) == 0 || !c.committedInTerm() {
		return
	}
	confirmed := c.quorumValue(c.log.config().config, func(id MemberID) uint64 {
		if id == c.options.ID {
			return c.round
		}
		return c.progress[id].ackedRound
	})
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].round <= confirmed {
		c.confirmedReads = append(c.confirmedReads, Read{ID: c.pendingReads[n].id, Index: c.commit})
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}

func (c *Core) sendHeartbeats() {
	c.heartbeatDue = false
	c.round++
	for _, id := range c.log.config().config.Members() {
		if p := c.progress[id]; p != nil {
			c.sendHeartbeat(id, p)
		}
	}
	c.confirmReads()
}

func (c *Core) sendHeartbeat(id MemberID, p *progress) {
	p.commitSent = min(p.match, c.commit)
	c.send(Message{Kind: HeartbeatRequest, To: id, Commit: p.commitSent, Round: c.round})
}

// Ready lists pending work. The caller sends SendBeforeSync, saves, sends
// SendAfterSync and applies Committed, in this order.
type Ready struct {
	// Snapshot, if set, replaces log and state. Its content is already on this VM's
	// disk.
	Snapshot *SnapshotMeta
	Hard     HardState
	Entries  []Entry
	// MustSync is set if Hard, Entries or Snapshot must be synced before
	// SendAfterSync is sent and Committed is applied.
	MustSync       bool
	SendBeforeSync []Message
	SendAfterSync  []Message
	Committed      []Entry
	Reads          []Read
	// SnapshotTargets are the members that need a snapshot. The caller ends each
	// transfer with SnapshotSent.
	SnapshotTargets []MemberID
}

// Ready returns the pending work. The caller must call Saved before the next Ready.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.sendAppends()
		if c.heartbeatDue {
			c.sendHeartbeats()
		}
	}
	hard := HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	rd := Ready{
		Snapshot: c.installedSnapshot, Hard: hard,
		Entries:   c.log.entriesBetween(c.log.persisted+1, c.log.last(), math.MaxInt),
		Committed: c.log.entriesBetween(c.delivered+1, c.commit, math.MaxInt),
		Reads:     c.confirmedReads, SnapshotTargets: c.snapshotTargets,
	}
	newTerm := hard.Term != c.savedHardState.Term || hard.Vote != c.savedHardState.Vote
	rd.MustSync = newTerm || len(rd.Entries) > 0 || rd.Snapshot != nil
	// A leader may send appends before its own disk is synced: its own copy counts
	// only after the sync. All other messages rely on state that must be on the disk
	// first.
	if c.role == Leader && !newTerm {
		rd.SendBeforeSync = c.outbox
	} else {
		rd.SendAfterSync = c.outbox
	}
	c.outbox, c.confirmedReads, c.snapshotTargets, c.installedSnapshot = nil, nil, nil, nil
	c.delivered = c.commit
	return rd
}

// Saved records that rd was saved.
func (c *Core) Saved(rd Ready) {
	c.savedHardState = rd.Hard
	if n := len(rd.Entries); n > 0 {
		c.log.persisted = rd.Entries[n-1].Index
	}
	c.maybeCommit()
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return len(c.outbox) > 0 || c.heartbeatDue || len(c.confirmedReads) > 0 || len(c.snapshotTargets) > 0 || c.installedSnapshot != nil ||
		c.commit > c.delivered || c.log.persisted < c.log.last() ||
		c.term != c.savedHardState.Term || c.vote != c.savedHardState.Vote || c.role == Leader && c.hasUnsentEntries()
}

func (c *Core) hasUnsentEntries() bool {
	for _, p := range c.progress {
		if !p.appendInFlight && !p.snapshotInFlight && p.next <= c.log.last() {
			return true
		}
	}
	return false
}
