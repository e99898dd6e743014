package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// maxTwoRuns is how long two engines may work on one request.
const maxTwoRuns = 400 * time.Millisecond

// Bounds of what real engines do that the other faults leave out.
const (
	minResumeTime = 100 * time.Millisecond
	maxResumeTime = 1500 * time.Millisecond
	minStall      = 600 * time.Millisecond
	maxStall      = 2500 * time.Millisecond
	// meanStallInterval separates the begins of two stalls in the soak.
	meanStallInterval = 1200 * time.Millisecond
)

// drawResumeTimes draws how long each engine takes to resume from a copy.
func drawResumeTimes(rng *rand.Rand) (out []time.Duration) {
	for range 2 * soakZones {
		out = append(out, minResumeTime+randomDuration(rng, maxResumeTime-minResumeTime))
	}
	return out
}

func (s *soakSystem) resumeTime(engine int) time.Duration {
	if s.resumeTimes == nil {
		return 0
	}
	return s.resumeTimes[engine]
}

// stallFault makes an engine stall, unless it is in another fault.
func (s *soakSystem) stallFault(engine int, duration time.Duration) fault {
	end := func() {}
	return fault{
		kind: "engine stalls", target: engine, duration: duration,
		begin: func() { end = s.servers[engine].Stall() }, end: func() { end() },
	}
}

func randomStall(rng *rand.Rand) time.Duration {
	return minStall + randomDuration(rng, maxStall-minStall)
}

// planStalls draws stalls of engines.
func (s *soakSystem) planStalls(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := randomDuration(rng, meanStallInterval); at < length; at += randomDuration(rng, 2*meanStallInterval) {
		f := s.stallFault(rng.IntN(2*soakZones), randomStall(rng))
		f.at = at
		out = append(out, f)
	}
	return out
}

// engineRun is the work of an engine on a request.
type engineRun struct {
	server int // index of the engine
	id     string
	routedengine.Run
}

// twoRuns are two engines that worked on a request, and for how long.
type twoRuns struct {
	before, after engineRun
	lasted        time.Duration
}

func (o twoRuns) String() string {
	at := func(t time.Time) string { return t.UTC().Format("15:04:05.000") }
	return fmt.Sprintf("%s: %s from %s to %s, %s from %s to %s (from a copy: %t, %d events)", o.before.RequestID,
		o.before.id, at(o.before.At), at(o.before.Ended()), o.after.id, at(o.after.At), at(o.after.Ended()), !o.after.Prefilled, o.after.Made)
}

// twoRuns returns all pairs of engines that worked on a request at a time. Once a run from a copy has
// made an event, the engine before counts as long as it works, whatever becomes of the other one. A run
// without an event counts until it ends: its router gave it up, or its engine died. moved counts the
// requests that ran at several engines, and fromCopy those that did so from a copy.
func (s *soakSystem) twoRuns() (pairs []twoRuns, moved, fromCopy int) {
	byRequest := map[string][]engineRun{}
	for i, e := range s.servers[:2*soakZones] {
		for _, r := range e.Runs() {
			byRequest[r.RequestID] = append(byRequest[r.RequestID], engineRun{i, e.ID, r})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byRequest)) {
		runs := byRequest[id]
		slices.SortFunc(runs, func(a, b engineRun) int { return a.At.Compare(b.At) })
		if len(runs) > 1 {
			moved++
		}
		copied := false
		for i, after := range runs {
			for _, before := range runs[:i] {
				end := before.Ended()
				if (after.Prefilled || after.Made == 0) && after.Ended().Before(end) {
					end = after.Ended()
				}
				if lasted := end.Sub(after.At); lasted > 0 && before.server != after.server {
					pairs = append(pairs, twoRuns{before, after, lasted})
				}
				copied = copied || !after.Prefilled
			}
		}
		if copied {
			fromCopy++
		}
	}
	return pairs, moved, fromCopy
}

// Constants of the watch over the router processes.
const (
	watchInterval = 20 * time.Millisecond
	// minStandstill is longer than a process that runs takes to answer.
	minStandstill = 20 * time.Millisecond
)

// standstill is a time in which a router process answered nothing: it was paused, down, or got no
// processor on a busy machine. The test's own process, in which the engines are, may have got none.
type standstill struct {
	router     string // its callers' address
	begin, end time.Time
}

// watchRouters asks the router processes whether they run until stop is called.
func (w *soakClients) watchRouters() (stop func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	var wg sync.WaitGroup
	for i, operators := range w.s.routerOperators {
		wg.Go(func() {
			answered := time.Now()
			for ctx.Err() == nil {
				_, _, err := w.roundTrip(w.t.Context(), http.MethodGet, "http://"+operators+"/healthz", "", "")
				now := time.Now()
				if err == nil {
					w.s.noteStandstill(standstill{w.s.callers[i], answered, now})
					answered = now
				}
				_ = timer.Sleep(ctx, watchInterval)
			}
			w.s.noteStandstill(standstill{w.s.callers[i], answered, time.Now()})
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// noteStandstill notes a time without an answer, less the pause between two questions.
func (s *soakSystem) noteStandstill(still standstill) {
	if still.begin = still.begin.Add(watchInterval); still.end.Sub(still.begin) < minStandstill {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standstills = append(s.standstills, still)
}

// stoodStill returns for how long a router process answered nothing between two moments.
func (s *soakSystem) stoodStill(router string, from, to time.Time) (sum time.Duration) {
	for _, still := range s.standstills {
		if still.router == router {
			sum += overlap(still.begin, still.end, from, to)
		}
	}
	return sum
}

// linkFaulty returns for how long the link to a server was disturbed between two moments.
func (s *soakSystem) linkFaulty(server int, from, to time.Time) (sum time.Duration) {
	for _, f := range s.faults {
		if f.scope == linkScope && f.target == server {
			sum += overlap(f.begin, f.end, from, to)
		}
	}
	return sum
}

// overlap returns for how long two times overlap.
func overlap(begin, end, from, to time.Time) time.Duration {
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(begin))
}

// checkOneEngine fails the test if two engines worked on a request for too long. The time in which
// the process of its router stood still, or the link to the engine before was disturbed, does not
// count: no run can be ended then. It returns a summary.
func (w *soakClients) checkOneEngine() string {
	pairs, moved, fromCopy := w.s.twoRuns()
	var longest time.Duration
	over, excused := 0, 0
	for _, o := range pairs {
		if o.lasted <= maxTwoRuns {
			longest = max(longest, o.lasted)
			continue
		}
		end := o.after.At.Add(o.lasted)
		still := w.s.stoodStill(w.sentTo[o.before.RequestID], o.after.At, end)
		cut := w.s.linkFaulty(o.before.server, o.after.At, end)
		text := fmt.Sprintf("two engines worked on a request for %v, in which its router stood still for %v and the link was disturbed for %v", o.lasted, still, cut)
		if o.lasted-still-cut <= maxTwoRuns {
			w.t.Logf("%s: %v", text, o)
			excused++
			continue
		}
		w.t.Errorf("%s, want at most %v: %v", text, maxTwoRuns, o)
		longest = max(longest, o.lasted)
		over++
	}
	return fmt.Sprintf("%d requests went on at another engine, %d from a copy; two engines worked on one %d times, %v at most, %d times too long (%d more excused)",
		moved, fromCopy, len(pairs), longest, over, excused)
}
