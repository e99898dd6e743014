package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
)

func addControl(p *flags.Parser) error {
	return addGroup(p, "control", "the control group", "Shows and repairs the group of control VMs.", []subcommand{
		{"list", "show the members", "Shows the members of the control group and how many entries each lags behind the leader.", &controlList{}},
		{
			"remove", "remove a lost VM from the voters", "Removes a control VM that will not return under its id from the voters. " +
				"A VM that lost only its disk needs no removal: start it with an empty data folder.", &controlRemove{},
		},
	})
}

type controlList struct{ apiOptions }

// Execute implements flags.Commander.
func (c *controlList) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.Control(ctx)
		return c.printControlGroup(raw, err)
	})
}

func (c *apiOptions) printControlGroup(raw json.RawMessage, err error) error {
	if err != nil {
		return err
	}
	var s control.MemberStats
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	return c.print(raw, func() { printMembers(&s) })
}

func printMembers(s *control.MemberStats) {
	fmt.Printf("leader %s, term %d, %d changes committed\n", s.Member, s.Term, s.Commit)
	printTable("VM\tMEMBER\tROLE\tBEHIND", func(w *tabwriter.Writer) {
		row := func(id, role string) {
			vm, _, _ := strings.Cut(id, "/")
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", vm, id, role, s.LagEntries[id])
		}
		for _, id := range s.Voters {
			row(id, "voter")
		}
		for _, id := range s.Learners {
			row(id, "learner")
		}
	})
}

type controlRemove struct {
	apiOptions
	Args struct {
		VM string `positional-arg-name:"VM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *controlRemove) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.RemoveControl(ctx, c.Args.VM)
		return c.printControlGroup(raw, err)
	})
}
