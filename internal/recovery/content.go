package recovery

import (
	"maps"
	"slices"
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
// If the server of the trial dies, the content is held back: for some time at first, since
// the server may have died of another cause, and longer after each further such trial.

// Bounds of the suspicion of contents.
const (
	// trialDeaths servers must die under a content before it is sent only as a trial. A
	// single death may as likely be caused by another request on the same server.
	trialDeaths = 2
	// firstHold, secondHold and laterHold are how long a content is held back after the server
	// of its first, second, or a later trial died.
	firstHold  = 30 * time.Second
	secondHold = 10 * time.Minute
	laterHold  = time.Hour
	// trialSettleTime is how long after the last death a trial may begin. Until then VMs
	// that have not heard of the deaths may still run the content that caused them, and a
	// harmless one would be blamed for the next.
	trialSettleTime = 700 * time.Millisecond
	// withdrawalMargin is how much later a death may be dated by another VM. VMs tell times as
	// ages, to which the way of a message adds.
	withdrawalMargin = 100 * time.Millisecond
	// contentTTL is how long a content is remembered after its last death.
	contentTTL = 10 * time.Minute
	// suspectTTL is how long it is remembered if it is sent only as a trial. Its callers may
	// still repeat it after laterHold.
	suspectTTL = 2 * time.Hour
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
	ContentHeld                    // the server of a trial died: it is not sent
)

// String implements fmt.Stringer.
func (s ContentStanding) String() string {
	return [...]string{"free", "suspect", "on trial", "held back"}[s]
}

// ContentRecord is what is known of one content under which servers died. The records of
// several VMs merge to the same result in any order.
type ContentRecord struct {
	Deaths []ContentDeath
	// ClearedAt is when the latest request was sent that a server answered. It clears the
	// content of all deaths before; zero: none was answered.
	ClearedAt time.Time
}

// ContentDeath is the death of one server under a content.
type ContentDeath struct {
	Server string
	At     time.Time // when it was found dead
	Trial  bool      // it ran a trial of the content
}

// same reports whether two reports are of one death. A server may start again under its id,
// and die again.
func (d ContentDeath) same(o ContentDeath) bool {
	return d.Server == o.Server && d.At.Sub(o.At).Abs() < sameDeathWindow
}

func (r *ContentRecord) holds(d ContentDeath) bool {
	return slices.ContainsFunc(r.Deaths, func(o ContentDeath) bool { return o.same(d) && o.Trial == d.Trial })
}

// addDeath adds a death that is not known, or not known as that of a trial. known reports whether
// a recorded death may be this one.
func (r *ContentRecord) addDeath(d ContentDeath, known func(i int) bool) (changed bool) {
	i := -1
	for k := range r.Deaths {
		if d.same(r.Deaths[k]) && known(k) {
			i = k
			break
		}
	}
	switch {
	case i >= 0 && d.Trial && !r.Deaths[i].Trial:
		r.Deaths[i].Trial = true
		return true
	case i < 0 && len(r.Deaths) < maxContentDeaths:
		r.Deaths = append(r.Deaths, d)
		return true
	}
	return false
}

// merge adds what o knows, and reports whether that changed r.
func (r *ContentRecord) merge(o ContentRecord) (changed bool) {
	if o.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt, changed = o.ClearedAt, true
		r.Deaths = slices.DeleteFunc(r.Deaths, func(d ContentDeath) bool { return !d.At.After(r.ClearedAt) })
	}
	// Each death of o stands for one of r at most: a server that starts again under its id may die
	// several times within sameDeathWindow.
	taken := map[int]bool{}
	for _, d := range o.Deaths {
		if !d.At.After(r.ClearedAt) {
			continue
		}
		at := len(r.Deaths)
		changed = r.addDeath(d, func(i int) bool {
			if taken[i] {
				return false
			}
			at = i
			return true
		}) || changed
		taken[at] = true
	}
	return changed
}

// addOwn adds the death of a server under a run that began at a time. Deaths before that are others.
func (r *ContentRecord) addOwn(d ContentDeath, began time.Time) (changed bool) {
	if !d.At.After(r.ClearedAt) {
		return false
	}
	return r.addDeath(d, func(i int) bool { return !began.After(r.Deaths[i].At) })
}

// last returns the time of the last event.
func (r *ContentRecord) last() time.Time {
	last := r.ClearedAt
	for _, d := range r.Deaths {
		if d.At.After(last) {
			last = d.At
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

// SameAs reports whether both records tell the same deaths. The times may differ, since each
// VM has its own clock.
func (r *ContentRecord) SameAs(o ContentRecord) bool {
	missing := func(d ContentDeath) bool { return !o.holds(d) }
	return len(r.Deaths) == len(o.Deaths) && !slices.ContainsFunc(r.Deaths, missing)
}

// DiedOnTrial reports whether a server died of a trial of the content.
func (r *ContentRecord) DiedOnTrial() bool {
	return slices.ContainsFunc(r.Deaths, func(d ContentDeath) bool { return d.Trial })
}

// heldUntil returns the end of the time in which the content is not sent; zero: it is sent.
func (r *ContentRecord) heldUntil() time.Time {
	trials, last := 0, time.Time{}
	for _, d := range r.Deaths {
		if !d.Trial {
			continue
		}
		trials++
		if d.At.After(last) {
			last = d.At
		}
	}
	switch trials {
	case 0:
		return time.Time{}
	case 1:
		return last.Add(firstHold)
	case 2:
		return last.Add(secondHold)
	}
	return last.Add(laterHold)
}

func (r *ContentRecord) standing(now time.Time) (s ContentStanding, until time.Time) {
	if until = r.heldUntil(); now.Before(until) {
		return ContentHeld, until
	}
	switch len(r.Deaths) {
	case 0:
		return ContentFree, time.Time{}
	case 1:
		return ContentSuspect, time.Time{}
	}
	return ContentOnTrial, time.Time{}
}

// TrialWait returns how long a trial of the content has to wait.
func (r *ContentRecord) TrialWait(now time.Time) time.Duration {
	return max(0, r.last().Add(trialSettleTime).Sub(now))
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

// ServerDied records that a server died while it ran a content, as a trial or not. The run began
// at a time; zero: it is not known. It returns the number of servers that died under the
// content, and whether this one is new.
func (c *SuspectContents) ServerDied(digest uint64, server string, trial bool, began, now time.Time) (deaths int, added bool) {
	r := c.record(digest, now)
	added = r.addOwn(ContentDeath{Server: server, At: now, Trial: trial}, began)
	return len(r.Deaths), added
}

// Merge adds what another VM knows of a content, and reports whether that is new.
func (c *SuspectContents) Merge(digest uint64, o ContentRecord, now time.Time) bool {
	return c.record(digest, now).merge(o)
}

// record returns the record of a content, which it creates if there is none.
func (c *SuspectContents) record(digest uint64, now time.Time) *ContentRecord {
	r := c.byDigest[digest]
	if r == nil || r.expired(now) {
		c.expire(now)
		r = &ContentRecord{}
		c.byDigest[digest] = r
	}
	return r
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

// Withdraw clears a content of its earliest deaths as long as the servers are alive, and returns
// their number. A death after one that stands is not withdrawn: records state one time up to
// which all deaths are cleared.
func (c *SuspectContents) Withdraw(digest uint64, alive func(ContentDeath) bool, now time.Time) (deaths int) {
	r := c.byDigest[digest]
	if r == nil {
		return 0
	}
	before, clearedAt := len(r.Deaths), time.Time{}
	slices.SortFunc(r.Deaths, func(a, b ContentDeath) int { return a.At.Compare(b.At) })
	for _, d := range r.Deaths {
		if !alive(d) {
			if !d.At.After(clearedAt) {
				clearedAt = d.At.Add(-1)
			}
			break
		}
		clearedAt = d.At.Add(withdrawalMargin)
		if clearedAt.After(now) {
			clearedAt = now
		}
	}
	r.merge(ContentRecord{ClearedAt: clearedAt})
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
	out.Deaths = slices.Clone(r.Deaths)
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
