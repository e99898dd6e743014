package node_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/local"
)

// untilRuns waits until the service has run a key.
func untilRuns(ctx context.Context, t *testing.T, s *local.System, key string) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for s.Services[0].Runs(key) == 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting for the service to run %s", key)
		}
	}
}

// Guards against a booking that runs twice after its VM was lost. The caller's VM is killed
// while the booking runs on the service, whose answer is lost. A retry at another VM must
// get "still running" while the claimant may be alive, and "unknown" once others have
// declared it dead, which may happen while the retry waits. Every VM must then answer the
// same, and the booking must not run again.
func TestClaimantKilledInMidCall(t *testing.T) {
	t.Parallel()
	s := startWithDispatch(t)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	s.Services[0].DelayAnswers(20 * time.Second)
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		_, _ = tryBook(ctx, s.Nodes[2].Self().Endpoint, "k")
	}()
	untilRuns(ctx, t, s, "k")
	s.Nodes[2].Kill()
	<-lost
	answers := map[string]int{}
	for {
		got, err := tryBook(ctx, s.Nodes[0].Self().Endpoint, "k")
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(got, `"code":4003`) {
			break
		}
		if !strings.Contains(got, `"code":3011`) {
			t.Fatalf("retry got %s, want code 3011 or 4003", got)
		}
		answers["running"]++
	}
	if again, err := tryBook(ctx, s.Nodes[1].Self().Endpoint, "k"); err != nil || !strings.Contains(again, `"code":4003`) {
		t.Errorf("another VM answered %q, error %v; want code 4003", again, err)
	}
	if runs := s.Services[0].Runs("k"); runs != 1 {
		t.Errorf("booking ran %d times, want 1; %d retries got code 3011", runs, answers["running"])
	}
}

// Guards against a shutdown that cuts off a call. The VM shuts down while a booking runs. The
// caller must get the complete answer, and other VMs must know the answer of its key.
func TestShutdownWaitsForABooking(t *testing.T) {
	t.Parallel()
	s := startWithDispatch(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	s.Services[0].DelayAnswers(1500 * time.Millisecond)
	answer := make(chan string, 1)
	go func() { answer <- book(t, s.Nodes[1].Self().Endpoint, "k") }()
	untilRuns(ctx, t, s, "k")
	if err := s.Nodes[1].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	first := <-answer
	if again := book(t, s.Nodes[0].Self().Endpoint, "k"); !strings.HasPrefix(first, "200") || first != again {
		t.Errorf("got answers %q and %q, want equal ones with status 200", first, again)
	}
	if runs := s.Services[0].Runs("k"); runs != 1 {
		t.Errorf("booking ran %d times, want 1", runs)
	}
}
