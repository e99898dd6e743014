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
	e, err := p.AddCommand("experiment", "compare the policies with baselines on a model",
		"Runs the decision modules against modelled engines and callers on a virtual clock.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = e.AddCommand("recovery", "resume latency and extra work after engines fail",
		"Five faults under both objectives and two baselines, ten seeds each. Takes half a minute.", &experimentRecovery{})
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
