package backpressure

import (
	"testing"
	"time"
)

// After the end of a limit a VM's sends must rise step by step from its part of the limit, and
// be unbounded in the end.
func TestRampDoubles(t *testing.T) {
	start := time.Unix(0, 0)
	var s Server
	s.Learn(Statement{Limit: LimitStatement{Kind: LimitStated, Rate: 40}}, 2, start, start)
	if got := changeOf(s.Learn(Statement{}, 2, start.Add(time.Millisecond), start.Add(time.Millisecond))); got != LimitEnded {
		t.Fatalf("got %q, want the end of the limit", got)
	}
	perSecond := make([]int, 5)
	for ms := range 5000 {
		now := start.Add(time.Duration(ms+1) * time.Millisecond)
		if s.Check(NewWork, now) == Send && s.Use(Permit{}, now) {
			perSecond[ms/1000]++
		}
	}
	if perSecond[0] < 20 || perSecond[0] > 50 || perSecond[1] < 2*perSecond[0] || perSecond[4] != 1000 {
		t.Errorf("got %v sends a second, want 20 to 50 in the first, a multiple in the next and no bound in the last", perSecond)
	}
}
