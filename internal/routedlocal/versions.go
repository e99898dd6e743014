package routedlocal

import (
	"fmt"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// MixedService is a service whose engines have several versions and state them in their events.
const MixedService = "mixed"

// AddVersion starts n engines of a version of MixedService, in different zones.
func (s *System) AddVersion(version string, n int) error {
	for i := range n {
		e := &routedengine.Server{
			Backend: upstream.Backend{
				ID: fmt.Sprint(MixedService, "-", version, "-", i), Service: MixedService, Zone: fmt.Sprint("zone", i%zoneCount), Slots: 8, Version: version,
			},
			Events: Events, PrefillTime: 50 * time.Millisecond, EventInterval: 20 * time.Millisecond, NamesVersion: true,
		}
		if err := s.AddServer(e); err != nil {
			return err
		}
	}
	return nil
}

// MixedRoutes returns a list with one route, of streams to MixedService.
func MixedRoutes() *routes.List {
	return &routes.List{
		Version: 1, Source: []byte("mixed"),
		Routes: []routes.Route{{
			Name: "mixed", Host: Host, Prefix: "/s/", Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
			Targets: []routes.Target{{Service: MixedService, Weight: 1}}, Timeout: 20 * time.Second,
			Objective: 4 * time.Second, PauseObjective: 700 * time.Millisecond,
		}},
		Services: []routes.Service{{Name: MixedService, Engine: &routes.EngineTraits{Slots: 8, KVTokens: 88_000, KeepCopies: true}}},
	}
}

// AddRouter starts a further router. It becomes the last of Routers.
func (s *System) AddRouter() error {
	addrs, err := freeAddrs(2)
	if err != nil {
		return err
	}
	return s.startRouter(addrs[0], addrs[1], s.seeds)
}

// RestartAll ends all processes at once, without a drain, and starts the control processes and as
// many routers again.
func (s *System) RestartAll() error {
	routers, ids := len(s.Routers), s.controlIDs
	for _, r := range s.Routers {
		r.Close()
	}
	controls := s.Controls
	for _, c := range controls {
		c.Close()
	}
	s.Routers, s.CallerAddresses, s.Controls = nil, nil, nil
	for _, c := range controls {
		if err := s.startControl(ids[c], false); err != nil {
			return err
		}
	}
	for range routers {
		if err := s.AddRouter(); err != nil {
			return err
		}
	}
	return nil
}
