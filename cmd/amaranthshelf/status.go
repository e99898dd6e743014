package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

func addStatus(p *flags.Parser) error {
	_, err := p.AddCommand("status", "show the VMs and the lists that each applies",
		"Shows the VMs of the system, the version of the lists that each applies, the leader of the control group, and counters.", &statusCommand{})
	return err
}

func addExplain(p *flags.Parser) error {
	_, err := p.AddCommand("explain", "show the decisions about a request and their reasons",
		"Asks every VM for its recent decisions about a request: queued, placed, suspected, resumed, refused.", &explainCommand{})
	return err
}

func addConfig(p *flags.Parser) error {
	return addGroup(p, "config", "the daemon's settings", "Commands for the daemon's INI file.", []subcommand{
		{"check", "check a settings file", "Reads a file as the daemon does and prints all errors in it.", &configCheck{}},
	})
}

type statusCommand struct{ apiOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.Status(ctx)
		if err != nil {
			return err
		}
		var s operator.Status
		if err := json.Unmarshal(raw, &s); err != nil {
			return err
		}
		return c.print(raw, func() { printStatus(&s) })
	})
}

func printStatus(s *operator.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "unknown"
	}
	fmt.Printf("asked %s; lists version %d; leader %s\n", s.AskedVM, s.Version, leader)
	printTable("VM\tZONE\tROLES\tAPPLIES\tSTATE\tCOUNTERS", func(w *tabwriter.Writer) {
		for _, vm := range s.VMs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", vm.VM, vm.Zone, strings.Join(vm.Roles, ","), vm.Version, vmState(vm), formatCounters(vm.Counters))
		}
	})
}

func vmState(vm operator.VMStatus) string {
	switch {
	case !vm.Reachable:
		return "UNREACHABLE"
	case !vm.Ready:
		return "leaving"
	case !vm.Fresh:
		return "NOT FRESH: admits nothing"
	}
	return "serving"
}

func formatCounters(c map[string]int64) string {
	var out []string
	for name, n := range c {
		out = append(out, fmt.Sprintf("%s=%d", name, n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

type explainCommand struct {
	apiOptions
	Workspace string   `long:"workspace" description:"workspace of the request; required without --log"`
	Logs      []string `long:"log" value-name:"FILE" description:"collected log of a VM, read instead of asking the running VMs; may be repeated"`
	Args      struct {
		Request string `positional-arg-name:"REQUEST"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	if c.Workspace == "" {
		return usageError("explain needs --workspace, or --log with collected logs")
	}
	return c.call(func(ctx context.Context, o *client.Operator) error {
		e, err := o.Explain(ctx, c.Workspace, c.Args.Request)
		if err != nil {
			return err
		}
		return c.print(e, func() {
			for _, n := range e.Notes {
				fmt.Printf("%s  %s  %-10s %s\n", n.At.Format(time.StampMilli), n.VM, n.What, n.Why)
			}
			if len(e.Missing) > 0 {
				fmt.Printf("did not answer: %s\n", strings.Join(e.Missing, ", "))
			}
		})
	})
}

// fromLogs prints the log lines of a request and the cause of its outcome from collected logs.
func (c *explainCommand) fromLogs() error {
	readers, closeAll, err := openAll(c.Logs)
	if err != nil {
		return err
	}
	defer closeAll()
	trace, err := explain.FromLogs(readers, c.Args.Request)
	if err != nil {
		return err
	}
	return c.print(trace, func() {
		for _, l := range trace.Lines {
			fmt.Println(l.String())
		}
		if len(trace.Nearby) > 0 {
			fmt.Println("about the servers that it was sent to:")
		}
		for _, l := range trace.Nearby {
			fmt.Println(l.String())
		}
		fmt.Println("cause: " + trace.Cause)
	})
}

type configCheck struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	if _, err := settings.Load(c.Args.File); err != nil {
		return usageError("%v", err)
	}
	fmt.Println("settings are valid")
	return nil
}
