package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
)

// Engines of unequal speed.
//
// The overload. A quarter of the engines works at half the speed of the others, on machines
// that are disturbed for half a second at a time. A prompt that is sent to such an engine
// interrupts the runs there for longer than their callers accept. The timing of the last
// prefill (slow.go) is forgotten after three seconds, and then the engine with few runs gets
// the next prompt, just since it was avoided.
//
// Where engines state slowdowns, the model of package enginespeed takes the place of that
// timing: engines are compared by the expected time of the first event and the expected pause,
// and among those that meet both objectives the load is spread relative to their speeds.

const (
	// firstEventMargin is the multiple of the expected time to the first event that must be
	// left for a stream to wait for an engine that meets its pause objective. It is the
	// multiple after which a run counts as stalled.
	firstEventMargin = 2
	// maxAheadShare bounds the queue in which streams wait for such an engine, relative to the
	// usable engines. A longer queue needs the rate of all engines: idle slow engines would
	// make its streams late.
	maxAheadShare = 0.25
	// otherZoneLoad is the load by which an engine in another zone must be less loaded than one
	// in the router's own zone: 1.5 runs, as in placement.
	otherZoneLoad = 1.5
	// equalLoads is the difference in runs below which loads count as equal.
	equalLoads = 0.5
	// differentSpeed is the ratio from which the speeds of two engines count as different.
	differentSpeed = 1.25
	// muchTimeLeft is the multiple of the expected time to the first event that is left to a
	// stream that takes the slower of two engines with equal loads.
	muchTimeLeft = 4
	// trialShare is the reciprocal of the share of streams that try a silent engine.
	trialShare = 50
)

// learnSpeeds adds a VM's observations of engines to the models of their services.
func (s *Scheduler) learnSpeeds(speeds map[string]enginespeed.Observation, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(speeds)) { // the model must depend on the messages only
		if e := s.servers[id]; e != nil {
			if e.service.speeds == nil {
				e.service.speeds = &enginespeed.Model{}
			}
			e.service.speeds.Learn(id, speeds[id], now)
		}
	}
}

// BySpeed reports whether the engines of a service are compared by the model of their speeds.
func (s *Scheduler) BySpeed(service string, now time.Time) bool {
	v := s.services[service]
	return v != nil && v.speeds.InForce(now)
}

// retainSpeeds forgets the speeds of engines that are not listed any more.
func (s *Scheduler) retainSpeeds(v *service) {
	if v.speeds != nil {
		v.speeds.Retain(func(id string) bool { return s.servers[id] != nil })
	}
}

// speedChoice is an engine that could start a stream at once.
type speedChoice struct {
	engine *server
	enginespeed.Estimate
	first  time.Duration // expected time to the first event
	load   float64       // runs, relative to the engine's speed
	inTime bool          // the first event is expected before it is due
	meets  bool          // both objectives of the stream
}

// engineBySpeed chooses among the engines that could start a stream at once and have memory
// for it. It returns nil if there is none, or if the stream has time to wait for a better one.
func (r *round) engineBySpeed(w *waiter, rng func(int) int) *server {
	eligible, _ := r.listEligible(w, r.offered.set, r.offered.n, rng, r.accepting(w))
	if len(eligible) == 0 {
		r.reserve(w)
		return nil
	}
	var best speedChoice
	tryAgain := w.class == inTime && rng(trialShare) == 0
	for _, e := range eligible {
		c := r.speedChoice(e, w)
		if tryAgain && c.Silent && c.meets {
			return e
		}
		if best.engine == nil || r.better(w, &c, &best, rng) {
			best = c
		}
	}
	if r.worthWaiting(w, &best) {
		return nil
	}
	return best.engine
}

func (r *round) speedChoice(e *server, w *waiter) speedChoice {
	if !e.estimatedAt.Equal(r.now) { // many streams of one pass compare the same engines
		e.estimate, e.estimatedAt = r.service.speeds.Estimate(e.ID, r.now), r.now
	}
	c := speedChoice{engine: e, Estimate: e.estimate}
	perToken := c.PrefillPerToken
	if perToken <= 0 {
		perToken = r.service.timing.prefillTime(1)
	}
	c.first = time.Duration(c.Slowdown * float64(e.usage.PendingPrompt+w.Need.Prompt) * float64(perToken))
	c.load = float64(e.usage.Requests+1) * c.Ratio * c.Slowdown
	if w.Zone != "" && w.Zone != e.Zone {
		c.load += otherZoneLoad
	}
	c.inTime = !r.now.Add(c.first).After(w.Due)
	c.meets = (c.inTime || w.class != inTime) && c.meetsPause(w, e.usage.Requests)
	return c
}

// meetsPause reports whether the runs of an engine are expected to keep to the pause objective
// with one more stream. If the engine has no other runs, the prompt interrupts none.
func (c *speedChoice) meetsPause(w *waiter, others int) bool {
	objective := time.Duration(w.PauseMS) * time.Millisecond
	if objective <= 0 {
		return true
	}
	return c.Gap(others+1) <= objective && (others == 0 || c.Pause <= objective)
}

// better reports whether a is to be chosen before b.
func (r *round) better(w *waiter, a, b *speedChoice, rng func(int) int) bool {
	switch {
	case a.meets != b.meets:
		return a.meets
	case a.inTime != b.inTime:
		return a.inTime
	case !a.inTime:
		return a.first < b.first
	case a.load < b.load-equalLoads:
		return true
	case a.load > b.load+equalLoads:
		return false
	case max(a.Ratio, b.Ratio) > differentSpeed*min(a.Ratio, b.Ratio):
		muchTime := r.now.Add(muchTimeLeft * max(a.first, b.first)).Before(w.Due)
		return muchTime == (a.Ratio > b.Ratio)
	}
	return rng(2) == 0
}

// expectedPauseMS is the longest gap to expect of a run on an engine, in milliseconds; 0: not
// known.
func (r *round) expectedPauseMS(e *server) int64 {
	if !r.bySpeed {
		return 0
	}
	estimate := r.service.speeds.Estimate(e.ID, r.now)
	return time.Duration(estimate.Slowdown * float64(estimate.Pause)).Milliseconds()
}

// worthWaiting reports whether a stream that can still be in time waits for a better engine
// than the best that is free: one that is in time, or one that meets the pause objective as
// well.
func (r *round) worthWaiting(w *waiter, best *speedChoice) bool {
	switch {
	case w.class != inTime || best.meets:
		return false
	case !best.inTime:
		return true
	}
	if mean := r.service.speeds.Estimate("", r.now); mean.Pause > time.Duration(w.PauseMS)*time.Millisecond {
		return false // engines that meet the objective are the exception
	}
	return float64(r.ahead) < maxAheadShare*float64(r.usable) && r.now.Add(firstEventMargin*best.first).Before(w.Due)
}
