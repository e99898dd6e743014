package main

import (
	"context"
	"errors"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/demo"
)

const demoTimeout = 20 * time.Second

type demoCommand struct {
	JSON bool `long:"json" description:"print the report as JSON"`
}

func addDemo(p *flags.Parser) error {
	_, err := p.AddCommand("demo", "run the system in this process and inject faults",
		"Starts three VMs, stand-in engines and a stand-in dispatch service on loopback, runs generations, "+
			"kills an engine and a VM in mid-output, books a job over a breaking connection, and checks every answer.",
		&demoCommand{})
	return err
}

var errDemoCheck = errors.New("demo: a check failed")

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	report, err := demo.Run(ctx, func(step string) { progress("... " + step) })
	if err != nil {
		return err
	}
	if err := printReport(c.JSON, report); err != nil {
		return err
	}
	if !report.OK {
		return errDemoCheck
	}
	return nil
}
