package consensus

// JoinState is the progress of a member's join.
type JoinState uint8

// The states of a join.
const (
	JoinWaiting JoinState = iota // a change is not committed yet, or the log is still being copied
	JoinChange                   // the returned change is to be proposed
	JoinDone                     // the member has a vote and its predecessor none
)

// catchUpSlack is the number of entries that a learner may lack when it is promoted. It
// allows for entries in flight while proposals continue. A learner that is promoted
// earlier would raise the majority without being able to acknowledge new entries.
const catchUpSlack = 64

// PlanJoin returns the next step by which a new member replaces its predecessor, which
// is the former member on the same VM. The new member becomes a learner and then a
// voter, and only then does the predecessor lose its vote. With this order the log is
// on one more disk before the group relies on the new member. The vote of the lost
// predecessor is missing during the whole replacement anyway.
func (c *Core) PlanJoin(id MemberID) (Change, JoinState) {
	config := c.log.config().config
	if !c.ConfigSettled() || !c.committedInTerm() {
		return Change{}, JoinWaiting
	}
	if former, ok := predecessorOf(config.Learners, id); ok {
		return Change{Remove, former}, JoinChange
	}
	switch {
	case config.IsVoter(id):
		if former, ok := predecessorOf(config.Voters, id); ok {
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

func predecessorOf(members []MemberID, id MemberID) (MemberID, bool) {
	for _, m := range members {
		if m != id && m.VM() == id.VM() {
			return m, true
		}
	}
	return "", false
}
