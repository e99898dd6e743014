package routedlocal

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// startMixed starts a system with two versions of MixedService, of which v1 is listed first.
func startMixed(t *testing.T, hold time.Duration) (*System, context.Context) {
	s, ctx := startHolding(t, hold)
	check(t, s.AddVersion("v1", 2))
	check(t, s.PutList(ctx, MixedRoutes()))
	check(t, s.Ready(ctx))
	return s, ctx
}

// lastRouter returns the callers' address of the last router, once it is ready.
func (s *System) lastRouter(t *testing.T, ctx context.Context) string {
	r := s.Routers[len(s.Routers)-1]
	for !r.Ready() {
		check(t, timer.Sleep(ctx, retryPause))
	}
	return s.CallerAddresses[len(s.CallerAddresses)-1]
}

// begin requests a stream at the first router. After a third of the events it calls f, and the
// caller leaves.
func (s *System) begin(t *testing.T, ctx context.Context, id string, f func()) StreamResult {
	t.Helper()
	const last = Events / 3
	got, err := StreamRequest{Addr: s.CallerAddresses[0], Path: "/s/" + id, ID: id, LeaveAfter: last, Seen: func(n int) {
		if n == last {
			f()
		}
	}}.Do(ctx)
	check(t, err)
	if !HasAllEvents(got.EventIDs, last) {
		t.Fatalf("stream %s: got events %v, want each of %d once", id, got.EventIDs, last)
	}
	return got
}

// checkRest requests the rest of a stream, which must come whole and from the version that began
// it.
func checkRest(t *testing.T, ctx context.Context, addr, id string, began StreamResult) {
	t.Helper()
	rest, err := StreamRequest{Addr: addr, Path: "/s/" + id, ID: id + "-again", After: len(began.EventIDs), FirstAttempt: id}.Do(ctx)
	if err != nil {
		t.Errorf("the stream that %v began was not resumed: %v %+v", began.Versions, err, rest.Refusal)
		return
	}
	if !HasAllEvents(append(slices.Clone(began.EventIDs), rest.EventIDs...), Events) {
		t.Errorf("got events %v and then %v, want each of %d once", began.EventIDs, rest.EventIDs, Events)
	}
	if !slices.Equal(began.Versions, rest.Versions) {
		t.Errorf("the stream was begun by version %v and went on at %v, want the same", began.Versions, rest.Versions)
	}
}

// awaitVersion requests streams until one begins at a version.
func awaitVersion(t *testing.T, ctx context.Context, addr, version string) {
	t.Helper()
	for i := 0; ; i++ {
		id := fmt.Sprint("await", i)
		got, err := StreamRequest{Addr: addr, Path: "/s/" + id, ID: id, LeaveAfter: 1}.Do(ctx)
		if ctx.Err() != nil {
			t.Fatalf("none of %d streams began at %s", i, version)
		}
		if err == nil && slices.Equal(got.Versions, []string{version}) {
			return
		}
	}
}

// Guards against a stream that goes on at another version when its router is killed, and its
// caller reconnects at a router that started while most engines were of another version.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	for _, hold := range []time.Duration{0, time.Minute} {
		t.Run(fmt.Sprint("new versions are held for ", hold), func(t *testing.T) {
			t.Parallel()
			const streams = 4
			s, ctx := startMixed(t, hold)
			var began []StreamResult
			for i := range streams - 1 {
				began = append(began, s.begin(t, ctx, fmt.Sprint("s", i), func() {}))
			}
			check(t, s.AddVersion("v2", 4))
			check(t, timer.Sleep(ctx, time.Second)) // the list names both versions everywhere
			began = append(began, s.begin(t, ctx, fmt.Sprint("s", len(began)), s.Routers[0].Close))
			check(t, s.AddRouter())
			addr := s.lastRouter(t, ctx)
			if hold == 0 {
				awaitVersion(t, ctx, addr, "v2")
			}
			for i, got := range began {
				checkRest(t, ctx, addr, fmt.Sprint("s", i), got)
			}
		})
	}
}

// Guards against versions that are forgotten, chosen anew or guessed after all processes were
// killed at once.
func TestStreamGoesOnAfterARestartOfAll(t *testing.T) {
	t.Parallel()
	const (
		minPerVersion = 2
		minStreams    = 6
		maxStreams    = 20
	)
	s, ctx := startMixed(t, 0)
	var began []StreamResult
	versions := map[string]int{} // streams that began there
	beginNext := func() {
		if len(began) == maxStreams {
			t.Fatalf("all streams began at %v, want %d at each version", versions, minPerVersion)
		}
		got := s.begin(t, ctx, fmt.Sprint("s", len(began)), func() {})
		began = append(began, got)
		versions[got.Versions[0]]++
		check(t, timer.Sleep(ctx, 300*time.Millisecond))
	}
	for range minPerVersion {
		beginNext()
	}
	check(t, s.AddVersion("v2", 4))
	// Streams begin at v1 until every VM knows v2, and then at random engines of both.
	for versions["v2"] < minPerVersion || len(began) < minStreams {
		beginNext()
	}
	t.Logf("streams began at %v", versions)
	check(t, s.RestartAll())
	addr := s.lastRouter(t, ctx)
	var work sync.WaitGroup
	for i, got := range began {
		work.Go(func() { checkRest(t, ctx, addr, fmt.Sprint("s", i), got) })
	}
	work.Wait()
}

// Guards against routers that use one of several versions only, and against one that is used
// before the order of its roll-out can have come.
func TestNewWorkUsesAllVersions(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		hold time.Duration
		want int // versions in use soon after v2 was listed
	}{{0, 2}, {time.Minute, 1}} {
		t.Run(fmt.Sprint("new versions are held for ", tt.hold), func(t *testing.T) {
			t.Parallel()
			s, ctx := startMixed(t, tt.hold)
			check(t, s.AddVersion("v2", 2))
			check(t, timer.Sleep(ctx, 2*time.Second))
			used := map[string]bool{}
			for i := range 16 {
				id := fmt.Sprint("n", i)
				got, err := StreamRequest{Addr: s.CallerAddresses[i%len(s.CallerAddresses)], Path: "/s/" + id, ID: id}.Do(ctx)
				if err != nil || !got.Complete || len(got.Versions) != 1 {
					t.Fatalf("stream %d: got %+v, error %v, want it whole and of one version", i, got, err)
				}
				used[got.Versions[0]] = true
			}
			if len(used) != tt.want {
				t.Errorf("got streams of versions %v, want %d versions", used, tt.want)
			}
		})
	}
}
