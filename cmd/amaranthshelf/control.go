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
		{"list", "show the members", "Shows the control group's members and how far each is, as the leader sees them.", &controlList{}},
		{
			"remove", "take a lost VM's vote", "Takes the vote from a control VM that will not come back under its id. " +
				"A VM that lost only its disk needs no removal: start it with an empty folder.", &controlRemove{},
		},
	})
}

type controlList struct{ connection }

// Execute implements flags.Commander.
func (c *controlList) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.Control(ctx)
		return c.printGroup(raw, err)
	})
}

func (c *connection) printGroup(raw json.RawMessage, err error) error {
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
	table("VM\tMEMBER\tROLE\tBEHIND", func(w *tabwriter.Writer) {
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
	connection
	Args struct {
		VM string `positional-arg-name:"VM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *controlRemove) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.RemoveControl(ctx, c.Args.VM)
		return c.printGroup(raw, err)
	})
}
