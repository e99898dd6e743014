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

// quotaRecorder is a relay.Quota that records what is reserved and settled.
type quotaRecorder struct {
	mu       sync.Mutex
	refuse   error
	reserved int
	settled  []int // tokens; -1: nothing ran
}

// Reserve implements relay.Quota.
func (c *quotaRecorder) Reserve(context.Context, *generation.Request) (func(ran bool, tokens int), error) {
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

// A request is reserved exactly once, whatever faults occur. The reservation is settled
// by the usage if its owner finished the answer, and in full if the answer continued on
// another VM or still may, because a takeover reserves nothing.
func TestReservationIsSettledOnce(t *testing.T) {
	full := len(testPrompt) + testTokens
	for name, tc := range map[string]struct {
		run  func(s *system, c *caller)
		want []int
	}{
		"finished, read on two VMs": {func(s *system, c *caller) {
			c.finishOn("vm0")
			s.caller("k").finishOn("vm1")
		}, []int{full}}, // testTokens arrive, and the stand-in counts each byte of the prompt as a token
		"owner killed": {func(s *system, c *caller) {
			s.kill(s.owner("k"))
			c.finishOn(s.other())
		}, []int{full}}, // settled when the hub is closed; a crashed process settles nothing, and the ledger then counts the full amount
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
		"caller gone while the keepers still hold the journal": {func(s *system, _ *caller) {
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
				time.Sleep(5 * time.Second) // virtual: a deposed owner learns of it from the reply to its next write
				synctest.Wait()
				s.quota.mu.Lock()
				defer s.quota.mu.Unlock()
				if s.quota.reserved != 1 || len(s.quota.settled) != len(tc.want) {
					t.Errorf("got %d reservations settled as %v, want one settled as %v", s.quota.reserved, s.quota.settled, tc.want)
					return
				}
				for i, want := range tc.want {
					if s.quota.settled[i] != want {
						t.Errorf("got settlements %v, want %v", s.quota.settled, tc.want)
					}
				}
			})
		})
	}
}

// The plan refuses a request. The caller must receive the plan's result code and the
// promise that nothing ran: no keeper has a journal, and no engine got the request.
func TestPlanRefusalRunsNothing(t *testing.T) {
	inBubble(t, 3, 1, func(s *system) {
		s.quota.refuse = result.New(result.TokensExhausted)
		c := s.caller("k")
		if err := c.read("vm0", 1); result.CodeOf(err) != result.TokensExhausted || result.From(err).Ran != result.RanNo {
			t.Errorf("got %v, want tokens_exhausted with the promise that nothing ran", err)
		}
		s.quota.refuse = nil
		if s.work().RunsStarted != 0 {
			t.Error("an engine ran the refused request, want none")
		}
		c.finishOn("vm1")
		if s.quota.reserved != 1 {
			t.Errorf("got %d reservations after the refusal, want 1", s.quota.reserved)
		}
	})
}
