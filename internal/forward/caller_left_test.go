package forward_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against part of an answer, or an empty one, that looks complete to a caller who counts as
// gone: one that closed only its sending direction still reads.
func TestAnswerOfACallerWhoLeavesIsAborted(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		after      time.Duration
	}{
		{"stream that has begun", "/s/1", 2 * time.Second},
		{"stream without an event", "/s/1", 500 * time.Millisecond},
		{"call", "/vote/1", 30 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"), voteServer("a"))
				defer f.shutDown()
				a := f.send("POST", tt.path, "r1", "log")
				time.Sleep(tt.after)
				a.leave()
				<-a.done
				if !a.broken {
					t.Errorf("got status %d and %d bytes with a regular end, want the connection aborted", a.status, a.text.Len())
				}
			})
		})
	}
}
