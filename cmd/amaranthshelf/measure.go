package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/measure"
)

type measureGateway struct {
	VMs     int  `long:"vms" default:"3" description:"VMs; journals have three keepers below five VMs, five from there on"`
	Streams int  `long:"streams" default:"256" description:"concurrent streams"`
	Tokens  int  `long:"tokens" default:"100" description:"tokens of each answer"`
	JSON    bool `long:"json" description:"print as JSON"`
}

func addMeasure(p *flags.Parser) error {
	m, err := p.AddCommand("measure", "take the figures of the capacity page",
		"Each measurement runs its baseline in the same process.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = m.AddCommand("gateway", "streams through the system against direct ones",
		"Runs the same streams direct from stand-in engines and through the VMs.", &measureGateway{})
	return err
}

// Execute implements flags.Commander.
func (c *measureGateway) Execute([]string) error {
	out, err := measure.RunGateway(context.Background(), c.VMs, c.Streams, c.Tokens, progress)
	if err != nil {
		return err
	}
	return printReport(c.JSON, out)
}

func progress(line string) { fmt.Fprintln(os.Stderr, line) }

// report is what a command prints, for people or as data.
type report interface{ Text() string }

func printReport(asJSON bool, r report) error {
	if asJSON {
		return printJSON(r)
	}
	_, err := fmt.Print(r.Text())
	return err
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
