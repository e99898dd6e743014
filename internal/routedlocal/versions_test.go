package routedlocal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routed"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// mixedService is a service whose engines have several versions.
const mixedService = "summaries"

// addVersion starts n engines of a version of mixedService, in different zones.
func (s *System) addVersion(version string, n int) error {
	for i := range n {
		e := &routedengine.Server{
			Backend: upstream.Backend{ID: fmt.Sprint(mixedService, "-", version, "-", i), Service: mixedService, Zone: fmt.Sprint("zone", i%zoneCount), Slots: 8, Version: version},
			Events:  Events, PrefillTime: 50 * time.Millisecond, EventInterval: 20 * time.Millisecond, NamesVersion: true,
		}
		if err := s.AddServer(e); err != nil {
			return err
		}
	}
	return nil
}

func mixedRoutes() *routes.List {
	return &routes.List{
		Version: 1, Source: []byte("mixed"),
		Routes: []routes.Route{{
			Name: "summaries", Host: Host, Prefix: "/s/", Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
			Targets: []routes.Target{{Service: mixedService, Weight: 1}}, Timeout: 20 * time.Second,
			Objective: 4 * time.Second, PauseObjective: 700 * time.Millisecond,
		}},
		Services: []routes.Service{{Name: mixedService, Engine: &routes.EngineTraits{Slots: 8, KVTokens: 88_000, KeepCopies: true}}},
	}
}

func waitReady(ctx context.Context, r *routed.Router) error {
	for !r.Ready() {
		if err := timer.Sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a stream that goes on at another version when its router is killed, and its
// caller takes it up at a router that started while most engines were of another version.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	s, ctx := start(t)
	check(t, s.addVersion("v1", 2))
	check(t, s.PutList(ctx, mixedRoutes()))
	check(t, s.Ready(ctx))
	killed := make(chan struct{})
	began := StreamRequest{Addr: s.CallerAddresses[0], Path: "/s/1", ID: "first", Seen: func(n int) {
		if n == Events/3 {
			s.Routers[0].Close()
			close(killed)
		}
	}}
	check(t, s.addVersion("v2", 4))
	check(t, timer.Sleep(ctx, time.Second)) // the list names both versions everywhere
	first, err := began.Do(ctx)
	check(t, err)
	<-killed
	addrs, err := freeAddrs(2)
	check(t, err)
	check(t, s.startRouter(addrs[0], addrs[1], s.seeds))
	check(t, waitReady(ctx, s.Routers[len(s.Routers)-1]))
	rest, err := StreamRequest{Addr: addrs[1], Path: "/s/1", ID: "second", After: len(first.EventIDs), Resumes: "first"}.Do(ctx)
	if err != nil {
		t.Fatalf("the stream that %v began was not taken up: %v %+v", first.Versions, err, rest.Refusal)
	}
	if !HasAllEvents(append(slices.Clone(first.EventIDs), rest.EventIDs...), Events) {
		t.Errorf("got events %v and then %v, want each of %d once", first.EventIDs, rest.EventIDs, Events)
	}
	if !slices.Equal(first.Versions, rest.Versions) {
		t.Errorf("the stream was begun by version %v and went on at %v, want the same", first.Versions, rest.Versions)
	}
}
