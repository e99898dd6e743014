package consensus

// silentChecks is how many quorum checks in a row (450 ms each) a surplus voter
// has to miss: beyond a change of connection or a stalled disk, and short enough
// that a second loss seldom comes first.
const silentChecks = 5

// Surplus returns, on a leader, a voter that has fallen silent where the group
// has more voters than target, or "".
//
// A VM that is replaced under another address leaves its vote behind: the new
// one's id differs, so that nothing names the old one as its former. The silent
// vote raises the majority, and the next loss would stop the group. Nothing is
// removed down to target or below: there a silent voter may come back.
func (c *Core) SurplusVoter(target int) MemberID {
	config := c.log.config().config
	if c.role != Leader || len(config.Voters) <= target || !c.ConfigSettled() {
		return ""
	}
	for _, id := range config.Voters {
		if p := c.progress[id]; p != nil && p.silent >= silentChecks {
			return id
		}
	}
	return ""
}
