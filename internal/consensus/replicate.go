package consensus

import (
	"fmt"
	"math"
	"slices"
)

// Propose appends a command on the leader and returns index and term of its last
// piece. The command is committed if the entry that is applied at that index has that
// term. Propose returns ErrNotLeader or ErrBusy if nothing was appended.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes+len(data) > maxUncommittedBytes || c.uncommittedEntries >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	parts := splitCommand(data, c.options.MaxEntryBytes)
	last := len(parts) - 1
	for _, part := range parts[:last] {
		c.appendEntry(EntryPiece, part)
	}
	return c.appendEntry(EntryCommand, parts[last]), c.term, nil
}

// ProposeChange appends a membership change on the leader. It returns ErrConfigBusy
// while another change is uncommitted or the leader has not committed an entry of its
// own term. Otherwise two leaders could count majorities of memberships that differ by
// two voters and share none.
func (c *Core) ProposeChange(ch Change) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.log.config().index > c.commit || !c.committedInTerm() {
		return 0, 0, ErrConfigBusy
	}
	next, err := c.log.config().config.Apply(ch)
	if err != nil {
		return 0, 0, err
	}
	return c.appendEntry(EntryConfig, next.encode()), c.term, nil
}

func (c *Core) committedInTerm() bool {
	t, _ := c.log.term(c.commit)
	return t == c.term
}

func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	c.uncommittedBytes += len(data)
	c.uncommittedEntries++
	if kind == EntryConfig {
		c.syncProgress(e.Index)
	}
	return e.Index
}

// sendAppends sends missing entries to the members. At most one append is in flight
// per member. The next append carries the entries that arrived in the meantime, which
// gives group commit.
func (c *Core) sendAppends() {
	for _, id := range c.log.config().config.Members() {
		p := c.progress[id]
		if p != nil && !p.appendInFlight && !p.snapshotInFlight && p.next <= c.log.last() {
			c.sendAppend(id, p)
		}
	}
}

func (c *Core) sendAppend(id MemberID, p *progress) {
	before := p.next - 1
	term, ok := c.log.term(before)
	if !ok {
		p.snapshotInFlight = true
		c.snapshotTargets = append(c.snapshotTargets, id)
		return
	}
	p.appendInFlight, p.heartbeatsSinceAppend = true, 0
	entries := c.log.entriesBetween(p.next, c.log.last(), maxBatchBytes)
	p.bytesInFlight = entryBytes(entries)
	p.commitSent = min(c.commit, before+uint64(len(entries)))
	c.send(Message{Kind: AppendRequest, To: id, Index: before, LogTerm: term, Commit: c.commit, Entries: entries})
}

func (c *Core) stepAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From}
	if m.Index < c.commit {
		// The message is outdated: entries up to the commit index agree with every
		// leader's log.
		reply.Index = c.commit
		c.send(reply)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint, reply.LogTerm = c.log.findConflictByTerm(m.Index, m.LogTerm)
		c.send(reply)
		return
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.advanceCommit(min(m.Commit, reply.Index))
	c.send(reply)
}

// mergeEntries truncates the log at the first conflicting entry and appends the
// entries that it lacks.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			if e.Index <= c.commit {
				panic(fmt.Sprintf("consensus: entry %d would be overwritten, but entries up to %d are committed", e.Index, c.commit))
			}
			c.log.truncate(e.Index)
		}
		c.log.append(entries[i:])
		return
	}
}

// advanceCommit raises the commit index to commit; it never lowers it.
func (c *Core) advanceCommit(commit uint64) { c.commit = max(c.commit, commit) }

func (c *Core) stepHeartbeat(m Message) {
	if m.Commit > c.log.last() {
		// The leader caps Commit at the last entry that this member acknowledged. A
		// member whose disk lost acknowledged entries must not continue.
		panic(fmt.Sprintf("consensus: acknowledged entry %d is missing from the log, whose last entry is %d", m.Commit, c.log.last()))
	}
	c.advanceCommit(m.Commit)
	c.send(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (c *Core) stepReply(p *progress, m Message) {
	switch {
	case m.Kind == HeartbeatReply:
		p.ackedRound = max(p.ackedRound, m.Round)
		if p.heartbeatsSinceAppend >= resendAfterHeartbeats {
			p.appendInFlight, p.heartbeatsSinceAppend = false, 0
		}
		c.confirmReads()
	case m.Reject:
		c.stepReject(p, m)
	case m.Index > c.log.last():
		// The member's log is longer than the leader's. Its entries beyond the leader's
		// log are of an older term and match nothing here.
	default:
		p.appendInFlight = p.appendInFlight && m.Index < p.next
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		c.maybeCommit()
		c.propagateCommit(m.From, p)
	}
}

// propagateCommit sends the commit index at once to a member that replied after the
// majority. Otherwise the VMs that poll that member would get the change only after the
// next heartbeat.
func (c *Core) propagateCommit(id MemberID, p *progress) {
	if c.role == Leader && !c.heartbeatDue && p.next > c.log.last() && p.commitSent < min(p.match, c.commit) {
		c.sendHeartbeat(id, p)
	}
}

// stepReject moves the next entry to send back to where the logs may agree. It ignores
// a stale reply to an earlier append.
func (c *Core) stepReject(p *progress, m Message) {
	if !p.appendInFlight || m.Index != p.next-1 || m.Index <= p.match {
		return
	}
	agreed, _ := c.log.findConflictByTerm(m.Hint, m.LogTerm)
	if m.Hint < c.log.snap.Index {
		agreed = m.Hint
	}
	p.next = max(min(m.Index, agreed+1), p.match+1)
	p.appendInFlight = false
}

// maybeCommit advances the commit index to the last entry that a majority has stored,
// if that entry is of the leader's own term. An entry of an older term can still be
// overwritten although a majority has stored it.
func (c *Core) maybeCommit() {
	if c.role != Leader {
		return
	}
	at := c.log.config()
	index := c.quorumValue(at.config, func(id MemberID) uint64 {
		if id == c.options.ID {
			return c.log.persisted
		}
		return c.progress[id].match
	})
	if term, _ := c.log.term(index); index <= c.commit || term != c.term {
		return
	}
	for _, e := range c.log.entriesBetween(c.commit+1, index, math.MaxInt) {
		c.uncommittedBytes -= len(e.Data)
		c.uncommittedEntries--
	}
	c.uncommittedBytes, c.uncommittedEntries = max(0, c.uncommittedBytes), max(0, c.uncommittedEntries)
	c.commit = index
	c.heartbeatDue = true
	c.confirmReads()
	if at.index <= c.commit && !at.config.IsVoter(c.options.ID) {
		c.becomeFollower(c.term, "") // this member was removed
	}
}

// stepSnapshot installs a snapshot that this VM has received and synced.
func (c *Core) stepSnapshot(m Message) {
	meta := *m.Meta
	if meta.Index > c.commit {
		if c.log.matches(meta.Index, meta.Term) {
			c.advanceCommit(meta.Index)
		} else {
			c.log.resetToSnapshot(meta)
			c.commit, c.delivered = meta.Index, meta.Index
			c.installedSnapshot = &meta
		}
	}
	c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit})
}

// SnapshotSent ends the transfer of the snapshot at index to a member; ok is false if
// the transfer failed.
func (c *Core) SnapshotSent(to MemberID, index uint64, ok bool) {
	p := c.progress[to]
	if p == nil {
		return
	}
	p.snapshotInFlight, p.appendInFlight = false, false
	if ok {
		p.next = max(p.next, index+1)
		return
	}
	p.appendInFlight, p.heartbeatsSinceAppend = true, 0 // retried after resendAfterHeartbeats
}

// Compact drops the entries up to index from memory. It keeps entries that are not
// delivered or not synced.
func (c *Core) Compact(index uint64) { c.log.compact(min(index, c.delivered, c.log.persisted)) }

// CaughtUp reports, on the leader, whether a member's log reaches the commit index
// but for at most slack entries.
func (c *Core) CaughtUp(id MemberID, slack uint64) bool {
	p := c.progress[id]
	return c.role == Leader && p != nil && p.match > 0 && p.match+slack >= c.commit
}

// Config returns the latest membership in the log, committed or not.
func (c *Core) Config() Config {
	config := c.log.config().config
	return Config{Voters: slices.Clone(config.Voters), Learners: slices.Clone(config.Learners)}
}

// ConfigSettled reports whether the latest membership is committed.
func (c *Core) ConfigSettled() bool { return c.log.config().index <= c.commit }
