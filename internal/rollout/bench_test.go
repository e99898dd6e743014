package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of a request at a router, with and without a roll-out
// under way.
func BenchmarkRequest(b *testing.B) {
	for _, under := range []bool{false, true} {
		b.Run(fmt.Sprint("under way ", under), func(b *testing.B) {
			s, recorder := &State{}, NewRecorder(time.Now)
			if under {
				s = stateAt(Record{Order: toV2, Number: 1, Phase: Trial, DefaultShare: 0.1})
				recorder.Watch(s.UnderWay())
			}
			b.ReportAllocs()
			for i := range b.N {
				c := s.Choose("desk", "book", float64(i%10)/10)
				recorder.Request("desk", "book", c)
				recorder.Sent("desk", c)
				run := recorder.Begin("desk", "book", c, "i-1")
				recorder.End(run, false, false)
			}
		})
	}
}

// BenchmarkEvaluate measures one evaluation at a control VM after a minute of three routes
// of streams, with 16 servers of each version.
func BenchmarkEvaluate(b *testing.B) {
	r := Record{Order: Order{Service: "desk", To: "v2", Duration: 10 * time.Minute}, Number: 1, Phase: Trial}
	j := NewJudge(DefaultLimits, 1)
	evidence := func(seconds int) Evidence {
		e := NewEvidence()
		for _, route := range []string{"a", "b", "c"} {
			e.Requests[route] = 14 * seconds
			for _, m := range []Measure{Response, Pace} {
				cell := Cell{route, m}
				e.Former[cell], e.Target[cell] = CountsByServer{}, CountsByServer{}
				for i := range 16 {
					c := Counts{Answers: seconds, Times: map[uint8]int{uint8(40 + i%8): seconds}}
					e.Former[cell][fmt.Sprint(i)], e.Target[cell][fmt.Sprint(i)] = c, c
				}
			}
		}
		return e
	}
	for s := range 60 {
		e := evidence(s + 1)
		j.Evaluate(&r, &e, View{Elapsed: time.Duration(s) * time.Second, FormerServers: 1})
	}
	e := evidence(60)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		j.Evaluate(&r, &e, View{Elapsed: 59 * time.Second, FormerServers: 1})
	}
}
