package admission

// Figures of a Limiter.
const (
	limitFloor   = 1
	limitCeiling = 256

	// limitStart is shared by the routers that use the same server: eleven that
	// each began with eight would fill a batch of 32 three times over.
	limitStart    = 32
	limitStartMin = 2
	limitStartMax = 8

	// growth per report, also shared: together the routers add two streams
	// between two reports. If each added one, a third of a batch would queue in
	// the server before any of them saw it, and lookups behind it.
	growth    = 2.0
	growthMin = 0.1

	// stepTolerance: a mean step this much longer than the best one means a batch
	// that costs every stream in it. A full batch is some 1.8 times slower than an
	// empty one and prefills beside it double that for moments: beyond three it is
	// neither.
	stepTolerance = 3
	stepSmooth    = 0.3 // of one report: single steps with a prefill are no news

	// stepTargetMS: mean steps below it are no congestion however much longer than
	// the best they are; 38 ms between tokens for 95 in 100 is the aim. A fast
	// engine whose prompts are long would otherwise be kept nearly empty.
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
	peers  float64
	limit  float64
	offset float64 // in [0, 1), for rounding
	step   float64 // smoothed, ms
	best   float64 // shortest step, ms
	probed bool    // congestion was met: growth is additive from then on
}

// NewLimiter starts low and doubles until the first congestion. peers is the
// number of routers that use the server. offset, random in [0, 1), decides how
// the limit is rounded: eleven routers that all rounded 2.9 down would together
// leave a third of a batch empty.
func NewLimiter(peers int, offset float64) *Limiter {
	l := &Limiter{peers: float64(max(1, peers)), offset: offset}
	l.Reset()
	return l
}

// Limit is the work in flight that is allowed.
func (l *Limiter) Limit() int { return int(l.limit + l.offset) }

// Report takes one report: the server's step time, the length of its own queue
// and this router's work in flight. For a plain service the latency of a call
// stands for the step time.
func (l *Limiter) Report(stepMS float64, queued, inflight int) {
	if stepMS > 0 {
		l.step += stepSmooth * (stepMS - l.step)
		l.best = min(l.best*bestDrift, stepMS)
		if l.best == 0 {
			l.best = stepMS
		}
	}
	switch {
	case l.congested(queued):
		l.probed = true
		l.limit = max(limitFloor, l.limit*backoff)
	case float64(inflight) < fullEnough*l.limit:
		// Not used: its reports say nothing about a higher limit.
	case !l.probed:
		l.limit = min(limitCeiling, l.limit*2)
	default:
		l.limit = min(limitCeiling, l.limit+max(growthMin, growth/l.peers))
	}
}

func (l *Limiter) congested(queued int) bool {
	return queued > 0 || l.step > max(stepTargetMS, stepTolerance*l.best)
}

// Lost forgets what was learned: the server died and comes back empty.
func (l *Limiter) Reset() {
	*l = Limiter{peers: l.peers, offset: l.offset, limit: min(limitStartMax, max(limitStartMin, limitStart/l.peers))}
}
