package scheduler

import (
	"math"
	"time"
)

// Workspaces that press.
//
// The load pattern: one workspace's program loops, or its campaign starts, and it sends
// ten times what it usually does. In one order of due times its streams are most of those
// that wait, and every other workspace is late with it, though it sends no more than on
// any day. Equal shares are no answer: a few workspaces are large, and at an overload of
// all alike they would be held to what the small ones send.
//
// So a workspace is compared with itself. While it sends far more than it usually does
// and streams wait, its streams go behind those of the others that can be in time. Where
// all send more alike, all press alike, and the order is as before.

const (
	// recently is the time over which a workspace's present rate is taken: some prompts'
	// reading, so that single callers do not make a rate.
	recently = 2 * time.Second
	// usually is the same for what it is compared with: long against a burst, and short
	// enough that growth through a day is no press.
	usually = 60 * time.Second
	// pressFactor times the usual number of streams within recently is a press, beyond
	// what chance would give: pressChance standard deviations, and pressLeast streams.
	pressFactor = 2.0
	pressChance = 2.0
	pressLeast  = 3.0
)

// flow counts the streams of one workspace, each fading with its age.
type flow struct {
	first, at    time.Time
	recent, long float64
}

func (f *flow) fade(now time.Time) {
	if f.first.IsZero() {
		f.first, f.at = now, now
	}
	age := now.Sub(f.at).Seconds()
	f.recent *= math.Exp(-age / recently.Seconds())
	f.long *= math.Exp(-age / usually.Seconds())
	f.at = now
}

func (f *flow) note(now time.Time) {
	f.fade(now)
	f.recent++
	f.long++
}

// presses reports whether far more came recently than usually comes.
func (f *flow) presses(now time.Time) bool {
	f.fade(now)
	// A count that began lately has not reached its level yet.
	seen := 1 - math.Exp(-now.Sub(f.first).Seconds()/usually.Seconds())
	expected := f.long * recently.Seconds() / usually.Seconds() / math.Max(seen, recently.Seconds()/usually.Seconds())
	return f.recent > pressFactor*expected+pressChance*math.Sqrt(expected)+pressLeast
}

// mostFlows bounds the workspaces that are remembered.
const mostFlows = 1 << 14

func (v *service) noteFlow(workspace string, now time.Time) {
	f := v.flows[workspace]
	if f == nil {
		if len(v.flows) >= mostFlows {
			clear(v.flows) // what is usual is learnt anew
		}
		if v.flows == nil {
			v.flows = map[string]*flow{}
		}
		f = &flow{}
		v.flows[workspace] = f
	}
	f.note(now)
}

// pressing are the workspaces that press, of those whose streams wait.
func (v *service) pressing(now time.Time) map[string]bool {
	var out map[string]bool
	for _, w := range v.waiting {
		if f := v.flows[w.Workspace]; f != nil && !out[w.Workspace] && f.presses(now) {
			if out == nil {
				out = map[string]bool{}
			}
			out[w.Workspace] = true
		}
	}
	return out
}
