package node

import (
	"errors"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

func waiting(slots *int) *admitter {
	capacity := func(string) int { return *slots }
	share := func(string) int { return 1 }
	note := func(generation.RequestID, string, string) {}
	return newAdmitter(capacity, share, note, new(expvar.Map).Init(), zerolog.Nop())
}

func generationOf(key string, deadline time.Duration) *generation.Request {
	return &generation.Request{
		ID:    generation.RequestID{Workspace: "coop", Key: key},
		Model: "m", Prompt: "unit log", MaxTokens: 100, DeadlineMS: deadline.Milliseconds(),
	}
}

// One slot is taken. The next caller waits; its deadline of a minute passes in
// the queue, and it hears so at that moment: not later, and as "not run". What
// cannot start in time is refused at entry with a time to come back. A request
// that another VM had accepted is taken whatever the queue, and starts first.
func TestQueueRefusesAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slots := 1
		a := waiting(&slots)
		first, err := a.Enter(generationOf("first", 0), false)
		if err != nil || first.Wait(t.Context()) != nil {
			t.Fatalf("the first request did not start: %v", err)
		}
		late, err := a.Enter(generationOf("late", time.Minute), false)
		if err != nil {
			t.Fatal(err)
		}
		_, err = a.Enter(generationOf("soon", 100*time.Millisecond), false)
		var refused *result.Error
		if !errors.As(err, &refused) || refused.Code != result.DeadlineTooSoon || refused.RetryAfter <= 0 || refused.Ran != result.RanNo {
			t.Errorf("too soon a deadline got %+v", err)
		}
		began := time.Now()
		err = late.Wait(t.Context())
		if !errors.Is(err, result.New(result.DeadlinePassed)) || time.Since(began) != time.Minute {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
		late.Release()
		for i := range 50 {
			if _, err := a.Enter(generationOf(fmt.Sprint("fresh", i), 0), false); err != nil {
				break
			}
		}
		accepted, err := a.Enter(generationOf("accepted", 100*time.Millisecond), true)
		if err != nil {
			t.Fatalf("an accepted request was refused: %v", err)
		}
		first.Release()
		first.Release()
		if err := accepted.Wait(t.Context()); err != nil {
			t.Errorf("an accepted request did not start first: %v", err)
		}
	})
}

// A caller that is gone gives its place back at once, and its slot to the next.
func TestAbandonedPlacesAreFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slots := 0
		a := waiting(&slots)
		gone, err := a.Enter(generationOf("gone", 0), false)
		if err != nil {
			t.Fatal(err)
		}
		next, err := a.Enter(generationOf("next", 0), false)
		if err != nil {
			t.Fatal(err)
		}
		gone.Release()
		slots = 1
		a.freed()
		if err := next.Wait(t.Context()); err != nil {
			t.Error(err)
		}
		if s := a.status(); s[0].Waiting != 0 || s[0].Running != 1 {
			t.Errorf("queue %+v", s[0])
		}
	})
}
