package forward

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stalled VM that moves all of its streams. After a stall of seconds it
// finds all streams silent, although the events of the engines wait to be read.
func TestStalledVMSuspectsNoEngine(t *testing.T) {
	tests := []struct {
		name    string
		slept   time.Duration // beyond the time that the timer was set to
		stalled bool
	}{
		{"in time", 0, false},
		{"busy", 100 * time.Millisecond, false},
		{"stalled", 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const wait = 250 * time.Millisecond
				r := &run{lastHeard: time.Now(), silenceTimer: newSilenceTimer(wait)}
				time.Sleep(wait + tt.slept)
				if got := r.silenceTimer.firedLate(); got != tt.stalled {
					t.Fatalf("got stall detected: %t, want the opposite", got)
				}
				if !tt.stalled {
					return
				}
				if _, done := r.onSilenceTimer(); done || time.Since(r.lastHeard) > 0 {
					t.Errorf("got a silence of %v after a stall, want none", time.Since(r.lastHeard))
				}
			})
		})
	}
}
