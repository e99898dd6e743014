package routing

import "time"

// Figures of ejection.
const (
	// failuresOut: failures in a row that eject. One may be the request's fault
	// (a crash by its content), three in a row are the engine's.
	failuresOut = 3

	// refusedOut and maxOut bound the time out of use. A refused connection and a
	// silence beyond the detector's bound eject at once: otherwise the streams of
	// a lost zone resume on its other engines, one dial timeout after another.
	// The first ejection is short, then it doubles.
	refusedOut = 1 * time.Second
	maxOut     = 30 * time.Second

	// doubtfulShare: with more of a zone's servers out than this, resumes go to
	// other zones. Engines die alone a few times a day; several of one zone at
	// once are a lost zone, and each try there costs a dial timeout.
	doubtfulShare = 0.3

	// slowRatio: a step time above this multiple of the pool's median ejects. A
	// full batch is some 1.8 times slower than an empty one; 3 is beyond load.
	slowRatio = 3

	// slowShare caps the share of a pool that may be out as slow at one time.
	// Beyond it, what looks slow is more likely this router's own pause or link,
	// so none of the slow verdicts is trusted (panic mode).
	slowShare = 0.3
)

type healthState int

const (
	stateIn      healthState = iota
	stateProbing             // ejection has run out: one request at a time
	stateOut
)

// health is what one router has seen of a backend server. Refusals and broken
// streams are direct evidence and have no cap: nothing that refuses connections
// can serve. "Slow" is a comparison and is capped.
type health struct {
	failures int
	outUntil time.Time
	lastOut  time.Duration
	down     bool // out or probing for failures
	slow     bool
	probing  bool // the one probe is under way
}

func (h *health) state(now time.Time) healthState {
	switch {
	case h.slow, h.down && now.Before(h.outUntil):
		return stateOut
	case h.down:
		return stateProbing
	default:
		return stateIn
	}
}

func (h *health) success() {
	h.failures = 0
	h.down = false
	h.lastOut = 0
}

func (h *health) failure(now time.Time) {
	h.failures++
	if h.failures >= failuresOut || h.down {
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	if h.down && now.Before(h.outUntil) {
		return // one death breaks many streams: it counts once
	}
	h.lastOut = min(maxOut, max(refusedOut, 2*h.lastOut))
	h.outUntil = now.Add(h.lastOut)
	h.down = true
}

// answered notes that the backend server answered a report's poll: what was
// down is worth a probe now.
func (h *health) answered(now time.Time) {
	if h.down && h.outUntil.After(now) && h.failures < 2*failuresOut {
		h.outUntil = now
	}
}

// judgeSlow ejects and returns slow engines by their smoothed step time. If
// more look slow than the cap allows, none is ejected.
func (t *Table) judgeSlow(p *pool) {
	looks := 0
	for _, i := range p.all {
		if t.engines[i].looksSlow(p) {
			looks++
		}
	}
	trusted := float64(looks) <= slowShare*float64(len(p.all))
	for _, i := range p.all {
		s := t.engines[i]
		s.health.slow = trusted && s.looksSlow(p)
	}
}

func (s *server) looksSlow(p *pool) bool { return p.stepMid > 0 && s.step > slowRatio*p.stepMid }

// State names the health of a backend server for operators.
func (t *Table) State(i int, now time.Time) string {
	s := t.engines[i]
	switch {
	case s.gone:
		return "gone"
	case s.leaving:
		return "leaving"
	case s.health.slow:
		return "slow"
	case s.health.state(now) == stateOut:
		return "ejected"
	case s.health.state(now) == stateProbing:
		return "probing"
	default:
		return "in"
	}
}
