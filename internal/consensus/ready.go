package consensus

import "math"

// pendingRead waits for a heartbeat round begun after it came.
type pendingRead struct {
	id    uint64
	round uint64
}

// Read is a confirmed read: state that holds the entry Index holds all that was
// committed when the read was asked for.
type Read struct {
	ID    uint64
	Index uint64
}

// ReadIndex asks for a confirmation that this member still leads. A read that is
// not urgent waits for the next regular heartbeat and costs no message. A leader
// that was deposed without knowing cannot confirm, whatever its clock says.
func (c *Core) ReadIndex(id uint64, urgent bool) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1})
	c.wantBeat = c.wantBeat || urgent
	return nil
}

func (c *Core) releaseReads() {
	if c.role != Leader || len(c.reads) == 0 || !c.committedInTerm() {
		return
	}
	confirmed := c.quorumValue(c.log.config().config, func(id MemberID) uint64 {
		if id == c.o.ID {
			return c.round
		}
		return c.progress[id].round
	})
	n := 0
	for n < len(c.reads) && c.reads[n].round <= confirmed {
		c.released = append(c.released, Read{ID: c.reads[n].id, Index: c.commit})
		n++
	}
	c.reads = c.reads[n:]
}

func (c *Core) sendBeats() {
	c.wantBeat = false
	c.round++
	for _, id := range c.log.config().config.Members() {
		if p := c.progress[id]; p != nil {
			c.sendBeat(id, p)
		}
	}
	c.releaseReads()
}

func (c *Core) sendBeat(id MemberID, p *progress) {
	p.told = min(p.match, c.commit)
	c.send(Message{Kind: HeartbeatRequest, To: id, Commit: p.told, Round: c.round})
}

// Ready is what is to be done now: send Before, save, send After, apply.
type Ready struct {
	// Snapshot replaces log and state; its content is on this VM's disk already.
	Snapshot *SnapshotMeta
	Hard     HardState
	Entries  []Entry
	// Save is set where Hard, Entries or Snapshot must be synced before After is
	// sent and Committed is applied.
	MustSync       bool
	SendBeforeSync []Message
	SendAfterSync  []Message
	Committed      []Entry
	Reads          []Read
	// Snapshots are members that need a snapshot; SnapshotSent ends each transfer.
	SnapshotTargets []MemberID
}

// Ready returns what is to be done. Saved must follow before the next Ready.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.sendAppends()
		if c.wantBeat {
			c.sendBeats()
		}
	}
	hard := HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	rd := Ready{
		Snapshot: c.installed, Hard: hard,
		Entries:   c.log.slice(c.log.persisted+1, c.log.last(), math.MaxInt),
		Committed: c.log.slice(c.handed+1, c.commit, math.MaxInt),
		Reads:     c.released, SnapshotTargets: c.snapshots,
	}
	newTerm := hard.Term != c.saved.Term || hard.Vote != c.saved.Vote
	rd.MustSync = newTerm || len(rd.Entries) > 0 || rd.Snapshot != nil
	// A leader's appends may overtake its own disk: its copy counts once synced.
	// Everything else promises what must be on the disk first.
	if c.role == Leader && !newTerm {
		rd.SendBeforeSync = c.out
	} else {
		rd.SendAfterSync = c.out
	}
	c.out, c.released, c.snapshots, c.installed = nil, nil, nil, nil
	c.handed = c.commit
	return rd
}

// Saved reports that a Ready was synced.
func (c *Core) Saved(rd Ready) {
	c.saved = rd.Hard
	if n := len(rd.Entries); n > 0 {
		c.log.persisted = rd.Entries[n-1].Index
	}
	c.maybeCommit()
}

// HasReady reports whether Ready would have anything to do.
func (c *Core) HasReady() bool {
	return len(c.out) > 0 || c.wantBeat || len(c.released) > 0 || len(c.snapshots) > 0 || c.installed != nil ||
		c.commit > c.handed || c.log.persisted < c.log.last() ||
		c.term != c.saved.Term || c.vote != c.saved.Vote || c.role == Leader && c.lacking()
}

func (c *Core) lacking() bool {
	for _, p := range c.progress {
		if !p.waiting && !p.sending && p.next <= c.log.last() {
			return true
		}
	}
	return false
}
