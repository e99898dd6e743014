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
	return addGroup(p, "rollout", "roll-outs of a service's versions", "Moves a service to a new version under watch.", []subcommand{
		{"start", "order a roll-out", "Sends a part of the requests to the new version, and completes or reverts it by what comes of them.", &rolloutStart{}},
		{"status", "print a service's roll-out", "Prints the newest roll-out, confirmed by a majority of the control group.", &rolloutStatus{}},
		{"watch", "print a roll-out until it is over", "Prints each step. The exit code is 1 where it is reverted.", &rolloutWatch{}},
	})
}

type rolloutStart struct {
	connection
	To       string        `long:"to" required:"yes" description:"the new version"`
	Duration time.Duration `long:"duration" default:"30s" description:"within which an outcome is wanted"`
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
	connection
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

// watchEvery is the pause between two looks of rollout watch.
const watchEvery = 500 * time.Millisecond

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
		if now := fmt.Sprint(r.Number, r.Phase, r.Reason, r.Share); now != last {
			last = now
			if err := c.print(r, func() { printRollout(&r) }); err != nil {
				return err
			}
		}
		switch {
		case r.Over && r.Phase != "completed":
			return fmt.Errorf("version %q of %q was reverted: %s", r.To, r.Service, r.Reason)
		case r.Over:
			return nil
		}
		if err := timer.Sleep(context.Background(), watchEvery); err != nil {
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
