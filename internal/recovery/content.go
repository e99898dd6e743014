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
// in flight on every server that dies. The difference is that harmless content succeeds.
// Therefore a content under which several servers died is sent only as a trial: one request
// at a time over all VMs, to one server. An answer clears it of all deaths before the trial.
// If the server of the trial dies, the content is convicted and held back.

// Bounds of the suspicion of contents.
const (
	// trialDeaths servers must die under a content before it is sent only as a trial. A
	// single death may as likely be caused by another request on the same server.
	trialDeaths = 2
	// convictionTime is how long a content is held back after the server of its trial died.
	convictionTime = 10 * time.Minute
	// contentTTL is how long a content is remembered after its last death.
	contentTTL = 10 * time.Minute
	// suspectTTL is how long it is remembered if it is sent only as a trial. When its
	// conviction ends, its callers may still repeat it.
	suspectTTL = time.Hour
	// maxContentDeaths bounds the deaths that are kept of one content.
	maxContentDeaths = 8
	maxContents      = 1 << 14
)

// ContentStanding is the decision on a content that follows from past deaths.
type ContentStanding uint8

// Standings of contents, from the best to the worst.
const (
	ContentFree    ContentStanding = iota
	ContentSuspect                 // one server died: it runs on one server at a time
	ContentOnTrial                 // several died: it is sent only as a trial
	ContentHeld                    // the server of its trial died: it is not sent
)

// String implements fmt.Stringer.
func (s ContentStanding) String() string {
	return [...]string{"free", "suspect", "on trial", "held back"}[s]
}

// ContentRecord is what is known of one content under which servers died. The records of
// several VMs merge to the same result in any order.
type ContentRecord struct {
	Deaths map[string]time.Time // when servers were found dead, by id
	// ClearedAt is when the latest request was sent that a server answered. It clears the
	// content of all deaths before; zero: none was answered.
	ClearedAt time.Time
	// ConvictedAt is when a server died under a trial of the content; zero: none did.
	ConvictedAt time.Time
}

// merge adds what o knows, and reports whether that changed r.
func (r *ContentRecord) merge(o ContentRecord) bool {
	before := len(r.Deaths)
	changed := false
	if o.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt, changed = o.ClearedAt, true
	}
	if o.ConvictedAt.After(r.ConvictedAt) {
		r.ConvictedAt, changed = o.ConvictedAt, true
	}
	maps.DeleteFunc(r.Deaths, func(_ string, at time.Time) bool { return !at.After(r.ClearedAt) })
	for server, at := range o.Deaths {
		if _, known := r.Deaths[server]; !known && at.After(r.ClearedAt) && len(r.Deaths) < maxContentDeaths {
			r.Deaths[server] = at
		}
	}
	if !r.ConvictedAt.After(r.ClearedAt) {
		r.ConvictedAt = time.Time{}
	}
	return changed || len(r.Deaths) != before
}

// last returns the time of the last event.
func (r *ContentRecord) last() time.Time {
	last := r.ClearedAt
	for _, at := range r.Deaths {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (r *ContentRecord) expired(now time.Time) bool {
	ttl := contentTTL
	if len(r.Deaths) >= trialDeaths {
		ttl = suspectTTL
	}
	return now.Sub(r.last()) > ttl
}

// Standing returns the standing of the content.
func (r *ContentRecord) Standing(now time.Time) ContentStanding {
	s, _ := r.standing(now)
	return s
}

// SameAs reports whether both records tell the same deaths, and the same of conviction. The
// times may differ, since each VM has its own clock.
func (r *ContentRecord) SameAs(o ContentRecord) bool {
	sameDeath := func(_, _ time.Time) bool { return true }
	return maps.EqualFunc(r.Deaths, o.Deaths, sameDeath) && r.ConvictedAt.IsZero() == o.ConvictedAt.IsZero()
}

func (r *ContentRecord) standing(now time.Time) (s ContentStanding, until time.Time) {
	if held := r.ConvictedAt.Add(convictionTime); !r.ConvictedAt.IsZero() && now.Before(held) {
		return ContentHeld, held
	}
	switch len(r.Deaths) {
	case 0:
		return ContentFree, time.Time{}
	case 1:
		return ContentSuspect, time.Time{}
	}
	return ContentOnTrial, time.Time{}
}

// SuspectContents records under which request contents servers died, by digest of the
// content. It is not safe for concurrent use.
type SuspectContents struct{ byDigest map[uint64]*ContentRecord }

// NewSuspectContents returns an empty record.
func NewSuspectContents() *SuspectContents {
	return &SuspectContents{byDigest: map[uint64]*ContentRecord{}}
}

// Count returns the number of contents under which servers died and that were not cleared.
func (c *SuspectContents) Count(now time.Time) int {
	n := 0
	c.Each(now, func(_ uint64, r *ContentRecord) { n += min(1, len(r.Deaths)) })
	return n
}

// ServerDied records that a server died while it ran a content, as a trial or not. It
// returns the number of servers that died under it, and whether this one is new.
func (c *SuspectContents) ServerDied(digest uint64, server string, trial bool, now time.Time) (deaths int, added bool) {
	death := ContentRecord{Deaths: map[string]time.Time{server: now}}
	if trial {
		death.ConvictedAt = now
	}
	added = c.Merge(digest, death, now)
	return len(c.byDigest[digest].Deaths), added
}

// Merge adds what another VM knows of a content, and reports whether that is new.
func (c *SuspectContents) Merge(digest uint64, o ContentRecord, now time.Time) bool {
	r := c.byDigest[digest]
	if r == nil || r.expired(now) {
		c.expire(now)
		r = &ContentRecord{Deaths: map[string]time.Time{}}
		c.byDigest[digest] = r
	}
	return r.merge(o)
}

// Succeeded records that a server answered a request of a content, which was sent at a
// time. It returns the number of deaths of which this clears the content.
func (c *SuspectContents) Succeeded(digest uint64, sent time.Time) (deaths int) {
	r := c.byDigest[digest]
	if r == nil || len(r.Deaths) == 0 {
		return 0
	}
	before := len(r.Deaths)
	r.merge(ContentRecord{ClearedAt: sent})
	return before - len(r.Deaths)
}

// Standing returns the standing of a content; until is the end of ContentHeld.
func (c *SuspectContents) Standing(digest uint64, now time.Time) (s ContentStanding, until time.Time) {
	r := c.byDigest[digest]
	if r == nil || r.expired(now) {
		return ContentFree, time.Time{}
	}
	return r.standing(now)
}

// Record returns a copy of what is known of a content.
func (c *SuspectContents) Record(digest uint64) ContentRecord {
	r := c.byDigest[digest]
	if r == nil {
		return ContentRecord{}
	}
	out := *r
	out.Deaths = maps.Clone(r.Deaths)
	return out
}

// Each calls f for the record of each content that has not expired.
func (c *SuspectContents) Each(now time.Time, f func(digest uint64, r *ContentRecord)) {
	for digest, r := range c.byDigest {
		if !r.expired(now) {
			f(digest, r)
		}
	}
}

// expire makes room when the record is full. It drops the expired contents and all those
// with fewer than trialDeaths deaths.
func (c *SuspectContents) expire(now time.Time) {
	if len(c.byDigest) < maxContents {
		return
	}
	maps.DeleteFunc(c.byDigest, func(_ uint64, r *ContentRecord) bool {
		return r.expired(now) || len(r.Deaths) < trialDeaths
	})
}
