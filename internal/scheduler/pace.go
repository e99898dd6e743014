package scheduler

import (
	"slices"
	"time"
)

// Pace is what is observed of a service's engines.
type EngineTiming struct {
	// PerToken is how long an engine reads one token of a prompt; 0: not observed.
	PrefillPerToken time.Duration `cbor:"1,keyasint,omitempty"`
	// Run is how long a run takes from its first event to its end; 0: not observed.
	RunDuration time.Duration `cbor:"2,keyasint,omitempty"`
	// Events is how many events a whole run has; 0: not observed.
	EventsPerRun float64 `cbor:"3,keyasint,omitempty"`
}

const (
	// startPerToken stands in until a prompt was read: of a slow engine, so that nothing
	// is taken for late, or refused, that is not.
	startPerToken = 40 * time.Microsecond
	// paceWeight of a VM's newest word in the mean of all.
	paceWeight = 0.1
	// window over which arrivals and grants are counted: some reading times, and short
	// enough to follow a burst.
	window = 2 * time.Second
	// mostCounted within the window bounds memory; rates beyond it are taken as this.
	mostCounted = 4096
)

// Paces are what all VMs together observed of each service's engines.
func (s *Scheduler) EngineTimings() map[string]EngineTiming {
	out := make(map[string]EngineTiming, len(s.services))
	for name, v := range s.services {
		if v.pace != (EngineTiming{}) {
			out[name] = v.pace
		}
	}
	return out
}

// learn takes one VM's observation into the mean.
func (p *EngineTiming) learn(o EngineTiming) {
	p.PrefillPerToken = Smooth(p.PrefillPerToken, o.PrefillPerToken, paceWeight)
	p.RunDuration = Smooth(p.RunDuration, o.RunDuration, paceWeight)
	p.EventsPerRun = Smooth(p.EventsPerRun, o.EventsPerRun, paceWeight)
}

// Smooth moves a mean towards what was seen, by a weight in (0, 1]. The first that was
// seen begins the mean, and zero says that nothing was.
func Smooth[T time.Duration | float64](mean, seen T, weight float64) T {
	switch {
	case seen <= 0:
		return mean
	case mean <= 0:
		return seen
	}
	return mean + T(weight*float64(seen-mean))
}

// reading is how long an engine takes to read a number of tokens.
func (p EngineTiming) reading(tokens int) time.Duration {
	per := p.PrefillPerToken
	if per <= 0 {
		per = startPerToken
	}
	return time.Duration(tokens) * per
}

// Lasts is how long a stream takes whose run is so many times as long as the mean, and
// whose caller has some events; 0: not known.
func (p EngineTiming) ExpectedDuration(prompt, after int, times float64) time.Duration {
	if p.RunDuration <= 0 {
		return 0
	}
	return p.reading(prompt) + time.Duration(times*p.rest(after)*float64(p.RunDuration))
}

// rest is the share of a run that is still to be made where its caller has some events.
func (p EngineTiming) rest(after int) float64 {
	if after == 0 || p.EventsPerRun <= 0 {
		return 1
	}
	return max(leastRest, 1-float64(after)/p.EventsPerRun)
}

// leastRest is for runs that are longer than usual.
const leastRest = 0.05

// demand is how much memory arrives.
type demand struct {
	at     []time.Time
	tokens []int
}

func (d *demand) note(now time.Time, tokens int) {
	d.expire(now)
	if len(d.at) >= mostCounted {
		return
	}
	d.at, d.tokens = append(d.at, now), append(d.tokens, tokens)
}

func (d *demand) expire(now time.Time) {
	n := 0
	for n < len(d.at) && now.Sub(d.at[n]) > window {
		n++
	}
	d.at, d.tokens = slices.Delete(d.at, 0, n), slices.Delete(d.tokens, 0, n)
}

// held is the memory that runs will hold at the present rate of arrivals, in tokens:
// the rate times how long a run keeps its memory (Little's law).
func (d *demand) held(now time.Time, p EngineTiming) float64 {
	d.expire(now)
	sum := 0
	for _, n := range d.tokens {
		sum += n
	}
	if len(d.at) == 0 {
		return 0
	}
	hold := p.reading(sum/len(d.at)) + p.RunDuration
	return float64(sum) / window.Seconds() * hold.Seconds()
}

// drain is how fast waiting streams are served.
type drain struct{ at []time.Time }

func (d *drain) note(now time.Time) {
	d.expire(now)
	if len(d.at) < mostCounted {
		d.at = append(d.at, now)
	}
}

func (d *drain) expire(now time.Time) {
	d.at = slices.DeleteFunc(d.at, func(t time.Time) bool { return now.Sub(t) > window })
}

// rate is how many streams were served a second.
func (d *drain) rate(now time.Time) float64 {
	d.expire(now)
	return float64(len(d.at)) / window.Seconds()
}

// Bounds of what a refused caller is told.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retryShare of a caller's time is the latest that it may come again and still be
	// served.
	retryShare = 1.0 / 3
)

// retryAfter is when a refused caller may come again: once those who wait are served.
// Callers that were refused together are spread over as long again, or they would meet
// once more.
func (r *round) retryAfter(w *waiter, rng func(int) int) time.Duration {
	rate := max(r.v.drain.rate(r.now), leastRate)
	served := time.Duration(float64(len(r.v.waiting)) / rate * float64(time.Second))
	most := min(maxRetryAfter, time.Duration(retryShare*float64(w.Deadline.Sub(r.now))))
	from := max(minRetryAfter, min(served, most/2))
	return from + time.Duration(float64(from)*float64(rng(1000))/1000)
}
