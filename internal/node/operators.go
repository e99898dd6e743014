package node

import (
	"context"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// statusCounters are the counters that `amaranthshelf status` shows.
var statusCounters = []string{
	"takeovers", "attempts_lost", "events_foreign", "quota_messages", "quota_messages_failed",
	"quota_incarnations_lost", "ledger_invariants_broken",
}

func (n *Node) addOperatorRoutes(r *mux.Router) {
	n.network.Handle(peer.KindQuery, n.handleQuery)
	operator.New(operator.Deps{
		Token: n.s.OperatorToken, VM: n.s.Self.ID, Control: n.control, Lists: n, InForce: n,
		Transport: n.network, VMs: n.vmIDs, Self: n.status, Explain: n.explainer, Group: n.remote, Log: n.log,
	}).Routes(r)
}

// startExplain must run before startCallers and startOperators, since both listeners serve
// explanations.
func (n *Node) startExplain() { n.explainer = operator.NewExplainer(n.network, n.vmIDs, n.explain) }

func (n *Node) vmIDs() []string { return n.members.ids() }

func (n *Node) status() operator.VMStatus {
	out := operator.VMStatus{
		VM: n.s.Self.ID, Zone: n.s.Self.Zone, Incarnation: n.incarnation,
		Version: n.plans.version(), Fresh: n.fresh(), Ready: n.ready.Load(), Leader: n.leader(), Counters: map[string]int64{},
	}
	for _, role := range n.s.Self.Roles {
		out.Roles = append(out.Roles, string(role))
	}
	for _, name := range statusCounters {
		if v, ok := n.metrics.Get(name).(interface{ Value() int64 }); ok {
			out.Counters[name] = v.Value()
		}
	}
	return out
}

// Ask implements operator.Lists. A VM without the control role does not hold the rows with
// their versions, and forwards the query to a control VM.
func (n *Node) Ask(ctx context.Context, q plan.Query) (plan.Answer, error) {
	if n.group != nil {
		return n.answer(ctx, q)
	}
	var out plan.Answer
	err := error(result.New(result.ControlUnavail))
	for _, vm := range n.s.VMs {
		if !vm.HasRole(settings.RoleControl) {
			continue
		}
		if err = n.askVM(ctx, vm.ID, q, &out); err == nil {
			return out, nil
		}
	}
	return out, err
}

// askTimeout bounds the query to one control VM. After it the next one is asked.
const askTimeout = 2 * time.Second

func (n *Node) askVM(ctx context.Context, vm string, q plan.Query, out *plan.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return n.network.Call(ctx, vm, peer.KindQuery, q, out)
}

func (n *Node) answer(ctx context.Context, q plan.Query) (out plan.Answer, err error) {
	if err := n.control.Barrier(ctx); err != nil {
		return out, err
	}
	n.state.Read(control.PlansStateMachine, func(registry control.StateMachine) { out = registry.(*plan.Registry).Ask(q, n.plans.ledger) })
	return out, nil
}

func (n *Node) handleQuery(ctx context.Context, _ string, body []byte) (any, error) {
	var q plan.Query
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if n.group == nil {
		return nil, result.New(result.ControlUnavail)
	}
	return n.answer(ctx, q)
}

// Wait implements operator.InForce.
func (n *Node) Wait(ctx context.Context, version uint64) error {
	return control.WaitInForce(ctx, n.control, control.PlansStateMachine, version)
}
