package recovery

import (
	"fmt"
	"testing"
	"time"
)

// Guards against one request that takes down a whole service: its content ends every server
// that runs it. Each quarantine is longer than the last, so it ends four servers in ten
// minutes instead of hundreds.
func TestPoisonContentIsQuarantined(t *testing.T) {
	c := NewSuspectContents()
	start := time.Unix(1000, 0)
	ended := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 500 * time.Millisecond {
		now := start.Add(at)
		if _, quarantined := c.Quarantined(7, now); quarantined {
			continue
		}
		ended++
		c.ServerDied(7, fmt.Sprint("server", ended), now)
	}
	if ended != 4 || !c.MustAbort(7) {
		t.Errorf("got %d servers ended, want 4 and an abort of the runs in flight", ended)
	}
}

// Guards against the refusal of harmless content: many callers ask for it, so it is in
// flight on two servers that die at once. Its quarantine ends when another server answers
// it.
func TestInnocentContentIsCleared(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	c.ServerDied(7, "a", now)
	if _, quarantined := c.Quarantined(7, now); quarantined {
		t.Error("got a quarantine after one death, want none")
	}
	c.ServerDied(7, "a", now)
	if _, quarantined := c.Quarantined(7, now); quarantined {
		t.Error("got a quarantine after two reports of the same death, want none")
	}
	c.ServerDied(7, "b", now)
	until, quarantined := c.Quarantined(7, now.Add(time.Second))
	if !quarantined || until.Sub(now) != 3*time.Second || c.MustAbort(7) {
		t.Errorf("got quarantined %t for %v, want a quarantine of 3s without abort", quarantined, until.Sub(now))
	}
	c.Succeeded(7)
	if _, quarantined := c.Quarantined(7, now.Add(time.Second)); quarantined {
		t.Error("got a quarantine after a success, want none")
	}
}

func TestContentsAreBounded(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for i := range 3 * maxContents {
		c.ServerDied(uint64(i), "a", now)
	}
	if len(c.byDigest) > maxContents {
		t.Errorf("got %d contents, want at most maxContents", len(c.byDigest))
	}
}
