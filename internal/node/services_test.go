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
			t.Fatalf("%s never ran", key)
		}
	}
}

// The caller's VM is killed while its booking runs on the service, which answers
// nobody. The resend to another VM is told to come back while the claimant may
// live, and "unknown" once others have found it dead; that may be within the
// resend's own wait. It stays so on every VM, and the booking never runs again.
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
			t.Fatalf("the resend got %s", got)
		}
		answers["running"]++
	}
	if again, err := tryBook(ctx, s.Nodes[1].Self().Endpoint, "k"); err != nil || !strings.Contains(again, `"code":4003`) {
		t.Errorf("another VM answers %q, %v", again, err)
	}
	if runs := s.Services[0].Runs("k"); runs != 1 {
		t.Errorf("ran %d times, told to come back %d times", runs, answers["running"])
	}
}

// The VM shuts down while a booking runs: the caller gets its whole answer, and
// the key's answer stays known to the others.
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
		t.Errorf("answers %q and %q", first, again)
	}
	if runs := s.Services[0].Runs("k"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
