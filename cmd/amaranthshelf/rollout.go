package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

func addRollout(p *flags.Parser) error {
	return addGroup(p, "rollout", "roll-outs of a service's versions", "Moves a service to a new version and reverts it when the version fails.", []subcommand{
		{"start", "start a roll-out", "Sends a share of the requests to the new version. Completes or reverts the roll-out according to their results.", &rolloutStart{}},
		{"status", "print a service's roll-out", "Prints the newest roll-out, confirmed by a majority of the control group.", &rolloutStatus{}},
		{"watch", "print a roll-out until it ends", "Prints each step. The exit code is 1 if the roll-out is reverted.", &rolloutWatch{}},
	})
}

type rolloutStart struct {
	apiOptions
	To       string        `long:"to" required:"yes" description:"the new version"`
	Duration time.Duration `long:"duration" default:"30s" description:"time within which the roll-out should have an outcome"`
	Args     struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rolloutStart) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		r, err := o.StartRollout(ctx, c.Args.Service, c.To, c.Duration)
		if err != nil {
			return err
		}
		return c.print(r, func() { printRollout(&r) })
	})
}

type rolloutStatus struct {
	apiOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rolloutStatus) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		r, err := o.Rollout(ctx, c.Args.Service)
		if err != nil {
			return err
		}
		return c.print(r, func() { printRollout(&r) })
	})
}

// watchInterval is the pause between two polls of rollout watch.
const watchInterval = 500 * time.Millisecond

type rolloutWatch struct{ rolloutStatus }

// Execute implements flags.Commander.
func (c *rolloutWatch) Execute([]string) error {
	last := ""
	for {
		var r client.Rollout
		err := c.call(func(ctx context.Context, o *client.Operator) (err error) {
			r, err = o.Rollout(ctx, c.Args.Service)
			return err
		})
		if err != nil {
			return err
		}
		if current := fmt.Sprint(r.Number, r.Phase, r.Reason, r.Share); current != last {
			last = current
			if err := c.print(r, func() { printRollout(&r) }); err != nil {
				return err
			}
		}
		switch {
		case r.Over && r.Phase != "completed":
			return fmt.Errorf("roll-out of version %q of service %q was reverted: %s", r.To, r.Service, r.Reason)
		case r.Over:
			return nil
		}
		if err := timer.Sleep(context.Background(), watchInterval); err != nil {
			return err
		}
	}
}

func printRollout(r *client.Rollout) {
	fmt.Printf("%s: roll-out %d to %s is %s", r.Service, r.Number, r.To, r.Phase)
	if r.Phase == "trial" {
		fmt.Printf(", with %.1f%% of the requests", 100*r.Share)
	}
	if r.Reason != "" {
		fmt.Printf(" (%s)", r.Reason)
	}
	fmt.Println()
}
