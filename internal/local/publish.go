package local

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

const publishTimeout = 15 * time.Second // covers the group's first election

// publish writes the lists as an operator does, and waits until they are in
// force. It asks every VM, each time with the same keys: VMs of one control
// group make each change once, VMs that are groups of their own make it each.
func (s *System) publish(customers []plan.Customer, allowances []plan.Allowance) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	for _, n := range s.Nodes {
		o := client.NewOperator([]string{n.OperatorAddr()}, s.token, "local")
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
	}
	for _, n := range s.Nodes {
		if _, _, err := client.NewOperator([]string{n.OperatorAddr()}, s.token, "local").Plans(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

func create(ctx context.Context, o *client.Operator, list, name string, row any) error {
	_, err := o.Do(ctx, client.Change{List: list, Name: name, Row: row, Key: "local-" + list + "-" + name})
	if err != nil {
		return fmt.Errorf("local: %s %s: %w", list, name, err)
	}
	return nil
}
