package consensus

// surplusMissedChecks is the number of consecutive quorum checks (450 ms each) that a
// surplus voter misses before it is removed. A reconnect or a stalled disk takes less
// time, and a second loss within this time is rare.
const surplusMissedChecks = 5

// SurplusVoter returns, on a leader, an unreachable voter if the group has more voters
// than target, and "" otherwise.
//
// The vote of a VM that is replaced under another address remains: the new VM has
// another id, so it does not count as a successor of the old one. The vote of the
// unreachable member raises the majority, and the next loss would stop the group. A
// group with target voters or fewer keeps all of them, because an unreachable voter may
// come back.
func (c *Core) SurplusVoter(target int) MemberID {
	config := c.log.config().config
	if c.role != Leader || len(config.Voters) <= target || !c.ConfigSettled() {
		return ""
	}
	for _, id := range config.Voters {
		if p := c.progress[id]; p != nil && p.missedChecks >= surplusMissedChecks {
			return id
		}
	}
	return ""
}
