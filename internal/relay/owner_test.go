package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The caller's VM dies in mid-output; the caller goes on at another one. The
// engine has kept the stream, so the new owner attaches and nothing is computed
// twice.
func TestOwnerKilled(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 100); err != nil {
			t.Fatal(err)
		}
		s.kill(s.owner("k"))
		c.finishOn(s.other())
		if s.extra() != 0 || s.count("attached") != 1 {
			t.Errorf("extra work %d tokens, %d attached", s.extra(), s.count("attached"))
		}
		if c.gap > time.Second {
			t.Errorf("the answer stood still for %v", c.gap)
		}
	})
}

// The caller's VM is paused; another VM takes over and finishes the answer. Back
// again, the paused VM has late tokens of its own stream: its keepers refuse
// them, and a caller still connected there is served as a reader of the answer
// that went on elsewhere.
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
			t.Error("two callers of one request received two answers")
		}
	})
}

// The caller's VM is paused, another one goes on, and the caller comes back to
// the first one the moment it runs again. It still believes to own the answer,
// with fewer tokens than the caller has: it must not call the caller's index
// wrong before its keepers have confirmed it, and they don't.
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

// The caller's VM can send but hears nothing, not even acknowledgements. It may
// release no token, and must tell its caller so in bounded time instead of
// sending heartbeats for ever; any other VM goes on with the answer.
func TestOwnerInOneWayPartition(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 100); err != nil {
			t.Fatal(err)
		}
		deaf := s.owner("k")
		s.net.CutInbound(deaf)
		began := time.Now()
		if err := c.read(deaf, testTokens); result.CodeOf(err) != result.KeepersUnavail || result.From(err).Ran == result.RanNo {
			t.Errorf("the cut-off VM ended the answer with %v", err)
		}
		if err := s.caller("k").read(deaf, 1); result.CodeOf(err) != result.KeepersUnavail || result.From(err).Ran == result.RanNo {
			t.Errorf("the cut-off VM refused the resend of a running answer with %v", err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the cut-off VM held its caller for %v", took)
		}
		c.finishOn(s.other(deaf))
	})
}

// Callers of one key come to every VM at the same moment, as after the loss of
// a VM or by a caller's own retries. They share one generation: one attempt,
// and the same whole answer for each.
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
		if s.work().Starts != 1 || s.extra() != 0 {
			t.Errorf("%d attempts, extra work %d tokens", s.work().Starts, s.extra())
		}
	})
}

// A caller reconnects at every index, each time to another VM, while the owner
// lives: each VM reads from the owner, and no engine does anything twice.
func TestReconnectOnAnyVMRepeatsNoWork(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c := s.caller("k")
		for i := 0; c.finish == ""; i++ {
			if err := c.read(fmt.Sprint("vm", i%5), len(c.tokens)+1); err != nil {
				t.Fatalf("reconnect %d: %v", i, err)
			}
		}
		c.check()
		if s.work().Starts != 1 || s.extra() != 0 || s.count("takeovers") != 0 {
			t.Errorf("%d attempts, extra %d, %d takeovers", s.work().Starts, s.extra(), s.count("takeovers"))
		}
	})
}

// The caller reads on a VM that follows the owner on another one. The owner
// dies, loudly or silently: the follower becomes the owner, and the caller's
// connection stays.
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
					t.Errorf("the answer stood still for %v", c.gap)
				}
				s.net.Resume(owner)
			})
		})
	}
}

// The answer has ended and its owner dies. A caller that lost the connection
// before the end reads the rest on another VM, from the keepers, though every
// engine is dead by then.
func TestFinishedAnswerNeedsNoEngine(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		c, whole := s.caller("k"), s.caller("k")
		if err := c.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		whole.finishOn("vm0")
		s.kill(s.owner("k"))
		for _, e := range s.engines {
			e.Kill()
		}
		c.finishOn(s.other())
	})
}

// Two VMs that keep the journal are lost together; the list of VMs follows, and
// the owner moves the journal. Right after, a third of the first five is lost,
// and the owner with it. The caller still gets the rest on another VM.
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
			t.Error("the journal was not moved")
		}
		s.kill(first[2].VM, owner)
		c.finishOn(s.other())
		if s.extra() != 0 {
			t.Errorf("extra work %d tokens", s.extra())
		}
	})
}

// Three of the journal's five keepers are lost together, with the owner. What
// the caller has seen can't be shown to be whole any more: the answer is an
// error with its own code, and never a continuation that might differ.
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
			t.Errorf("error %v, want journal_lost", err)
		}
	})
}

// VMs that keep the journal restart one by one without their memory, as in a
// rolling update. Each is another keeper from then on; the owner installs the
// journal on it again, and the caller notices nothing.
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
			back := s.candidate(i)
			s.start(back)
			s.commit(back)
			if err := c.read(owner, len(c.tokens)+60); err != nil {
				t.Fatalf("after the restart of %s: %v", vm, err)
			}
		}
		s.kill(owner)
		c.finishOn(s.other())
		if s.extra() != 0 {
			t.Errorf("extra work %d tokens", s.extra())
		}
	})
}
