package shutdown

import (
	"fmt"
	"testing"
	"time"
)

// streamClock plays streams one after the other.
type streamClock struct {
	StreamDurations
	now time.Time
}

// play records a whole stream: its first event comes after first, the others pace apart.
func (c *streamClock) play(server string, size StreamSize, first, pace time.Duration, events int) {
	r := c.Begin("models", server, size, c.now)
	c.now = c.now.Add(first)
	for i := range events {
		if i > 0 {
			c.now = c.now.Add(pace)
		}
		r.Event(c.now)
	}
	r.End(c.now, true)
}

// Guards against an estimate that is too short: for a stream at a slow server, at one that has just become
// slow or of which little is known, for a larger stream than those before; and against one that
// counts what the caller has.
func TestStreamDurations(t *testing.T) {
	const ms = time.Millisecond
	c := &streamClock{now: time.Unix(1_800_000_000, 0)}
	size := StreamSize{Prompt: 1000, Output: 100}
	want := func(what, server string, size StreamSize, want time.Duration) {
		t.Helper()
		e := c.Estimate("models", size, c.now)
		got, known := e.At(server)
		if !known {
			got = 0
		}
		if got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	want("nothing known", "quick", size, 0)
	for range 5 {
		c.play("quick", size, 100*ms, 10*ms, 9)
	}
	want("too few streams", "quick", size, 0)
	for range 5 {
		c.play("slow", size, 400*ms, 50*ms, 9)
	}
	want("a quick server", "quick", size, 200*ms)
	want("a slow server", "slow", size, 900*ms)
	want("an unknown server", "new", size, 900*ms)
	want("a larger prompt", "quick", StreamSize{Prompt: 3000, Output: 100}, 400*ms)
	want("a longer output", "quick", StreamSize{Prompt: 1000, Output: 1000}, 1010*ms)
	want("the rest of a stream", "slow", StreamSize{Prompt: 1000, Output: 100, After: 6}, 600*ms)
	r := c.Begin("models", "quick", size, c.now)
	c.now = c.now.Add(2 * time.Second)
	want("a stream that waits for its first event", "quick", size, 2100*ms)
	r.Event(c.now)
	c.now = c.now.Add(300 * ms)
	want("a stream that waits for its next event", "quick", size, 5*time.Second)
	r.End(c.now, false)
	want("after a stream that was not whole", "quick", size, 200*ms)
	r.End(c.now, true)
	c.Waited("models", time.Second, c.now)
	if e := c.Estimate("models", size, c.now); e.Wait != time.Second {
		t.Errorf("the wait is %v, want 1s", e.Wait)
	}
	c.now = c.now.Add((recentPeriods + 1) * recentPeriod)
	want("nothing has ended lately", "quick", size, 0)
	for i := range 20 {
		c.play(fmt.Sprint("later", i), size, ms, ms, 2)
		c.now = c.now.Add(recentPeriod)
	}
	if n := len(c.services["models"].servers); n > recentPeriods+1 {
		t.Errorf("%d servers are remembered, want those of the last minutes", n)
	}
}
