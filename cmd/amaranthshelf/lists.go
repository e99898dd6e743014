package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Names of the two lists in the operators' API.
const (
	listPlans      = "plans"
	listAllowances = "allowances"
)

func addPlan(p *flags.Parser) error {
	return addGroup(p, "plan", "the list of workspaces and their plans",
		"Each row is a workspace with its plan and its keys (as hashes).", append(commonSubcommands(listPlans), []subcommand{
			{"list", "show all workspaces", "Shows every workspace with its plan and the row's version.", &planList{}},
			{"show", "show one workspace", "Shows a workspace's row and the usage of its allowance.", &planShow{}},
			{"set", "add or change a workspace", "Reads the row, changes the given fields and writes it back; " +
				"if somebody changed it meanwhile nothing is written.", &planSet{}},
			{"hash-key", "hash a workspace key", "Reads a key from standard input and prints the hash that the list stores.", &hashKeyCommand{}},
		}...))
}

func addAllowance(p *flags.Parser) error {
	return addGroup(p, "allowance", "the list of plans and their limits",
		"Each row is a plan with its limits. They apply to each workspace with the plan separately.", append(commonSubcommands(listAllowances), []subcommand{
			{"list", "show all plans", "Shows every plan with its limits and the row's version.", &allowanceList{}},
			{"show", "show one plan", "Shows a plan's limits.", &allowanceShow{}},
			{"set", "add or change a plan", "Reads the row, changes the given fields and writes it back; " +
				"if somebody changed it meanwhile nothing is written.", &allowanceSet{}},
		}...))
}

func commonSubcommands(list string) []subcommand {
	return []subcommand{
		{"remove", "remove a row", "Removes a row unless it was changed after it was read.", &removeCommand{list: list}},
		{"history", "show who changed a row", "Shows the changes of a row, newest first.", &historyCommand{list: list}},
		{
			"apply", "make both lists equal to a file", "Reads [plan:<workspace>] and [allowance:<plan>] sections of an INI file and " +
				"makes both lists equal to them: rows that the file lacks are removed.", &applyCommand{},
		},
		{"wait", "wait until the lists are in force", "Returns when every VM applies the current lists or admits no requests.", &waitCommand{}},
	}
}

type planList struct{ apiOptions }

// Execute implements flags.Commander.
func (c *planList) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		rows, _, err := o.Plans(ctx, false)
		if err != nil {
			return err
		}
		return c.print(rows, func() {
			printTable("WORKSPACE\tPLAN\tKEYS\tVERSION", func(w *tabwriter.Writer) {
				for _, r := range rows {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", r.Workspace, r.Plan, len(r.KeyHashes), r.Version)
				}
			})
		})
	})
}

func printTable(head string, rows func(*tabwriter.Writer)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	_ = w.Flush() // standard output fails only when its reader is gone
}

type nameArg struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

type planShow struct {
	apiOptions
	nameArg
}

// Execute implements flags.Commander.
func (c *planShow) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		row, err := o.Plan(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.print(row, func() {
			fmt.Printf("workspace   %s\nplan        %s\nversion     %d\n", row.Workspace, row.Plan, row.Version)
			for _, h := range row.KeyHashes {
				fmt.Printf("key hash    %s\n", h)
			}
			u := row.Use
			fmt.Printf("tokens      %d spent, %d granted to VMs, of %d\n", u.Spent.Tokens, u.Outstanding.Tokens, u.Limit.Tokens)
			fmt.Printf("requests    %d spent, %d granted to VMs, of %d\n", u.Spent.Requests, u.Outstanding.Requests, u.Limit.Requests)
			fmt.Printf("concurrency %d granted to VMs, of %d\n", u.Slots, u.SlotLimit)
		})
	})
}

type planSet struct {
	apiOptions
	nameArg
	Plan       *string  `long:"plan" description:"plan that the workspace bought"`
	KeyHashes  []string `long:"key-hash" description:"hash of a key; may be repeated; replaces all current hashes"`
	AddHash    []string `long:"add-key-hash" description:"hash of a key to add; may be repeated"`
	RemoveHash []string `long:"remove-key-hash" description:"hash of a key to remove; may be repeated"`
	Wait       bool     `long:"wait" description:"wait until the change is in force"`
}

// Execute implements flags.Commander.
func (c *planSet) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		row, err := o.Plan(ctx, c.Args.Name)
		if err != nil && result.CodeOf(err) != result.NotFound {
			return err
		}
		next := row.Customer
		next.Workspace = c.Args.Name
		if c.Plan != nil {
			next.Plan = *c.Plan
		}
		if c.KeyHashes != nil {
			next.KeyHashes = c.KeyHashes
		}
		next.KeyHashes = slices.DeleteFunc(slices.Concat(next.KeyHashes, c.AddHash), func(h string) bool {
			return slices.Contains(c.RemoveHash, h)
		})
		return c.writeChange(ctx, o, client.Change{List: listPlans, Name: c.Args.Name, Row: next, IfMatch: row.Version, Wait: c.Wait})
	})
}

func (c *apiOptions) writeChange(ctx context.Context, o *client.Operator, change client.Change) error {
	out, err := o.Do(ctx, change)
	if err != nil {
		return explainConflict(err)
	}
	return c.print(out, func() {
		state := fmt.Sprintf("version %d", out.Version)
		if change.Row == nil {
			state = "removed"
		}
		if out.InForce {
			state += ", in force everywhere"
		}
		fmt.Printf("%s %s: %s\n", change.List, out.Name, state)
	})
}

func explainConflict(err error) error {
	if result.CodeOf(err) == result.VersionConflict {
		return fmt.Errorf("%w\nthe row was changed by another writer and nothing was written; check it with show, then repeat the command", err)
	}
	return err
}

type hashKeyCommand struct{}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return errors.Join(errors.New("no key on standard input"), err)
	}
	fmt.Println(plan.HashKey(key))
	return nil
}

type removeCommand struct {
	apiOptions
	nameArg
	Wait bool `long:"wait" description:"wait until the change is in force"`
	list string
}

// Execute implements flags.Commander.
func (c *removeCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		version, err := c.version(ctx, o)
		if err != nil {
			return err
		}
		return c.writeChange(ctx, o, client.Change{List: c.list, Name: c.Args.Name, IfMatch: version, Wait: c.Wait})
	})
}

func (c *removeCommand) version(ctx context.Context, o *client.Operator) (uint64, error) {
	if c.list == listPlans {
		row, err := o.Plan(ctx, c.Args.Name)
		return row.Version, err
	}
	row, err := o.Allowance(ctx, c.Args.Name)
	return row.Version, err
}

type historyCommand struct {
	apiOptions
	nameArg
	list string
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		entries, err := o.History(ctx, c.list, c.Args.Name)
		if err != nil {
			return err
		}
		return c.print(entries, func() {
			for _, e := range entries {
				fmt.Printf("version %d  %s  %s  %s\n", e.Version, time.UnixMilli(e.AtMS).Format(time.RFC3339), e.Who, e.What)
				for _, d := range e.Diff {
					fmt.Println("    " + d)
				}
			}
		})
	})
}

type waitCommand struct{ apiOptions }

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		_, version, err := o.Plans(ctx, true)
		if err != nil {
			return err
		}
		return c.print(map[string]uint64{"version": version}, func() { fmt.Printf("version %d is in force everywhere\n", version) })
	})
}
