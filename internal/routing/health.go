package routing

import "time"

// Bounds of ejection.
const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// engine is ejected. A single failure may be a crash caused by the content of
	// the request; three in a row are attributed to the engine.
	ejectAfterFailures = 3

	// minEjection and maxEjection bound the duration of an ejection, which starts
	// at the minimum and doubles each time. A refused connection and silence
	// beyond the failure detector's bound eject at once. Otherwise the streams of
	// a lost zone resume on its other engines, one dial timeout after another.
	minEjection = 1 * time.Second
	maxEjection = 30 * time.Second

	// suspectedZoneShare is the share of a zone's servers that may be down for
	// failures before resumes go to other zones. Single engines die a few times a
	// day. Several of one zone at once indicate that the zone is lost, and each
	// attempt there costs a dial timeout.
	suspectedZoneShare = 0.3

	// slowStepRatio is the multiple of the pool's median step time above which an
	// engine is ejected as slow. A full batch is about 1.8 times slower than an
	// empty one, so load alone does not reach 3.
	slowStepRatio = 3

	// maxSlowShare caps the share of a pool that may be ejected as slow at one
	// time. Above it the cause is more likely a pause or a slow link of this
	// router, and no engine is treated as slow (panic mode).
	maxSlowShare = 0.3
)

type healthState int

const (
	stateHealthy healthState = iota
	stateProbing             // the ejection has expired; one request at a time is admitted
	stateEjected
)

// health is one router's view of a backend server. Refused connections and broken
// streams are direct evidence, and any number of servers may be ejected for them:
// a server that refuses connections cannot serve. Slowness is judged relative to
// the pool, so the share that is ejected for it is capped.
type health struct {
	failures      int
	ejectedUntil  time.Time
	lastEjection  time.Duration
	down          bool // ejected for failures, or probing after such an ejection
	slow          bool
	probeInFlight bool
}

func (h *health) state(now time.Time) healthState {
	switch {
	case h.slow, h.down && now.Before(h.ejectedUntil):
		return stateEjected
	case h.down:
		return stateProbing
	default:
		return stateHealthy
	}
}

func (h *health) success() {
	h.failures = 0
	h.down = false
	h.lastEjection = 0
}

func (h *health) failure(now time.Time) {
	h.failures++
	if h.failures >= ejectAfterFailures || h.down {
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	if h.down && now.Before(h.ejectedUntil) {
		return // the death of one engine breaks many streams and counts once
	}
	h.lastEjection = min(maxEjection, max(minEjection, 2*h.lastEjection))
	h.ejectedUntil = now.Add(h.lastEjection)
	h.down = true
}

// pollAnswered records that the backend server answered a poll for its load
// report. An ejected server with few failures may then be probed at once.
func (h *health) pollAnswered(now time.Time) {
	if h.down && h.ejectedUntil.After(now) && h.failures < 2*ejectAfterFailures {
		h.ejectedUntil = now
	}
}

// ejectSlow ejects and reinstates engines by their smoothed step time. If more of
// them are slow than maxSlowShare allows, none is ejected.
func (t *Table) ejectSlow(p *pool) {
	slowCount := 0
	for _, i := range p.all {
		if t.engines[i].looksSlow(p) {
			slowCount++
		}
	}
	plausible := float64(slowCount) <= maxSlowShare*float64(len(p.all))
	for _, i := range p.all {
		s := t.engines[i]
		s.health.slow = plausible && s.looksSlow(p)
	}
}

func (s *server) looksSlow(p *pool) bool {
	return p.medianStepMS > 0 && s.stepMS > slowStepRatio*p.medianStepMS
}

// State returns the state of a backend server as shown to operators: gone,
// leaving, slow, ejected, probing or in.
func (t *Table) State(i int, now time.Time) string {
	s := t.engines[i]
	switch {
	case s.gone:
		return "gone"
	case s.leaving:
		return "leaving"
	case s.health.slow:
		return "slow"
	case s.health.state(now) == stateEjected:
		return "ejected"
	case s.health.state(now) == stateProbing:
		return "probing"
	default:
		return "in"
	}
}
