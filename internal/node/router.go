package node

import (
	"context"
	"slices"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// router picks the engine with the fewest runs from this VM.
type router struct {
	mu      sync.Mutex
	engines []settings.Backend
	running map[string]int
}

func newRouter(backends []settings.Backend) *router {
	return &router{engines: backends, running: map[string]int{}}
}

// HasModel implements gateway.Models.
func (r *router) HasModel(model string) bool {
	return slices.ContainsFunc(r.engines, func(b settings.Backend) bool { return slices.Contains(b.Models, model) })
}

// Pick implements relay.Router.
func (r *router) Pick(_ context.Context, q relay.Query) (relay.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, b := range r.engines {
		if !slices.Contains(b.Models, q.Request.Model) || slices.Contains(q.Avoid, b.Name) {
			continue
		}
		if best < 0 || r.running[b.Name] < r.running[r.engines[best].Name] {
			best = i
		}
	}
	if best < 0 {
		return relay.Choice{}, result.New(result.NoBackendServer)
	}
	b := r.engines[best]
	r.running[b.Name]++
	return relay.Choice{
		Backend: relay.Backend{Name: b.Name, Addr: b.Address, Zone: b.Zone},
		Done:    func(relay.Outcome) { r.done(b.Name) },
	}, nil
}

func (r *router) done(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[name]--
}

func (n *Node) startRouting() { n.router = newRouter(n.s.Backends) }
