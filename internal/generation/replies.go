package generation

// Replies gathers the answers to one promise (or Peek) over the keeper sets of
// the retained versions. Opening by version W needs a majority of every distinct
// set up to W, because an owner that places by an older list may still release
// through that list's set. Older sets drop out once a journal is found that was
// accepted under a newer version: its owner had sealed them, so nothing was
// released through them since, and what was released before is in that journal.
type Replies struct {
	groups []KeeperSet
	seen   map[KeeperID]bool // heard at all
	ok     map[KeeperID]bool
	best   PromiseReply
	full   int

	// Max is the highest epoch promised anywhere.
	MaxEpoch Epoch
	// Fresh is the opening of a request whose caller holds no token. It asks every
	// set and uses what it hears, but does without those that are settled, or have
	// lost their majority to dead VMs: else a few VMs lost within the history's
	// minutes would refuse every new request. What may be missed is a generation
	// whose owner died a while ago unread, or lives on the far side of a cut. A
	// second one then starts; the two never mix, since a caller with tokens of the
	// first is refused by their digest.
	CallerHasNoTokens bool
	// Newest is the list by which keepers count as gone.
	Membership Membership
}

// NewReplies returns an empty set of replies.
func NewReplies(groups []KeeperSet, newest Membership) *Replies {
	return &Replies{groups: groups, Membership: newest, seen: map[KeeperID]bool{}, ok: map[KeeperID]bool{}}
}

// Add takes one keeper's reply.
func (r *Replies) Add(k KeeperID, reply PromiseReply) {
	if reply.Refusal == OtherIncarnation {
		return
	}
	r.seen[k] = true
	if r.MaxEpoch.Less(reply.Promised) {
		r.MaxEpoch = reply.Promised
	}
	if reply.Refusal == Full {
		r.full++
	}
	if !reply.OK {
		return
	}
	r.ok[k] = true
	if reply.Found && r.better(&reply) {
		r.best = reply
	}
}

// better prefers the higher epoch and only then the longer journal: a deposed
// owner's journal may be longer by tokens that were never released, and that its
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

// Ready reports whether a majority of every needed set has answered OK.
func (r *Replies) Ready() bool { return r.each(r.ok) }

// Heard reports whether a majority of every needed set has answered at all.
func (r *Replies) Answered() bool { return r.each(r.seen) }

func (r *Replies) each(in map[KeeperID]bool) bool {
	for i := range r.groups {
		g := &r.groups[i]
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

// Lost reports whether the journal is gone for good: a needed set has lost its
// majority, and majorities of all others have answered without showing that the
// journal was moved to them in time. Before they have, it may still be found.
func (r *Replies) Lost() bool {
	lost := false
	for i := range r.groups {
		g := &r.groups[i]
		switch {
		case !r.needs(g):
		case r.lost(g):
			lost = true
		case count(g, r.ok) < g.Majority():
			return false
		}
	}
	return lost
}

func (r *Replies) lost(g *KeeperSet) bool {
	left := 0
	for _, k := range g.Keepers {
		// A keeper of the settings' list has no incarnation and may not have joined
		// yet: nothing tells that it is gone.
		switch {
		case r.CallerHasNoTokens && r.Membership.dead(k):
		case k.Incarnation == "", r.Membership.Has(k):
			left++
		}
	}
	return left < g.Majority()
}

// Full reports whether keepers refused because they take no new journals.
func (r *Replies) Full() bool { return r.full > 0 }

// Promised reports whether a keeper gave its promise.
func (r *Replies) Promised(k KeeperID) bool { return r.ok[k] }

// Best returns the journal to go on with, and false where no keeper has one.
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
