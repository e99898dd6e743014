package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Sizes of the soak of silent servers.
const (
	silenceSeed          = 3001
	silenceStreamCallers = 8
	silenceVoteCallers   = 4
	silenceGap           = 900 * time.Millisecond // between two silences
	minSilence           = 600 * time.Millisecond
	maxSilence           = 1500 * time.Millisecond
	changeGap            = 400 * time.Millisecond // between two versions of the route list
)

// silenceSoak counts what callers get while sound servers fall silent and go on.
type silenceSoak struct {
	*soakClients
	countMu  sync.Mutex // guards the fields below
	whole    int
	refused  int
	cut      []string        // answers that ended in the middle, and requests without a usable answer
	pauses   []time.Duration // the longest one of each answer
	byStatus map[int]int
}

// Guards against the end of sound runs: servers fall silent for a second or so and go on, some or all
// of them at a time, while the route list changes. No answer may be cut off.
func TestSilentServersCutNoAnswer(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := uint64(silenceSeed)
	if *soakSeed != 0 {
		seed = *soakSeed
	}
	s := startSoakSystem(t, seed)
	s.newVersionFails = false // the only failures are those of this system
	c := &silenceSoak{soakClients: newSoakClients(t, s), byStatus: map[int]int{}}
	c.putRouteList(t.Context(), 1)
	c.waitAllServe(1)
	ctx, cancel := context.WithCancel(t.Context())
	for i := range silenceStreamCallers {
		c.wg.Go(func() { c.callStreams(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range silenceVoteCallers {
		c.wg.Go(func() { c.callVotes(ctx, i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	c.wg.Go(func() { c.changeRoutes(ctx) })
	s.inject(s.planSilences(rand.New(rand.NewPCG(seed, 200)), *soakDuration))
	cancel()
	c.awaitCallers()
	for _, text := range c.cut {
		t.Error(text)
	}
	t.Logf("seed %d: %d streams whole, %d refused; votes by status %v; %d cut off or without an answer", seed, c.whole, c.refused, c.byStatus, len(c.cut))
}

// planSilences draws which servers fall silent: all of a service, or those of one zone.
func (s *soakSystem) planSilences(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := time.Duration(0); at < length; at += maxSilence + randomDuration(rng, 2*silenceGap) {
		service := []string{"models", "desk"}[rng.IntN(2)]
		silence := minSilence + randomDuration(rng, maxSilence-minSilence)
		every := []int{1, soakZones}[rng.IntN(2)]
		first := rng.IntN(every)
		for i, server := range s.servers {
			if server.Service != service || i%every != first {
				continue
			}
			f := s.serverFault("server silent", i, routedengine.Silent, silence)
			f.at = at
			out = append(out, f)
		}
	}
	return out
}

func (c *silenceSoak) callStreams(ctx context.Context, caller int, rng *rand.Rand) {
	name := fmt.Sprint("stream caller ", caller)
	defer c.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		q := routedlocal.StreamRequest{
			Addr: c.s.callers[rng.IntN(soakRouters)], Path: fmt.Sprintf("/s/%d-%d", caller, n), ID: fmt.Sprint(caller, "-", n), Key: soakWorkspaces[0].key(),
		}
		c.states.set(name, "stream "+q.ID)
		got, err := q.Do(c.t.Context())
		c.noteStream(&q, &got, err)
		_ = timer.Sleep(ctx, got.Refusal.RetryAfter)
	}
}

func (c *silenceSoak) noteStream(q *routedlocal.StreamRequest, got *routedlocal.StreamResult, err error) {
	c.locked(func() { c.sentTo[q.ID] = q.Addr })
	c.countMu.Lock()
	defer c.countMu.Unlock()
	c.pauses = append(c.pauses, got.LongestPause)
	switch {
	case err == nil && got.Complete && routedlocal.HasAllEvents(got.EventIDs, soakEvents):
		c.whole++
	case got.Status == http.StatusServiceUnavailable:
		c.refused++
	default:
		c.cut = append(c.cut, fmt.Sprintf("stream %s: status %d, %d events, complete %t, error %v", q.ID, got.Status, len(got.EventIDs), got.Complete, err))
	}
}

func (c *silenceSoak) callVotes(ctx context.Context, caller int, rng *rand.Rand) {
	name := fmt.Sprint("vote caller ", caller)
	defer c.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("v%d-%d", caller, n)
		c.states.set(name, "vote "+id)
		v := c.vote(c.s.callers[rng.IntN(soakRouters)], "/vote/x", id)
		c.countMu.Lock()
		c.byStatus[v.status]++
		if v.status != http.StatusOK && !v.isNotRun() {
			c.cut = append(c.cut, fmt.Sprintf("vote %s: status %d, ran %q", id, v.status, v.ran))
		}
		c.countMu.Unlock()
		_ = timer.Sleep(ctx, randomDuration(rng, 40*time.Millisecond))
	}
}

func (c *silenceSoak) changeRoutes(ctx context.Context) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		c.putRouteList(c.t.Context(), version)
		_ = timer.Sleep(ctx, changeGap)
	}
}
