package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The caller's VM dies in mid-output, and the caller reconnects to another VM. The
// engine continues the stream, and the new owner attaches to it without any extra work.
func TestOwnerKilled(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 100); err != nil {
			t.Fatal(err)
		}
		s.kill(s.owner("k"))
		c.finishOn(s.other())
		if s.extra() != 0 || s.count("attached") != 1 {
			t.Errorf("got %d tokens of extra work and %d attached streams, want 0 and 1", s.extra(), s.count("attached"))
		}
		if c.gap > time.Second {
			t.Errorf("the longest wait for tokens was %v, want at most 1s", c.gap)
		}
	})
}

// The caller's VM is paused, and another VM takes over and finishes the answer. After
// the pause, the first VM receives late tokens of its own stream. The keepers refuse
// them, and a caller that is still connected to this VM reads the answer that the other
// VM has continued.
func TestPausedOwnerLosesOwnership(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		stays, moves := s.caller("k"), s.caller("k")
		if err := stays.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		if err := moves.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		paused := s.owner("k")
		var wg sync.WaitGroup
		wg.Go(func() { stays.finishOn(paused, paused) })
		s.net.Pause(paused)
		moves.finishOn(s.other(paused))
		s.net.Resume(paused)
		wg.Wait()
		if fmt.Sprint(stays.tokens) != fmt.Sprint(moves.tokens) {
			t.Error("two callers of one request received different answers")
		}
	})
}

// The caller's VM is paused, another VM continues the answer, and the caller reconnects
// to the first VM as soon as it runs again. That VM still regards itself as the owner and
// has fewer tokens than the caller. It must not refuse the caller's index before the
// keepers have confirmed its ownership, which they do not.
func TestStaleOwnerConfirmsBeforeRefusal(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 100); err != nil {
			t.Fatal(err)
		}
		stale := s.owner("k")
		s.net.Pause(stale)
		if err := c.read(s.other(stale), 200); err != nil {
			t.Fatal(err)
		}
		s.net.Resume(stale)
		c.finishOn(stale)
	})
}

// The caller's VM can send but receives nothing, not even acknowledgements. It cannot
// release any token, and must report an error to its caller in bounded time instead of
// sending heartbeats forever. Any other VM can continue the answer.
func TestOwnerInOneWayPartition(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 100); err != nil {
			t.Fatal(err)
		}
		partitioned := s.owner("k")
		s.net.CutInbound(partitioned)
		began := time.Now()
		if err := c.read(partitioned, testTokens); result.CodeOf(err) != result.KeepersUnavail || result.From(err).Ran == result.RanNo {
			t.Errorf("the partitioned VM ended the answer with %v, want keepers_unavailable without the promise that it did not run", err)
		}
		if err := s.caller("k").read(partitioned, 1); result.CodeOf(err) != result.KeepersUnavail || result.From(err).Ran == result.RanNo {
			t.Errorf("the partitioned VM refused the resend of a running answer with %v, want keepers_unavailable without the promise that it did not run", err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the partitioned VM kept its caller waiting for %v, want at most 5s", took)
		}
		c.finishOn(s.other(partitioned))
	})
}

// Callers of one key reach every VM at the same time, as after the loss of a VM or by a
// caller's own retries. They must share one generation, with one attempt and the same
// complete answer for each.
func TestConcurrentCallersShareOneGeneration(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		var wg sync.WaitGroup
		answers := make([]*caller, 10)
		for i := range answers {
			answers[i] = s.caller("k")
			wg.Go(func() { answers[i].finishOn(fmt.Sprint("vm", i%5)) })
		}
		wg.Wait()
		for _, a := range answers {
			if fmt.Sprint(a.tokens) != fmt.Sprint(answers[0].tokens) {
				t.Error("callers of one request received different answers")
			}
		}
		if s.work().RunsStarted != 1 || s.extra() != 0 {
			t.Errorf("got %d attempts and %d tokens of extra work, want 1 and 0", s.work().RunsStarted, s.extra())
		}
	})
}

// A caller reconnects at every index, each time to another VM, while the owner is alive.
// Each VM reads from the owner, and no engine does any work twice.
func TestReconnectOnAnyVMRepeatsNoWork(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		for i := 0; c.finish == ""; i++ {
			if err := c.read(fmt.Sprint("vm", i%5), len(c.tokens)+1); err != nil {
				t.Fatalf("reconnect %d: %v", i, err)
			}
		}
		c.check()
		if s.work().RunsStarted != 1 || s.extra() != 0 || s.count("takeovers") != 0 {
			t.Errorf("got %d attempts, %d tokens of extra work and %d takeovers, want 1, 0 and 0", s.work().RunsStarted, s.extra(), s.count("takeovers"))
		}
	})
}

// The caller reads on a VM that follows the owner on another VM. The owner is killed,
// partitioned or paused. The follower becomes the owner, and the caller's connection
// stays open.
func TestFollowedOwnerIsLost(t *testing.T) {
	for name, lose := range map[string]func(s *system, vm string){
		"killed":  func(s *system, vm string) { s.kill(vm) },
		"cut off": func(s *system, vm string) { s.net.Isolate(vm) },
		"paused":  func(s *system, vm string) { s.net.Pause(vm) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 5, 2, func(s *system) {
				c := s.caller("k")
				if err := c.read("vm0", 50); err != nil {
					t.Fatal(err)
				}
				owner := s.owner("k")
				follower := s.other(owner)
				var wg sync.WaitGroup
				wg.Go(func() { c.finishOn(follower) })
				time.Sleep(100 * time.Millisecond)
				lose(s, owner)
				wg.Wait()
				if c.gap > 5*time.Second {
					t.Errorf("the longest wait for tokens was %v, want at most 5s", c.gap)
				}
				s.net.Resume(owner)
			})
		})
	}
}

// The owner dies after the answer has ended. A caller that lost its connection before
// the end reads the rest on another VM, from the keepers, although every engine is dead
// by then.
func TestFinishedAnswerNeedsNoEngine(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c, complete := s.caller("k"), s.caller("k")
		if err := c.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		complete.finishOn("vm0")
		s.kill(s.owner("k"))
		for _, e := range s.engines {
			e.Kill()
		}
		c.finishOn(s.other())
	})
}

// Two VMs that keep the journal are lost together. The list of VMs is updated, and the
// owner moves the journal. Immediately afterwards a third of the first five keepers and
// the owner are lost. The caller must still get the rest on another VM.
func TestTwoVMsLostThenAThird(t *testing.T) {
	inBubble(t, 9, 2, func(s *system) {
		c := s.caller("k")
		req := c.request()
		first := generation.Place(req.ID, s.views[0].Candidates)
		owner := s.other(first[0].VM, first[1].VM, first[2].VM)
		if err := c.read(owner, 100); err != nil {
			t.Fatal(err)
		}
		s.kill(first[0].VM, first[1].VM)
		s.commit()
		if err := c.read(owner, 200); err != nil {
			t.Fatal(err)
		}
		if s.count("replacements") == 0 {
			t.Error("got no replacements, want the journal moved to new keepers")
		}
		s.kill(first[2].VM, owner)
		c.finishOn(s.other())
		if s.extra() != 0 {
			t.Errorf("got %d tokens of extra work, want 0", s.extra())
		}
	})
}

// Three of the journal's five keepers and the owner are lost together. The remaining
// keepers cannot prove that they hold every token that the caller has seen. The answer
// must end with its own result code, and never with a continuation that may differ.
func TestMajorityLostIsAnError(t *testing.T) {
	inBubble(t, 9, 2, func(s *system) {
		c := s.caller("k")
		req := c.request()
		first := generation.Place(req.ID, s.views[0].Candidates)
		owner := s.other(first[0].VM, first[1].VM, first[2].VM)
		if err := c.read(owner, 100); err != nil {
			t.Fatal(err)
		}
		s.kill(first[0].VM, first[1].VM, first[2].VM, owner)
		s.commit()
		if err := c.read(s.other(), testTokens); result.CodeOf(err) != result.JournalLost {
			t.Errorf("got error %v, want journal_lost", err)
		}
	})
}

// VMs that keep the journal restart one by one and lose their memory, as in a rolling
// update. Each returns as a new keeper, the owner installs the journal on it again, and
// the caller is unaffected.
func TestKeepersRestartOneByOne(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 20); err != nil {
			t.Fatal(err)
		}
		owner := s.owner("k")
		for i := range 5 {
			vm := fmt.Sprint("vm", i)
			if vm == owner {
				continue
			}
			s.kill(vm)
			restarted := s.candidate(i)
			s.start(restarted)
			s.commit(restarted)
			if err := c.read(owner, len(c.tokens)+60); err != nil {
				t.Fatalf("after the restart of %s: %v", vm, err)
			}
		}
		s.kill(owner)
		c.finishOn(s.other())
		if s.extra() != 0 {
			t.Errorf("got %d tokens of extra work, want 0", s.extra())
		}
	})
}
