package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// State is what an operator is told of a service whose streams wait.
type State struct {
	Service string
	// Interrupted, InTime and Late streams wait.
	Interrupted, InTime, Late int
	// Servers are known, Usable of them not avoided, Reading busy with a prompt.
	Servers, Usable, Prefilling int
	// Use is of all servers together.
	Usage placement.Usage
	// Rate is how many streams were begun a second of late.
	StartRate    float64
	EngineTiming EngineTiming
}

// States returns the state of each service whose streams wait.
func (s *Scheduler) States(now time.Time) []State {
	h := s.health(now)
	var out []State
	for name, v := range s.services {
		if len(v.waiting) == 0 {
			continue
		}
		r := newRound(v, s.vms, h, now)
		st := State{Service: name, Servers: len(v.servers), Usable: r.usable, StartRate: v.drain.rate(now), EngineTiming: v.pace}
		for _, e := range v.servers {
			st.Usage = st.Usage.Add(e.use)
			if e.use.PendingPrompt > 0 {
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
