package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Constants of the operator's edits during a local run.
const (
	editInterval = 700 * time.Millisecond
	editTimeout  = 15 * time.Second
	editedPlan   = "edited"
)

// editor changes one row of the lists repeatedly while faults happen. It checks that an
// accepted change is in force on every VM that admits requests, and that no version
// reverts to an earlier one.
type editor struct {
	system     *local.System
	rng        *rand.Rand
	inForce    *hdrhistogram.Histogram
	accepted   int
	row        uint64       // version of the row that was last accepted or read
	applied    []uint64     // by VM, the version of the lists that it last applied
	processes  []*node.Node // by VM, the process that applied that version
	violations []string
}

func newEditor(s *local.System, seed uint64) *editor {
	return &editor{
		system: s, rng: rand.New(rand.NewPCG(seed, 0xed)), inForce: histogram(),
		applied: make([]uint64, len(s.Nodes)), processes: make([]*node.Node, len(s.Nodes)),
	}
}

func (e *editor) run(ctx context.Context) {
	for n := int64(1); timer.Sleep(ctx, editInterval) == nil; n++ {
		e.edit(ctx, n)
		e.checkVMs(0)
	}
}

// edit changes the row through a random VM and checks all VMs once the change is in force.
func (e *editor) edit(ctx context.Context, n int64) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	began := time.Now()
	op := client.NewOperator(e.operatorAddrs(), "", "load")
	row := plan.Allowance{Plan: editedPlan, Models: []string{"none"}, TokensPerWindow: n, RequestsPerWindow: n, WindowSeconds: 60, Concurrent: 1, Share: 1}
	out, err := op.Do(ctx, client.Change{List: "allowances", Name: editedPlan, Row: row, IfMatch: e.row, Wait: true})
	if err != nil {
		e.reloadRow(op) // the change may have been accepted although its answer was lost
		return
	}
	e.accepted++
	e.row = out.Version
	if !out.InForce {
		return
	}
	recordDuration(e.inForce, time.Since(began))
	e.checkVMs(out.ListsVersion)
}

// reloadRow reads the row's current version, which must not be lower than an accepted one.
// It has a separate timeout, because the edit's may have expired.
func (e *editor) reloadRow(op *client.Operator) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	row, err := op.Allowance(ctx, editedPlan)
	if errors.Is(err, result.New(result.NotFound)) && e.row > 0 {
		e.violations = append(e.violations, fmt.Sprintf("the row of version %d no longer exists", e.row))
	}
	if err != nil {
		return
	}
	if row.Version < e.row {
		e.violations = append(e.violations, fmt.Sprintf("the row reverted from version %d to %d", e.row, row.Version))
	}
	e.row = row.Version
}

// operatorAddrs returns the operators' addresses of all VMs in random order.
func (e *editor) operatorAddrs() []string {
	var out []string
	for _, i := range e.rng.Perm(len(e.system.Nodes)) {
		out = append(out, e.system.Node(i).OperatorAddr())
	}
	return out
}

func (e *editor) checkVMs(inForce uint64) {
	for i := range e.system.Nodes {
		n := e.system.Node(i)
		version, admits := n.Applied()
		if admits && version < inForce {
			e.violations = append(e.violations, fmt.Sprintf("vm%d admits requests with lists of version %d, while version %d is in force", i+1, version, inForce))
		}
		if e.processes[i] == n && version < e.applied[i] {
			e.violations = append(e.violations, fmt.Sprintf("vm%d reverted from version %d of the lists to %d", i+1, e.applied[i], version))
		}
		e.processes[i], e.applied[i] = n, version
	}
}
