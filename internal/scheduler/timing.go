package scheduler

import "time"

// EngineTiming holds the measured durations of a service's engines.
type EngineTiming struct {
	// PrefillPerToken is the prefill time of one prompt token; 0: not measured.
	PrefillPerToken time.Duration `cbor:"1,keyasint,omitempty"`
	// RunDuration is the time from a run's first event to its end; 0: not measured.
	RunDuration time.Duration `cbor:"2,keyasint,omitempty"`
	// EventsPerRun is the number of events of a complete run; 0: not measured.
	EventsPerRun float64 `cbor:"3,keyasint,omitempty"`
}

const (
	// defaultPerToken is used until a prefill was measured. It is that of a slow engine,
	// to avoid estimating that a stream is late, or refusing it, when it is not.
	defaultPerToken = 40 * time.Microsecond
	// timingWeight is the weight of one VM's newest report in the mean.
	timingWeight = 0.1
	// rateWindow is the window over which arrivals and grants are counted. It spans
	// several prefills and is short enough to follow a burst.
	rateWindow = 2 * time.Second
	// maxCounted bounds the number of times that are kept for a window, and so their
	// memory. Higher rates are cut off at this value.
	maxCounted = 4096
)

// EngineTimings returns the mean measurements of all VMs for each service.
func (s *Scheduler) EngineTimings() map[string]EngineTiming {
	out := make(map[string]EngineTiming, len(s.services))
	for name, v := range s.services {
		if v.timing != (EngineTiming{}) {
			out[name] = v.timing
		}
	}
	return out
}

// learn updates the mean with one VM's measurements.
func (p *EngineTiming) learn(o EngineTiming) {
	p.PrefillPerToken = Smooth(p.PrefillPerToken, o.PrefillPerToken, timingWeight)
	p.RunDuration = Smooth(p.RunDuration, o.RunDuration, timingWeight)
	p.EventsPerRun = Smooth(p.EventsPerRun, o.EventsPerRun, timingWeight)
}

// Smooth returns the exponentially weighted mean after a new observation, with weight in
// (0, 1]. A mean of zero stands for no observation so far and is replaced by the first
// one. An observation of zero is ignored.
func Smooth[T time.Duration | float64](mean, seen T, weight float64) T {
	switch {
	case seen <= 0:
		return mean
	case mean <= 0:
		return seen
	}
	return mean + T(weight*float64(seen-mean))
}

// prefillTime is how long an engine takes to prefill a number of tokens.
func (p EngineTiming) prefillTime(tokens int) time.Duration {
	per := p.PrefillPerToken
	if per <= 0 {
		per = defaultPerToken
	}
	return time.Duration(tokens) * per
}

// ExpectedDuration estimates how long a stream takes whose caller has received some
// events, if its run takes the given multiple of the mean; 0: unknown.
func (p EngineTiming) ExpectedDuration(prompt, eventsReceived int, runMultiple float64) time.Duration {
	if p.RunDuration <= 0 {
		return 0
	}
	return p.prefillTime(prompt) + time.Duration(runMultiple*p.remainingShare(eventsReceived)*float64(p.RunDuration))
}

// remainingShare is the share of a run that is left after the events that the caller has
// received.
func (p EngineTiming) remainingShare(eventsReceived int) float64 {
	if eventsReceived == 0 || p.EventsPerRun <= 0 {
		return 1
	}
	return max(minRemainingShare, 1-float64(eventsReceived)/p.EventsPerRun)
}

// minRemainingShare applies to runs that are longer than usual.
const minRemainingShare = 0.05

// Bounds of RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retryShare is the share of the time to the deadline after which a retry can still
	// be served.
	retryShare = 1.0 / 3
)

// retryAfter is when a refused caller may retry: once the waiting streams are served. A
// random part of up to the same length spreads the retries of callers that were refused
// together.
func (r *round) retryAfter(w *waiter, rng func(int) int) time.Duration {
	rate := max(r.service.grantTimes.rate(r.now), minStartRate)
	served := time.Duration(float64(len(r.service.waiting)) / rate * float64(time.Second))
	most := min(maxRetryAfter, time.Duration(retryShare*float64(w.Deadline.Sub(r.now))))
	from := max(minRetryAfter, min(served, most/2))
	return from + time.Duration(float64(from)*float64(rng(1000))/1000)
}
