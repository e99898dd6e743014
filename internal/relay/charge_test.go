package relay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// charges is a relay.Quota that records what is reserved and settled.
type charges struct {
	mu       sync.Mutex
	refuse   error
	reserved int
	settled  []int // tokens; -1: nothing ran
}

// Reserve implements relay.Quota.
func (c *charges) Reserve(context.Context, *generation.Request) (func(ran bool, tokens int), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse != nil {
		return nil, c.refuse
	}
	c.reserved++
	return func(ran bool, tokens int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !ran {
			tokens = -1
		}
		c.settled = append(c.settled, tokens)
	}, nil
}

// One request, whatever happens to it, is reserved once. The reservation is
// settled by the usage where its owner finished it, and in full where the answer
// went on elsewhere, or may still do so, since a takeover reserves nothing.
func TestReservationIsSettledOnce(t *testing.T) {
	full := len(testPrompt) + testTokens
	for name, tc := range map[string]struct {
		run  func(s *system, c *caller)
		want []int
	}{
		"finished, read on two VMs": {func(s *system, c *caller) {
			c.finishOn("vm0")
			s.caller("k").finishOn("vm1")
		}, []int{full}}, // testTokens come, and the stand-in counts a token for each byte of the prompt
		"owner killed": {func(s *system, c *caller) {
			s.kill(s.owner("k"))
			c.finishOn(s.other())
		}, []int{full}}, // by the dying hub; a process that crashes settles nothing, which counts as in full
		"owner paused and deposed": {func(s *system, c *caller) {
			paused := s.owner("k")
			s.net.Pause(paused)
			c.finishOn(s.other(paused))
			s.net.Resume(paused)
		}, []int{full}},
		"planned takeover": {func(s *system, c *caller) {
			owner := s.owner("k")
			if err := s.hubs[owner].Drain(s.t.Context()); err != nil {
				s.t.Fatal(err)
			}
			c.finishOn(s.other(owner))
		}, []int{full}},
		"caller gone, and back in time for the journal": {func(s *system, _ *caller) {
			s.engines[0].Slow(100)
			s.engines[1].Slow(100)
			time.Sleep(callerKeep + 2*time.Second)
		}, []int{full}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 5, 2, func(s *system) {
				c := s.caller("k")
				if err := c.read("vm0", 50); err != nil {
					t.Fatal(err)
				}
				tc.run(s, c)
				time.Sleep(5 * time.Second) // virtual: a deposed owner finds out by its next write
				synctest.Wait()
				s.charges.mu.Lock()
				defer s.charges.mu.Unlock()
				if s.charges.reserved != 1 || len(s.charges.settled) != len(tc.want) {
					t.Errorf("reserved %d times, settled %v, want %v", s.charges.reserved, s.charges.settled, tc.want)
					return
				}
				for i, want := range tc.want {
					if s.charges.settled[i] != want {
						t.Errorf("settled %v, want %v", s.charges.settled, tc.want)
					}
				}
			})
		})
	}
}

// The plan refuses. The caller gets its code and the promise that nothing ran:
// no keeper has a journal, and no engine has seen the request.
func TestPlanRefusalRunsNothing(t *testing.T) {
	inBubble(t, 3, 1, func(s *system) {
		s.charges.refuse = result.New(result.TokensExhausted)
		c := s.caller("k")
		if err := c.read("vm0", 1); result.CodeOf(err) != result.TokensExhausted || result.From(err).Ran != result.RanNo {
			t.Errorf("refusal: %v", err)
		}
		s.charges.refuse = nil
		if s.work().Starts != 0 {
			t.Error("an engine ran it")
		}
		c.finishOn("vm1")
		if s.charges.reserved != 1 {
			t.Errorf("reserved %d times after the refusal", s.charges.reserved)
		}
	})
}
