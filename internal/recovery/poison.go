package recovery

import (
	"slices"
	"time"
)

// Bounds of poison suspicion.
const (
	// poisonDeaths is the number of engines that must die under a request before it is
	// refused, if it never got past the point of the first death. A single death may as
	// likely be caused by the engine or by another request; the second one happens while
	// the suspect runs beside few others.
	poisonDeaths = 2

	// clearingTokens generated on another engine show that a suspect is past the point that
	// killed the first engine, so it is cleared. Up to about ten tokens can be lost on the
	// way from a dying engine.
	clearingTokens = 16

	// suspicionTTL is how long a suspicion lasts. Engines are repaired and callers change
	// what they send.
	suspicionTTL = 10 * time.Minute

	// commonCauseDeaths engines that die within commonCauseWindow have a common cause such
	// as a lost zone, a failed rack or a bad deployment, unless one request ran on that
	// many of them. A suspicion from a single death in the window is withdrawn, and one
	// from two deaths is reduced to one.
	commonCauseDeaths = 3
	commonCauseWindow = 3 * time.Second

	// sameDeathWindow is the time within which two reports on one engine count as one
	// death.
	sameDeathWindow = 3 * time.Second

	maxSuspects = 1 << 14
)

// Death is the death of one engine under a request, as VMs report it to each other.
type Death struct {
	Digest uint64    `cbor:"1,keyasint"` // of the request's content
	Engine string    `cbor:"2,keyasint"`
	At     time.Time `cbor:"-"`
}

// Standing is the decision on a request that follows from past deaths.
type Standing int

// Standings.
const (
	Innocent Standing = iota
	Suspect           // run it alone
	Poison            // refuse it
)

type death struct {
	engine string
	at     time.Time
}

type suspectRequest struct {
	deaths []death
	last   time.Time
}

// PoisonSuspicion records which requests were running when engines died. It identifies a
// request by the digest of its content, so a resend under a new id is recognised. It is not
// safe for concurrent use.
type PoisonSuspicion struct {
	byDigest map[uint64]*suspectRequest
	recent   []death // deaths of engines within commonCauseWindow
}

// NewPoisonSuspicion returns an empty record.
func NewPoisonSuspicion() *PoisonSuspicion {
	return &PoisonSuspicion{byDigest: map[uint64]*suspectRequest{}}
}

// EngineDied records that an engine died while it ran a request, and returns the request's
// standing. passed is the number of tokens that the request generated on that engine. A
// suspect that got past the point of its first death there is not suspected for the first
// death any longer.
func (p *PoisonSuspicion) EngineDied(d Death, passed int) Standing {
	p.noteEngineDeath(d)
	p.add(d, passed)
	if len(p.recent) >= commonCauseDeaths {
		p.withdrawCommonCause(d.At)
	}
	return p.Standing(d.Digest, d.At)
}

func (p *PoisonSuspicion) add(d Death, passed int) {
	e := p.byDigest[d.Digest]
	if e == nil || d.At.Sub(e.last) > suspicionTTL {
		p.expire(d.At)
		e = &suspectRequest{}
		p.byDigest[d.Digest] = e
	}
	same := func(o death) bool { return o.engine == d.Engine && d.At.Sub(o.at) < sameDeathWindow }
	if slices.ContainsFunc(e.deaths, same) {
		return
	}
	if passed >= clearingTokens {
		e.deaths = e.deaths[:0] // it ran past the point that killed the earlier engines
	}
	e.deaths = append(e.deaths, death{d.Engine, d.At})
	e.last = d.At
}

// NoteProgress clears a suspect that has generated enough tokens on another engine, and
// reports whether it cleared it now.
func (p *PoisonSuspicion) NoteProgress(digest uint64, tokens int) bool {
	if e := p.byDigest[digest]; e == nil || tokens < clearingTokens || len(e.deaths) >= poisonDeaths {
		return false
	}
	delete(p.byDigest, digest)
	return true
}

// Standing returns the standing of a request by the digest of its content.
func (p *PoisonSuspicion) Standing(digest uint64, now time.Time) Standing {
	e := p.byDigest[digest]
	switch {
	case e == nil || len(e.deaths) == 0 || now.Sub(e.last) > suspicionTTL:
		return Innocent
	case len(e.deaths) >= poisonDeaths:
		return Poison
	default:
		return Suspect
	}
}

// Expires returns when the suspicion of a request expires; zero: it is not suspected.
func (p *PoisonSuspicion) Expires(digest uint64) time.Time {
	if e := p.byDigest[digest]; e != nil {
		return e.last.Add(suspicionTTL)
	}
	return time.Time{}
}

func (p *PoisonSuspicion) noteEngineDeath(d Death) {
	p.recent = slices.DeleteFunc(p.recent, func(o death) bool { return d.At.Sub(o.at) > commonCauseWindow })
	if !slices.ContainsFunc(p.recent, func(o death) bool { return o.engine == d.Engine }) {
		p.recent = append(p.recent, death{d.Engine, d.At})
	}
}

// withdrawCommonCause withdraws suspicions that stem from deaths with a common cause. A
// request that ran on commonCauseDeaths of the engines is itself the cause and stays
// suspected.
func (p *PoisonSuspicion) withdrawCommonCause(now time.Time) {
	for digest, e := range p.byDigest {
		recent := func(o death) bool { return now.Sub(o.at) <= commonCauseWindow }
		n := 0
		for _, o := range e.deaths {
			if recent(o) {
				n++
			}
		}
		if n == 0 || n >= commonCauseDeaths {
			continue
		}
		e.deaths = slices.DeleteFunc(e.deaths, recent)
		if n > 1 {
			e.deaths = append(e.deaths, death{engine: "common cause", at: now})
		}
		if len(e.deaths) == 0 {
			delete(p.byDigest, digest)
		}
	}
}

// expire makes room when the record is full. It drops the expired suspects or, if there
// are none, the one with the oldest last death.
func (p *PoisonSuspicion) expire(now time.Time) {
	if len(p.byDigest) < maxSuspects {
		return
	}
	oldest, found := uint64(0), false
	for digest, e := range p.byDigest {
		if now.Sub(e.last) > suspicionTTL {
			delete(p.byDigest, digest)
			continue
		}
		if !found || e.last.Before(p.byDigest[oldest].last) {
			oldest, found = digest, true
		}
	}
	if len(p.byDigest) >= maxSuspects {
		delete(p.byDigest, oldest)
	}
}
