package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// BenchmarkReportUnderLoad measures one VM's report to a scheduler of 120 engines that
// all prefill a prompt, while 300 streams of 70 VMs wait.
func BenchmarkReportUnderLoad(b *testing.B) {
	s, now := newTestScheduler(40), time.Unix(0, 0)
	use := map[string]placement.Use{}
	for id := range s.servers {
		use[id] = placement.Use{Requests: 1, Prompt: 8000, Tokens: 8600}
	}
	s.Told("others", Report{Use: use}, now)
	for i := range 300 {
		st := stream(fmt.Sprint(i), now)
		st.VM = fmt.Sprint("vm", i%70)
		s.Ask(st, now)
	}
	own := Report{Use: map[string]placement.Use{"a1": {Requests: 1, Prompt: 8000}, "b1": {Requests: 1, Prompt: 8000}}}
	b.ReportAllocs()
	for i := range b.N {
		s.Told(fmt.Sprint("vm", i%70), own, now)
		s.Run(now)
	}
}

// BenchmarkGrant measures a stream that is enqueued and gets one of 120 engines.
func BenchmarkGrant(b *testing.B) {
	s, now := newTestScheduler(40), time.Unix(0, 0)
	b.ReportAllocs()
	for i := range b.N {
		st := stream(fmt.Sprint(i), now)
		s.Ask(st, now)
		d := s.Run(now)
		s.Told("vm", Report{Taken: d[0].Number}, now)
	}
}
