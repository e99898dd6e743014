package recovery

import (
	"maps"
	"time"
)

// The failure that this file answers: a request crashes each backend server that begins to
// run it, and its caller sends it again under another id and to any VM. Without a memory of
// the request's content, it takes down the servers of a service one after the other.
//
// Harmless requests leave the same evidence, because content that many callers ask for is
// in flight on every server that dies. The difference is that harmless content succeeds
// elsewhere, and any success clears it. Quarantine therefore starts short, is lifted at
// once by a success on another server, and grows only while each new attempt ends another
// server.

// Bounds of the quarantine of suspect content.
const (
	// quarantineDeaths servers must die under a content before it is quarantined. A single
	// death may as likely be caused by another request on the same server.
	quarantineDeaths = 2
	// abortDeaths servers must die under a content before its runs in flight are given up
	// too.
	abortDeaths = 3
	// contentTTL is how long a content is remembered after its last death.
	contentTTL  = 10 * time.Minute
	maxContents = 1 << 14
)

// quarantineDuration returns how long a content is quarantined after its last death. The
// first quarantine lasts seconds, so that harmless content that is often asked for can
// succeed elsewhere.
func quarantineDuration(deaths int) time.Duration {
	switch {
	case deaths < quarantineDeaths:
		return 0
	case deaths == quarantineDeaths:
		return 3 * time.Second
	case deaths == abortDeaths:
		return time.Minute
	}
	return contentTTL
}

// SuspectContents records under which request contents servers died, by digest of the
// content. It is not safe for concurrent use.
type SuspectContents struct{ byDigest map[uint64]*suspectContent }

type suspectContent struct {
	servers map[string]bool
	last    time.Time
}

// NewSuspectContents returns an empty record.
func NewSuspectContents() *SuspectContents {
	return &SuspectContents{byDigest: map[uint64]*suspectContent{}}
}

// Count returns the number of contents on record.
func (c *SuspectContents) Count() int { return len(c.byDigest) }

// ServerDied records that a server died while it ran a content. It returns the number of
// servers that died under it, and whether this one is new.
func (c *SuspectContents) ServerDied(digest uint64, server string, now time.Time) (deaths int, added bool) {
	s := c.byDigest[digest]
	if s == nil || now.Sub(s.last) > contentTTL {
		c.expire(now)
		s = &suspectContent{servers: map[string]bool{}}
		c.byDigest[digest] = s
	}
	added = !s.servers[server]
	s.servers[server] = true
	s.last = now
	return len(s.servers), added
}

// Succeeded clears a content that a server has answered. It returns the number of servers
// that had died under it.
func (c *SuspectContents) Succeeded(digest uint64) (deaths int) {
	s := c.byDigest[digest]
	if s == nil {
		return 0
	}
	delete(c.byDigest, digest)
	return len(s.servers)
}

// Quarantined reports whether a content must not start now, and when its quarantine ends.
func (c *SuspectContents) Quarantined(digest uint64, now time.Time) (until time.Time, quarantined bool) {
	s := c.byDigest[digest]
	if s == nil {
		return time.Time{}, false
	}
	until = s.last.Add(quarantineDuration(len(s.servers)))
	return until, now.Before(until)
}

// Suspect reports whether a server died under a content that has not succeeded since.
func (c *SuspectContents) Suspect(digest uint64) bool { return c.byDigest[digest] != nil }

// MustAbort reports whether a run in flight must not be resumed on another server, because
// abortDeaths servers died under its content.
func (c *SuspectContents) MustAbort(digest uint64) bool {
	s := c.byDigest[digest]
	return s != nil && len(s.servers) >= abortDeaths
}

// expire makes room when the record is full. It drops the expired contents and all those
// with fewer than quarantineDeaths deaths.
func (c *SuspectContents) expire(now time.Time) {
	if len(c.byDigest) < maxContents {
		return
	}
	maps.DeleteFunc(c.byDigest, func(_ uint64, s *suspectContent) bool {
		return now.Sub(s.last) > contentTTL || len(s.servers) < quarantineDeaths
	})
}
