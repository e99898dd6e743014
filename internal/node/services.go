package node

import (
	"context"
	"crypto/rand"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/gateway"
	"github.com/amaranthshelf/amaranthshelf/internal/quota"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// parseIdempotencyRules returns the idempotency rules by service. The settings were validated
// before, so every rule parses.
func parseIdempotencyRules(backends []settings.Backend) map[string][]call.IdempotencyRule {
	out := map[string][]call.IdempotencyRule{}
	for _, b := range backends {
		for _, text := range b.IdempotencyRules {
			if rule, err := call.ParseIdempotencyRule(text); err == nil {
				out[b.Service] = append(out[b.Service], rule)
			}
		}
	}
	return out
}

// startServices registers the claims of calls with the replicated state and creates the
// dispatcher of calls.
func (n *Node) startServices() {
	n.state.Register(control.CallsStateMachine, call.NewStateMachine(call.DefaultLimits()))
	n.services = service.NewDispatcher(
		service.Config{
			VM: n.s.Self.ID, Incarnation: n.incarnation, Zone: n.s.Self.Zone, IdempotencyRules: parseIdempotencyRules(n.s.Backends),
		},
		service.Deps{
			Control: n.control, Sender: service.NewClient(), Backends: n.backends, Incarnations: n.members,
			Explain: n.explain, Tracer: n.tracer, Metrics: n.metrics, Log: n.log,
		})
}

func (n *Node) serviceRoutes(gw *gateway.Gateway, r *mux.Router) {
	gw.ServiceRoutes(r, n.services, n.plans)
}

// ReserveCall implements gateway.CallQuota. Each call has its own reservation, even if a
// retry arrives while the first call runs. The claim decides later which of them runs, and
// the other's reservation is cancelled.
func (p *plans) ReserveCall(ctx context.Context, c gateway.Caller, key string) (func(used bool), error) {
	r, err := p.quota.Reserve(ctx, quota.Request{
		ID: "call/" + key + "/" + rand.Text(), Workspace: c.Customer.Workspace, Allowance: c.Allowance,
	})
	if err != nil {
		return nil, err
	}
	return func(used bool) {
		if used {
			r.Settle(0)
			return
		}
		r.Cancel()
	}, nil
}
