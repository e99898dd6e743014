package admission

// Figures of a Limiter.
const (
	limitFloor   = 1
	limitCeiling = 256
	limitStart   = 8

	// stepTolerance: a step this much longer than the best seen means a batch
	// that costs every stream in it. A full batch is some 1.8 times slower than
	// an empty one, which is the price of batching and accepted.
	stepTolerance = 2.2

	// stepTargetMS is the longest step accepted whatever the best was: 38 ms
	// between tokens for 95 in 100.
	stepTargetMS = 38

	bestDrift  = 1.005 // the best step fades a little with each report
	backoff    = 0.85  // of a congested engine's limit
	fullEnough = 0.7   // of the limit in use before it grows
)

// Limiter adapts how much work one router keeps on one backend server, by
// additive increase and multiplicative decrease on the server's reports. Several
// routers that see the same congestion give way together and come to share it,
// as the flows on one link do.
type Limiter struct {
	limit  float64
	best   float64 // shortest step, ms
	probed bool    // congestion was met: growth is additive from then on
}

// NewLimiter starts low and doubles until the first congestion.
func NewLimiter() *Limiter { return &Limiter{limit: limitStart} }

// Limit is the work in flight that is allowed.
func (l *Limiter) Limit() int { return int(l.limit) }

// Report takes one report: the server's step time, the length of its own queue
// and this router's work in flight. For a plain service the latency of a call
// stands for the step time.
func (l *Limiter) Report(stepMS float64, queued, inflight int) {
	if stepMS > 0 {
		l.best = min(l.best*bestDrift, stepMS)
		if l.best == 0 {
			l.best = stepMS
		}
	}
	switch {
	case l.congested(stepMS, queued):
		l.probed = true
		l.limit = max(limitFloor, l.limit*backoff)
	case float64(inflight) < fullEnough*l.limit:
		// Not used: its reports say nothing about a higher limit.
	case !l.probed:
		l.limit = min(limitCeiling, l.limit*2)
	default:
		l.limit = min(limitCeiling, l.limit+1)
	}
}

func (l *Limiter) congested(stepMS float64, queued int) bool {
	if queued > 0 {
		return true
	}
	return stepMS > stepTargetMS || (l.best > 0 && stepMS > stepTolerance*l.best)
}

// Lost forgets what was learned: the server died and comes back empty.
func (l *Limiter) Lost() { *l = Limiter{limit: limitStart} }
