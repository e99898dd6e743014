// Package enginespeed estimates how fast each engine works, from what all VMs measured on
// it. It is pure: measurements and the time are inputs.
//
// The overload. Engines of one service differ by a factor of two, and their machines are
// shared, so that some of them are 2.5 times slower for half a second. An engine interrupts
// its runs while it prefills a prompt. On a slow engine that interruption exceeds the pause
// that a caller accepts as soon as the machine is disturbed as well. Without an estimate of
// each engine, a slow engine with few runs gets the next prompt, and all its runs pause.
// Timing the last prefill alone is not enough: an observation is forgotten within seconds,
// and the engine is tried again with runs on it.
//
// Estimates are ratios to the mean of the service, shrunk towards 1 by the number of
// observations. Observations lose half of their weight in halfLife, since a machine can be
// replaced or its neighbours can change. A slowdown that an engine states itself is already
// old when it arrives, and counts as a factor that decays within slowdownDecay.
package enginespeed

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which an observation loses half of its weight.
	halfLife = 30 * time.Second
	// priorPrompts and priorWindows are the observations that the mean of the service counts
	// for in an engine's estimate: the variance of one observation relative to the variance
	// between engines. A prefill takes as long as a disturbance or longer, and varies by a
	// quarter, where speeds differ by a third. A window of events is either disturbed or not,
	// and varies by half.
	priorPrompts = 1
	priorWindows = 4
	// minRatio and maxRatio bound an engine's estimate, relative to the mean of its service.
	minRatio, maxRatio = 0.1, 20
	// slowdownDecay is the age at which a stated slowdown has lost about two thirds of its
	// weight. Disturbances last some tenths of a second.
	slowdownDecay = 200 * time.Millisecond
	// maxSlowdown bounds the weight of one statement.
	maxSlowdown = 10
	// pauseDeviations is how many standard deviations above the mean a pause is expected, so
	// that about one run in 40 pauses for longer.
	pauseDeviations = 2
	// silentAfter is how long after its last observation an engine counts as untried.
	silentAfter = 10 * time.Second
	// inForceFor is how long after its last observation a model is used.
	inForceFor = time.Minute
)

// sums are decayed sums of observations.
type sums struct {
	prompts, promptTokens, prefillUS                float64
	windows, gapUS, batch, batchSquares, batchGapUS float64
	pauses, pauseMS, pauseSquares                   float64
	at                                              time.Time
}

func (s *sums) decayTo(now time.Time) {
	age := now.Sub(s.at)
	if age <= 0 {
		return
	}
	k := math.Exp2(-float64(age) / float64(halfLife))
	for _, v := range []*float64{&s.prompts, &s.promptTokens, &s.prefillUS, &s.windows, &s.gapUS, &s.batch, &s.batchSquares, &s.batchGapUS, &s.pauses, &s.pauseMS, &s.pauseSquares} {
		*v *= k
	}
	s.at = now
}

func (s *sums) addWork(o *Observation) {
	s.prompts += float64(o.Prompts)
	s.promptTokens += float64(o.PromptTokens)
	s.prefillUS += float64(o.PrefillUS)
	s.windows += float64(o.Windows)
	s.gapUS += float64(o.GapUS)
	s.batch += float64(o.Batch)
	s.batchSquares += float64(o.BatchSquares)
	s.batchGapUS += float64(o.BatchGapUS)
}

// addPauses adds pauses as they would be on an engine of the mean speed.
func (s *sums) addPauses(o *Observation, ratio float64) {
	s.pauses += float64(o.Pauses)
	s.pauseMS += float64(o.PauseMS) / ratio
	s.pauseSquares += float64(o.PauseSquares) / (ratio * ratio)
}

// engine is what is known of one engine.
type engine struct {
	sums
	slowdown   float64
	slowdownAt time.Time
	learnedAt  time.Time
}

// Model holds the speeds of the engines of one service. It is not safe for concurrent use.
type Model struct {
	engines   map[string]*engine
	all       sums // of all engines
	learnedAt time.Time
}

// Learn adds an observation of a VM. An observation that is not plausible is ignored.
func (m *Model) Learn(id string, o Observation, now time.Time) {
	if !o.plausible() {
		return
	}
	if m.engines == nil {
		m.engines = map[string]*engine{}
	}
	e := m.engines[id]
	if e == nil {
		e = &engine{}
		m.engines[id] = e
	}
	m.learnedAt = now
	if o.Slowdown > 0 && o.SlowdownAgeMS >= 0 {
		e.state(float64(o.Slowdown)/1000, now.Add(-time.Duration(min(o.SlowdownAgeMS, halfLife.Milliseconds()))*time.Millisecond))
	}
	if o.Count() == 0 {
		return
	}
	e.learnedAt = now
	e.decayTo(now)
	m.all.decayTo(now)
	e.addWork(&o)
	m.all.addWork(&o)
	m.all.addPauses(&o, m.prefillRatio(e))
}

// state takes a stated slowdown. Of statements by several VMs the newest counts.
func (e *engine) state(slowdown float64, at time.Time) {
	if at.After(e.slowdownAt) {
		e.slowdown, e.slowdownAt = slowdown, at
	}
}

// Retain forgets the engines for which listed returns false.
func (m *Model) Retain(listed func(id string) bool) {
	for id := range m.engines {
		if !listed(id) {
			delete(m.engines, id)
		}
	}
}

// InForce reports whether the model has learned anything lately.
func (m *Model) InForce(now time.Time) bool {
	return m != nil && !m.learnedAt.IsZero() && now.Sub(m.learnedAt) <= inForceFor
}

// Estimate is what is expected of an engine.
type Estimate struct {
	// PrefillPerToken is the prefill time of one prompt token; 0: not measured.
	PrefillPerToken time.Duration
	// StepBase and StepPerRun give the time between two events of a run: StepBase, and
	// StepPerRun for each run on the engine; 0: not measured.
	StepBase, StepPerRun time.Duration
	// Pause is the longest gap to expect of runs while the engine prefills other prompts; 0:
	// not measured.
	Pause time.Duration
	// Ratio is the time for the engine's work relative to the mean of the service.
	Ratio float64
	// Slowdown is the factor by which work takes longer at the moment, by the engine's own
	// statement. It is not included in the other fields.
	Slowdown float64
	// Silent is set if nothing was observed on the engine lately.
	Silent bool
}

// Estimate returns what is expected of an engine. An engine without observations has the mean
// speed of its service.
func (m *Model) Estimate(id string, now time.Time) Estimate {
	e := m.engines[id]
	if e == nil {
		e = &engine{}
	}
	ratio, steps := m.prefillRatio(e), m.stepRatio(e)
	base, perRun := m.all.stepFit()
	return Estimate{
		PrefillPerToken: microseconds(ratio * m.all.perToken()),
		StepBase:        microseconds(steps * base), StepPerRun: microseconds(steps * perRun),
		Pause: microseconds(1000 * ratio * m.all.pause()), Ratio: ratio, Slowdown: e.slowdownNow(now),
		Silent: now.Sub(e.learnedAt) > silentAfter,
	}
}

func microseconds(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

// Gap is the expected time between two events of a run on an engine that works on a number of
// runs and prefills no prompt; 0: not measured.
func (e *Estimate) Gap(batch int) time.Duration {
	return time.Duration(e.Slowdown * float64(e.StepBase+time.Duration(batch)*e.StepPerRun))
}

// perToken is the mean prefill time of a prompt token in microseconds; 0: unknown.
func (s *sums) perToken() float64 {
	if s.promptTokens <= 0 {
		return 0
	}
	return s.prefillUS / s.promptTokens
}

// stepFit fits the time between two events in microseconds: base + perRun * batch. Neither is
// negative. If the batches do not differ, perRun is zero.
func (s *sums) stepFit() (base, perRun float64) {
	if s.windows <= 0 {
		return 0, 0
	}
	gap, batch := s.gapUS/s.windows, s.batch/s.windows
	variance := s.batchSquares/s.windows - batch*batch
	if variance >= minBatchVariance {
		perRun = max(0, (s.batchGapUS/s.windows-gap*batch)/variance)
	}
	if perRun*batch > gap {
		perRun = gap / batch
	}
	return gap - perRun*batch, perRun
}

// minBatchVariance is the variance of the batches below which their influence cannot be told
// from noise.
const minBatchVariance = 1

// pause is the longest gap in milliseconds to expect of a run at an engine of the mean speed.
func (s *sums) pause() float64 {
	if s.pauses <= 0 {
		return 0
	}
	mean := s.pauseMS / s.pauses
	return mean + pauseDeviations*math.Sqrt(max(0, s.pauseSquares/s.pauses-mean*mean))
}

// prefillRatio is an engine's prefill time relative to the mean of the service. It is shrunk
// towards the ratio of its events, of which there are more.
func (m *Model) prefillRatio(e *engine) float64 {
	if m.all.prompts <= 0 || m.all.prefillUS <= 0 {
		return m.stepRatio(e)
	}
	prior := priorPrompts * m.all.prefillUS / m.all.prompts
	return bounded((e.prefillUS + prior*m.stepRatio(e)) / (e.promptTokens*m.all.perToken() + prior))
}

// stepRatio is an engine's time between events relative to the mean of the service at the same
// batches.
func (m *Model) stepRatio(e *engine) float64 {
	if m.all.windows <= 0 || m.all.gapUS <= 0 {
		return 1
	}
	base, perRun := m.all.stepFit()
	prior := priorWindows * m.all.gapUS / m.all.windows
	return bounded((e.gapUS + prior) / (base*e.windows + perRun*e.batch + prior))
}

func bounded(ratio float64) float64 { return min(max(ratio, minRatio), maxRatio) }

// slowdownNow is the factor to expect by the last statement.
func (e *engine) slowdownNow(now time.Time) float64 {
	if !(e.slowdown > 1) {
		return 1
	}
	weight := math.Exp(-float64(max(0, now.Sub(e.slowdownAt))) / float64(slowdownDecay))
	return 1 + weight*(min(e.slowdown, maxSlowdown)-1)
}
