package rollout

import (
	"fmt"
	"testing"
	"time"
)

// What a request costs a router where no roll-out is under way, and where one is.
func BenchmarkRequest(b *testing.B) {
	for _, under := range []bool{false, true} {
		b.Run(fmt.Sprint("under way ", under), func(b *testing.B) {
			s, book := &State{}, NewRecorder(time.Now)
			if under {
				s = stateAt(Record{Order: toV2, Number: 1, Phase: Trial, DefaultShare: 0.1})
				book.Watch(s.UnderWay())
			}
			b.ReportAllocs()
			for i := range b.N {
				c := s.Choose("desk", "book", float64(i%10)/10)
				book.Request("desk", "book", c)
				book.Sent("desk", c)
				run := book.Begin("desk", "book", c, "i-1")
				book.End(run, false, false)
			}
		})
	}
}

// What one look costs a control VM: a minute of three routes of streams, 16 servers of
// each version.
func BenchmarkLook(b *testing.B) {
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
