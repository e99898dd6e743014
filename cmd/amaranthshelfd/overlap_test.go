package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Sizes of the test of late resumes.
const (
	overlapCallers  = 24
	overlapSlots    = 8
	overlapFaultGap = 500 * time.Millisecond // mean time between the begins of two faults
)

// Guards against two engines that work on one request: engines stall or fall silent and come back,
// and those that hold the copies resume late.
func TestOneEngineWorksOnARequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := scenarioSeed()
	rng := rand.New(rand.NewPCG(seed, 600))
	s := &soakSystem{t: t, slots: overlapSlots, resumeTimes: drawResumeTimes(rng)}
	c := &silenceSoak{soakClients: s.startServing(), byStatus: map[int]int{}}
	plan := s.planLateEngines(rng, *soakDuration)
	ctx, cancel := context.WithCancel(t.Context())
	stopWatch := c.watchRouters()
	for i := range overlapCallers {
		c.wg.Go(func() { c.callStreams(ctx, i, rand.New(rand.NewPCG(seed, uint64(610+i)))) })
	}
	s.inject(plan)
	cancel()
	c.awaitCallers()
	stopWatch()
	for _, text := range c.cut {
		t.Error(text)
	}
	summary := c.checkOneEngine()
	t.Logf("seed %d, %d faults: %d streams whole, %d refused, %d cut off, %s; %s", seed, len(plan), c.whole, c.refused, len(c.cut), c.pauseSummary(), summary)
	logFaults(t, seed, plan)
}

func (c *silenceSoak) pauseSummary() string {
	over := func(limit time.Duration) (n int) {
		for _, p := range c.pauses {
			if p > limit {
				n++
			}
		}
		return n
	}
	return fmt.Sprintf("with a pause over 1, 2 and 3 s: %d, %d and %d, longest %v", over(time.Second), over(2*time.Second), over(3*time.Second), slices.Max(c.pauses))
}

// planLateEngines draws which engines stall or fall silent, half of them at a time at most.
func (s *soakSystem) planLateEngines(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	free := make([]time.Duration, 2*soakZones) // when the last fault of each engine has ended
	for at := time.Duration(0); at < length; at += randomDuration(rng, 2*overlapFaultGap) {
		engine, duration, kind := rng.IntN(len(free)), randomStall(rng), rng.IntN(4)
		busy := 0
		for _, until := range free {
			if until > at {
				busy++
			}
		}
		if busy >= len(free)/2 {
			continue
		}
		for free[engine] > at {
			engine = (engine + 1) % len(free)
		}
		f := s.stallFault(engine, duration)
		if kind == 0 {
			f = s.serverFault("engine silent", engine, routedengine.Unresponsive, duration)
		}
		f.at, free[engine] = at, at+duration
		out = append(out, f)
	}
	return out
}
