package recovery

import (
	"math"
	"time"
)

// Constants of the detector.
const (
	// gapWeight is the weight of one gap in the moving averages, so about the last twenty
	// events of an engine count.
	gapWeight = 0.05

	// corroboratingStreams that are silent together are stronger evidence than one. Their
	// bound shrinks by corroboratedFactor, but not below the policy's floor.
	corroboratingStreams = 3
	corroboratedFactor   = 0.6

	// soleSilentFactor lengthens the bound of a silent stream while other streams of the
	// engine make progress. Such a stream is more likely delayed there than lost.
	soleSilentFactor = 3

	// minQueuedWait and queuedFactor bound the wait for the first token on an engine that
	// serves other streams. The stream waits in the engine's queue, so it is suspected only
	// far beyond the usual wait.
	minQueuedWait = 20 * time.Second
	queuedFactor  = 6

	// maxFirstTokenWait bounds the wait for a first token without any other sign of life.
	// It is the prefill time of 50,000 tokens.
	maxFirstTokenWait = 5 * time.Second

	// maxRecheckInterval is the longest time between two checks of a stream. The evidence
	// of the other streams changes, so a bound computed earlier no longer holds.
	maxRecheckInterval = 250 * time.Millisecond

	// localPauseThreshold between two checks means that this VM itself was paused. Its
	// engines were not silent; their events are still waiting to be read.
	localPauseThreshold = 4 * maxRecheckInterval

	// pollTTL is how long an answered poll proves that an engine is alive. Its streams may
	// still be stalled, which soleSilentFactor covers.
	pollTTL = 2 * time.Second
)

// Detector decides from the silence of streams whether an engine is suspected. It is not
// safe for concurrent use.
type Detector struct {
	policy      Policy
	engines     map[string]*engineStats
	ceilingOnly bool
	lastCheck   time.Time // of any stream
	resumedAt   time.Time // when this VM last resumed after a local pause
}

// engineStats holds what is known of one engine.
type engineStats struct {
	gap, dev   float64 // averages in seconds, between events of one stream
	firstToken float64 // average in seconds until a first token
	streams    int
	started    int // streams with a first token
	lastEvent  time.Time
	lastPoll   time.Time
}

// Stream is one attempt of a request on an engine.
type Stream struct {
	engine  *engineStats
	begun   time.Time
	last    time.Time
	started bool
	ended   bool
}

// NewDetector returns a Detector that uses the bounds of a policy.
func NewDetector(p Policy) *Detector {
	return &Detector{policy: p, engines: map[string]*engineStats{}}
}

// SetCeilingOnly makes the detector suspect an engine only at the policy's ceiling. It is
// set while the budget for duplicate work is used up.
func (d *Detector) SetCeilingOnly(on bool) { d.ceilingOnly = on }

func (d *Detector) statsOf(name string) *engineStats {
	w := d.engines[name]
	if w == nil {
		w = &engineStats{}
		d.engines[name] = w
	}
	return w
}

// Begin starts watching an attempt on the named engine.
func (d *Detector) Begin(name string, now time.Time) *Stream {
	w := d.statsOf(name)
	w.streams++
	d.lastCheck = now // no stream was checked before the first one
	return &Stream{engine: w, begun: now, last: now}
}

// Event records an event of a stream.
func (d *Detector) Event(s *Stream, now time.Time) {
	w := s.engine
	gap := now.Sub(s.last).Seconds()
	if s.started {
		w.dev += gapWeight * (math.Abs(gap-w.gap) - w.dev)
		w.gap += gapWeight * (gap - w.gap)
	} else {
		s.started = true
		w.started++
		w.firstToken += gapWeight * (gap - w.firstToken)
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

// Polled records that an engine answered a poll of its load.
func (d *Detector) Polled(name string, now time.Time) { d.statsOf(name).lastPoll = now }

// ResetStats drops the timing statistics of an engine that died.
func (d *Detector) ResetStats(name string) {
	w := d.statsOf(name)
	w.gap, w.dev, w.firstToken = 0, 0, 0
}

// Check reports whether the silence of a stream makes its engine suspect. If it does not,
// Check returns the time until the next check.
func (d *Detector) Check(s *Stream, now time.Time) (bool, time.Duration) {
	d.noteLocalPause(now)
	since := s.last
	if d.resumedAt.After(since) {
		since = d.resumedAt
	}
	left := since.Add(d.bound(s, now)).Sub(now)
	if left <= 0 {
		return true, 0
	}
	return false, min(max(left, time.Millisecond), maxRecheckInterval)
}

// noteLocalPause keeps a pause of this VM from looking like the death of all engines at
// once. While there are streams, they are checked at least every maxRecheckInterval.
func (d *Detector) noteLocalPause(now time.Time) {
	if !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > localPauseThreshold {
		d.resumedAt = now
	}
	d.lastCheck = now
}

// HedgeDue reports whether a stream has been silent long enough to start a hedged attempt.
func (d *Detector) HedgeDue(s *Stream, now time.Time) bool {
	after := time.Duration(d.policy.HedgeAfter * float64(d.bound(s, now)))
	return d.policy.HedgeShare > 0 && s.started && now.Sub(s.last) >= after && now.Sub(d.resumedAt) >= after
}

// bound returns how long a stream may be silent before its engine is suspected.
func (d *Detector) bound(s *Stream, now time.Time) time.Duration {
	w := s.engine
	base := d.baseBound(w)
	served := now.Sub(w.lastEvent) < base && w.lastEvent.After(s.last)
	if !s.started {
		return w.firstBound(base, served || now.Sub(w.lastPoll) < pollTTL)
	}
	switch {
	case served:
		return soleSilentFactor * base
	case w.started >= corroboratingStreams && !d.ceilingOnly:
		return max(d.policy.Floor, time.Duration(corroboratedFactor*float64(base)))
	default:
		return base
	}
}

func (d *Detector) baseBound(w *engineStats) time.Duration {
	if d.ceilingOnly {
		return d.policy.Ceiling
	}
	usual := time.Duration((w.gap + d.policy.Deviations*w.dev) * float64(time.Second))
	return min(d.policy.Ceiling, max(d.policy.Floor, usual))
}

// firstBound returns the bound of a stream without a first token. On an engine that is
// alive the stream is queued, so its bound is at least minQueuedWait.
func (w *engineStats) firstBound(base time.Duration, alive bool) time.Duration {
	usual := time.Duration(queuedFactor * w.firstToken * float64(time.Second))
	if alive {
		return max(minQueuedWait, usual)
	}
	return max(base, min(maxFirstTokenWait, max(base, usual)))
}
