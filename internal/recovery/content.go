package recovery

import (
	"maps"
	"time"
)

// The load pattern. A request ends each backend server that begins to run it; its
// caller sends it again, under another id and at any VM. Without a memory of its
// content it goes through the servers of a service one after the other.
//
// The same evidence comes from innocent requests: a content that many callers ask
// for is under way on every server that dies. What tells them apart is that the
// innocent succeed: any success clears a content. So holding one back begins short,
// is lifted at once by a success elsewhere, and grows only while each trial ends
// another server.

// Figures of content that is held back.
const (
	// suspectDeaths servers that died under a content hold it back for the first
	// time: one death is a neighbour's as likely.
	suspectDeaths = 2
	// killerDeaths: a run that is under way is given up, too.
	killerDeaths = 3
	// contentLife is how long a content is remembered after its last death.
	contentLife = 10 * time.Minute
	maxContents = 1 << 14
)

// holdFor is how long a content is held back after its last death: some seconds at
// first, for an innocent one that is asked for often to succeed elsewhere.
func holdFor(deaths int) time.Duration {
	switch {
	case deaths < suspectDeaths:
		return 0
	case deaths == suspectDeaths:
		return 3 * time.Second
	case deaths == killerDeaths:
		return time.Minute
	}
	return contentLife
}

// Contents remembers under which contents of requests servers died, by digest. It
// is not safe for concurrent use.
type SuspectContents struct{ blamed map[uint64]*blamedContent }

type blamedContent struct {
	servers map[string]bool
	last    time.Time
}

// NewContents returns an empty memory.
func NewSuspectContents() *SuspectContents {
	return &SuspectContents{blamed: map[uint64]*blamedContent{}}
}

// Died notes that a server died while it ran a content.
func (c *SuspectContents) ServerDied(digest uint64, server string, now time.Time) {
	b := c.blamed[digest]
	if b == nil || now.Sub(b.last) > contentLife {
		c.expire(now)
		b = &blamedContent{servers: map[string]bool{}}
		c.blamed[digest] = b
	}
	b.servers[server] = true
	b.last = now
}

// Succeeded clears a content.
func (c *SuspectContents) Succeeded(digest uint64) { delete(c.blamed, digest) }

// Held reports whether a content must not begin now, and until when.
func (c *SuspectContents) Quarantined(digest uint64, now time.Time) (until time.Time, held bool) {
	b := c.blamed[digest]
	if b == nil {
		return time.Time{}, false
	}
	until = b.last.Add(holdFor(len(b.servers)))
	return until, now.Before(until)
}

// Suspect reports whether a server died under a content that has not succeeded
// since.
func (c *SuspectContents) Suspect(digest uint64) bool { return c.blamed[digest] != nil }

// Kills reports whether a run under way must not go on at another server.
func (c *SuspectContents) MustAbort(digest uint64) bool {
	b := c.blamed[digest]
	return b != nil && len(b.servers) >= killerDeaths
}

// expire makes room: it forgets what is old, or else everything that has one
// death only.
func (c *SuspectContents) expire(now time.Time) {
	if len(c.blamed) < maxContents {
		return
	}
	maps.DeleteFunc(c.blamed, func(_ uint64, b *blamedContent) bool {
		return now.Sub(b.last) > contentLife || len(b.servers) < suspectDeaths
	})
}
