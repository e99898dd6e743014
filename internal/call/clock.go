package call

// maxStepMS is the maximum advance of a clock by one command.
const maxStepMS int64 = 60_000

// clock measures how long claims and keys are kept. It follows the control group's
// clock, but advances by at most maxStepMS per command. Otherwise a leader whose
// wall clock is a day ahead would expire every used key at once, and a late resend
// would run a second time. In an idle system the clock may run slow, in which case
// keys are kept longer.
type clock struct {
	MS    int64 `cbor:"1,keyasint"`
	Group int64 `cbor:"2,keyasint"` // the control group's clock at the last command
}

func (c *clock) advance(nowMS int64) {
	if c.Group == 0 {
		c.Group = nowMS
	}
	c.MS += min(max(0, nowMS-c.Group), maxStepMS)
	c.Group = max(c.Group, nowMS)
}
