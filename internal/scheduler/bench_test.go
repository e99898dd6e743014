package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// BenchmarkToldUnderLoad is one VM's news to a scheduler of 120 engines that all read,
// while 300 streams of 70 VMs wait.
func BenchmarkToldUnderLoad(b *testing.B) {
	s, now := book(40), time.Unix(0, 0)
	use := map[string]placement.Usage{}
	for id := range s.servers {
		use[id] = placement.Usage{Requests: 1, PendingPrompt: 8000, Tokens: 8600}
	}
	s.ReceiveReport("others", Report{Usage: use}, now)
	for i := range 300 {
		st := stream(fmt.Sprint(i), now)
		st.VM = fmt.Sprint("vm", i%70)
		s.Enqueue(st, now)
	}
	own := Report{Usage: map[string]placement.Usage{"a1": {Requests: 1, PendingPrompt: 8000}, "b1": {Requests: 1, PendingPrompt: 8000}}}
	b.ReportAllocs()
	for i := range b.N {
		s.ReceiveReport(fmt.Sprint("vm", i%70), own, now)
		s.Decide(now)
	}
}

// BenchmarkGrant is a stream that asks and is granted an engine of 120.
func BenchmarkGrant(b *testing.B) {
	s, now := book(40), time.Unix(0, 0)
	b.ReportAllocs()
	for i := range b.N {
		st := stream(fmt.Sprint(i), now)
		s.Enqueue(st, now)
		d := s.Decide(now)
		s.ReceiveReport("vm", Report{LastGrant: d[0].Number}, now)
	}
}
