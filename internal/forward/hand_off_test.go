package forward_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// endsWith is a HandOff that writes part of an answer and ends with an outcome.
type endsWith handoff.Outcome

var _ forward.HandOff = endsWith(0)

func (o endsWith) Serve(_ context.Context, w http.ResponseWriter, _ handoff.Request) handoff.Outcome {
	_, _ = w.Write([]byte("id: 1\ndata: piece 1\n\n"))
	return handoff.Outcome(o)
}

// Guards against part of an answer that looks like the whole: another VM served it, and it is
// broken, or the caller takes no more.
func TestBrokenHandOffAbortsTheConnection(t *testing.T) {
	for _, tt := range []struct {
		outcome handoff.Outcome
		broken  bool
	}{{handoff.Answered, false}, {handoff.Broken, true}, {handoff.CallerLeft, true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, engine("a"))
			defer f.shutDown()
			f.handOff = endsWith(tt.outcome)
			f.setPlacer(nil)
			f.servers[0].Set(routedengine.Dead)
			<-f.send("POST", "/s/1", "r1", "log").done
			time.Sleep(time.Second)
			if f.fleet.Reaches("models") {
				t.Fatal("want the service lost")
			}
			a := f.send("POST", "/s/1", "r2", "log")
			<-a.done
			if a.broken != tt.broken {
				t.Errorf("outcome %d: aborted: %t, want %t", tt.outcome, a.broken, tt.broken)
			}
		})
	}
}
