package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Opinions are counted as VMs tell them and not summed at each decision: after any
// order of words that are told, repeated, taken back, too old or of VMs that are gone,
// and of engines that come and go, the counts are those of a sum.
func TestOpinionsAreThoseOfASum(t *testing.T) {
	ids := []string{"e1", "e2", "e3", "e4"}
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(nil), time.Unix(0, 0)
		some := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 0, len(ids), rapid.ID[string]).Draw(t, label)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.ReceiveReport(vm, Report{Avoid: some("avoid"), Suspected: some("doubt")}, now)
			case 2:
				s.Forget(vm)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case 4:
				var list []Server
				for _, id := range some("listed") {
					list = append(list, Server{ID: id, Service: "models"})
				}
				s.SetServers(list)
			}
			s.health(now)
			for _, id := range ids {
				want := summed(s, id, now)
				if got := *s.opinionsOf(id); got.avoid != want.avoid || got.doubt != want.doubt {
					t.Fatalf("%s: %+v, the sum is %+v", id, got, want)
				}
				if e := s.servers[id]; e != nil && e.opinions != s.opinionsOf(id) {
					t.Fatalf("%s is judged by opinions that nobody keeps", id)
				}
			}
		}
	})
}

// summed goes through the words of all VMs.
func summed(s *Scheduler, id string, now time.Time) opinions {
	var o opinions
	for _, v := range s.vms {
		if now.Sub(v.at) > opinionFor {
			continue
		}
		for _, other := range v.report.Avoid {
			if other == id {
				o.avoid++
			}
		}
		for _, other := range v.report.Suspected {
			if other == id {
				o.doubt++
			}
		}
	}
	return o
}
