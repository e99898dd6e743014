package consensus

// JoinState says how far a new member has come.
type JoinState uint8

// The states of a join, in order.
const (
	JoinWaiting JoinState = iota // for a change or for the log to be copied
	JoinChange                   // a change is to be proposed
	JoinDone                     // the member has its vote, its predecessor none
)

// catchUpSlack is how many entries a learner may lack when it is promoted: what
// is on its way while proposals go on. Promoted earlier, it would be a vote that
// cannot help to commit.
const catchUpSlack = 64

// PlanJoin returns the next step by which a new member takes the place of its
// VM's former one: it learns the log, gets a vote, and then the former loses its
// vote. In that order: the lost voter's vote is missing at each moment anyway,
// and the copy is on one more disk before the group counts on it.
func (c *Core) PlanJoin(id MemberID) (Change, JoinState) {
	config := c.log.config().config
	if !c.ConfigSettled() || !c.committedInTerm() {
		return Change{}, JoinWaiting
	}
	if former, ok := formerOf(config.Learners, id); ok {
		return Change{Remove, former}, JoinChange
	}
	switch {
	case config.IsVoter(id):
		if former, ok := formerOf(config.Voters, id); ok {
			return Change{Remove, former}, JoinChange
		}
		return Change{}, JoinDone
	case !config.IsLearner(id):
		return Change{AddLearner, id}, JoinChange
	case c.CaughtUp(id, catchUpSlack):
		return Change{Promote, id}, JoinChange
	}
	return Change{}, JoinWaiting
}

func formerOf(members []MemberID, id MemberID) (MemberID, bool) {
	for _, m := range members {
		if m != id && m.VM() == id.VM() {
			return m, true
		}
	}
	return "", false
}
