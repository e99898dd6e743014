package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// One workspace sends ten times its usual load for fifteen seconds, while the nine others
// send as before. Served by due time alone, most waiting streams soon belong to the first
// workspace, and the others' streams are late. They must stay in time, and the surging
// workspace must still get the remaining capacity.
func TestSurgingWorkspaceDoesNotDelayOthers(t *testing.T) {
	s := newSim(1, 8, 10, usualTraits).schedule()
	s.workspaces = 10
	s.play(longPrompt, objective, deadline, load{6, 20 * time.Second})
	s.surgeShare = 0.93 // the first workspace sends 24 more streams per second
	s.play(longPrompt, objective, deadline, load{30, 15 * time.Second})
	others, all := 0, 0
	for _, r := range s.runs {
		if r.workspace == "w0" || r.arrived.Before(time.Unix(45, 0)) {
			continue
		}
		all++
		if !r.first.IsZero() && !r.first.After(r.due) {
			others++
		}
	}
	if share := float64(others) / float64(all); all < 15 || share < 0.95 {
		t.Errorf("%.2f of %d streams of the other workspaces in time, want 0.95 of 15 or more", share, all)
	}
	if in := s.inTime(); in < 0.4 {
		t.Errorf("%.2f of all streams in time, want 0.4 or more: capacity is left unused", in)
	}
}

// All workspaces, large and small, send a multiple of their usual load. Either none or
// all of them surge: a large workspace must not be restricted to what the small ones
// send.
func TestUniformOverloadIsNoSurge(t *testing.T) {
	now := time.Unix(0, 0)
	v := &service{}
	rates := map[string]int{"large": 40, "medium": 10, "small": 2} // streams in ten seconds
	send := func(factor int, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for name, n := range rates {
				if int(now.Sub(time.Unix(0, 0))/(100*time.Millisecond))*n*factor/100 != (int(now.Sub(time.Unix(0, 0))/(100*time.Millisecond))-1)*n*factor/100 {
					for range max(1, n*factor/100) {
						v.recordArrival(name, now)
					}
				}
			}
		}
	}
	waits := func() map[string]bool {
		v.waiting = nil
		for name := range rates {
			v.waiting = append(v.waiting, &waiter{Stream: Stream{ID: name, Workspace: name, Need: placement.Need{}}})
		}
		return v.surging(now)
	}
	send(1, 40*time.Second)
	if p := waits(); len(p) != 0 {
		t.Errorf("surging at the usual load: %v, want none", p)
	}
	send(2, 5*time.Second)
	if p := waits(); len(p) != 0 && len(p) != len(rates) {
		t.Errorf("surging at twice the load of all workspaces: %v, want none or all", p)
	}
	for range 60 {
		v.recordArrival("small", now)
	}
	if p := waits(); fmt.Sprint(p) != "map[small:true]" {
		t.Errorf("surging after sixty streams of one workspace: %v, want that workspace alone", p)
	}
}
