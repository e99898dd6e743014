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

// plans holds the lists in force on this VM, and what it may use of them.
type plans struct {
	fresh  func() bool
	ledger *plan.Ledger
	quota  *quota.Quota
	log    zerolog.Logger
	dir    atomic.Pointer[plan.Directory]
	view   *plan.View // of the feed's goroutine
	cancel context.CancelFunc
}

// retryFresh is when to come back to a VM that lost the control group: its own
// callers have other VMs in their entry answer meanwhile.
const retryFresh = time.Second

// Directory implements gateway.Plans. A VM that was cut off admits nothing once
// its lease has lapsed: it could still hold a plan that was withdrawn, while the
// operator was told that the change is in force. Running answers don't ask.
func (p *plans) Directory() (*plan.Directory, error) {
	if !p.fresh() {
		return nil, result.New(result.NotFresh).WithRetryAfter(retryFresh)
	}
	return p.dir.Load(), nil
}

// Reserve implements relay.Quota.
func (p *plans) Reserve(ctx context.Context, req *generation.Request) (func(ran bool, tokens int), error) {
	d, err := p.Directory()
	if err != nil {
		return nil, err
	}
	_, allowance, ok := d.Workspace(req.ID.Workspace)
	if !ok {
		return nil, result.New(result.Unauthorized) // removed since its key was looked up
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

// startPlans registers the lists and the ledger with the control group's state,
// and follows the lists.
func (n *Node) startPlans() {
	book := plan.NewRegistry()
	ledger := plan.NewLedger(book, n.ledgerBroken)
	n.machine.Register(control.PlansStateMachine, book)
	n.machine.Register(control.LedgerStateMachine, ledger)
	ctx, cancel := context.WithCancel(context.Background())
	n.plans = &plans{
		fresh: n.fresh, ledger: ledger, log: n.log, view: plan.NewView(), cancel: cancel,
		quota: quota.New(n.s.Self.ID, n.incarnation, n.control, n.metrics, n.log),
	}
	n.plans.dir.Store(n.plans.view.Directory())
	n.feed.OnChange(control.PlansStateMachine, n.plans.take)
	n.metrics.Set("plans_version", expvar.Func(func() any { return n.plans.version() }))
	go n.plans.quota.Run(ctx)
}

func (n *Node) ledgerBroken(err error) {
	n.metrics.Add("ledger_invariants_broken", 1)
	n.log.Error().Err(err).Msg("ledger")
}

func (p *plans) version() uint64 { return p.dir.Load().Version }

// take applies a change of the lists.
func (p *plans) take(data []byte) {
	if err := p.view.Apply(data); err != nil {
		p.log.Error().Err(err).Uint64("version", p.view.Version()).Msg("change of the lists refused")
		return
	}
	next := p.view.Directory()
	p.dir.Store(next)
	p.quota.Recall(next)
}

// fresh reports whether this VM may admit: it holds the lists in force, and
// knows the VMs that keep journals.
func (n *Node) fresh() bool { return n.feed.Fresh() && n.members.hasFormed() }

// Applied is the version of the lists that this VM applies, and whether it
// admits by them now.
func (n *Node) Applied() (version uint64, admits bool) {
	admits = n.fresh()
	return n.plans.version(), admits
}
