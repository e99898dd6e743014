package admission

// Constants of a Limiter.
const (
	minLimit = 1
	maxLimit = 256

	// initialTotalLimit is divided among the routers that use the same server. Eleven
	// routers that each started with eight would fill a batch of 32 almost three times.
	initialTotalLimit = 32
	minInitialLimit   = 2
	maxInitialLimit   = 8

	// limitIncrease is the additive increase per report, also divided among the routers:
	// together they add two streams between two reports. If each added one, a third of a
	// batch would queue in the server before any router saw it, and lookups would wait
	// behind it.
	limitIncrease    = 2.0
	minLimitIncrease = 0.1

	// stepTolerance is the multiple of the shortest step beyond which a mean step counts
	// as congestion that slows every stream in the batch. A full batch is some 1.8 times
	// slower than an empty one, and prefills in it double that for short times. Neither
	// exceeds a factor of three for long.
	stepTolerance = 3
	stepGain      = 0.3 // weight of one report: single steps with a prefill must not count as congestion

	// stepTargetMS is the mean step below which a server is never congested, however much
	// longer than the shortest step it is. The target is 38 ms between tokens at the 95th
	// percentile. Without this bound, a fast engine with long prompts would be kept
	// nearly empty.
	stepTargetMS = 38

	bestStepDrift  = 1.005 // growth of the shortest step per report, to forget old minima
	backoff        = 0.85  // multiplicative decrease of the limit under congestion
	minUtilization = 0.7   // share of the limit that must be in use before it grows
)

// Limiter adapts how much work one router keeps on one backend server by additive
// increase and multiplicative decrease, based on the server's reports. Routers that see
// the same congestion reduce their limits together and converge to equal shares, as TCP
// flows on one link do.
type Limiter struct {
	peers           float64
	limit           float64
	offset          float64 // in [0, 1), added before rounding down
	step            float64 // smoothed step time in ms
	bestStep        float64 // shortest step time in ms
	congestedBefore bool    // set at the first congestion: growth is additive from then on
}

// NewLimiter returns a Limiter that starts low and doubles its limit until the first
// congestion. peers is the number of routers that use the server. offset, a random number
// in [0, 1), decides how the limit is rounded: if eleven routers all rounded 2.9 down, a
// third of a batch would stay empty.
func NewLimiter(peers int, offset float64) *Limiter {
	l := &Limiter{peers: float64(max(1, peers)), offset: offset}
	l.Reset()
	return l
}

// Limit returns the amount of work that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit + l.offset) }

// Report adapts the limit to one report: the server's step time, the length of its own
// queue and this router's work in flight. For a plain service the latency of a call is
// used as the step time.
func (l *Limiter) Report(stepMS float64, queued, inflight int) {
	if stepMS > 0 {
		l.step += stepGain * (stepMS - l.step)
		l.bestStep = min(l.bestStep*bestStepDrift, stepMS)
		if l.bestStep == 0 {
			l.bestStep = stepMS
		}
	}
	switch {
	case l.congested(queued):
		l.congestedBefore = true
		l.limit = max(minLimit, l.limit*backoff)
	case float64(inflight) < minUtilization*l.limit:
		// The limit is not used up: the report says nothing about a higher one.
	case !l.congestedBefore:
		l.limit = min(maxLimit, l.limit*2)
	default:
		l.limit = min(maxLimit, l.limit+max(minLimitIncrease, limitIncrease/l.peers))
	}
}

func (l *Limiter) congested(queued int) bool {
	return queued > 0 || l.step > max(stepTargetMS, stepTolerance*l.bestStep)
}

// Reset returns the Limiter to its initial state, for a server that died and comes back
// empty.
func (l *Limiter) Reset() {
	*l = Limiter{peers: l.peers, offset: l.offset, limit: min(maxInitialLimit, max(minInitialLimit, initialTotalLimit/l.peers))}
}
