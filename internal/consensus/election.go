package consensus

// Campaign begins an election with a pre-vote: would a majority vote for this
// member? Only then is the term raised, so that a member which was cut off, and
// comes back, does not depose a leader that serves everybody else.
func (c *Core) Campaign() {
	c.resetTimeout()
	if c.role == Leader || !c.log.config().config.IsVoter(c.o.ID) {
		c.leader = ""
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.ask(PreVoteRequest, c.term+1, false)
}

// elect is the election itself.
func (c *Core) elect(handed bool) {
	c.term++
	c.vote = c.o.ID
	c.role, c.leader = Candidate, ""
	c.resetTimeout()
	c.ask(VoteRequest, c.term, handed)
}

func (c *Core) ask(kind MessageKind, term uint64, handed bool) {
	c.votes = map[MemberID]bool{c.o.ID: true}
	for _, id := range c.log.config().config.Voters {
		if id != c.o.ID {
			c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), LeadershipTransfer: handed})
		}
	}
	c.countVotes()
}

// HandOver asks the voter with the newest log to campaign at once, so that a
// leader that leaves costs a few round trips instead of an election timeout. It
// reports whether there was one to ask; an election by timeout follows if the
// message is lost.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	var best MemberID
	for _, id := range c.log.config().config.Voters {
		if p := c.progress[id]; p != nil && p.match == c.log.last() {
			best = id
		}
	}
	if best == "" {
		return false
	}
	c.send(Message{Kind: TimeoutNow, To: best})
	return true
}

func (c *Core) stepTimeoutNow(m Message) {
	if c.role == Follower && c.leader == m.From && c.log.config().config.IsVoter(c.o.ID) {
		c.elect(true)
	}
}

func (c *Core) stepVoteRequest(m Message) {
	free := c.vote == m.From || c.vote == "" && c.leader == ""
	if m.Kind == PreVoteRequest {
		free = free || m.Term > c.term
	}
	// A voter whose log is newer refuses: it may hold committed entries that the
	// candidate lacks.
	newer := m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last()
	grant := free && newer
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	if grant && m.Kind == VoteRequest {
		c.vote = m.From
		c.elapsed = 0
	}
	c.send(reply)
}

func (c *Core) stepVoteReply(m Message) {
	preVote := c.role == PreCandidate && m.Kind == PreVoteReply && (m.Reject || m.Term == c.term+1)
	vote := c.role == Candidate && m.Kind == VoteReply
	if !preVote && !vote {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

func (c *Core) countVotes() {
	config := c.log.config().config
	granted, refused := 0, 0
	for _, id := range config.Voters {
		if yes, ok := c.votes[id]; ok && yes {
			granted++
		} else if ok {
			refused++
		}
	}
	switch {
	case granted >= config.Quorum() && c.role == PreCandidate:
		c.elect(false)
	case granted >= config.Quorum():
		c.becomeLeader()
	case refused >= config.Quorum():
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.o.ID
	c.elapsed, c.beat, c.round = 0, 0, 0
	c.votes, c.reads = nil, nil
	c.progress = map[MemberID]*progress{}
	c.syncProgress(c.log.last() + 1)
	// Only an entry of the own term may be counted into a commit; it carries the
	// earlier ones along.
	c.appendOwn(EntryNoop, nil)
}

// syncProgress follows the membership; new members are probed at next.
func (c *Core) syncProgress(next uint64) {
	config := c.log.config().config
	for _, id := range config.Members() {
		if c.progress[id] == nil && id != c.o.ID {
			c.progress[id] = &progress{next: next, active: true}
		}
	}
	for id := range c.progress {
		if !config.IsVoter(id) && !config.IsLearner(id) {
			delete(c.progress, id)
		}
	}
}
