package backpressure

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a server that ends since all VMs together send it more than it has room for, while
// none of them has a grant, and again and again after it has refused.
func TestUngrantedSends(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tt := range []struct{ limit, slots, vms int }{
		{0, 6, 12}, {1, 6, 12}, {5, 6, 12}, {1000, 6, 12}, {5, 6, 1}, {5, 6, 4}, {5, 1, 330}, {20, 6, 330},
	} {
		t.Run(fmt.Sprintf("limit %d, %d slots, %d VMs", tt.limit, tt.slots, tt.vms), func(t *testing.T) {
			perSecond := map[int]int{}
			sent := 0
			for vm := range tt.vms {
				var s Server
				s.Learn(Statement{Rejections: LimitStatement{Kind: LimitStated, Rate: float64(tt.limit)}}, tt.vms, start, start)
				inFlight := 0
				for s.MaySendUngranted(Sender{tt.vms, vm, inFlight}, tt.slots, start) {
					inFlight++
				}
				sent += inFlight
				// The server refuses each request from now on.
				for at := start; inFlight > 0 && at.Before(start.Add(20*time.Second)); at = at.Add(10 * time.Millisecond) {
					if !s.Refuses(at) {
						s.Rejected(tt.vms, at)
						perSecond[int(at.Sub(start)/time.Second)]++
					}
				}
			}
			if sent > tt.slots {
				t.Errorf("%d requests are sent at once to a server with %d slots", sent, tt.slots)
			}
			for second := 4; second < 20; second++ {
				// One VM that may send causes one refusal in the longest pause at least.
				if n, most := perSecond[second], max(tt.limit, tt.slots); n > most {
					t.Errorf("%d refusals in second %d, want %d at most", n, second, most)
				}
			}
		})
	}
}

// Guards against a statement that outlasts the answers that make it, or is forgotten at once.
func TestRejectionLimitIsLearned(t *testing.T) {
	start := time.Unix(0, 0)
	var s Server
	learn := func(st LimitStatement, sent, at time.Duration) []Change {
		return s.Learn(Statement{Rejections: st}, 1, start.Add(sent), start.Add(at))
	}
	if got := changeOf(learn(LimitStatement{Kind: LimitStated, Rate: 3}, 0, time.Second)); got != FragilityLearned {
		t.Errorf("got %q, want a limit learned", got)
	}
	learn(LimitStatement{Kind: LimitUnreadable}, 2*time.Second, 2*time.Second)
	learn(LimitStatement{Kind: LimitUnknown}, 2*time.Second, 2*time.Second)
	learn(LimitStatement{}, time.Second/2, 2*time.Second) // sent before the statement
	if limit, fragile := s.RejectionLimit(); !fragile || limit != 3 {
		t.Errorf("got limit %v, in force: %t, want 3", limit, fragile)
	}
	learn(LimitStatement{Kind: LimitStated, Rate: 7}, 2*time.Second, 3*time.Second)
	if limit, _ := s.RejectionLimit(); limit != 7 {
		t.Errorf("got limit %v after a change, want 7", limit)
	}
	if got := changeOf(learn(LimitStatement{}, 4*time.Second, 5*time.Second)); got != FragilityEnded || !s.MaySendUngranted(Sender{VMs: 12, Rank: 11, InFlight: 99}, 6, start.Add(5*time.Second)) {
		t.Errorf("got %q after an answer that states none, want its end", got)
	}
}
