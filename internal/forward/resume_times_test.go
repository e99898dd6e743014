package forward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Guards against streams that leave live engines for ones that resume later than the engine would
// have gone on.
func TestStreamsStayAtLiveEnginesIfAResumeTakesLonger(t *testing.T) {
	for _, resume := range []time.Duration{100 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(resume), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engines []*routedengine.Server
				for i := range 4 {
					e := engine([]string{"a", "b"}[i%2])
					e.ResumeTime = resume
					engines = append(engines, e)
				}
				f := newFixture(t, engines...)
				defer f.shutDown()
				for i := range 4 {
					id := fmt.Sprint("r", i)
					a := f.send("POST", "/s/1", id, "log")
					time.Sleep(2 * time.Second)
					stalled := f.engineRunning(id)
					stalled.Set(routedengine.Stalled)
					time.Sleep(800 * time.Millisecond)
					stalled.Set(routedengine.Alive)
					a.requireCompleteStream(t, 100)
					learned := i > 0
					stays := learned && resume > 800*time.Millisecond
					if moved := f.totalRuns(id) > 1; moved == stays {
						t.Errorf("stream %d: left its engine %t, want %t", i, moved, !stays)
					}
					if limit := 850 * time.Millisecond; learned && a.longestPause() > limit {
						t.Errorf("stream %d: got a pause of %v, want at most %v", i, a.longestPause(), limit)
					}
				}
			})
		})
	}
}
