package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The caller disconnects for good. Its generation continues for CallerKeep, within which
// the caller may come back. It is then cancelled on the engine, and the keepers drop the
// journal.
func TestVanishedCaller(t *testing.T) {
	inBubble(t, 3, 1, func(s *system) {
		s.engines[0].Slow(100) // the answer would take minutes
		c := s.caller("k")
		if err := c.read("vm0", 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(callerKeep - time.Second)
		if s.engines[0].Running() != 1 {
			t.Error("the generation ended before CallerKeep had elapsed")
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if s.engines[0].Running() != 0 || s.work().CancelledRuns != 1 {
			t.Errorf("got %d runs on the engine and %d cancelled, want 0 and 1", s.engines[0].Running(), s.work().CancelledRuns)
		}
		time.Sleep(2 * callerKeep)
		time.Sleep(time.Minute)
		if err := c.read("vm1", 10); result.CodeOf(err) != result.NotFound {
			t.Errorf("a caller that came back too late got %v, want not_found", err)
		}
	})
}

// The owner shuts down in mid-output. Another VM takes the generation over at its
// request and attaches to the engine's stream. The caller's connection on the leaving VM
// is served to the end, a caller that reconnects continues on another VM, and no work is
// done twice.
func TestPlannedTakeover(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		stays, moves := s.caller("k"), s.caller("k")
		if err := stays.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		if err := moves.read("vm0", 50); err != nil {
			t.Fatal(err)
		}
		owner := s.owner("k")
		var wg sync.WaitGroup
		wg.Go(func() { stays.finishOn(owner) })
		synctest.Wait()
		if err := s.hubs[owner].Drain(s.t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := s.caller("new").read(owner, 1); result.CodeOf(err) != result.ShuttingDown {
			t.Errorf("a new request on the leaving VM got %v, want shutting_down", err)
		}
		if next := s.owner("k"); next == owner {
			t.Error("the leaving VM still owns the generation")
		}
		moves.finishOn(s.other(owner))
		wg.Wait()
		if s.work().RunsStarted != 1 || s.extra() != 0 {
			t.Errorf("got %d attempts and %d tokens of extra work, want 1 and 0", s.work().RunsStarted, s.extra())
		}
	})
}

// A VM shuts down when no other VM can take over its answers. It waits for them until
// its deadline, and an answer that ends in time is complete.
func TestDrainWithoutSuccessor(t *testing.T) {
	inBubble(t, 1, 1, func(s *system) {
		c := s.caller("k")
		if err := c.read("vm0", 10); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Go(func() { c.finishOn("vm0") })
		synctest.Wait()
		short, cancel := context.WithTimeout(s.t.Context(), 500*time.Millisecond)
		defer cancel()
		if err := s.hubs["vm0"].Drain(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a drain of half a second ended with %v, want a passed deadline", err)
		}
		if err := s.hubs["vm0"].Drain(s.t.Context()); err != nil {
			t.Errorf("a drain with enough time ended with %v, want no error", err)
		}
		wg.Wait()
	})
}

// The keepers are full. A new request is refused with a reason and the promise that it
// did not run. Running answers are unaffected, and so is the resend of one of them.
func TestFullKeepersRefuseNewAnswers(t *testing.T) {
	inBubble(t, 3, 1, func(s *system) {
		var running []*caller
		for i := range maxJournals {
			running = append(running, s.caller(fmt.Sprint("k", i)))
			if err := running[i].read("vm0", 10); err != nil {
				t.Fatal(err)
			}
		}
		err := s.caller("one more").read("vm1", 1)
		if result.CodeOf(err) != result.KeepersFull || result.From(err).Ran != result.RanNo {
			t.Errorf("a new request got %v, want keepers_full with the promise that it did not run", err)
		}
		s.kill("vm0")
		for _, c := range running {
			c.finishOn("vm1")
		}
	})
}

// A keeper finds that a write would change a token that it holds, because of a memory
// error or a fault of this program. Only that answer stops, with its own result code,
// and is counted. The caller of another answer is unaffected.
func TestBrokenInvariantStopsOneAnswer(t *testing.T) {
	inBubble(t, 5, 2, func(s *system) {
		for _, link := range s.links {
			link.Handle(peer.KindJournal, damagedKeeper)
		}
		damaged, unaffected := s.caller("k0"), s.caller("k1")
		if err := damaged.read("vm0", testTokens); result.CodeOf(err) != result.InvariantBroken {
			t.Errorf("the damaged answer ended with %v, want invariant_broken", err)
		}
		unaffected.finishOn("vm0")
		if s.count("invariants_broken") == 0 {
			t.Error("the broken invariant was not counted")
		}
	})
}

// damagedKeeper reports a broken invariant for every token of one answer after the
// tenth.
func damagedKeeper(_ context.Context, _ string, body []byte) (any, error) {
	var batch relay.WriteBatch
	if err := codec.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	var out relay.WriteReplies
	for _, w := range batch.Writes {
		reply := generation.WriteReply{
			ID: w.ID, Epoch: w.Epoch, Promised: w.Epoch, Held: w.Span.End(), Finished: w.Finish != "", Touch: w.Touch, Source: 1,
		}
		if w.ID.Key == "k0" && w.Span.End() > 10 {
			reply.Refusal = generation.BreaksInvariant
		}
		out.Replies = append(out.Replies, reply)
	}
	return out, nil
}
