package experiment

import (
	"testing"
	"time"
)

// Guards against slow or wasteful recovery after an engine dies or pauses. Under both
// objectives answers resume within 6 s. Each objective beats the other at what it
// optimises, and extra-work repeats less work than a restart from the prompt.
func TestRecoveryMeetsObjectives(t *testing.T) {
	if testing.Short() {
		t.Skip("four runs of four virtual minutes")
	}
	p := policies(recoveryRouters)
	extraWork, latency, restart := p[0], p[1], p[2]
	mean := func(f Fault, p Policy) (time.Duration, float64) {
		out := recoveryRun(f, p, 1)
		if g := out.Total(Filter{}); g.Served != g.Offered {
			t.Errorf("%s, %s: got %d complete answers, want %d", f.Name, p.Name, g.Served, g.Offered)
		}
		var sum time.Duration
		for _, d := range out.resumeLatencies {
			sum += d
			if p.UseModules && d > 6*time.Second {
				t.Errorf("%s, %s: answer resumed after %s, want at most 6 s", f.Name, p.Name, d)
			}
		}
		return sum / time.Duration(len(out.resumeLatencies)), out.ExtraShare()
	}
	pause := faults()[2]
	extraWorkLatency, extraWorkShare := mean(pause, extraWork)
	resumeLatency, resumeLatencyShare := mean(pause, latency)
	if resumeLatency >= extraWorkLatency || extraWorkShare >= resumeLatencyShare {
		t.Errorf("pause of 2 s: mean resume latency and extra work: extra-work %s, %.4f; resume-latency %s, %.4f; want each objective to win at its own", extraWorkLatency, extraWorkShare, resumeLatency, resumeLatencyShare)
	}
	reset := faults()[0]
	_, resumedShare := mean(reset, extraWork)
	_, restartedShare := mean(reset, restart)
	if resumedShare >= restartedShare {
		t.Errorf("reset: got %.4f extra work, want less than %.4f of a restart from the prompt", resumedShare, restartedShare)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	run := func() *Outcome { return recoveryRun(faults()[0], policies(recoveryRouters)[1], 3) }
	if testing.Short() {
		t.Skip("two runs of four virtual minutes")
	}
	a, b := run(), run()
	if a.usefulWork != b.usefulWork || a.extraWork != b.extraWork || len(a.resumeLatencies) != len(b.resumeLatencies) {
		t.Errorf("runs with the same seed differ: useful work %v and %v, extra work %v and %v", a.usefulWork, b.usefulWork, a.extraWork, b.extraWork)
	}
}
