package node

import (
	"context"
	"expvar"
	"sync/atomic"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/quota"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// plans holds the lists in force on this VM, and what it may use of them.
type plans struct {
	machine *control.Machine
	ledger  *plan.Ledger
	quota   *quota.Quota
	dir     atomic.Pointer[plan.Directory]
	cancel  context.CancelFunc
}

// Directory implements gateway.Plans.
func (p *plans) Directory() (*plan.Directory, error) {
	d := p.dir.Load()
	if d == nil {
		return nil, result.New(result.NotFresh)
	}
	return d, nil
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
	book := plan.NewBook()
	n.machine.Register(control.PartPlans, book)
	ledger := plan.NewLedger(book, n.ledgerBroken)
	n.machine.Register(control.PartLedger, ledger)
	ctx, cancel := context.WithCancel(context.Background())
	n.plans = &plans{
		machine: n.machine, ledger: ledger, cancel: cancel,
		quota: quota.New(n.s.Self.ID, n.incarnation, n.control, n.metrics, n.log),
	}
	n.metrics.Set("plans_version", expvar.Func(func() any { return n.plans.version() }))
	go n.plans.quota.Run(ctx)
	go n.plans.follow(ctx)
}

func (n *Node) ledgerBroken(err error) {
	n.metrics.Add("ledger_invariants_broken", 1)
	n.log.Error().Err(err).Msg("ledger")
}

func (p *plans) version() uint64 {
	if d := p.dir.Load(); d != nil {
		return d.Version
	}
	return 0
}

// follow applies each change of the lists as it is committed.
func (p *plans) follow(ctx context.Context) {
	view := plan.NewView()
	for {
		changed := p.machine.Changed()
		p.machine.Read(control.PartPlans, func(part control.Part) {
			if part.Version() != view.Version() {
				_ = view.Take(part.Changes(view.Version())) // within one process: always of the documented form
			}
		})
		if d := p.dir.Load(); d == nil || d.Version != view.Version() {
			next := view.Directory()
			p.dir.Store(next)
			p.quota.Recall(next)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
