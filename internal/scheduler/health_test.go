package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The suspicion counts are updated with each report and not summed at each decision. They
// must equal the sum over all current reports after any sequence of reports that are new,
// repeated, withdrawn or too old, of VMs that are removed, and of engines that come and
// go.
func TestSuspicionCountsMatchRecount(t *testing.T) {
	ids := []string{"e1", "e2", "e3", "e4"}
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(nil), time.Unix(0, 0)
		subset := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 0, len(ids), rapid.ID[string]).Draw(t, label)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.ReceiveReport(vm, Report{Avoid: subset("avoid"), Suspected: subset("suspected")}, now)
			case 2:
				s.Forget(vm)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case 4:
				var list []Server
				for _, id := range subset("listed") {
					list = append(list, Server{ID: id, Service: "models"})
				}
				s.SetServers(list)
			}
			s.health(now)
			for _, id := range ids {
				want := countSuspicions(s, id, now)
				if got := *s.suspicionsOf(id); got.avoiding != want.avoiding || got.suspecting != want.suspecting {
					t.Fatalf("counts of %s: got %+v, want %+v", id, got, want)
				}
				if e := s.servers[id]; e != nil && e.suspicions != s.suspicionsOf(id) {
					t.Fatalf("server %s refers to counts that are not updated", id)
				}
			}
		}
	})
}

// countSuspicions counts the VMs whose current reports avoid or suspect an engine.
func countSuspicions(s *Scheduler, id string, now time.Time) suspicionCounts {
	var o suspicionCounts
	for _, v := range s.vms {
		if now.Sub(v.at) > reportTTL {
			continue
		}
		for _, other := range v.report.Avoid {
			if other == id {
				o.avoiding++
			}
		}
		for _, other := range v.report.Suspected {
			if other == id {
				o.suspecting++
			}
		}
	}
	return o
}
