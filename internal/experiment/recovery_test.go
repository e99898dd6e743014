package experiment

import (
	"testing"
	"time"
)

// Callers whose engine dies or falls silent see their answer go on within six
// seconds under both objectives. Each objective is better than the other at
// what it saves, and both repeat less work than a restart from the prompt.
func TestRecoveryMeetsObjectives(t *testing.T) {
	if testing.Short() {
		t.Skip("four runs of four virtual minutes")
	}
	p := policies(recoveryRouters)
	extraWork, latency, restart := p[0], p[1], p[2]
	mean := func(f Fault, p Policy) (time.Duration, float64) {
		out := recoveryRun(f, p, 1)
		if g := out.Total(Filter{}); g.Served != g.Offered {
			t.Errorf("%s, %s: %d of %d answers whole", f.Name, p.Name, g.Served, g.Offered)
		}
		var sum time.Duration
		for _, d := range out.resumes {
			sum += d
			if p.UseModules && d > 6*time.Second {
				t.Errorf("%s, %s: an answer went on after %s", f.Name, p.Name, d)
			}
		}
		return sum / time.Duration(len(out.resumes)), out.ExtraShare()
	}
	pause := faults()[2]
	slow, little := mean(pause, extraWork)
	fast, more := mean(pause, latency)
	if fast >= slow || little >= more {
		t.Errorf("pause of 2 s: extra-work %s and %.4f, resume-latency %s and %.4f", slow, little, fast, more)
	}
	reset := faults()[0]
	_, ours := mean(reset, extraWork)
	_, theirs := mean(reset, restart)
	if ours >= theirs {
		t.Errorf("reset: %.4f extra work, with a restart from the prompt %.4f", ours, theirs)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	run := func() *Outcome { return recoveryRun(faults()[0], policies(recoveryRouters)[1], 3) }
	if testing.Short() {
		t.Skip("two runs of four virtual minutes")
	}
	a, b := run(), run()
	if a.useful != b.useful || a.extra != b.extra || len(a.resumes) != len(b.resumes) {
		t.Errorf("two runs of one seed differ: %v %v, %v %v", a.useful, b.useful, a.extra, b.extra)
	}
}
