package call

// maxStep is the most that the part's clock moves with one command.
const maxStep int64 = 60_000

// clock measures how long claims and keys are kept. It follows the group's
// clock, but no faster than maxStep a command: a leader whose wall clock is a
// day ahead would otherwise make the part forget every used key at once, and a
// late resend would run a second time. It may run slow in an idle system, which
// keeps keys longer.
type clock struct {
	MS    int64 `cbor:"1,keyasint"`
	Group int64 `cbor:"2,keyasint"` // the group's clock at the last command
}

func (c *clock) advance(nowMS int64) {
	if c.Group == 0 {
		c.Group = nowMS
	}
	c.MS += min(max(0, nowMS-c.Group), maxStep)
	c.Group = max(c.Group, nowMS)
}
