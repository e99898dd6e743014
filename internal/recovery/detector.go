package recovery

import (
	"math"
	"time"
)

// Figures of the detector.
const (
	gapGain = 0.05 // of one gap: the last twenty events of an engine count

	// manyStreams that are silent together are stronger evidence than one: the
	// bound shrinks by manyFactor, not below manyFloor.
	manyStreams = 3
	manyFactor  = 0.6

	// oneFactor: while other streams of the engine go on, a silent one is more
	// likely held up there than lost; it gets this much longer.
	oneFactor = 3

	// queuedFloor: a stream without first token on an engine that serves others
	// waits in its queue. It is suspected only far beyond the usual wait.
	queuedFloor  = 20 * time.Second
	queuedFactor = 6

	// firstFloor: without any other sign of life, a first token may take this
	// long: the prefill of 50,000 tokens.
	firstFloor = 5 * time.Second

	// recheck is the longest time between two checks: the evidence of the other
	// streams changes, and a bound found long ago no longer holds.
	recheck = 250 * time.Millisecond

	// ownPause: checks this far apart mean that this VM itself stood still. Its
	// engines were not silent; their events wait to be read.
	ownPause = 4 * recheck

	// reportLife: an engine that answered a poll this recently lives. Its streams
	// may still be stalled, which oneFactor covers.
	reportLife = 2 * time.Second
)

// Detector judges the silence of engines. It is not safe for concurrent use.
type Detector struct {
	policy  Policy
	engines map[string]*watched
	patient bool
	checked time.Time // last check of any stream
	awake   time.Time // when this VM last went on after a pause of its own
}

// watched is what is known of one engine.
type watched struct {
	gap, dev  float64 // seconds between events of one stream
	first     float64 // seconds to a first token
	streams   int
	started   int
	lastEvent time.Time
	lastPoll  time.Time
}

// Stream is one attempt on an engine.
type Stream struct {
	engine  *watched
	begun   time.Time
	last    time.Time
	started bool
	ended   bool
}

// NewDetector returns a Detector with the figures of an objective.
func NewDetector(p Policy) *Detector {
	return &Detector{policy: p, engines: map[string]*watched{}}
}

// SetPatient makes the detector wait for the ceiling: the budget for work done
// twice is used up.
func (d *Detector) SetCeilingOnly(on bool) { d.patient = on }

func (d *Detector) watch(name string) *watched {
	w := d.engines[name]
	if w == nil {
		w = &watched{}
		d.engines[name] = w
	}
	return w
}

// Begin starts watching an attempt.
func (d *Detector) Begin(name string, now time.Time) *Stream {
	w := d.watch(name)
	w.streams++
	d.checked = now // before the first stream nothing was checked
	return &Stream{engine: w, begun: now, last: now}
}

// Event notes an event of a stream.
func (d *Detector) Event(s *Stream, now time.Time) {
	w := s.engine
	gap := now.Sub(s.last).Seconds()
	if s.started {
		w.dev += gapGain * (math.Abs(gap-w.gap) - w.dev)
		w.gap += gapGain * (gap - w.gap)
	} else {
		s.started = true
		w.started++
		w.first += gapGain * (gap - w.first)
	}
	s.last, w.lastEvent = now, now
}

// End stops watching a stream. It may be called twice.
func (d *Detector) End(s *Stream) {
	if s.ended {
		return
	}
	s.ended = true
	s.engine.streams--
	if s.started {
		s.engine.started--
	}
}

// Polled notes that an engine answered a poll of its load.
func (d *Detector) Polled(name string, now time.Time) { d.watch(name).lastPoll = now }

// Lost forgets the figures of an engine that died.
func (d *Detector) ResetStats(name string) {
	w := d.watch(name)
	w.gap, w.dev, w.first = 0, 0, 0
}

// Check reports whether a stream's silence makes its engine suspect, and else
// after how long to check again.
func (d *Detector) Check(s *Stream, now time.Time) (bool, time.Duration) {
	d.noticePause(now)
	since := s.last
	if d.awake.After(since) {
		since = d.awake
	}
	left := since.Add(d.bound(s, now)).Sub(now)
	if left <= 0 {
		return true, 0
	}
	return false, min(max(left, time.Millisecond), recheck)
}

// noticePause keeps this VM's own pause from looking like the death of every
// engine at once. Streams are checked at least every recheck while there are any.
func (d *Detector) noticePause(now time.Time) {
	if !d.checked.IsZero() && now.Sub(d.checked) > ownPause {
		d.awake = now
	}
	d.checked = now
}

// HedgeDue reports whether a stream has been silent long enough to hedge.
func (d *Detector) HedgeDue(s *Stream, now time.Time) bool {
	after := time.Duration(d.policy.HedgeAfter * float64(d.bound(s, now)))
	return d.policy.HedgeShare > 0 && s.started && now.Sub(s.last) >= after && now.Sub(d.awake) >= after
}

// bound is how long a stream may be silent now.
func (d *Detector) bound(s *Stream, now time.Time) time.Duration {
	w := s.engine
	base := d.base(w)
	served := now.Sub(w.lastEvent) < base && w.lastEvent.After(s.last)
	if !s.started {
		return w.firstBound(base, served || now.Sub(w.lastPoll) < reportLife)
	}
	switch {
	case served:
		return oneFactor * base
	case w.started >= manyStreams && !d.patient:
		return max(d.policy.Floor, time.Duration(manyFactor*float64(base)))
	default:
		return base
	}
}

func (d *Detector) base(w *watched) time.Duration {
	if d.patient {
		return d.policy.Ceiling
	}
	usual := time.Duration((w.gap + d.policy.Deviations*w.dev) * float64(time.Second))
	return min(d.policy.Ceiling, max(d.policy.Floor, usual))
}

// firstBound is the bound of a stream without a first token: being queued is
// not being dead.
func (w *watched) firstBound(base time.Duration, alive bool) time.Duration {
	usual := time.Duration(queuedFactor * w.first * float64(time.Second))
	if alive {
		return max(queuedFloor, usual)
	}
	return max(base, min(firstFloor, max(base, usual)))
}
