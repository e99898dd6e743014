package generation

// Replies collects the replies to one Promise (or Peek) from the keeper sets of the
// retained versions. Opening a journal by version W needs a majority of every
// distinct set up to W, because an owner that places by an older list may still
// release tokens through that list's set. Older sets are no longer needed once a
// journal is found that was accepted under a newer version. Its owner had sealed
// the older sets: nothing was released through them afterwards, and that journal
// contains what was released before.
type Replies struct {
	sets     []KeeperSet
	answered map[KeeperID]bool // replied, whether OK or not
	promised map[KeeperID]bool
	best     PromiseReply
	full     int

	// MaxEpoch is the highest epoch that any keeper has promised.
	MaxEpoch Epoch
	// CallerHasNoTokens marks a request whose caller has received no token yet. All
	// sets are asked and their replies are used, but sets that are migrated, or that
	// have lost their majority to dead VMs, are not required. Otherwise the loss of
	// a few VMs within the minutes of the retained history would cause every new
	// request to be refused. This may miss a generation whose owner died earlier
	// without a reader, or that runs on the other side of a network partition. A
	// second generation then starts. The two never mix, because a caller with tokens
	// of the first one is refused by their prefix digest.
	CallerHasNoTokens bool
	// Membership is the newest list. It decides which keepers are lost.
	Membership Membership
}

// NewReplies returns an empty set of replies.
func NewReplies(sets []KeeperSet, newest Membership) *Replies {
	return &Replies{sets: sets, Membership: newest, answered: map[KeeperID]bool{}, promised: map[KeeperID]bool{}}
}

// Add records one keeper's reply.
func (r *Replies) Add(k KeeperID, reply PromiseReply) {
	if reply.Refusal == OtherIncarnation {
		return
	}
	r.answered[k] = true
	if r.MaxEpoch.Less(reply.Promised) {
		r.MaxEpoch = reply.Promised
	}
	if reply.Refusal == Full {
		r.full++
	}
	if !reply.OK {
		return
	}
	r.promised[k] = true
	if reply.Found && r.better(&reply) {
		r.best = reply
	}
}

// better prefers the higher epoch and only then the longer journal. A deposed
// owner's journal may be longer by tokens that were never released and that its
// successor has replaced by others.
func (r *Replies) better(reply *PromiseReply) bool {
	if !r.best.Found || r.best.Accepted != reply.Accepted {
		return !r.best.Found || r.best.Accepted.Less(reply.Accepted)
	}
	if n := r.best.Journal.Len(); n != reply.Journal.Len() {
		return n < reply.Journal.Len()
	}
	if r.best.Journal.Finish != reply.Journal.Finish {
		return reply.Journal.Finish != ""
	}
	return r.best.sourceNumber() < reply.sourceNumber()
}

func (p *PromiseReply) sourceNumber() int {
	if p.Source == nil {
		return 0
	}
	return p.Source.Number
}

// Ready reports whether a majority of every needed set has replied OK.
func (r *Replies) Ready() bool { return r.everyNeeded(r.promised) }

// Answered reports whether a majority of every needed set has replied, whether OK
// or not.
func (r *Replies) Answered() bool { return r.everyNeeded(r.answered) }

func (r *Replies) everyNeeded(in map[KeeperID]bool) bool {
	for i := range r.sets {
		g := &r.sets[i]
		if r.needs(g) && count(g, in) < g.Majority() {
			return false
		}
	}
	return true
}

func (r *Replies) needs(g *KeeperSet) bool {
	if r.best.Found && g.NewestVersion < r.best.Accepted.Version {
		return false
	}
	return !r.CallerHasNoTokens || !g.Migrated && !r.lost(g)
}

// Lost reports whether the journal is permanently lost: a needed set has lost its
// majority, and majorities of all other needed sets have replied without showing
// that the journal was moved to them in time. Until they have replied, the journal
// may still be found.
func (r *Replies) Lost() bool {
	lost := false
	for i := range r.sets {
		g := &r.sets[i]
		switch {
		case !r.needs(g):
		case r.lost(g):
			lost = true
		case count(g, r.promised) < g.Majority():
			return false
		}
	}
	return lost
}

func (r *Replies) lost(g *KeeperSet) bool {
	left := 0
	for _, k := range g.Keepers {
		// A keeper from the list in the settings has no incarnation and may not have
		// joined yet. There is no evidence that it is lost.
		switch {
		case r.CallerHasNoTokens && r.Membership.dead(k):
		case k.Incarnation == "", r.Membership.Has(k):
			left++
		}
	}
	return left < g.Majority()
}

// Full reports whether any keeper refused because it accepts no new journals.
func (r *Replies) Full() bool { return r.full > 0 }

// Promised reports whether a keeper gave its promise, or replied OK to a Peek.
func (r *Replies) Promised(k KeeperID) bool { return r.promised[k] }

// Best returns the reply with the journal to resume, and false if no keeper has
// one.
func (r *Replies) Best() (PromiseReply, bool) { return r.best, r.best.Found }

func count(g *KeeperSet, in map[KeeperID]bool) int {
	n := 0
	for _, k := range g.Keepers {
		if in[k] {
			n++
		}
	}
	return n
}
