package relay_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// maxTwoAttempts is how long two engines may work on one request.
	maxTwoAttempts = 400 * time.Millisecond
	testDetachKeep = 6 * time.Second
)

// watchedFleet records when engines work on attempts. An engine works on after the connection is
// closed, until the attempt is cancelled or its detach time has passed.
type watchedFleet struct {
	*fleet
	prefill time.Duration // of each attempt but the first

	mu       sync.Mutex
	order    []engine.Attempt
	attempts map[engine.Attempt]*span
	breakAll context.CancelFunc // breaks the connection of the first attempt
}

type span struct{ begin, end time.Time }

func (f *watchedFleet) Generate(ctx context.Context, addr string, c engine.Completion, on func(engine.Event) error) error {
	f.mu.Lock()
	s := &span{begin: time.Now(), end: time.Now().Add(time.Hour)}
	first := len(f.order) == 0
	f.order = append(f.order, c.Attempt)
	f.attempts[c.Attempt] = s
	f.mu.Unlock()
	broken, breakAll := context.WithCancel(ctx)
	defer breakAll()
	if first {
		f.breakAll = breakAll
	}
	err := f.generate(broken, first, addr, &c, on)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		s.endAt(time.Now())
	} else {
		s.endAt(time.Now().Add(time.Duration(c.DetachMS) * time.Millisecond))
	}
	if err != nil && ctx.Err() == nil && broken.Err() != nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (f *watchedFleet) generate(ctx context.Context, first bool, addr string, c *engine.Completion, on func(engine.Event) error) error {
	if !first {
		prefilled := time.NewTimer(f.prefill)
		defer prefilled.Stop()
		select {
		case <-prefilled.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return f.fleet.Generate(ctx, addr, *c, on)
}

func (s *span) endAt(t time.Time) {
	if t.Before(s.end) {
		s.end = t
	}
}

func (f *watchedFleet) Cancel(ctx context.Context, addr string, a engine.Attempt) error {
	err := f.fleet.Cancel(ctx, addr, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.attempts[a]; s != nil && err == nil {
		s.endAt(time.Now())
	}
	return err
}

// poll tells a VM of the engines that answer.
func (f *watchedFleet) poll(ctx context.Context, h *relay.Hub, paused *atomic.Pointer[standin.Engine]) {
	for timer.Sleep(ctx, 200*time.Millisecond) == nil {
		for i, e := range f.engines {
			if e != paused.Load() {
				h.Polled(fmt.Sprint("e", i))
			}
		}
	}
}

// overlap returns the longest time for which two engines worked on the request.
func (f *watchedFleet) overlap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for i, a := range f.order {
		for _, b := range f.order[i+1:] {
			end := f.attempts[a].end
			if other := f.attempts[b].end; other.Before(end) {
				end = other
			}
			longest = max(longest, end.Sub(f.attempts[b].begin))
		}
	}
	return longest
}

// Guards against an engine that works on for its detach time on a request that goes on elsewhere: its
// connection breaks, or it is silent and a hedge goes on alone.
func TestLostAttemptIsCancelled(t *testing.T) {
	runLateAttempts(t, 0, []time.Duration{0, 900, 1200, 1600, 3000, 20_000})
}

// Guards against a hedge that runs beside the attempt before for as long as it prefills the prompt:
// the silent engine is back, or suspected late since its events are usually far apart.
func TestHedgeEndsOneAttempt(t *testing.T) {
	pauses := []time.Duration{600, 700, 1200, 1600, 2000, 20_000}
	for _, step := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprintf("step of %v", step), func(t *testing.T) { runLateAttempts(t, step, pauses) })
	}
}

func runLateAttempts(t *testing.T, step time.Duration, pauses []time.Duration) {
	for _, objective := range []recovery.Objective{recovery.ResumeLatency, recovery.ExtraWork} {
		for _, prefill := range []time.Duration{50, 600, 1500, 3000} {
			for _, pause := range pauses {
				tt := lateAttempt{objective, step, prefill * time.Millisecond, pause * time.Millisecond}
				t.Run(fmt.Sprintf("objective %d, pause of %v, prefill of %v", tt.objective, tt.pause, tt.prefill), func(t *testing.T) {
					synctest.Test(t, tt.run)
				})
			}
		}
	}
}

// lateAttempt is a case of an engine that pauses while another one may take its request.
type lateAttempt struct {
	objective recovery.Objective
	step      time.Duration // of the engines; 0: as usual
	prefill   time.Duration // at the other engine
	pause     time.Duration // 0: the connection breaks, and the engine works on
}

func (tt lateAttempt) run(t *testing.T) {
	tokens := 2000
	engines := newFleet(3, func(c *standin.EngineConfig) {
		if tt.step > 0 {
			c.StepBase, tokens = tt.step, 200
		}
	})
	f := &watchedFleet{fleet: engines, prefill: tt.prefill, attempts: map[engine.Attempt]*span{}}
	defer f.stop()
	members := staticMembers{{VM: "vm0", Zone: "z0", Incarnation: "1"}}
	h := relay.NewHub(relay.Config{
		VM: "vm0", EpochVM: "vm0#1", Incarnation: "1", Limits: generation.DefaultLimits(time.Minute), OpenTimeout: 4 * time.Second,
		CallerKeep: time.Minute, DetachKeep: testDetachKeep, Objective: tt.objective,
	}, relay.Deps{
		Transport: peertest.New(20261202).VM("vm0"), Members: members, Engines: f, Router: newTableRouter(len(f.engines)),
		Log: zerolog.Nop(), Metrics: new(expvar.Map).Init(),
	})
	defer h.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var paused atomic.Pointer[standin.Engine]
	go f.poll(ctx, h, &paused)
	err := read(t.Context(), h, request("r", "unit log", tokens), func() {
		if tt.pause == 0 {
			f.breakAll()
			return
		}
		e := f.busiest()
		paused.Store(e)
		time.AfterFunc(tt.pause, func() { paused.Store(nil) })
		e.Pause(tt.pause)
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	time.Sleep(30 * time.Second)
	if got := f.overlap(); got > maxTwoAttempts {
		t.Errorf("two engines worked for %v, want at most %v; %d attempts", got, maxTwoAttempts, len(f.order))
	}
}
