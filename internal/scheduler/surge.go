package scheduler

import (
	"math"
	"time"
)

// Surging workspaces.
//
// The overload. A program of one workspace loops, or its campaign starts, and it sends
// ten times its usual load. If streams are ordered by due time alone, most of those that
// wait belong to this workspace, and the streams of every other workspace are late
// although their load has not changed. Equal shares do not solve it: a few workspaces are
// large, and in an overload by all of them they would be restricted to what the small
// ones send.
//
// A workspace is therefore compared with its own past. While it sends far more than usual
// and streams wait, its streams are served after those of other workspaces that can be in
// time. If all workspaces send proportionally more, all of them surge, and the order does
// not change.

const (
	// surgeWindow is the time constant of a workspace's present rate. It spans several
	// prefills, so that a few callers do not dominate the rate.
	surgeWindow = 2 * time.Second
	// baselineWindow is the time constant of the rate that it is compared with. It is
	// long compared with a burst, and short enough that growth over a day is no surge.
	baselineWindow = 60 * time.Second
	// A workspace surges if its recent streams exceed surgeFactor times the expected
	// number by more than chance explains: surgeDeviations standard deviations plus
	// surgeMinStreams.
	surgeFactor     = 2.0
	surgeDeviations = 2.0
	surgeMinStreams = 3.0
)

// workspaceArrivals counts the streams of one workspace with exponential decay.
type workspaceArrivals struct {
	createdAt, updatedAt time.Time
	recent, baseline     float64
	// surging is the result of surges at the time examinedAt.
	surging    bool
	examinedAt time.Time
}

func (f *workspaceArrivals) decay(now time.Time) {
	if f.createdAt.IsZero() {
		f.createdAt, f.updatedAt = now, now
	}
	age := now.Sub(f.updatedAt).Seconds()
	f.recent *= math.Exp(-age / surgeWindow.Seconds())
	f.baseline *= math.Exp(-age / baselineWindow.Seconds())
	f.updatedAt = now
}

func (f *workspaceArrivals) add(now time.Time) {
	f.decay(now)
	f.recent++
	f.baseline++
	f.examinedAt = time.Time{}
}

// surges reports whether far more streams arrived recently than usual. It is asked for each
// waiting stream of the workspace.
func (f *workspaceArrivals) surges(now time.Time) bool {
	if !f.examinedAt.Equal(now) {
		f.surging, f.examinedAt = f.exceedsUsual(now), now
	}
	return f.surging
}

func (f *workspaceArrivals) exceedsUsual(now time.Time) bool {
	f.decay(now)
	// A baseline that started recently has not reached its steady state yet.
	coverage := 1 - math.Exp(-now.Sub(f.createdAt).Seconds()/baselineWindow.Seconds())
	expected := f.baseline * surgeWindow.Seconds() / baselineWindow.Seconds() / math.Max(coverage, surgeWindow.Seconds()/baselineWindow.Seconds())
	return f.recent > surgeFactor*expected+surgeDeviations*math.Sqrt(expected)+surgeMinStreams
}

// maxTrackedWorkspaces bounds the memory for arrivals. Beyond it all counts start over.
const maxTrackedWorkspaces = 1 << 14

func (v *service) recordArrival(workspace string, now time.Time) {
	f := v.arrivals[workspace]
	if f == nil {
		if len(v.arrivals) >= maxTrackedWorkspaces {
			clear(v.arrivals) // the baselines are learned again
		}
		if v.arrivals == nil {
			v.arrivals = map[string]*workspaceArrivals{}
		}
		f = &workspaceArrivals{}
		v.arrivals[workspace] = f
	}
	f.add(now)
}

// surging returns the surging workspaces among those whose streams wait.
func (v *service) surging(now time.Time) map[string]bool {
	var out map[string]bool
	for _, w := range v.waiting {
		if f := v.arrivals[w.Workspace]; f != nil && !out[w.Workspace] && f.surges(now) {
			if out == nil {
				out = map[string]bool{}
			}
			out[w.Workspace] = true
		}
	}
	return out
}
