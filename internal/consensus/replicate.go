package consensus

import (
	"fmt"
	"math"
	"slices"
)

// Propose appends a command on the leader and returns where its last piece stands. It
// is committed if the entry at that index has that term once it is applied.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes+len(data) > maxUncommittedBytes || c.uncommittedEntries >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	parts := split(data, c.o.MaxEntryBytes)
	last := len(parts) - 1
	for _, part := range parts[:last] {
		c.appendOwn(EntryPiece, part)
	}
	return c.appendOwn(EntryCommand, parts[last]), c.term, nil
}

// ProposeChange appends a membership change. One at a time, and none before an
// entry of the own term is committed: two leaders could otherwise count
// majorities of memberships that differ by two voters and share none.
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
	return c.appendOwn(EntryConfig, next.encode()), c.term, nil
}

func (c *Core) committedInTerm() bool {
	t, _ := c.log.term(c.commit)
	return t == c.term
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	c.uncommittedBytes += len(data)
	c.uncommittedEntries++
	if kind == EntryConfig {
		c.syncProgress(e.Index)
	}
	return e.Index
}

// sendAppends sends what members lack. One append is under way per member: the
// next carries all that came meanwhile, which is the group commit.
func (c *Core) sendAppends() {
	for _, id := range c.log.config().config.Members() {
		p := c.progress[id]
		if p != nil && !p.waiting && !p.sending && p.next <= c.log.last() {
			c.sendAppend(id, p)
		}
	}
}

func (c *Core) sendAppend(id MemberID, p *progress) {
	before := p.next - 1
	term, ok := c.log.term(before)
	if !ok {
		p.sending = true
		c.snapshots = append(c.snapshots, id)
		return
	}
	p.waiting, p.waited = true, 0
	entries := c.log.slice(p.next, c.log.last(), maxBatchBytes)
	p.sent = entryBytes(entries)
	p.told = min(c.commit, before+uint64(len(entries)))
	c.send(Message{Kind: AppendRequest, To: id, Index: before, LogTerm: term, Commit: c.commit, Entries: entries})
}

func (c *Core) stepAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From}
	if m.Index < c.commit {
		// An old message: all up to the commit agrees with any leader.
		reply.Index = c.commit
		c.send(reply)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint, reply.LogTerm = c.log.agreeing(m.Index, m.LogTerm)
		c.send(reply)
		return
	}
	c.merge(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.advance(min(m.Commit, reply.Index))
	c.send(reply)
}

// merge appends the entries that are not there, after cutting those that differ.
func (c *Core) merge(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			if e.Index <= c.commit {
				panic(fmt.Sprintf("consensus: committed entry %d of %d would be replaced", e.Index, c.commit))
			}
			c.log.truncate(e.Index)
		}
		c.log.append(entries[i:])
		return
	}
}

// advance moves the commit forward.
func (c *Core) advance(commit uint64) { c.commit = max(c.commit, commit) }

func (c *Core) stepHeartbeat(m Message) {
	if m.Commit > c.log.last() {
		// The leader caps Commit by what this member acknowledged. A disk that
		// forgot it must not go on as if nothing had happened.
		panic(fmt.Sprintf("consensus: acknowledged entry %d is gone, last is %d", m.Commit, c.log.last()))
	}
	c.advance(m.Commit)
	c.send(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (c *Core) stepReply(p *progress, m Message) {
	switch {
	case m.Kind == HeartbeatReply:
		p.round = max(p.round, m.Round)
		if p.waited >= resendBeats {
			p.waiting, p.waited = false, 0
		}
		c.releaseReads()
	case m.Reject:
		c.stepReject(p, m)
	case m.Index > c.log.last():
		// A member that holds more than its leader sent: entries of an old term
		// beyond the leader's log say nothing about this one.
	default:
		p.waiting = p.waiting && m.Index < p.next
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		c.maybeCommit()
		c.tellCommit(m.From, p)
	}
}

// tellCommit lets a member that answered after the majority learn the commit at
// once: those who watch there would else wait for the next heartbeat.
func (c *Core) tellCommit(id MemberID, p *progress) {
	if c.role == Leader && !c.wantBeat && p.next > c.log.last() && p.told < min(p.match, c.commit) {
		c.sendBeat(id, p)
	}
}

// stepReject moves back to where the logs may agree; an answer to an earlier
// append is stale.
func (c *Core) stepReject(p *progress, m Message) {
	if !p.waiting || m.Index != p.next-1 || m.Index <= p.match {
		return
	}
	agreed, _ := c.log.agreeing(m.Hint, m.LogTerm)
	if m.Hint < c.log.snap.Index {
		agreed = m.Hint
	}
	p.next = max(min(m.Index, agreed+1), p.match+1)
	p.waiting = false
}

// maybeCommit counts an entry of the own term only: an older one on a majority
// can still be overwritten.
func (c *Core) maybeCommit() {
	if c.role != Leader {
		return
	}
	at := c.log.config()
	index := c.quorumValue(at.config, func(id MemberID) uint64 {
		if id == c.o.ID {
			return c.log.persisted
		}
		return c.progress[id].match
	})
	if term, _ := c.log.term(index); index <= c.commit || term != c.term {
		return
	}
	for _, e := range c.log.slice(c.commit+1, index, math.MaxInt) {
		c.uncommittedBytes -= len(e.Data)
		c.uncommittedEntries--
	}
	c.uncommittedBytes, c.uncommittedEntries = max(0, c.uncommittedBytes), max(0, c.uncommittedEntries)
	c.commit = index
	c.wantBeat = true
	c.releaseReads()
	if at.index <= c.commit && !at.config.IsVoter(c.o.ID) {
		c.becomeFollower(c.term, "") // this member was removed
	}
}

// stepSnapshot takes over a snapshot that this VM has received and synced.
func (c *Core) stepSnapshot(m Message) {
	meta := *m.Meta
	if meta.Index > c.commit {
		if c.log.matches(meta.Index, meta.Term) {
			c.advance(meta.Index)
		} else {
			c.log.reset(meta)
			c.commit, c.handed = meta.Index, meta.Index
			c.installed = &meta
		}
	}
	c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit})
}

// SnapshotSent reports the end of a snapshot's transfer.
func (c *Core) SnapshotSent(to MemberID, index uint64, ok bool) {
	p := c.progress[to]
	if p == nil {
		return
	}
	p.sending, p.waiting = false, false
	if ok {
		p.next = max(p.next, index+1)
		return
	}
	p.waiting, p.waited = true, 0 // try again some heartbeats later
}

// Compact drops the entries up to index from memory.
func (c *Core) Compact(index uint64) { c.log.compact(min(index, c.handed, c.log.persisted)) }

// CaughtUp reports, on the leader, whether a member's log is as far as the
// commit, give or take entries that are on their way.
func (c *Core) CaughtUp(id MemberID, slack uint64) bool {
	p := c.progress[id]
	return c.role == Leader && p != nil && p.match > 0 && p.match+slack >= c.commit
}

// Config is the latest membership in the log.
func (c *Core) Config() Config {
	config := c.log.config().config
	return Config{Voters: slices.Clone(config.Voters), Learners: slices.Clone(config.Learners)}
}

// ConfigSettled reports whether the latest membership is committed.
func (c *Core) ConfigSettled() bool { return c.log.config().index <= c.commit }
