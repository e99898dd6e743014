package node

import (
	"context"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
	"github.com/amaranthshelf/amaranthshelf/internal/orders"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// fleetUpdateInterval is how often the list of backend servers is recomputed. A server
// that starts to leave must lose new work within seconds, and the platform's list is
// read every second.
const fleetUpdateInterval = 500 * time.Millisecond

// minModelCopies is the number of copies of each model that orders maintain. With two
// copies one engine may die. A model with fewer copies in the settings keeps that number.
const minModelCopies = 2

// backends merges the backend servers of the settings, those of the platform's list and
// the models that orders have loaded. It is safe for concurrent use.
type backends struct {
	configured []settings.Backend
	platform   *inventory.Reader
	view       atomic.Pointer[fleet.View]
	services   atomic.Pointer[map[string][]service.Backend] // by service, without those that are leaving
	log        zerolog.Logger
}

func (b *backends) apply(data []byte) {
	v, err := fleet.NewView(data)
	if err != nil {
		b.log.Error().Err(err).Msg("fleet state could not be decoded; keeping the previous one")
		return
	}
	b.view.Store(v)
}

// list returns every backend server with the models for which it should get work: those
// of the settings or the platform's list, and those that an order has loaded.
func (b *backends) list() []settings.Backend {
	out := slices.Clone(b.configured)
	known := map[string]bool{}
	for _, s := range out {
		known[s.Name] = true
	}
	listed, _, _ := b.platform.List()
	for _, p := range listed.Backends {
		if !known[p.Name] && p.Address != "" {
			out = append(out, settings.Backend{
				Name: p.Name, Kind: settings.BackendKind(p.Kind), Address: p.Address, Zone: p.Zone,
				Models: p.Models, Service: p.Service, Fences: p.Fences,
			})
		}
	}
	for i := range out {
		out[i].Models = b.withLoaded(&out[i])
	}
	return out
}

func (b *backends) withLoaded(s *settings.Backend) []string {
	v := b.view.Load()
	if v == nil || s.Kind == settings.KindService {
		return s.Models
	}
	out := slices.Clone(s.Models)
	for _, model := range v.Models(s.Name) {
		if !slices.Contains(out, model) {
			out = append(out, model)
		}
	}
	return out
}

// leaving returns the names of the backend servers that the platform lists as leaving.
func (b *backends) leaving() map[string]bool {
	listed, _, _ := b.platform.List()
	out := map[string]bool{}
	for _, p := range listed.Backends {
		if p.Leaving {
			out[p.Name] = true
		}
	}
	return out
}

// Service implements service.Backends.
func (b *backends) Service(name string) []service.Backend {
	if all := b.services.Load(); all != nil {
		return (*all)[name]
	}
	return nil
}

// indexServices rebuilds the map that Service answers from.
func (b *backends) indexServices(list []settings.Backend) {
	all := map[string][]service.Backend{}
	leaving := b.leaving()
	for _, s := range list {
		if s.Kind == settings.KindService && !leaving[s.Name] {
			all[s.Service] = append(all[s.Service], service.Backend{Name: s.Name, Addr: s.Address, Zone: s.Zone})
		}
	}
	b.services.Store(&all)
}

// engines returns the engines in the form that package orders uses.
func (b *backends) engines() []orders.Backend {
	var out []orders.Backend
	leaving, configured := b.leaving(), map[string][]string{}
	for _, s := range b.configured {
		configured[s.Name] = s.Models
	}
	for _, s := range b.list() {
		if s.Kind == settings.KindService {
			continue
		}
		out = append(out, orders.Backend{Addr: s.Address, Engine: fleet.Engine{
			Name: s.Name, Zone: s.Zone, Fences: s.Fences, Leaving: leaving[s.Name], Slots: fleet.DefaultSlots,
			Configured: configured[s.Name],
		}})
	}
	return out
}

func (b *backends) wantedModels() []fleet.Want {
	copies := map[string]int{}
	var names []string
	for _, s := range b.configured {
		for _, m := range s.Models {
			if copies[m]++; copies[m] == 1 {
				names = append(names, m)
			}
		}
	}
	var out []fleet.Want
	for _, m := range names {
		out = append(out, fleet.Want{Model: m, Copies: min(copies[m], minModelCopies)})
	}
	return out
}

// startFleet registers the state of the orders, and subscribes to the models that engines
// serve.
func (n *Node) startFleet() {
	n.state.Register(control.FleetStateMachine, fleet.NewStateMachine())
	n.backends = &backends{configured: n.s.Backends, platform: n.members.platform, log: n.log}
	n.backends.indexServices(n.s.Backends)
	n.feed.OnChange(control.FleetStateMachine, n.backends.apply)
}

// runFleet keeps routing up to date and, while this VM leads the group, gives orders.
func (n *Node) runFleet(ctx context.Context) {
	go n.updateBackends(ctx)
	if n.group == nil {
		return
	}
	leader := orders.NewLeader(orders.Deps{
		Name: n.s.Self.ID + "#" + n.incarnation, Control: n.control, Engines: n.engines, IsLeader: n.group.IsLeader,
		Backends: n.backends.engines, Orders: n.ordersUnderWay, Served: n.backends.view.Load,
		Metrics: n.metrics, Log: n.log,
	}, n.backends.wantedModels())
	go leader.Run(ctx)
}

func (n *Node) ordersUnderWay() (out []fleet.Order) {
	n.state.Read(control.FleetStateMachine, func(s control.StateMachine) {
		if fleetState, ok := s.(*fleet.StateMachine); ok {
			out = fleetState.Orders()
		}
	})
	return out
}

func (n *Node) updateBackends(ctx context.Context) {
	last := n.s.Backends
	for timer.Sleep(ctx, fleetUpdateInterval) == nil {
		now := n.backends.list()
		n.backends.indexServices(now)
		if !reflect.DeepEqual(now, last) {
			n.router.SetBackends(now)
			last = now
		}
		leaving := n.backends.leaving()
		for _, b := range now {
			n.router.SetLeaving(b.Name, leaving[b.Name])
		}
	}
}
