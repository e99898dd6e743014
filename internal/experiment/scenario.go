package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Scenario is a load and faults, to be run under any policy.
type Scenario struct {
	Engines, Zones, Routers int
	Objective               recovery.Objective
	Seed                    uint64
	Loads                   []Load
	Faults                  []ScenarioFault
}

// ScenarioFault happens to one engine ("e3") or to a zone ("z1").
type ScenarioFault struct {
	At            time.Duration
	Kind          string // one of FaultNames
	Target        string
	PauseDuration time.Duration // pause
	SlowFactor    float64       // slow
}

// FaultNames are the faults a scenario may bring about.
var FaultNames = []string{"die", "vanish", "pause", "slow", "leave", "revive"}

// RateOf is the rate of requests of these mean sizes that takes a share of the
// engines' capacity.
func (s *Scenario) RateOf(share float64, prompt, tokens int) float64 {
	f := DefaultEngineParams
	return share * float64(s.Engines) / f.seconds(float64(prompt), float64(tokens))
}

// drain is how long a run goes on after the last arrival, so that its requests
// have an ending.
const drain = 5 * time.Minute

// Run plays the scenario under a policy; nobody arrives after length.
func (s *Scenario) Run(p Policy, length time.Duration) *Outcome {
	w := newWorld(p, s.Seed)
	w.build(s.Engines, s.Zones)
	for _, l := range s.Loads {
		if l.To == 0 || l.To > length {
			l.To = length
		}
		w.offer(l, s.Seed)
	}
	for _, f := range s.Faults {
		w.After(f.At, func() { w.inflict(f) })
	}
	w.run(length + drain)
	return w.out
}

func (w *world) inflict(f ScenarioFault) {
	for i, e := range w.engines {
		if e.name != f.Target && e.zone != f.Target {
			continue
		}
		switch f.Kind {
		case "die":
			w.strike(i, func(e *engineModel) { e.die(false) })
		case "vanish":
			w.strike(i, func(e *engineModel) { e.die(true) })
		case "pause":
			w.strike(i, func(e *engineModel) { e.paused = w.Now().Add(f.PauseDuration) })
		case "slow":
			e.slow = f.SlowFactor
		case "leave":
			e.leaving = true
		case "revive":
			e.revive()
		}
	}
}

// Resumes are the resume latencies of the streams that faults hit, sorted.
func (o *Outcome) ResumeLatencies() []time.Duration { return slices.Sorted(slices.Values(o.resumes)) }

// Table prints outcomes side by side, by class.
func Table(names []string, outs []*Outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-6s %8s %8s %8s %8s %9s %9s %9s %9s\n",
		"policy", "class", "offered", "served", "gave up", "refused", "wait p50", "wait p99", "tokens", "refusal")
	for i, o := range outs {
		for _, class := range []string{"short", "long", ""} {
			t := o.Total(Filter{Class: class})
			if t.Offered == 0 {
				continue
			}
			name := class
			if class == "" {
				name = "all"
			}
			fmt.Fprintf(&b, "%-10s %-6s %8d %7.2f%% %8d %8d %8.2fs %8.2fs %9d %8.2fs\n",
				names[i], name, t.Offered, 100*t.ServedShare(), t.GaveUp, t.Refused,
				Quantile(t.Waits, 0.5).Seconds(), Quantile(t.Waits, 0.99).Seconds(), t.Tokens, Quantile(t.RefusalLatencies, 0.99).Seconds())
		}
		fmt.Fprintf(&b, "%-10s fairness %.3f, extra work %.2f%%\n", names[i], o.Fairness(Filter{}), 100*o.ExtraShare())
	}
	return b.String()
}
