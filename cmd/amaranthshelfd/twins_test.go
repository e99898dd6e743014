package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Sizes of a run with twins, which are requests of one workspace with the same content.
const (
	twinSets   = 3
	twinsOfSet = 3
	twinRounds = 6
	// twinOffset bounds the time between the requests of a set.
	twinOffset = 600 * time.Millisecond
)

// twinDisruption breaks the streams of twins off.
type twinDisruption struct {
	name   string
	leave  bool // callers close connections
	killed func(rng *rand.Rand) []int
}

var twinDisruptions = []twinDisruption{
	{"connections are closed", true, func(*rand.Rand) []int { return nil }},
	{"a router is killed", false, func(rng *rand.Rand) []int { return []int{soakControls + rng.IntN(soakRouters)} }},
	{"connections are closed and a router is killed", true, func(rng *rand.Rand) []int { return []int{soakControls + rng.IntN(soakRouters)} }},
	{"all routers are killed", false, func(*rand.Rand) []int { return processRange(soakControls, soakControls+soakRouters) }},
	{"all processes are killed", false, func(*rand.Rand) []int { return processRange(0, soakControls+soakRouters) }},
}

func processRange(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// Guards against an answer that goes on from the memory of another request: callers ask for the same
// content at the same time, lose their connections or their routers, and take their streams up.
func TestTwinsKeepTheirMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := scenarioSeed()
	for i, d := range twinDisruptions {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			playTwins(t, d, rand.New(rand.NewPCG(seed, uint64(500+i))))
		})
	}
}

func playTwins(t *testing.T, d twinDisruption, rng *rand.Rand) {
	s := &soakSystem{t: t}
	run := &twinRun{w: s.startServing(), leave: d.leave}
	for round := range twinRounds {
		run.start(round, rng)
		_ = timer.Sleep(t.Context(), 200*time.Millisecond+randomDuration(rng, time.Second))
		s.killAndRestart(d.killed(rng), randomDuration(rng, restartSpan), func() {})
		run.wg.Wait()
	}
	t.Logf("%d streams, %d taken up, %d of them from a copy", twinRounds*twinSets*twinsOfSet, run.takenUp.Load(), run.fromCopy.Load())
	if run.takenUp.Load() == 0 {
		t.Error("no stream was taken up")
	}
}

// twinRun are the callers of twins.
type twinRun struct {
	w                 *soakClients
	wg                sync.WaitGroup
	leave             bool
	takenUp, fromCopy atomic.Int64
}

// start starts the callers of a round.
func (r *twinRun) start(round int, rng *rand.Rand) {
	for set := range twinSets {
		for twin := range twinsOfSet {
			choices := rand.New(rand.NewPCG(rng.Uint64(), uint64(twin)))
			r.wg.Go(func() {
				_ = timer.Sleep(r.w.t.Context(), randomDuration(choices, twinOffset))
				r.follow(fmt.Sprintf("/s/%d-%d", round, set), fmt.Sprintf("r%d-s%d-t%d", round, set, twin), choices)
			})
		}
	}
}

// follow follows a stream, and takes it up until it is complete. Some callers name the attempt that
// began it.
func (r *twinRun) follow(path, name string, rng *rand.Rand) {
	var attempts []string
	var ids []int
	first, names, leaveAfter := "", rng.IntN(2) == 0, 0
	if r.leave && rng.IntN(2) == 0 {
		leaveAfter = 1 + rng.IntN(soakEvents/2)
	}
	for try := range maxStreamTries {
		q := routedlocal.StreamRequest{
			Addr: r.w.s.callers[rng.IntN(soakRouters)], Path: path, ID: fmt.Sprint(name, "-", try),
			Key: soakWorkspaces[0].key(), After: len(ids), LeaveAfter: leaveAfter,
		}
		if names {
			q.FirstAttempt = first
		}
		leaveAfter = 0
		attempts = append(attempts, q.ID)
		got, err := q.Do(r.w.t.Context())
		r.check(&q, &got, attempts)
		if ids = append(ids, got.EventIDs...); first == "" && len(ids) > 0 {
			first = q.ID
		}
		if err == nil && got.Complete {
			break
		}
		_ = timer.Sleep(r.w.t.Context(), retryPause+got.Refusal.RetryAfter)
	}
	if !routedlocal.HasAllEvents(ids, soakEvents) {
		r.w.t.Errorf("stream %s: got events %v, want each event once and in order", name, ids)
	}
}

// check checks that the events of a try go on from the memory of the caller's own attempts.
func (r *twinRun) check(q *routedlocal.StreamRequest, got *routedlocal.StreamResult, attempts []string) {
	for _, memory := range got.Memories {
		if !slices.Contains(attempts, memory) {
			r.w.t.Errorf("attempt %s, which names %q as the first one, goes on after event %d from the memory of %s", q.ID, q.FirstAttempt, q.After, memory)
		}
	}
	if q.After == 0 || len(got.EventIDs) == 0 {
		return
	}
	r.takenUp.Add(1)
	if got.Memories[0] != q.ID {
		r.fromCopy.Add(1)
	}
}
