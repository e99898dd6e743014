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
	Servers, Usable, Reading int
	// Use is of all servers together.
	Use placement.Use
	// Rate is how many streams were begun a second of late.
	Rate float64
	Pace Pace
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
		st := State{Service: name, Servers: len(v.servers), Usable: r.usable, Rate: v.drain.rate(now), Pace: v.pace}
		for _, e := range v.servers {
			st.Use = st.Use.Add(e.use)
			if e.use.Prompt > 0 {
				st.Reading++
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
