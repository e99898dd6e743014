package recovery

import (
	"slices"
	"time"
)

// Figures of blame.
const (
	// engineLimit engines that died under a request without it getting past the
	// point of the first death: it is refused. One death is the engine's or a
	// neighbour's as likely; the second comes when it runs with few neighbours.
	engineLimit = 2

	// passedTokens: a suspect that generates this many tokens on another engine is
	// past what killed the first one, and is cleared. Up to some ten tokens can
	// be lost on the way from a dying engine.
	passedTokens = 16

	// blameLife: blame expires, since engines are mended and callers change what
	// they send.
	blameLife = 10 * time.Minute

	// massDeaths engines that die within massWindow die of a common cause (a zone,
	// a rack, a bad order), unless one request ran on that many of them: blame of
	// a single death is taken back, and of two one is left.
	massDeaths = 3
	massWindow = 3 * time.Second

	// sameDeath: two reports on one engine within this time are one death.
	sameDeath = 3 * time.Second

	maxBlamed = 1 << 14
)

// Death is one engine that died under a request, as VMs tell each other.
type Death struct {
	Digest uint64    `cbor:"1,keyasint"` // of the request's content
	Engine string    `cbor:"2,keyasint"`
	At     time.Time `cbor:"-"`
}

// Standing is what blame says about a request.
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

type blame struct {
	deaths []death
	last   time.Time
}

// Blame remembers which requests were running when engines died, by the digest
// of their content, so that a resend under a new id is known. It is not safe
// for concurrent use.
type PoisonSuspicion struct {
	byDigest map[uint64]*blame
	recent   []death // of engines
}

// NewBlame returns an empty ledger.
func NewPoisonSuspicion() *PoisonSuspicion { return &PoisonSuspicion{byDigest: map[uint64]*blame{}} }

// EngineDied notes that an engine died while it ran a request. passed is the
// number of tokens that the request got there: a suspect that got past its
// first death is not blamed for the second.
func (b *PoisonSuspicion) EngineDied(d Death, passed int) Standing {
	b.noteEngine(d)
	b.add(d, passed)
	if len(b.recent) >= massDeaths {
		b.withdraw(d.At)
	}
	return b.Standing(d.Digest, d.At)
}

func (b *PoisonSuspicion) add(d Death, passed int) {
	e := b.byDigest[d.Digest]
	if e == nil || d.At.Sub(e.last) > blameLife {
		b.expire(d.At)
		e = &blame{}
		b.byDigest[d.Digest] = e
	}
	same := func(o death) bool { return o.engine == d.Engine && d.At.Sub(o.at) < sameDeath }
	if slices.ContainsFunc(e.deaths, same) {
		return
	}
	if passed >= passedTokens {
		e.deaths = e.deaths[:0] // it ran past what killed the engines before
	}
	e.deaths = append(e.deaths, death{d.Engine, d.At})
	e.last = d.At
}

// Passed clears a suspect that has generated tokens on another engine, and
// reports whether it did so now.
func (b *PoisonSuspicion) NoteProgress(digest uint64, tokens int) bool {
	if e := b.byDigest[digest]; e == nil || tokens < passedTokens || len(e.deaths) >= engineLimit {
		return false
	}
	delete(b.byDigest, digest)
	return true
}

// Standing judges a request by its content.
func (b *PoisonSuspicion) Standing(digest uint64, now time.Time) Standing {
	e := b.byDigest[digest]
	switch {
	case e == nil || len(e.deaths) == 0 || now.Sub(e.last) > blameLife:
		return Innocent
	case len(e.deaths) >= engineLimit:
		return Poison
	default:
		return Suspect
	}
}

// Expires is when a request's blame will have expired.
func (b *PoisonSuspicion) Expires(digest uint64) time.Time {
	if e := b.byDigest[digest]; e != nil {
		return e.last.Add(blameLife)
	}
	return time.Time{}
}

func (b *PoisonSuspicion) noteEngine(d Death) {
	b.recent = slices.DeleteFunc(b.recent, func(o death) bool { return d.At.Sub(o.at) > massWindow })
	if !slices.ContainsFunc(b.recent, func(o death) bool { return o.engine == d.Engine }) {
		b.recent = append(b.recent, death{d.Engine, d.At})
	}
}

// withdraw takes back the blame for the deaths of a common cause. A request
// that was on massDeaths of the engines is the cause, and keeps it.
func (b *PoisonSuspicion) withdraw(now time.Time) {
	for digest, e := range b.byDigest {
		recent := func(o death) bool { return now.Sub(o.at) <= massWindow }
		n := 0
		for _, o := range e.deaths {
			if recent(o) {
				n++
			}
		}
		if n == 0 || n >= massDeaths {
			continue
		}
		e.deaths = slices.DeleteFunc(e.deaths, recent)
		if n > 1 {
			e.deaths = append(e.deaths, death{engine: "common cause", at: now})
		}
		if len(e.deaths) == 0 {
			delete(b.byDigest, digest)
		}
	}
}

func (b *PoisonSuspicion) expire(now time.Time) {
	if len(b.byDigest) < maxBlamed {
		return
	}
	oldest, found := uint64(0), false
	for digest, e := range b.byDigest {
		if now.Sub(e.last) > blameLife {
			delete(b.byDigest, digest)
			continue
		}
		if !found || e.last.Before(b.byDigest[oldest].last) {
			oldest, found = digest, true
		}
	}
	if len(b.byDigest) >= maxBlamed {
		delete(b.byDigest, oldest)
	}
}
