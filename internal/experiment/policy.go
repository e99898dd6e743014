package experiment

import (
	"fmt"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Policy is what a run is made with: the project's modules or a baseline.
type Policy struct {
	Name           string
	UseModules     bool // the modules; else a baseline
	Objective      recovery.Objective
	SilenceTimeout time.Duration // of a baseline
	Restart        bool          // a baseline that generates from the prompt again
	Routers        int
}

// The policies that are compared.
func policies(routers int) []Policy {
	return []Policy{
		{Name: "extra-work", UseModules: true, Objective: recovery.ExtraWork, Routers: routers},
		{Name: "resume-latency", UseModules: true, Objective: recovery.ResumeLatency, Routers: routers},
		{Name: "fixed 5 s, restart", SilenceTimeout: 5 * time.Second, Restart: true, Routers: routers},
		{Name: "immediate, unpaced", SilenceTimeout: time.Second, Routers: routers},
	}
}

// System is the project's modules; Baseline is one queue in order of arrival at
// a random engine, without limits.
func System(o recovery.Objective, routers int) Policy {
	return Policy{Name: "system", UseModules: true, Objective: o, Routers: routers}
}

// Baseline is described at System.
func Baseline(routers int) Policy {
	return Policy{Name: "baseline", SilenceTimeout: 5 * time.Second, Restart: true, Routers: routers}
}

// build makes the engines and routers of a world.
func (w *world) build(engines, zones int) {
	w.blamed = &blameBoard{recovery.NewPoisonSuspicion()}
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
