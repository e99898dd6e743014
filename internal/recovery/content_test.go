package recovery

import (
	"fmt"
	"testing"
	"time"
)

// A content that ends every server that runs it is let through again and again,
// each time later: over ten minutes it ends five servers, not hundreds.
func TestContentThatEndsEveryServer(t *testing.T) {
	c := NewSuspectContents()
	start := time.Unix(1000, 0)
	ended := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 500 * time.Millisecond {
		now := start.Add(at)
		if _, held := c.Quarantined(7, now); held {
			continue
		}
		ended++
		c.ServerDied(7, fmt.Sprint("server", ended), now)
	}
	if ended != 4 || !c.MustAbort(7) {
		t.Errorf("%d servers ended", ended)
	}
}

// A content that many callers ask for is under way on two servers that die at
// once. It is held back only until another server has answered it.
func TestInnocentContentIsCleared(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	c.ServerDied(7, "a", now)
	if _, held := c.Quarantined(7, now); held {
		t.Error("held back after one death")
	}
	c.ServerDied(7, "a", now)
	if _, held := c.Quarantined(7, now); held {
		t.Error("two reports of one death count as two")
	}
	c.ServerDied(7, "b", now)
	until, held := c.Quarantined(7, now.Add(time.Second))
	if !held || until.Sub(now) != 3*time.Second || c.MustAbort(7) {
		t.Errorf("held %t until %v", held, until.Sub(now))
	}
	c.Succeeded(7)
	if _, held := c.Quarantined(7, now.Add(time.Second)); held {
		t.Error("held back though it succeeded")
	}
}

func TestContentsAreBounded(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for i := range 3 * maxContents {
		c.ServerDied(uint64(i), "a", now)
	}
	if len(c.blamed) > maxContents {
		t.Errorf("%d contents remembered", len(c.blamed))
	}
}
