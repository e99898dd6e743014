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
	deskCallers  = 8
	deskPause    = 20 * time.Millisecond // of one caller
	rolloutTakes = 8 * time.Second
)

// desk is a service of calls with two versions of its servers, and callers.
type desk struct {
	t     *testing.T
	s     *System
	ctx   context.Context
	calls [2]atomic.Int64 // that reached each version
	sent  atomic.Int64    // by callers
	lost  atomic.Int64    // not answered well
	ids   atomic.Int64
	end   context.CancelFunc
	work  sync.WaitGroup
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

// add starts the servers of a version. spoil takes a call over.
func (d *desk) add(version int, spoil Interceptor) {
	check(d.t, d.s.AddDesk(fmt.Sprint("v", version+1), func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		d.calls[version].Add(1)
		return spoil != nil && spoil(s, w, r)
	}))
}

// call sends calls, one after the other, until the test ends.
func (d *desk) call(i int) {
	path := []string{"/book/1", "/look/1"}[i%2]
	for timer.Sleep(d.ctx, deskPause) == nil {
		d.sent.Add(1)
		status, err := Call(d.ctx, d.s.CallerAddresses[i%len(d.s.CallerAddresses)], path, fmt.Sprint("d", d.ids.Add(1)))
		if d.ctx.Err() == nil && (err != nil || status != http.StatusOK) {
			d.lost.Add(1)
		}
	}
}

// order orders the roll-out to v2 through any control process.
func (d *desk) order() {
	o := rollout.Order{Service: DeskService, To: "v2", Duration: rolloutTakes}
	for i := 0; ; i++ {
		if _, err := d.s.Controls[i%len(d.s.Controls)].PutRollout(d.ctx, o); err == nil {
			return
		}
		check(d.t, timer.Sleep(d.ctx, putPause))
	}
}

// outcome waits until the roll-out is over.
func (d *desk) outcome() rollout.Record {
	for i := 0; ; i++ {
		one, cancel := context.WithTimeout(d.ctx, time.Second)
		r, err := d.s.Controls[i%len(d.s.Controls)].Rollout(one, DeskService)
		cancel()
		if err == nil && r.Phase.Over() {
			return r
		}
		check(d.t, timer.Sleep(d.ctx, putPause))
	}
}

// settle waits until every router applies what was decided.
func (d *desk) settle() { check(d.t, timer.Sleep(d.ctx, time.Second)) }

func failOf(part int) Interceptor {
	var n atomic.Int64
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		if n.Add(1)%int64(part) != 0 {
			return false
		}
		s.AnswerCall(w, r, http.StatusInternalServerError)
		return true
	}
}

func slowBy(d time.Duration) Interceptor {
	return func(_ *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
		_ = timer.Sleep(r.Context(), d)
		return false
	}
}

// Guards against a version that gets requests before it is ordered, and a good one that
// is not completed in time or costs callers an answer.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.add(1, nil)
	d.settle()
	if n := d.calls[1].Load(); n > 0 {
		t.Errorf("%d calls reached a version that nobody ordered", n)
	}
	began := time.Now()
	d.order()
	d.order()
	if r := d.outcome(); r.Phase != rollout.Completed || r.Number != 1 || time.Since(began) > rolloutTakes {
		t.Errorf("after %v: %+v", time.Since(began), r)
	}
	d.s.RemoveServers(DeskService, "v1")
	d.settle()
	if n := d.lost.Load(); n > 0 {
		t.Errorf("%d calls of %d were lost", n, d.sent.Load())
	}
}

// Guards against a bad version that gets more than it may, or anything once it is reverted.
func TestBadVersionIsReverted(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		spoil Interceptor
	}{
		{"all calls fail", failOf(1)},
		{"every third call fails", failOf(3)},
		{"slow", slowBy(8 * deskWork)},
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
			d.order()
			d.add(1, tt.spoil)
			before := d.sent.Load()
			r := d.outcome()
			d.settle()
			after := d.calls[1].Load()
			allowed := rollout.DefaultLimits.Share*float64(d.sent.Load()-before) + rollout.DefaultLimits.Slack
			if r.Phase != rollout.Reverted || float64(after) > allowed {
				t.Errorf("%d calls reached it, %.0f may: %+v", after, allowed, r)
			}
			d.settle()
			if n := d.calls[1].Load(); n > after {
				t.Errorf("%d calls reached it after it was reverted", n-after)
			}
		})
	}
}

// Guards against a roll-out that ends with its leader: the next one goes on from the log
// and from what the routers tell it.
func TestRolloutOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.order()
	d.add(1, nil)
	check(t, timer.Sleep(d.ctx, rolloutTakes/4))
	check(t, d.s.StopLeader())
	if r := d.outcome(); r.Phase != rollout.Completed {
		t.Errorf("%+v", r)
	}
}

// Guards against a version that is pushed on while no majority can take it back.
func TestRolloutStopsWithoutMajority(t *testing.T) {
	t.Parallel()
	d := startDesk(t)
	d.order()
	d.add(1, nil)
	check(t, timer.Sleep(d.ctx, rolloutTakes/4))
	d.s.Controls[1].Close()
	d.s.Controls[2].Close()
	check(t, timer.Sleep(d.ctx, rolloutTakes))
	total, reached := d.sent.Load(), d.calls[1].Load()
	if allowed := rollout.DefaultLimits.Share*float64(total) + rollout.DefaultLimits.Slack; float64(reached) > allowed {
		t.Errorf("%d of %d calls reached the new version, %.0f may", reached, total, allowed)
	}
	short, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	if _, err := d.s.Controls[0].Rollout(short, DeskService); result.CodeOf(err) != result.ControlUnavail {
		t.Errorf("read by one of three: %v", err)
	}
}

// Guards against streams that end with the servers of the old version.
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
		for i := range 4 * zones {
			check(t, s.AddServer(&routedengine.Server{
				Backend: upstream.Backend{
					ID: fmt.Sprint(version, "-", i), Service: DeskService, Zone: fmt.Sprint("zone", i%zones), Slots: 128, Version: version,
				},
				// Read anew, a prompt takes longer than a pause may be.
				Events: 2 * Events, PrefillTime: time.Second, EventInterval: 20 * time.Millisecond, CopyTime: 20 * time.Millisecond,
			}))
		}
	}
	add("v1")
	check(t, s.PutList(ctx, list))
	check(t, s.Ready(ctx))
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	var whole, cut, paused atomic.Int64
	for i := range 30 {
		work.Go(func() {
			for n := 0; timer.Sleep(ctx, 10*time.Millisecond) == nil; n++ {
				got, err := Stream(context.WithoutCancel(ctx), s.CallerAddresses[i%len(s.CallerAddresses)], fmt.Sprintf("/a/%d-%d", i, n), fmt.Sprintf("s%d-%d", i, n), 0, nil)
				switch {
				case err != nil || !got.Complete || !HasAllEvents(got.EventIDs, 2*Events):
					cut.Add(1)
					t.Logf("stream %d-%d: %d events, whole %v, %v", i, n, len(got.EventIDs), got.Complete, err)
				case got.LongestPause > 700*time.Millisecond:
					paused.Add(1)
				default:
					whole.Add(1)
				}
			}
		})
	}
	_, err := s.Controls[0].PutRollout(ctx, rollout.Order{Service: DeskService, To: "v2", Duration: 18 * time.Second})
	check(t, err)
	add("v2")
	d := &desk{t: t, s: s, ctx: ctx}
	if r := d.outcome(); r.Phase != rollout.Completed {
		cancel()
		work.Wait()
		t.Fatalf("%+v", r)
	}
	s.RemoveServers(DeskService, "v1")
	check(t, timer.Sleep(ctx, 3*time.Second))
	cancel()
	work.Wait()
	if cut.Load() > 0 || paused.Load() > whole.Load()/20 {
		t.Errorf("%d streams whole, %d with a long pause, %d cut off", whole.Load(), paused.Load(), cut.Load())
	}
}
