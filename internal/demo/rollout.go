package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Constants of the roll-out scene.
const (
	rolloutDuration = 8 * time.Second
	rolloutCallers  = 8
	callInterval    = 20 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
)

// badVersion rolls out a version that fails half of its calls. The roll-out must be reverted.
func (s *system) badVersion(ctx context.Context) Scene {
	scene := Scene{Name: "bad version", What: "a service rolled out to a version that fails half of its calls"}
	var reached, calls atomic.Int64
	r, err := runBadRollout(ctx, &reached, &calls)
	if err == nil && r.Phase != rollout.Reverted {
		err = fmt.Errorf("the roll-out is %v, want it reverted", r.Phase)
	}
	scene.ServiceRuns = int(calls.Load())
	scene.OK, scene.Check = err == nil, fmt.Sprintf("reverted with %d of %d calls", reached.Load(), calls.Load())
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

func runBadRollout(ctx context.Context, reached, calls *atomic.Int64) (rollout.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, routedTimeout)
	defer cancel()
	r, err := routedlocal.Start()
	if err != nil {
		return rollout.Record{}, err
	}
	defer r.Stop()
	if err := r.AddDesk("v1", nil); err != nil {
		return rollout.Record{}, err
	}
	if err := r.PutList(ctx, routedlocal.DeskRoutes()); err != nil {
		return rollout.Record{}, err
	}
	if err := r.Ready(ctx); err != nil {
		return rollout.Record{}, err
	}
	var callers sync.WaitGroup
	for i := range rolloutCallers {
		callers.Go(func() { callDesk(ctx, r, i, calls) })
	}
	defer callers.Wait()
	defer cancel()
	_, err = r.Controls[0].PutRollout(ctx, rollout.Order{Service: routedlocal.DeskService, To: "v2", Duration: rolloutDuration})
	if err != nil {
		return rollout.Record{}, err
	}
	if err := r.AddDesk("v2", failHalf(reached)); err != nil {
		return rollout.Record{}, err
	}
	return waitForOutcome(ctx, r)
}

// failHalf counts the calls that reach a version and fails every second call.
func failHalf(reached *atomic.Int64) routedlocal.Interceptor {
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		if reached.Add(1)%2 == 0 {
			return false
		}
		s.AnswerCall(w, r, http.StatusInternalServerError)
		return true
	}
}

// callDesk sends calls until ctx ends. It ignores failures, which the failing version causes
// and the roll-out detects.
func callDesk(ctx context.Context, r *routedlocal.System, caller int, calls *atomic.Int64) {
	for timer.Sleep(ctx, callInterval) == nil {
		n := calls.Add(1)
		_, _ = routedlocal.Call(ctx, r.CallerAddresses[caller%len(r.CallerAddresses)], "/look/1", fmt.Sprint("demo-call-", n))
	}
}

func waitForOutcome(ctx context.Context, r *routedlocal.System) (rollout.Record, error) {
	for {
		record, err := r.Controls[0].Rollout(ctx, routedlocal.DeskService)
		if err == nil && record.Phase.Over() {
			return record, nil
		}
		if err := timer.Sleep(ctx, pollInterval); err != nil {
			return record, err
		}
	}
}
