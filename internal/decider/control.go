package decider

import "time"

// Timings are the intervals by which a control VM judges the others.
type Timings struct {
	// Heartbeat is the time between two heartbeats of a VM.
	Heartbeat time.Duration
	// Silence is the time without a message after which the holder of a term is lost.
	Silence time.Duration
}

// contactTolerance is added to the interval of heartbeats to decide whether this VM was cut
// off or frozen.
const contactTolerance = 100 * time.Millisecond

// Control is a control VM's view of the terms. It is not safe for concurrent use.
//
// A VM that has just started, was frozen or was cut off may not have heard of the newest
// term. It claims none until each other VM has had the time to send a heartbeat.
type Control struct {
	self string
	t    Timings

	newest Term
	held   bool // this process claimed newest
	claims uint64
	// heardAt holds when each other control VM that states terms was last heard.
	heardAt map[string]time.Time
	// contactAt is when any other VM was last heard. claimsFrom is the time before which
	// this VM claims nothing.
	contactAt, claimsFrom time.Time
}

// NewControl returns the Control of the VM self, whose process has just started.
func NewControl(self string, t Timings, now time.Time) *Control {
	return &Control{self: self, t: t, heardAt: map[string]time.Time{}, contactAt: now, claimsFrom: now.Add(t.Heartbeat)}
}

// Contact records that a message of any other VM has arrived.
func (c *Control) Contact(now time.Time) {
	if now.Sub(c.contactAt) > c.maxContactGap() {
		c.claimsFrom = now.Add(c.t.Heartbeat)
	}
	c.contactAt = now
}

func (c *Control) maxContactGap() time.Duration { return c.t.Heartbeat + contactTolerance }

// Hear records the newest term that another control VM knows.
func (c *Control) Hear(vm string, t Term, now time.Time) {
	c.heardAt[vm] = now
	if t.Holder == "" {
		c.Follows(t.Number, "", now)
		return
	}
	c.Contact(now)
	c.Learn(t)
}

// Learn records a term that was heard of. A newer one ends the term held here.
func (c *Control) Learn(t Term) {
	if t.Newer(c.newest) {
		c.newest, c.held = t, false
	}
}

// Follows records that a router follows a term with this number. silent is the holder if it
// did not answer the router, and otherwise empty. If the holder is not known, it has time to
// be heard before another term is claimed.
func (c *Control) Follows(number uint64, silent string, now time.Time) {
	c.Contact(now)
	if number <= c.newest.Number {
		return
	}
	c.Learn(Term{number, silent})
	if from := now.Add(c.t.Heartbeat); silent == "" && from.After(c.claimsFrom) {
		c.claimsFrom = from
	}
}

// Unanswered records that a control VM did not answer a probe. It counts as silent until it
// is heard again.
func (c *Control) Unanswered(vm string) { delete(c.heardAt, vm) }

// Claim claims a term if this VM must, and reports whether it did. A VM that hears no other
// one claims nothing: nobody asks it, and its claim would end the term of the holder that
// the others follow once they hear of it.
func (c *Control) Claim(now time.Time) bool {
	if c.held || now.Before(c.claimsFrom) || now.Sub(c.contactAt) > c.maxContactGap() || c.validHolder(now) || c.Candidate(now) != c.self {
		return false
	}
	c.newest, c.held = Term{c.newest.Number + 1, c.self}, true
	c.claims++
	return true
}

// Held returns the term that this VM holds. It is zero if it holds none.
func (c *Control) Held() Term {
	if c.held {
		return c.newest
	}
	return Term{}
}

// Newest returns the newest term that this VM heard of or holds.
func (c *Control) Newest() Term { return c.newest }

// Claims returns how many terms this process claimed.
func (c *Control) Claims() uint64 { return c.claims }

// Other returns the term of another control VM that holds the newest one and was heard
// lately.
func (c *Control) Other(now time.Time) (Term, bool) {
	return c.newest, !c.held && c.validHolder(now)
}

// validHolder reports whether the holder of the newest term is known and heard. A VM that
// is named as the holder without having claimed the term has restarted since, and is not.
func (c *Control) validHolder(now time.Time) bool { return c.held || c.hears(c.newest.Holder, now) }

func (c *Control) hears(vm string, now time.Time) bool {
	at, ok := c.heardAt[vm]
	return ok && now.Sub(at) <= c.t.Silence
}

// Candidate returns the control VM that must claim the next term: the first by id of this
// one and those that it hears. A VM that has restarted since it claimed the newest term
// claims the next one itself, since the others still take it for the holder.
func (c *Control) Candidate(now time.Time) string {
	first := c.self
	if c.newest.Holder == c.self {
		return first
	}
	for vm := range c.heardAt {
		if vm < first && c.hears(vm, now) {
			first = vm
		}
	}
	return first
}
