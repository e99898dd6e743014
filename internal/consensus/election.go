package consensus

// Campaign starts an election with a pre-vote, which asks whether a majority would
// vote for this member. The term is raised only after a successful pre-vote.
// Otherwise a member that returns after a network partition would depose a leader
// that the other members can reach.
func (c *Core) Campaign() {
	c.resetElectionTimeout()
	if c.role == Leader || !c.log.config().config.IsVoter(c.options.ID) {
		c.leader = ""
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.requestVotes(PreVoteRequest, c.term+1, false)
}

// startElection raises the term and requests votes from all voters.
func (c *Core) startElection(transfer bool) {
	c.term++
	c.vote = c.options.ID
	c.role, c.leader = Candidate, ""
	c.resetElectionTimeout()
	c.requestVotes(VoteRequest, c.term, transfer)
}

func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	c.votes = map[MemberID]bool{c.options.ID: true}
	for _, id := range c.log.config().config.Voters {
		if id != c.options.ID {
			c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), LeadershipTransfer: transfer})
		}
	}
	c.countVotes()
}

// TransferLeadership asks a voter that has the complete log to campaign at once. The
// change of leader then takes a few round trips instead of an election timeout. It
// reports whether there was such a voter. If the message is lost, an election by
// timeout follows.
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
	if c.role == Follower && c.leader == m.From && c.log.config().config.IsVoter(c.options.ID) {
		c.startElection(true)
	}
}

func (c *Core) stepVoteRequest(m Message) {
	canVote := c.vote == m.From || c.vote == "" && c.leader == ""
	if m.Kind == PreVoteRequest {
		canVote = canVote || m.Term > c.term
	}
	// A voter whose log is newer refuses, because it may hold committed entries that
	// the candidate lacks.
	upToDate := m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last()
	grant := canVote && upToDate
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	if grant && m.Kind == VoteRequest {
		c.vote = m.From
		c.electionElapsed = 0
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
		c.startElection(false)
	case granted >= config.Quorum():
		c.becomeLeader()
	case refused >= config.Quorum():
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.options.ID
	c.electionElapsed, c.heartbeatElapsed, c.round = 0, 0, 0
	c.votes, c.pendingReads = nil, nil
	c.progress = map[MemberID]*progress{}
	c.syncProgress(c.log.last() + 1)
	// A leader may commit only entries of its own term by counting replicas. This
	// entry commits the earlier ones indirectly.
	c.appendEntry(EntryNoop, nil)
}

// syncProgress updates the set of tracked members to the membership. Replication to
// a new member starts at the entry next.
func (c *Core) syncProgress(next uint64) {
	config := c.log.config().config
	for _, id := range config.Members() {
		if c.progress[id] == nil && id != c.options.ID {
			c.progress[id] = &progress{next: next, recentlyActive: true}
		}
	}
	for id := range c.progress {
		if !config.IsVoter(id) && !config.IsLearner(id) {
			delete(c.progress, id)
		}
	}
}
