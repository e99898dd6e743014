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

// Figures of an operator's edits during a local run.
const (
	editEvery   = 700 * time.Millisecond
	editTimeout = 15 * time.Second
	editedPlan  = "edited"
)

// editor changes one row over and over while faults happen, and checks that
// what was accepted is in force on every VM that admits, and never reverts.
type editor struct {
	system   *local.System
	rng      *rand.Rand
	inForce  *hdrhistogram.Histogram
	accepted int
	row      uint64       // version of the row
	seen     []uint64     // by VM, the lists' version last seen there
	lives    []*node.Node // by VM, the process that it was seen on
	wrong    []string
}

func newEditor(s *local.System, seed uint64) *editor {
	return &editor{
		system: s, rng: rand.New(rand.NewPCG(seed, 0xed)), inForce: histogram(),
		seen: make([]uint64, len(s.Nodes)), lives: make([]*node.Node, len(s.Nodes)),
	}
}

func (e *editor) run(ctx context.Context) {
	for n := int64(1); timer.Sleep(ctx, editEvery) == nil; n++ {
		e.edit(ctx, n)
		e.checkVMs(0)
	}
}

// edit changes the row by any VM, and looks at all of them once it is in force.
func (e *editor) edit(ctx context.Context, n int64) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	began := time.Now()
	op := client.NewOperator(e.operators(), "", "load")
	row := plan.Allowance{Plan: editedPlan, Models: []string{"none"}, TokensPerWindow: n, RequestsPerWindow: n, WindowSeconds: 60, Concurrent: 1, Share: 1}
	out, err := op.Do(ctx, client.Change{List: "allowances", Name: editedPlan, Row: row, IfMatch: e.row, Wait: true})
	if err != nil {
		e.reread(op) // it may have been accepted: its answer was lost
		return
	}
	e.accepted++
	e.row = out.Version
	if !out.InForce {
		return
	}
	record(e.inForce, time.Since(began))
	e.checkVMs(out.ListsVersion)
}

// reread takes the row's present version, which is never below an accepted one.
// It has a time of its own: the edit's may have run out.
func (e *editor) reread(op *client.Operator) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	row, err := op.Allowance(ctx, editedPlan)
	if errors.Is(err, result.New(result.NotFound)) && e.row > 0 {
		e.wrong = append(e.wrong, fmt.Sprintf("the row of version %d is gone", e.row))
	}
	if err != nil {
		return
	}
	if row.Version < e.row {
		e.wrong = append(e.wrong, fmt.Sprintf("the row went back from version %d to %d", e.row, row.Version))
	}
	e.row = row.Version
}

// operators are the operators' addresses of all VMs in random order.
func (e *editor) operators() []string {
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
			e.wrong = append(e.wrong, fmt.Sprintf("vm%d admits by lists of version %d, %d is in force", i+1, version, inForce))
		}
		if e.lives[i] == n && version < e.seen[i] {
			e.wrong = append(e.wrong, fmt.Sprintf("vm%d went back from version %d to %d", i+1, e.seen[i], version))
		}
		e.lives[i], e.seen[i] = n, version
	}
}
