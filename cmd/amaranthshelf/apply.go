package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

type applyCommand struct {
	apiOptions
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
	DryRun bool `long:"dry-run" description:"show the changes without writing them"`
	Wait   bool `long:"wait" description:"wait until the changes are in force"`
}

// step is one change of a row. All steps together make the lists equal to the file.
type step struct {
	What   string        `json:"what"`
	List   string        `json:"list"`
	Name   string        `json:"name"`
	Done   bool          `json:"done"`
	change client.Change // conditional on the version that was read
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	customers, allowances, err := readLists(c.Args.File)
	if err != nil {
		return err
	}
	return c.call(func(ctx context.Context, o *client.Operator) error {
		steps, err := compareLists(ctx, o, customers, allowances)
		if err != nil {
			return err
		}
		applyErr := c.applySteps(ctx, o, steps)
		if err := c.print(steps, func() { printSteps(steps, c.DryRun) }); err != nil {
			return err
		}
		if applyErr != nil {
			return fmt.Errorf("stopped at a failed change: %w\nthe changes before it are written; apply the file again to continue", applyErr)
		}
		if c.Wait && !c.DryRun {
			_, _, err = o.Plans(ctx, true)
		}
		return err
	})
}

func (c *applyCommand) applySteps(ctx context.Context, o *client.Operator, steps []step) error {
	if c.DryRun {
		return nil
	}
	for i := range steps {
		if _, err := o.Do(ctx, steps[i].change); err != nil {
			return explainConflict(err)
		}
		steps[i].Done = true
	}
	return nil
}

func printSteps(steps []step, dryRun bool) {
	if len(steps) == 0 {
		fmt.Println("the lists are equal to the file")
	}
	for _, s := range steps {
		state := "done"
		switch {
		case dryRun:
			state = "would be done"
		case !s.Done:
			state = "NOT done"
		}
		fmt.Printf("%s %s %s: %s\n", s.What, s.List, s.Name, state)
	}
}

// compareLists returns the steps that make the lists equal to the file. Their order keeps
// every intermediate state valid: a plan is added before a workspace gets it, and is
// removed after the workspaces that had it.
func compareLists(ctx context.Context, o *client.Operator, customers []plan.Customer, allowances []plan.Allowance) ([]step, error) {
	havePlans, _, err := o.Plans(ctx, false)
	if err != nil {
		return nil, err
	}
	haveAllowances, err := o.Allowances(ctx)
	if err != nil {
		return nil, err
	}
	var steps, removals []step
	for _, want := range allowances {
		var have plan.AllowanceRow
		if i := slices.IndexFunc(haveAllowances, func(r plan.AllowanceRow) bool { return r.Plan == want.Plan }); i >= 0 {
			have = haveAllowances[i]
		}
		if !have.Equal(want) {
			steps = append(steps, setStep(listAllowances, want.Plan, want, have.Version))
		}
	}
	for _, want := range customers {
		var have plan.CustomerRow
		if i := slices.IndexFunc(havePlans, func(r plan.CustomerRow) bool { return r.Workspace == want.Workspace }); i >= 0 {
			have = havePlans[i]
		}
		if !have.Equal(want) {
			steps = append(steps, setStep(listPlans, want.Workspace, want, have.Version))
		}
	}
	for _, have := range havePlans {
		if !slices.ContainsFunc(customers, func(w plan.Customer) bool { return w.Workspace == have.Workspace }) {
			removals = appendRemoval(removals, listPlans, have.Workspace, have.Version)
		}
	}
	for _, have := range haveAllowances {
		if !slices.ContainsFunc(allowances, func(w plan.Allowance) bool { return w.Plan == have.Plan }) {
			removals = appendRemoval(removals, listAllowances, have.Plan, have.Version)
		}
	}
	return append(steps, removals...), nil
}

func setStep(list, name string, row any, version uint64) step {
	what := "change"
	if version == 0 {
		what = "add"
	}
	return step{What: what, List: list, Name: name, change: client.Change{List: list, Name: name, Row: row, IfMatch: version}}
}

func appendRemoval(steps []step, list, name string, version uint64) []step {
	return append(steps, step{What: "remove", List: list, Name: name, change: client.Change{List: list, Name: name, IfMatch: version}})
}

// readLists reads both lists from an INI file. An error names the section and, where one
// is at fault, the key.
func readLists(path string) ([]plan.Customer, []plan.Allowance, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, nil, usageError("%s: %v", path, err)
	}
	var customers []plan.Customer
	var allowances []plan.Allowance
	for _, sec := range f.Sections() {
		kind, name, _ := strings.Cut(sec.Name(), ":")
		switch kind {
		case "plan":
			c := plan.Customer{Workspace: name}
			err = readSection(sec, map[string]any{"plan": &c.Plan, "key_hashes": &c.KeyHashes}, c.Validate)
			customers = append(customers, c)
		case "allowance":
			a := plan.Allowance{Plan: name, Share: 1}
			err = readSection(sec, map[string]any{
				"models": &a.Models, "services": &a.Services, "tokens_per_window": &a.TokensPerWindow,
				"requests_per_window": &a.RequestsPerWindow, "window_seconds": &a.WindowSeconds,
				"concurrent": &a.Concurrent, "share": &a.Share, "priority_ceiling": &a.PriorityCeiling,
			}, a.Validate)
			allowances = append(allowances, a)
		case ini.DefaultSection:
			err = readSection(sec, nil, func() error { return nil })
		default:
			err = fmt.Errorf("[%s]: unknown section; allowed: plan:<workspace>, allowance:<plan>", sec.Name())
		}
		if err != nil {
			return nil, nil, usageError("%s %v", path, err)
		}
	}
	if len(customers)+len(allowances) == 0 {
		return nil, nil, usageError("%s: no [plan:...] or [allowance:...] section; a file without rows would empty both lists", path)
	}
	return customers, allowances, nil
}

func readSection(sec *ini.Section, fields map[string]any, validate func() error) error {
	for _, key := range sec.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			return fmt.Errorf("[%s] %s: unknown key", sec.Name(), key.Name())
		}
		var err error
		switch p := field.(type) {
		case *string:
			*p = key.String()
		case *[]string:
			*p = splitNames(key.String())
		case *int64:
			*p, err = key.Int64()
		case *int:
			*p, err = key.Int()
		}
		if err != nil {
			return fmt.Errorf("[%s] %s: bad value %q; allowed: a whole number", sec.Name(), key.Name(), key.String())
		}
	}
	if err := validate(); err != nil {
		return fmt.Errorf("[%s]: %w", sec.Name(), err)
	}
	return nil
}
