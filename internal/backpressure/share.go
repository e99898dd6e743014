package backpressure

import (
	"math"
	"time"
)

// All VMs lose the control VMs at the same moment, and hundreds of them then share a limit of
// a few requests a second. If each saved up one request, all could send it at once. A VM's
// turns therefore begin at a random time, and a turn that is not used soon is lost.

// turnTime is how long a turn may be used.
const turnTime = 2 * time.Second

// share holds the turns of one VM at a server, at a fixed interval.
type share struct {
	next time.Time // when the next turn begins; zero: none was asked for yet
}

// take uses a turn and returns 0, or returns the time until the next one. rate is the number
// of turns per second, and draw a random number in [0, 1).
func (s *share) take(rate, draw float64, now time.Time) time.Duration {
	interval := time.Duration(min(1/rate, time.Hour.Seconds()) * float64(time.Second))
	if s.next.IsZero() {
		s.next = now.Add(time.Duration(draw * float64(interval)))
	}
	if late := now.Sub(s.next) - min(turnTime, interval); late > 0 {
		missed := math.Ceil(float64(late) / float64(interval))
		s.next = s.next.Add(time.Duration(missed * float64(interval)))
	}
	if now.Before(s.next) {
		return s.next.Sub(now)
	}
	s.next = s.next.Add(interval)
	return 0
}
