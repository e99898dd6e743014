package node

import (
	"context"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

// counters that `amaranthshelf status` shows.
var statusCounters = []string{
	"takeovers", "attempts_lost", "events_foreign", "quota_messages", "quota_messages_failed",
	"quota_incarnations_lost", "ledger_invariants_broken",
}

func (n *Node) addOperatorRoutes(r *mux.Router) {
	operator.New(operator.Deps{
		Token: n.s.OperatorToken, VM: n.s.Self.ID, Control: n.control, Lists: n, InForce: n,
		Transport: n.network, VMs: n.vmIDs, Self: n.status, Explain: n.explainer, Log: n.log,
	}).Routes(r)
}

// startExplain must come before both HTTP listeners: each serves explanations.
func (n *Node) startExplain() { n.explainer = operator.NewExplainer(n.network, n.vmIDs, n.explain) }

func (n *Node) vmIDs() []string {
	out := make([]string, 0, len(n.s.VMs))
	for _, vm := range n.s.VMs {
		out = append(out, vm.ID)
	}
	return out
}

func (n *Node) status() operator.VMStatus {
	out := operator.VMStatus{
		VM: n.s.Self.ID, Zone: n.s.Self.Zone, Incarnation: n.incarnation,
		Version: n.plans.version(), Ready: n.ready.Load(), Counters: map[string]int64{},
	}
	for _, role := range n.s.Self.Roles {
		out.Roles = append(out.Roles, string(role))
	}
	_, err := n.plans.Directory()
	out.Fresh = err == nil
	for _, name := range statusCounters {
		if v, ok := n.metrics.Get(name).(interface{ Value() int64 }); ok {
			out.Counters[name] = v.Value()
		}
	}
	return out
}

// Read implements operator.Lists.
func (n *Node) Read(ctx context.Context, f func(*plan.Book, *plan.Ledger)) error {
	if err := n.control.Barrier(ctx); err != nil {
		return err
	}
	n.machine.Read(control.PartPlans, func(book control.Part) { f(book.(*plan.Book), n.plans.ledger) })
	return nil
}

// leaseMargin covers the drift of two VMs' clocks over one lease: 1% is a
// hundred times what quartz clocks drift.
const leaseMargin = 1.01

const inForcePoll = 50 * time.Millisecond

// Wait implements operator.InForce. A version is in force once every VM says
// that it applies it. A VM that does not answer holds it up for one freshness
// lease at most: by then it has caught up, or admits nothing.
func (n *Node) Wait(ctx context.Context, version uint64) error {
	lapsed := time.NewTimer(time.Duration(float64(n.s.FreshnessTTL) * leaseMargin))
	defer lapsed.Stop()
	for {
		if n.appliedEverywhere(ctx, version) {
			return nil
		}
		select {
		case <-lapsed.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(inForcePoll):
		}
	}
}

func (n *Node) appliedEverywhere(ctx context.Context, version uint64) bool {
	for _, s := range operator.AskStatus(ctx, n.network, n.vmIDs()) {
		if !s.Reachable || s.Version < version {
			return false
		}
	}
	return true
}
