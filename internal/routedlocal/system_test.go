package routedlocal

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// limit is far more than any step of these tests takes.
const limit = 30 * time.Second

func start(t *testing.T) (*System, context.Context) {
	t.Helper()
	if testing.Short() {
		t.Skip("real connections and real time")
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	s, err := Start()
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

// The whole path over real connections. A caller's stream survives the loss of its
// engine's zone; the operators' list survives the loss of the group's leader, and
// its next version is in force on every router; a stream whose router dies goes on
// at another behind the last event.
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
		t.Errorf("a lost zone: %+v", got)
	}
	check(t, s.StopLeader())
	check(t, s.PutStreamRoute(ctx, 2, "/b/"))
	for _, front := range s.CallerAddresses {
		for {
			got, err := Stream(ctx, front, "/b/1", "r2"+front, 0, nil)
			if err == nil && got.Complete {
				break
			}
			if ctx.Err() != nil {
				t.Fatal("the next list is not in force")
			}
		}
		if _, err := Stream(ctx, front, "/a/1", "r3", 0, nil); err == nil {
			t.Error("a route that was taken away is still served")
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
		t.Errorf("a dead router: %+v, then %+v", got, rest)
	}
}

// An operator reads what was acknowledged, or is told that it cannot be known.
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
		t.Errorf("read by one of three: %v", err)
	}
}
