package local

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const publishTimeout = 15 * time.Second // includes the control group's first election

// publish writes the plans and allowances through the operators' API and waits until
// every VM applies them.
func (s *System) publish(customers []plan.Customer, allowances []plan.Allowance) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	o := s.Operator()
	for _, a := range allowances {
		if err := create(ctx, o, "allowances", a.Plan, a); err != nil {
			return err
		}
	}
	for _, c := range customers {
		if err := create(ctx, o, "plans", c.Workspace, c); err != nil {
			return err
		}
	}
	return waitApplied(ctx, o)
}

// Operator returns a client of the operators' API on all VMs.
func (s *System) Operator() *client.Operator {
	var addrs []string
	for _, n := range s.Nodes {
		addrs = append(addrs, n.OperatorAddr())
	}
	return client.NewOperator(addrs, s.token, "local")
}

func create(ctx context.Context, o *client.Operator, list, name string, row any) error {
	if _, err := o.Do(ctx, client.Change{List: list, Name: name, Row: row}); err != nil {
		return fmt.Errorf("local: create %s %s: %w", list, name, err)
	}
	return nil
}

const statusPause = 20 * time.Millisecond

// waitApplied waits until every VM is fresh and applies the current version of the lists.
func waitApplied(ctx context.Context, o *client.Operator) error {
	_, version, err := o.Plans(ctx, false)
	if err != nil {
		return err
	}
	for {
		raw, err := o.Status(ctx)
		if err != nil {
			return err
		}
		var status operator.Status
		if err := json.Unmarshal(raw, &status); err != nil {
			return err
		}
		pending := slices.ContainsFunc(status.VMs, func(vm operator.VMStatus) bool { return !vm.Fresh || vm.Version < version })
		if !pending {
			return nil
		}
		if err := timer.Sleep(ctx, statusPause); err != nil {
			return fmt.Errorf("local: plans are not applied on all VMs: %w", err)
		}
	}
}
