package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// State describes a service whose streams wait, for an operator.
type State struct {
	Service string
	// Interrupted, InTime and Late count the waiting streams of each class.
	Interrupted, InTime, Late int
	// Servers counts the listed engines, Usable those that are not lost, and Prefilling
	// those that prefill a prompt.
	Servers, Usable, Prefilling int
	// Usage is the sum over all servers.
	Usage placement.Usage
	// StartRate is how many streams were started per second over the last rateWindow.
	StartRate    float64
	EngineTiming EngineTiming
}

// States returns the state of each service whose streams wait.
func (s *Scheduler) States(now time.Time) []State {
	s.health(now)
	var out []State
	for name, v := range s.services {
		if len(v.waiting) == 0 {
			continue
		}
		r := newRound(v, s, now)
		st := State{Service: name, Servers: len(v.servers), Usable: r.usable, StartRate: v.grantTimes.rate(now), EngineTiming: v.timing}
		for _, e := range v.servers {
			st.Usage = st.Usage.Add(e.usage)
			if e.usage.PendingPrompt > 0 {
				st.Prefilling++
			}
		}
		for _, w := range v.waiting {
			switch v.classOf(w, now) {
			case interrupted:
				st.Interrupted++
			case inTime:
				st.InTime++
			case late:
				st.Late++
			}
		}
		out = append(out, st)
	}
	return out
}
