package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Guards against an answer that a silence ends: the engine that resumes a stream from a copy is silent
// for a while before its first event, which comes late anyway.
func TestSilenceBeforeALateResumeEndsNoAnswer(t *testing.T) {
	for _, silence := range []time.Duration{1500, 2000, 2500} {
		t.Run((silence * time.Millisecond).String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := []*routedengine.Server{engine("a"), engine("b")}
				for _, e := range engines {
					e.ResumeTime = 1500 * time.Millisecond
				}
				f := newFixture(t, engines...)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(engines[0].PrefillTime + time.Second)
				first := f.engineRunning("r1")
				next := engines[0]
				if next == first {
					next = engines[1]
				}
				first.Set(routedengine.Stalled)
				time.Sleep(1700 * time.Millisecond)
				next.Set(routedengine.Unresponsive)
				time.Sleep(silence * time.Millisecond)
				next.Set(routedengine.Alive)
				a.requireCompleteStream(t, 100)
			})
		})
	}
}
