package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

type allowanceList struct{ apiOptions }

// Execute implements flags.Commander.
func (c *allowanceList) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		rows, err := o.Allowances(ctx)
		if err != nil {
			return err
		}
		return c.print(rows, func() {
			printTable("PLAN\tTOKENS\tREQUESTS\tWINDOW\tCONCURRENT\tSHARE\tPRIORITY\tVERSION", func(w *tabwriter.Writer) {
				for _, r := range rows {
					fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\n",
						r.Plan, r.TokensPerWindow, r.RequestsPerWindow, r.Window(), r.Concurrent, r.Share, r.PriorityCeiling, r.Version)
				}
			})
		})
	})
}

type allowanceShow struct {
	apiOptions
	nameArg
}

// Execute implements flags.Commander.
func (c *allowanceShow) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		r, err := o.Allowance(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.print(r, func() {
			fmt.Printf("plan             %s\nmodels           %s\nservices         %s\n", r.Plan, strings.Join(r.Models, ","), strings.Join(r.Services, ","))
			fmt.Printf("tokens           %d in %s\nrequests         %d in %s\n", r.TokensPerWindow, r.Window(), r.RequestsPerWindow, r.Window())
			fmt.Printf("concurrent       %d\nshare            %d\npriority ceiling %d\nversion          %d\n", r.Concurrent, r.Share, r.PriorityCeiling, r.Version)
		})
	})
}

type allowanceSet struct {
	apiOptions
	nameArg
	Models     *string `long:"models" value-name:"A,B" description:"models that workspaces with the plan may use"`
	Services   *string `long:"services" value-name:"A,B" description:"services that workspaces with the plan may call"`
	Tokens     *int64  `long:"tokens" description:"tokens per window, of prompts and answers"`
	Requests   *int64  `long:"requests" description:"requests per window"`
	Window     *int64  `long:"window-seconds" description:"length of the window in seconds"`
	Concurrent *int    `long:"concurrent" description:"maximum number of concurrent requests"`
	Share      *int    `long:"share" description:"weight of a workspace in the queues, relative to others (new rows: 1)"`
	Priority   *int    `long:"priority-ceiling" description:"highest priority that a request may have"`
	Wait       bool    `long:"wait" description:"wait until the change is in force"`
}

// Execute implements flags.Commander.
func (c *allowanceSet) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		row, err := o.Allowance(ctx, c.Args.Name)
		if err != nil && result.CodeOf(err) != result.NotFound {
			return err
		}
		if row.Version == 0 {
			row.Allowance = plan.Allowance{Plan: c.Args.Name, Share: 1}
		}
		next := row.Allowance
		setNamesIfGiven(&next.Models, c.Models)
		setNamesIfGiven(&next.Services, c.Services)
		setIfGiven(&next.TokensPerWindow, c.Tokens)
		setIfGiven(&next.RequestsPerWindow, c.Requests)
		setIfGiven(&next.WindowSeconds, c.Window)
		setIfGiven(&next.Concurrent, c.Concurrent)
		setIfGiven(&next.Share, c.Share)
		setIfGiven(&next.PriorityCeiling, c.Priority)
		return c.writeChange(ctx, o, client.Change{List: listAllowances, Name: c.Args.Name, Row: next, IfMatch: row.Version, Wait: c.Wait})
	})
}

func setIfGiven[T any](dst, value *T) {
	if value != nil {
		*dst = *value
	}
}

func setNamesIfGiven(dst *[]string, text *string) {
	if text != nil {
		*dst = splitNames(*text)
	}
}

func splitNames(text string) []string {
	var out []string
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, name)
		}
	}
	return out
}
