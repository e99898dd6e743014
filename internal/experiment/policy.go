package experiment

import (
	"fmt"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Policy selects what the routers of a run use: the project's modules or a baseline.
type Policy struct {
	Name           string
	UseModules     bool // use the project's modules; false: a baseline
	Objective      recovery.Objective
	SilenceTimeout time.Duration // after which a baseline gives up a silent stream
	Restart        bool          // a baseline generates the answer again from the prompt
	Routers        int
}

// policies returns the policies that the recovery experiment compares.
func policies(routers int) []Policy {
	return []Policy{
		{Name: "extra-work", UseModules: true, Objective: recovery.ExtraWork, Routers: routers},
		{Name: "resume-latency", UseModules: true, Objective: recovery.ResumeLatency, Routers: routers},
		{Name: "fixed 5 s, restart", SilenceTimeout: 5 * time.Second, Restart: true, Routers: routers},
		{Name: "immediate, unpaced", SilenceTimeout: time.Second, Routers: routers},
	}
}

// System returns the policy that uses the project's modules with objective o.
func System(o recovery.Objective, routers int) Policy {
	return Policy{Name: "system", UseModules: true, Objective: o, Routers: routers}
}

// Baseline returns a policy that sends each request at once to a random engine, which
// queues in order of arrival. Nothing is limited or refused, and a stream that is
// silent for 5 s restarts from the prompt.
func Baseline(routers int) Policy {
	return Policy{Name: "baseline", SilenceTimeout: 5 * time.Second, Restart: true, Routers: routers}
}

// build adds engines, spread over the zones, and the policy's routers to the world.
func (w *world) build(engines, zones int) {
	w.poisonSuspicion = &sharedPoisonSuspicion{recovery.NewPoisonSuspicion()}
	for i := range engines {
		w.engines = append(w.engines, &engineModel{
			w: w, id: i, name: fmt.Sprint("e", i), zone: fmt.Sprint("z", i%zones), cache: map[uint64]bool{},
		})
	}
	for i := range w.policy.Routers {
		zone := fmt.Sprint("z", i%zones)
		if w.policy.UseModules {
			w.routers = append(w.routers, newSystem(w, i, zone))
		} else {
			w.routers = append(w.routers, &baseline{w})
		}
	}
}
