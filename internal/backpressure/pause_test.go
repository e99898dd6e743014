package backpressure

import (
	"testing"
	"time"
)

// Of several pauses that a server asks for the latest end must hold, whatever the order of its
// answers, and a send that was decided before a pause must not pass.
func TestLatestPauseHolds(t *testing.T) {
	start := time.Unix(0, 0)
	var s Server
	pause := func(d time.Duration, at time.Time) []Change {
		return s.Learn(Statement{Pause: PauseStatement{For: d}}, 1, at, at)
	}
	if !s.Use(Permit{}, start) {
		t.Fatal("a server that asked for nothing refused a send")
	}
	if got := changeOf(pause(3*time.Second, start)); got != PauseLearned {
		t.Fatalf("got %q, want a pause learned", got)
	}
	pause(time.Second, start.Add(500*time.Millisecond))
	s.Learn(Statement{Pause: PauseStatement{Unreadable: true}}, 1, start, start)
	s.Learn(Statement{}, 1, start.Add(time.Second), start.Add(time.Second))
	for ms := range 3000 {
		if s.Use(Permit{}, start.Add(time.Duration(ms)*time.Millisecond)) {
			t.Fatalf("a send passed %d ms after the server had asked for a pause of 3 s", ms)
		}
	}
	if s.EndPause(start.Add(2999*time.Millisecond)) != Unchanged || s.EndPause(start.Add(3*time.Second)) != PauseEnded || s.EndPause(start.Add(4*time.Second)) != Unchanged {
		t.Error("the end of a pause is not told once, at its end")
	}
}

// After a pause a VM must not send at once all that it has.
func TestSendsRiseAfterAPause(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tt := range []struct {
		pause       time.Duration
		least, most int // sends in the second after the pause
	}{
		{3 * time.Second, 2, 6},
		{50 * time.Millisecond, 20, 50},
	} {
		var s Server
		s.Learn(Statement{Pause: PauseStatement{For: tt.pause}}, 1, start, start)
		sends := 0
		for ms := range 1000 {
			if now := start.Add(tt.pause + time.Duration(ms)*time.Millisecond); s.Use(Permit{}, now) {
				sends++
			}
		}
		if sends < tt.least || sends > tt.most {
			t.Errorf("pause of %v: got %d sends in the second after it, want %d to %d", tt.pause, sends, tt.least, tt.most)
		}
	}
}

// A pause binds a server with a rate limit too, with a permit or without.
func TestPauseBindsBesideALimit(t *testing.T) {
	now := time.Unix(0, 0)
	var s Server
	s.Learn(Statement{Limit: LimitStatement{Kind: LimitStated, Rate: 9}}, 1, now, now)
	p := s.Granted(NewWork, "c1", now)
	s.Learn(Statement{Limit: LimitStatement{Kind: LimitUnknown}, Pause: PauseStatement{For: time.Second}}, 1, now, now)
	if s.Use(p, now) || s.Check(NewWork, now) != AtPause {
		t.Error("a permit passed a pause")
	}
}
