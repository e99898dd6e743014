package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// requireRefused fails the test unless a request was refused as not run after a time.
func (f *fixture) requireRefused(a *answer, id string, after time.Duration) {
	f.t.Helper()
	<-a.done
	if a.broken || a.status != http.StatusServiceUnavailable || a.took != after || f.totalRuns(id) != 0 {
		f.t.Errorf("got status %d after %v, cut off %t, %d runs; want a refusal after %v and no run", a.status, a.took, a.broken, f.totalRuns(id), after)
	}
}

// secondPlacer is a Placer that grants the first engine at once, and leaves the second request to
// another Placer.
type secondPlacer struct {
	forward.Placer
	asked atomic.Bool
}

func (p *secondPlacer) Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	if p.asked.Swap(true) {
		return p.Placer.Place(ctx, st, abandon)
	}
	return scheduler.Answer{Outcome: scheduler.Granted, Number: 1, Server: "i0"}, true
}

// Guards against a stream that one engine refused, and that is sent again late in a stop and cut off:
// it has not run, and another VM can serve it.
func TestRefusedStreamIsNotSentLateInAStop(t *testing.T) {
	const late = 4 * time.Second
	lateGrant := func() (scheduler.Answer, bool) {
		time.Sleep(late)
		return scheduler.Answer{Outcome: scheduler.Granted, Number: 2, Server: "i1"}, true
	}
	for _, tt := range []struct {
		name    string
		second  forward.Placer
		refused time.Duration
	}{
		{"granted late", &scriptedPlacer{decide: lateGrant}, late},
		{"waits for an engine", &fullPlacer{}, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full := engine("a")
				full.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					s.Refuse(w, r)
					return true
				}
				f := newFixture(t, full, engine("a"))
				defer f.shutDown()
				f.setPlacer(&secondPlacer{Placer: tt.second})
				f.endAt(time.Now().Add(drawnGrace))
				f.requireRefused(f.send(http.MethodPost, "/s/1", "q1", "dossier"), "q1", tt.refused)
			})
		})
	}
}
