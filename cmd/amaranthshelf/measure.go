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
	VMs     int  `long:"vms" default:"3" description:"number of VMs; a journal has three keepers with fewer than five VMs, otherwise five"`
	Streams int  `long:"streams" default:"256" description:"number of concurrent streams"`
	Tokens  int  `long:"tokens" default:"100" description:"number of tokens in each answer"`
	JSON    bool `long:"json" description:"print as JSON"`
}

func addMeasure(p *flags.Parser) error {
	m, err := p.AddCommand("measure", "run the measurements of the capacity page",
		"Each measurement also runs its baseline in the same process.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = m.AddCommand("gateway", "compare streams through the system with direct ones",
		"Runs the same streams directly from stand-in engines and through the VMs.", &measureGateway{})
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

// textReport is the result of a command, which is printed as text or encoded as JSON.
type textReport interface{ Text() string }

func printReport(asJSON bool, r textReport) error {
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
