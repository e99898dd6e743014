package main

import (
	"cmp"
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
)

func addRoom(p *flags.Parser) error {
	_, err := p.AddCommand("room", "what is waiting in a service and why",
		"Prints the streams of a service, its memory, engines and VMs as the deciding control VM knows them.", &roomCommand{})
	return err
}

type roomCommand struct {
	apiOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *roomCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		r, raw, err := o.Room(ctx, c.Args.Service)
		if err != nil {
			return err
		}
		return c.print(raw, func() { printRoom(&r) })
	})
}

func printRoom(r *client.Room) {
	fmt.Printf("service     %s, decided by %s\n", r.Service, r.Decider)
	fmt.Printf("streams     %d waiting (%d interrupted, %d late), longest wait %d ms; %d running\n", r.Waiting, r.Interrupted, r.Late, r.LongestWaitMS, r.Running)
	fmt.Printf("decisions   %d granted, %d refused, in the last 30 to 60 s\n", r.Granted, r.Refused)
	fmt.Printf("memory      %d tokens used, of these %d by copies; %d free; %d in an engine\n", r.Memory.UsedTokens, r.Memory.CopyTokens, r.Memory.FreeTokens, r.Memory.EngineTokens)
	e := &r.Engines
	fmt.Printf("engines     %d listed, %d cordoned, %d usable, %d prefilling, %d slow\n", e.Listed, e.Cordoned, e.Usable, e.Prefilling, e.Slow)
	if len(e.PrefillMicros) == 3 {
		fmt.Printf("prefill     %d, %d, %d us per 1000 tokens (quartiles of %d engines)\n", e.PrefillMicros[0], e.PrefillMicros[1], e.PrefillMicros[2], e.Measured)
	}
	fmt.Printf("ages        reports %d ms, speeds %d ms, list of servers %d ms\n\n", r.Ages.ReportsMS, r.Ages.SpeedsMS, r.Ages.ListMS)
	printTable("STREAMS\tWAITING\tLATE\tLONGEST MS\tGRANTED\tREFUSED", func(w *tabwriter.Writer) {
		for i := range r.Priorities {
			printCounts(w, fmt.Sprint("priority ", r.Priorities[i].Priority), &r.Priorities[i].RoomCounts)
		}
		for i := range r.Workspaces {
			printCounts(w, cmp.Or(r.Workspaces[i].Workspace, "(no workspace)"), &r.Workspaces[i].RoomCounts)
		}
		if n := r.OtherWorkspaces.Workspaces; n > 0 {
			printCounts(w, fmt.Sprint(n, " other workspaces"), &r.OtherWorkspaces.RoomCounts)
		}
	})
	fmt.Println()
	printTable("VM\tCALLERS\tZONE\tREADY\tCORDONED\tAGE MS", func(w *tabwriter.Writer) {
		for i := range r.VMs {
			v := &r.VMs[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\n", v.ID, v.Endpoint, v.Zone, v.Ready, v.Cordoned, v.AgeMS)
		}
	})
}

func printCounts(w *tabwriter.Writer, name string, c *client.RoomCounts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, c.Waiting, c.Late, c.LongestWaitMS, c.Granted, c.Refused)
}
