package routedlocal

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// testTimeout bounds each test.
const testTimeout = 30 * time.Second

func start(t *testing.T) (*System, context.Context) {
	t.Helper()
	return startHolding(t, rollout.DefaultVersionHold)
}

func startHolding(t *testing.T, hold time.Duration) (*System, context.Context) {
	t.Helper()
	if testing.Short() {
		t.Skip("real connections and real time")
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	s, err := StartHolding(hold)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, ctx
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Covers the complete path over real connections. A caller's stream survives the loss of
// its engine's zone. After the loss of the control group's leader, the next route list
// comes into force on every router. A stream whose router dies resumes at another router
// after the last event.
func TestEndToEnd(t *testing.T) {
	s, ctx := start(t)
	check(t, s.PutStreamRoute(ctx, 1, "/a/"))
	check(t, s.Ready(ctx))
	got, err := Stream(ctx, s.CallerAddresses[0], "/a/1", "r1", 0, func(n int) {
		if n == Events/3 {
			s.Net.KillZoneOf("r1")
		}
	})
	check(t, err)
	if !got.Complete || !HasAllEvents(got.EventIDs, Events) {
		t.Errorf("after the loss of a zone: got %+v, want all events and a proper end", got)
	}
	check(t, s.StopLeader())
	check(t, s.PutStreamRoute(ctx, 2, "/b/"))
	for _, addr := range s.CallerAddresses {
		for {
			got, err := Stream(ctx, addr, "/b/1", "r2"+addr, 0, nil)
			if err == nil && got.Complete {
				break
			}
			if ctx.Err() != nil {
				t.Fatal("route list 2 is not in force before the deadline")
			}
		}
		if _, err := Stream(ctx, addr, "/a/1", "r3", 0, nil); err == nil {
			t.Error("removed route is still served, want an error")
		}
	}
	got, err = Stream(ctx, s.CallerAddresses[0], "/b/2", "r4", 0, func(n int) {
		if n == Events/3 {
			s.Routers[0].Close()
		}
	})
	check(t, err)
	rest, err := Stream(ctx, s.CallerAddresses[1], "/b/2", "r5", len(got.EventIDs), nil)
	check(t, err)
	if got.Complete || !rest.Complete || !HasAllEvents(append(got.EventIDs, rest.EventIDs...), Events) {
		t.Errorf("after the death of a router: got %+v, then %+v; want all events over both", got, rest)
	}
}

// Guards against a stale read of the route list. Without a majority of the control group
// an operator gets an error.
func TestReadWithoutAMajority(t *testing.T) {
	s, ctx := start(t)
	check(t, s.PutStreamRoute(ctx, 7, "/a/"))
	last := s.Controls[2]
	for {
		source, err := last.Routes(ctx)
		if err == nil && string(source) == "list 7" {
			break
		}
		check(t, ctx.Err())
	}
	s.Controls[0].Close()
	s.Controls[1].Close()
	short, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := last.Routes(short); result.CodeOf(err) != result.ControlUnavail {
		t.Errorf("read by one of three control processes: got error %v, want ControlUnavail", err)
	}
}
