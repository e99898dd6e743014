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

// fleetEvery is how often the backend servers' list is put together: "leaving"
// must show within seconds, and the platform's own list is read each second.
const fleetEvery = 500 * time.Millisecond

// wantedCopies is the least number of copies of each model: with two, one more
// engine may die. A model that has fewer by the settings wants those.
const wantedCopies = 2

// backends are the backend servers by the settings, the platform's list and what
// orders have loaded. Safe for concurrent use.
type backends struct {
	configured []settings.Backend
	platform   *inventory.Reader
	view       atomic.Pointer[fleet.View]
	services   atomic.Pointer[map[string][]service.Backend] // by service, none that is leaving
	log        zerolog.Logger
}

func (b *backends) take(data []byte) {
	v, err := fleet.NewView(data)
	if err != nil {
		b.log.Error().Err(err).Msg("what engines serve")
		return
	}
	b.view.Store(v)
}

// list is every backend server with the models that it should get work for:
// those of the settings, and those that an order has loaded.
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

// leaving names the backend servers that the platform says are leaving.
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

// index makes the answers of Service.
func (b *backends) index(list []settings.Backend) {
	all := map[string][]service.Backend{}
	leaving := b.leaving()
	for _, s := range list {
		if s.Kind == settings.KindService && !leaving[s.Name] {
			all[s.Service] = append(all[s.Service], service.Backend{Name: s.Name, Addr: s.Address, Zone: s.Zone})
		}
	}
	b.services.Store(&all)
}

// engines are the engines as orders see them.
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

func (b *backends) wants() []fleet.Want {
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
		out = append(out, fleet.Want{Model: m, Copies: min(copies[m], wantedCopies)})
	}
	return out
}

// startFleet registers the orders' state and follows what engines serve.
func (n *Node) startFleet() {
	n.machine.Register(control.FleetStateMachine, fleet.NewStateMachine())
	n.backends = &backends{configured: n.s.Backends, platform: n.members.platform, log: n.log}
	n.backends.index(n.s.Backends)
	n.feed.OnChange(control.FleetStateMachine, n.backends.take)
}

// runFleet keeps routing up to date and, on the group's leader, gives orders.
func (n *Node) runFleet(ctx context.Context) {
	go n.followBackends(ctx)
	if n.group == nil {
		return
	}
	leader := orders.NewLeader(orders.Deps{
		Name: n.s.Self.ID + "#" + n.incarnation, Control: n.control, Engines: n.engines, IsLeader: n.group.IsLeader,
		Backends: n.backends.engines, Orders: n.ordersUnderWay, Served: n.backends.view.Load,
		Metrics: n.metrics, Log: n.log,
	}, n.backends.wants())
	go leader.Run(ctx)
}

func (n *Node) ordersUnderWay() (out []fleet.Order) {
	n.machine.Read(control.FleetStateMachine, func(p control.StateMachine) {
		if part, ok := p.(*fleet.StateMachine); ok {
			out = part.Orders()
		}
	})
	return out
}

func (n *Node) followBackends(ctx context.Context) {
	last := n.s.Backends
	for timer.Sleep(ctx, fleetEvery) == nil {
		now := n.backends.list()
		n.backends.index(now)
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
