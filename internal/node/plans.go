package node

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/quota"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// plans holds the customer and allowance lists in force on this VM, and its share of the
// quotas.
type plans struct {
	fresh     func() bool
	ledger    *plan.Ledger
	quota     *quota.Quota
	log       zerolog.Logger
	directory atomic.Pointer[plan.Directory]
	view      *plan.View // accessed only by the feed's goroutine
	cancel    context.CancelFunc
}

// notFreshRetryAfter is the Retry-After of a VM that has lost the control group. Meanwhile
// its callers can use the other VMs of their entry answer.
const notFreshRetryAfter = time.Second

// Directory implements gateway.Plans. A VM that is cut off from the control group admits
// nothing once its lease has expired. It could still hold a plan that was withdrawn, after
// the operator got the confirmation that the change is in force. Running answers do not
// need the directory.
func (p *plans) Directory() (*plan.Directory, error) {
	if !p.fresh() {
		return nil, result.New(result.NotFresh).WithRetryAfter(notFreshRetryAfter)
	}
	return p.directory.Load(), nil
}

// Reserve implements relay.Quota.
func (p *plans) Reserve(ctx context.Context, req *generation.Request) (func(ran bool, tokens int), error) {
	d, err := p.Directory()
	if err != nil {
		return nil, err
	}
	_, allowance, ok := d.Workspace(req.ID.Workspace)
	if !ok {
		return nil, result.New(result.Unauthorized) // removed after its key was looked up
	}
	r, err := p.quota.Reserve(ctx, quota.Request{
		ID: req.ID.Key, Workspace: req.ID.Workspace, Allowance: allowance, Tokens: int64(req.Cost()),
	})
	if err != nil {
		return nil, err
	}
	return func(ran bool, tokens int) {
		if ran {
			r.Settle(int64(tokens))
			return
		}
		r.Cancel()
	}, nil
}

// startPlans registers the lists and the quota ledger with the replicated state, and
// subscribes to the lists.
func (n *Node) startPlans() {
	registry := plan.NewRegistry()
	ledger := plan.NewLedger(registry, n.reportLedgerFault)
	n.state.Register(control.PlansStateMachine, registry)
	n.state.Register(control.LedgerStateMachine, ledger)
	ctx, cancel := context.WithCancel(context.Background())
	n.plans = &plans{
		fresh: n.fresh, ledger: ledger, log: n.log, view: plan.NewView(), cancel: cancel,
		quota: quota.New(n.s.Self.ID, n.incarnation, n.control, n.metrics, n.log),
	}
	n.plans.directory.Store(n.plans.view.Directory())
	n.feed.OnChange(control.PlansStateMachine, n.plans.apply)
	n.metrics.Set("plans_version", expvar.Func(func() any { return n.plans.version() }))
	go n.plans.quota.Run(ctx)
}

func (n *Node) reportLedgerFault(err error) {
	n.metrics.Add("ledger_invariants_broken", 1)
	n.log.Error().Err(err).Msg("invariant of the quota ledger is broken")
}

func (p *plans) version() uint64 { return p.directory.Load().Version }

// apply applies a change of the lists.
func (p *plans) apply(data []byte) {
	if err := p.view.Apply(data); err != nil {
		p.log.Error().Err(err).Uint64("version", p.view.Version()).Msg("change of the plan lists could not be applied; keeping the lists in force")
		return
	}
	next := p.view.Directory()
	p.directory.Store(next)
	p.quota.Recall(next)
}

// fresh reports whether this VM may admit requests: its lists are in force, and the VMs
// that can keep journals are known.
func (n *Node) fresh() bool { return n.feed.Fresh() && n.members.hasFormed() }

// Applied returns the version of the lists that this VM applies, and whether it currently
// admits requests.
func (n *Node) Applied() (version uint64, admits bool) {
	admits = n.fresh()
	return n.plans.version(), admits
}
