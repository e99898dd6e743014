package forward

import (
	"testing"
	"testing/synctest"
	"time"
)

// A VM that stood still for seconds finds all its streams silent when it wakes. The
// silence is its own: what the engines sent waits to be read, and no stream moves.
func TestStalledVMSuspectsNoEngine(t *testing.T) {
	tests := []struct {
		name  string
		slept time.Duration // beyond the timer
		own   bool
	}{
		{"in time", 0, false},
		{"busy", 100 * time.Millisecond, false},
		{"stood still", 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const wait = 250 * time.Millisecond
				r := &run{last: time.Now(), clock: newClock(wait)}
				time.Sleep(wait + tt.slept)
				if got := r.clock.overslept(); got != tt.own {
					t.Fatalf("own stall: %t", got)
				}
				if !tt.own {
					return
				}
				if _, over := r.timeUp(); over || time.Since(r.last) > 0 {
					t.Errorf("the silence of %v still counts", time.Since(r.last))
				}
			})
		})
	}
}
