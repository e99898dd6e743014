package node

import (
	"sync/atomic"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// plans holds the lists in force.
type plans struct {
	dir atomic.Pointer[plan.Directory]
}

// Directory implements gateway.Plans.
func (p *plans) Directory() (*plan.Directory, error) {
	d := p.dir.Load()
	if d == nil {
		return nil, result.New(result.NotFresh)
	}
	return d, nil
}

func (n *Node) startPlans() { n.plans = &plans{} }

// SetPlans puts lists in force on this VM.
func (n *Node) SetPlans(d *plan.Directory) { n.plans.dir.Store(d) }
