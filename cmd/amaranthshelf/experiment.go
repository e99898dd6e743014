package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/experiment"
)

type experimentRecovery struct {
	JSON bool `long:"json" description:"print as JSON; durations in ns"`
}

func addExperiment(p *flags.Parser) error {
	e, err := p.AddCommand("experiment", "compare the policies with baselines in simulation",
		"Runs the decision modules against simulated engines and callers on a virtual clock.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = e.AddCommand("recovery", "resume latency and extra work after engines fail",
		"Simulates five faults under both objectives and two baselines, with ten seeds each. Takes half a minute.", &experimentRecovery{})
	return err
}

// Execute implements flags.Commander.
func (c *experimentRecovery) Execute([]string) error {
	rows := experiment.Recovery(progress)
	if c.JSON {
		return printJSON(rows)
	}
	fmt.Print(experiment.RecoveryTable(rows))
	return nil
}
