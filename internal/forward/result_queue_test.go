package forward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an engine that waits for a slow caller: it ends an answer that stays unread
// for some seconds, and the stream would be repeated elsewhere. The caller must get the whole
// answer as fast as it reads.
func TestSlowCallerDoesNotHoldUpItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"))
		defer f.shutDown()
		a := f.sendUnread("POST", "/s/1", "r1", "unit log")
		time.Sleep(10 * time.Second)
		released := time.Now()
		close(a.resumed)
		a.requireCompleteStream(t, 100)
		if took := time.Since(released); took > 0 {
			t.Errorf("the rest of the answer took %v once the caller read, want it to be there", took)
		}
		if n := f.totalRuns("r1"); n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
	})
}

// Guards against callers that do not read and take the memory that all others need. Those that
// have been behind for the longest time are ended, and no more of them than necessary.
func TestSlowestCallersAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		const eventBytes = 128 + 25
		f.unreadBytes = 250 * eventBytes // two and a half answers
		f.setPlacer(nil)
		var slow []*answer
		for i := range 4 {
			slow = append(slow, f.sendUnread("POST", "/s/1", fmt.Sprint("slow", i), fmt.Sprint("log ", i)))
			time.Sleep(100 * time.Millisecond)
		}
		fast := f.send("POST", "/s/1", "fast", "another log")
		fast.requireCompleteStream(t, 100)
		time.Sleep(5 * time.Second)
		for i, a := range slow {
			select {
			case <-a.done:
				if i > 1 || !a.broken {
					t.Errorf("caller %d was ended, aborted: %t; want only the first two aborted", i, a.broken)
				}
			default:
				if i < 2 {
					t.Errorf("caller %d, which has been behind for the longest time, goes on", i)
				}
				close(a.resumed)
				a.requireCompleteStream(t, 100)
			}
		}
	})
}
