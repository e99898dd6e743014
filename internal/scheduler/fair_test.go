package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// One workspace sends ten times what it usually does, for fifteen seconds. The callers of
// the nine others, who send no more than ever, keep what they had: in order, the first
// one's streams soon are most of those that wait; they go behind the others'; and they
// get all that is left.
func TestOthersKeepWhatTheyHad(t *testing.T) {
	s := newSim(1, 8, 10, usualTraits).schedule()
	s.workspaces = 10
	s.play(longPrompt, objective, deadline, load{6, 20 * time.Second})
	s.pressing = 0.93 // of what comes, when the first sends 24 a second more
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
		t.Errorf("%.2f of the others' %d streams are in time", share, all)
	}
	if in := s.inTime(); in < 0.4 {
		t.Errorf("%.2f of all in time: the rest is not used", in)
	}
}

// All workspaces send three times as much, large and small ones. Nobody presses, or all
// do: a large one is not held to what the small ones send.
func TestOverloadOfAllIsNoPress(t *testing.T) {
	now := time.Unix(0, 0)
	v := &service{}
	rates := map[string]int{"large": 40, "medium": 10, "small": 2} // in ten seconds
	send := func(factor int, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for name, n := range rates {
				if int(now.Sub(time.Unix(0, 0))/(100*time.Millisecond))*n*factor/100 != (int(now.Sub(time.Unix(0, 0))/(100*time.Millisecond))-1)*n*factor/100 {
					for range max(1, n*factor/100) {
						v.noteFlow(name, now)
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
		return v.pressing(now)
	}
	send(1, 40*time.Second)
	if p := waits(); len(p) != 0 {
		t.Errorf("on an ordinary day %v press", p)
	}
	send(2, 5*time.Second)
	if p := waits(); len(p) != 0 && len(p) != len(rates) {
		t.Errorf("at twice the load of all %v press", p)
	}
	for range 60 {
		v.noteFlow("small", now)
	}
	if p := waits(); fmt.Sprint(p) != "map[small:true]" {
		t.Errorf("sixty at once of one: %v press", p)
	}
}
