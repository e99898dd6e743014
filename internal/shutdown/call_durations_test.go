package shutdown

import (
	"testing"
	"time"
)

// Guards against an expectation that is too short: for the rare long call of a route, for servers that have
// just become slow, and for a route of which little is known.
func TestCallDurations(t *testing.T) {
	var d CallDurations
	now := time.Unix(1_800_000_000, 0)
	call := func(took time.Duration, sent bool) {
		end := d.Begin("votes", now)
		now = now.Add(took)
		end(now, sent)
	}
	want := func(what string, want time.Duration) {
		t.Helper()
		if got := d.Expected("votes", now); got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	for range minDurations - 1 {
		call(100*time.Millisecond, true)
	}
	call(time.Second, false)
	want("too few calls", 0)
	call(2*time.Second, true)
	for range 200 {
		call(100*time.Millisecond, true)
	}
	want("one long call among short ones", 3*time.Second)
	d.Begin("votes", now)
	now = now.Add(4 * time.Second)
	want("a call in progress", 6*time.Second)
	if got := d.Expected("tallies", now); got != 0 {
		t.Errorf("another route: got %v, want 0", got)
	}
	now = now.Add((recentPeriods + 1) * recentPeriod)
	want("nothing has ended lately", 0)
	d.Begin("blurbs", now)(now, false)
	if len(d.routes) != 2 {
		t.Errorf("%d routes are remembered, want the one with a call in progress and the new one", len(d.routes))
	}
	d.Begin("drafts", now)
	if _, kept := d.routes["blurbs"]; kept {
		t.Error("a route without calls is remembered")
	}
}
