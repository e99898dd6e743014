package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
)

// Kinds of what can be cordoned, in the operators' API.
const (
	kindEngine = "engine"
	kindVM     = "vm"
)

func addCordon(p *flags.Parser) error {
	return addGroup(p, "cordon", "servers and VMs out of service", "Keeps new work away from a backend server or a VM for a limited time. Running work goes on.", []subcommand{
		{"engine", "take a backend server out of service", "Names the server by its id or its address. The same cordon again replaces its end and reason.", &cordonPut{kind: kindEngine}},
		{"vm", "take a VM out of service", "Names the VM by its id or its address for callers. It is named to no caller, and serves those that know it.", &cordonPut{kind: kindVM}},
		{"list", "print the cordons in force", "Prints the cordons, confirmed by a majority of the control group.", &cordonList{}},
	})
}

func addUncordon(p *flags.Parser) error {
	return addGroup(p, "uncordon", "put servers and VMs into service again", "Ends a cordon before its time.", []subcommand{
		{"engine", "put a backend server into service", "Names the server as the cordon does.", &cordonRemove{kind: kindEngine}},
		{"vm", "put a VM into service", "Names the VM as the cordon does.", &cordonRemove{kind: kindVM}},
	})
}

type cordonID struct {
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

type cordonPut struct {
	apiOptions
	cordonID
	For    time.Duration `long:"for" required:"yes" description:"time until the cordon ends by itself: 1s to 168h"`
	Reason string        `long:"reason" required:"yes" description:"why, for other operators; at most 200 bytes"`
	kind   string
}

// Execute implements flags.Commander.
func (c *cordonPut) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		got, err := o.PutCordon(ctx, c.kind, c.Args.ID, c.For, c.Reason)
		if err != nil {
			return err
		}
		return c.print(got, func() {
			fmt.Printf("%s %s: no new work for %v\n", got.Kind, got.ID, remaining(&got))
			if !got.Listed {
				fmt.Printf("no such %s is known now; the cordon applies if one appears\n", got.Kind)
			}
		})
	})
}

type cordonRemove struct {
	apiOptions
	cordonID
	kind string
}

// Execute implements flags.Commander.
func (c *cordonRemove) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		if err := o.RemoveCordon(ctx, c.kind, c.Args.ID); err != nil {
			return err
		}
		return c.print(map[string]bool{"removed": true}, func() { fmt.Printf("%s %s is in service\n", c.kind, c.Args.ID) })
	})
}

type cordonList struct{ apiOptions }

// Execute implements flags.Commander.
func (c *cordonList) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		all, err := o.Cordons(ctx)
		if err != nil {
			return err
		}
		return c.print(all, func() {
			printTable("KIND\tID\tKNOWN\tREMAINING\tREASON", func(w *tabwriter.Writer) {
				for i := range all {
					fmt.Fprintf(w, "%s\t%s\t%t\t%v\t%s\n", all[i].Kind, all[i].ID, all[i].Listed, remaining(&all[i]), all[i].Reason)
				}
			})
		})
	})
}

// remaining returns the time until a cordon ends, in whole seconds.
func remaining(c *client.Cordon) time.Duration {
	return (time.Duration(c.RemainingMS) * time.Millisecond).Round(time.Second)
}
