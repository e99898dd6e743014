package routedlocal

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

const (
	deskCallers     = 8
	callInterval    = 20 * time.Millisecond // between two calls of one caller
	rolloutDuration = 8 * time.Second
)

// desk is a system with two versions of DeskService and with callers.
type desk struct {
	t      *testing.T
	s      *System
	ctx    context.Context
	calls  [2]atomic.Int64 // that reached each version
	sent   atomic.Int64    // calls sent
	failed atomic.Int64    // calls with an error or a status other than 200
	ids    atomic.Int64
	end    context.CancelFunc
	work   sync.WaitGroup
}

func startDesk(t *testing.T) *desk {
	s, ctx := start(t)
	d := &desk{t: t, s: s}
	d.ctx, d.end = context.WithCancel(ctx)
	t.Cleanup(func() {
		d.end()
		d.work.Wait()
	})
	d.add(0, nil)
	check(t, s.PutList(ctx, DeskRoutes()))
	check(t, s.Ready(ctx))
	for i := range deskCallers {
		d.work.Go(func() { d.call(i) })
	}
	return d
}

// add starts the servers of a version. intercept may be nil.
func (d *desk) add(version int, intercept Interceptor) {
	check(d.t, d.s.AddDesk(fmt.Sprint("v", version+1), func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		d.calls[version].Add(1)
		return intercept != nil && intercept(s, w, r)
	}))
}

// call sends one call after the other until the test ends.
func (d *desk) call(i int) {
	path := []string{"/book/1", "/look/1"}[i%2]
	for timer.Sleep(d.ctx, callInterval) == nil {
		d.sent.Add(1)
		id, sentAt := fmt.Sprint("d", d.ids.Add(1)), time.Now()
		a, err := Call(d.ctx, d.s.CallerAddresses[i%len(d.s.CallerAddresses)], path, id)
		if d.ctx.Err() == nil && (err != nil || a.Status != http.StatusOK) {
			d.failed.Add(1)
			d.t.Logf("call %s of %s failed after %v: status %d, %s, error %v", id, path, time.Since(sentAt), a.Status, a.Body, err)
		}
	}
}

// orderRollout orders the roll-out to v2, through any control process that accepts it.
func (d *desk) orderRollout() {
	o := rollout.Order{Service: DeskService, To: "v2", Duration: rolloutDuration}
	for i := 0; ; i++ {
		if _, err := d.s.Controls[i%len(d.s.Controls)].PutRollout(d.ctx, o); err == nil {
			return
		}
		check(d.t, timer.Sleep(d.ctx, retryPause))
	}
}

// waitForOutcome waits until the roll-out is over, and returns its record.
func (d *desk) waitForOutcome() rollout.Record {
	for i := 0; ; i++ {
		tryCtx, cancel := context.WithTimeout(d.ctx, time.Second)
		r, err := d.s.Controls[i%len(d.s.Controls)].Rollout(tryCtx, DeskService)
		cancel()
		if err == nil && r.Phase.Over() {
			return r
		}
		check(d.t, timer.Sleep(d.ctx, retryPause))
	}
}

// waitForRouters waits long enough for every router to apply the last decision.
func (d *desk) waitForRouters() { check(d.t, timer.Sleep(d.ctx, time.Second)) }

func failEvery(n int) Interceptor {
	var calls atomic.Int64
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		if calls.Add(1)%int64(n) != 0 {
			return false
		}
		s.AnswerCall(w, r, http.StatusInternalServerError)
		return true
	}
}

func delayBy(d time.Duration) Interceptor {
	return func(_ *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
		_ = timer.Sleep(r.Context(), d)
		return false
	}
}

// Guards against a new version that gets requests before its roll-out is ordered, and
// against a roll-out of a good version that does not complete in time or fails calls.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.add(1, nil)
	d.waitForRouters()
	if n := d.calls[1].Load(); n > 0 {
		t.Errorf("got %d calls at v2 before its roll-out was ordered, want 0", n)
	}
	began := time.Now()
	d.orderRollout()
	d.orderRollout()
	if r := d.waitForOutcome(); r.Phase != rollout.Completed || r.Number != 1 || time.Since(began) > rolloutDuration {
		t.Errorf("after %v: got %+v, want roll-out 1 completed within 8 s", time.Since(began), r)
	}
	d.s.RemoveServers(DeskService, "v1")
	d.waitForRouters()
	if n := d.failed.Load(); n > 0 {
		t.Errorf("got %d failed calls of %d, want 0", n, d.sent.Load())
	}
}

// Guards against a bad version that gets more calls than the exposure limit allows, or
// any call after it is reverted.
func TestBadVersionIsReverted(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		intercept Interceptor
	}{
		{"all calls fail", failEvery(1)},
		{"every third call fails", failEvery(3)},
		{"slow", delayBy(8 * deskCallTime)},
		{"one route fails", func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != "/look/1" {
				return false
			}
			s.AnswerCall(w, r, http.StatusInternalServerError)
			return true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startDesk(t)
			d.orderRollout()
			d.add(1, tt.intercept)
			before := d.sent.Load()
			r := d.waitForOutcome()
			d.waitForRouters()
			after := d.calls[1].Load()
			allowed := rollout.DefaultLimits.Share*float64(d.sent.Load()-before) + rollout.DefaultLimits.Slack
			if r.Phase != rollout.Reverted || float64(after) > allowed {
				t.Errorf("got %d calls at v2, want at most %.0f and a reverted roll-out: %+v", after, allowed, r)
			}
			d.waitForRouters()
			if n := d.calls[1].Load(); n > after {
				t.Errorf("got %d calls at v2 after it was reverted, want 0", n-after)
			}
		})
	}
}

// Guards against a roll-out that ends with its leader. The next leader continues from
// the log and from the routers' reports.
func TestRolloutOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.orderRollout()
	d.add(1, nil)
	check(t, timer.Sleep(d.ctx, rolloutDuration/4))
	check(t, d.s.StopLeader())
	if r := d.waitForOutcome(); r.Phase != rollout.Completed {
		t.Errorf("got roll-out %+v, want it completed", r)
	}
}

// Guards against a roll-out that takes further steps without a majority of the control
// group, which could not revert them.
func TestRolloutStopsWithoutMajority(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.orderRollout()
	d.add(1, nil)
	check(t, timer.Sleep(d.ctx, rolloutDuration/4))
	d.s.Controls[1].Close()
	d.s.Controls[2].Close()
	check(t, timer.Sleep(d.ctx, rolloutDuration))
	total, reached := d.sent.Load(), d.calls[1].Load()
	if allowed := rollout.DefaultLimits.Share*float64(total) + rollout.DefaultLimits.Slack; float64(reached) > allowed {
		t.Errorf("got %d of %d calls at v2, want at most %.0f", reached, total, allowed)
	}
	short, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	if _, err := d.s.Controls[0].Rollout(short, DeskService); result.CodeOf(err) != result.ControlUnavail {
		t.Errorf("read by one of three control processes: got error %v, want ControlUnavail", err)
	}
}

// Guards against streams that end when the servers of the old version leave.
func TestStreamsMoveToTheNewVersion(t *testing.T) {
	t.Parallel()
	s, ctx := start(t)
	list := DeskRoutes()
	list.Routes = []routes.Route{{
		Name: "streams", Host: Host, Prefix: "/a/", Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
		Targets: []routes.Target{{Service: DeskService, Weight: 1}}, Timeout: 20 * time.Second,
		Objective: 2 * time.Second, PauseObjective: 700 * time.Millisecond,
	}}
	list.Services[0].Engine = &routes.EngineTraits{Slots: 128, KVTokens: 8_800_000, KeepCopies: true, CopiesOnOrder: true, CopyLife: 4 * time.Second}
	add := func(version string) {
		for i := range 4 * zoneCount {
			check(t, s.AddServer(&routedengine.Server{
				Backend: upstream.Backend{
					ID: fmt.Sprint(version, "-", i), Service: DeskService, Zone: fmt.Sprint("zone", i%zoneCount), Slots: 128, Version: version,
				},
				// A prefill of the prompt takes longer than the pause objective.
				Events: 2 * Events, PrefillTime: time.Second, EventInterval: 20 * time.Millisecond, CopyTime: 20 * time.Millisecond,
			}))
		}
	}
	add("v1")
	check(t, s.PutList(ctx, list))
	check(t, s.Ready(ctx))
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	var complete, broken, paused atomic.Int64
	for i := range 30 {
		work.Go(func() {
			for n := 0; timer.Sleep(ctx, 10*time.Millisecond) == nil; n++ {
				got, err := Stream(context.WithoutCancel(ctx), s.CallerAddresses[i%len(s.CallerAddresses)], fmt.Sprintf("/a/%d-%d", i, n), fmt.Sprintf("s%d-%d", i, n), 0, nil)
				switch {
				case err != nil || !got.Complete || !HasAllEvents(got.EventIDs, 2*Events):
					broken.Add(1)
					t.Logf("stream %d-%d: got %d events, complete %v, error %v", i, n, len(got.EventIDs), got.Complete, err)
				case got.LongestPause > 700*time.Millisecond:
					paused.Add(1)
				default:
					complete.Add(1)
				}
			}
		})
	}
	_, err := s.Controls[0].PutRollout(ctx, rollout.Order{Service: DeskService, To: "v2", Duration: 18 * time.Second})
	check(t, err)
	add("v2")
	d := &desk{t: t, s: s, ctx: ctx}
	if r := d.waitForOutcome(); r.Phase != rollout.Completed {
		cancel()
		work.Wait()
		t.Fatalf("got roll-out %+v, want it completed", r)
	}
	s.RemoveServers(DeskService, "v1")
	check(t, timer.Sleep(ctx, 3*time.Second))
	cancel()
	work.Wait()
	if broken.Load() > 0 || paused.Load() > complete.Load()/20 {
		t.Errorf("got %d complete streams, %d with a pause over 700 ms, %d broken; want none broken and at most 5%% with a long pause", complete.Load(), paused.Load(), broken.Load())
	}
}
