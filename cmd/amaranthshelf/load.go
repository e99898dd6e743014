package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/load"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

type loadCommand struct {
	Profile  string        `long:"profile" default:"cooperative" description:"built-in profile (cooperative, reelhouse) or an INI file"`
	Address  []string      `long:"address" description:"callers' address ip:port of a VM; may be repeated"`
	Key      string        `long:"key" env:"AMARANTHSHELF_KEY" description:"workspace key, with --address"`
	Local    bool          `long:"local" description:"start the profile's system in this process, with stand-in engines"`
	Duration time.Duration `long:"duration" default:"10s" description:"duration of the arrivals"`
	Drain    time.Duration `long:"drain" default:"30s" description:"maximum wait for answers after the last arrival"`
	Scale    float64       `long:"scale" default:"1" description:"factor on all rates"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals and random faults"`
	Faults   string        `long:"faults" description:"fault script, with --local"`
	Random   bool          `long:"random-faults" description:"generate the fault script from the seed, with --local"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
	Plot     string        `long:"plot" description:"write a plot to this .svg or .png file"`
}

func addLoad(p *flags.Parser) error {
	_, err := p.AddCommand("load", "generate an open-loop load and check every answer",
		"Sends a profile's requests at the arrival times of a Poisson process, measures latencies from those times, and checks every answer.",
		&loadCommand{})
	return err
}

var (
	errNoLoadTarget    = errors.New("load: give --address and --key, or --local")
	errWrongAnswer     = errors.New("load: at least one answer was wrong; see the report")
	errFaultsNeedLocal = errors.New("load: --faults and --random-faults need --local")
)

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	profile, err := load.LoadProfile(c.Profile)
	if err != nil {
		return err
	}
	o := load.Options{
		Profile: profile, Seed: c.Seed, Duration: c.Duration, Drain: c.Drain, Scale: c.Scale, CallerAddrs: c.Address,
		KeyOf:    func(string) string { return c.Key },
		Progress: progress,
	}
	if err := c.prepare(&o); err != nil {
		return err
	}
	if o.System != nil {
		defer o.System.Stop()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	return c.print(report)
}

func (c *loadCommand) prepare(o *load.Options) error {
	if (c.Faults != "" || c.Random) && !c.Local {
		return errFaultsNeedLocal
	}
	if c.Random {
		o.Faults = load.RandomFaults(c.Seed, o.Profile.System, c.Duration)
	}
	if c.Faults != "" {
		f, err := os.Open(c.Faults)
		if err != nil {
			return err
		}
		defer f.Close()
		if o.Faults, err = load.ParseFaults(f); err != nil {
			return err
		}
	}
	if !c.Local {
		if len(c.Address) == 0 || c.Key == "" {
			return errNoLoadTarget
		}
		return nil
	}
	system, err := startLocal(o.Profile)
	if err != nil {
		return err
	}
	o.System, o.CallerAddrs = system, system.Addresses()
	o.KeyOf = localKey
	return nil
}

func localKey(workspace string) string { return "key-of-" + workspace }

// unlimited is an allowance of tokens and requests that no local run can use up in its window.
const unlimited = 1 << 40

func startLocal(p *load.Profile) (*local.System, error) {
	services := []string{}
	for range p.System.ServiceServers {
		services = append(services, p.System.Service)
	}
	return local.Start(local.Options{
		VMs: p.System.VMs, Zones: p.System.Zones, Engines: p.System.Engines, Model: p.System.Model, Services: services,
		Settings: func(_ int, s *settings.Settings) { s.Objective = settings.Objective(p.System.Objective) },
		Plans:    func() ([]plan.Customer, []plan.Allowance) { return localPlans(p) },
		Log:      zerolog.Nop(),
	})
}

func localPlans(p *load.Profile) ([]plan.Customer, []plan.Allowance) {
	var customers []plan.Customer
	for _, w := range p.Workspaces {
		customers = append(customers, plan.Customer{
			Workspace: w.Name, Plan: "load", KeyHashes: []string{plan.HashKey(localKey(w.Name))},
		})
	}
	return customers, []plan.Allowance{{
		Plan: "load", Models: []string{p.System.Model}, Services: []string{p.System.Service},
		TokensPerWindow: unlimited, RequestsPerWindow: unlimited, WindowSeconds: 3600, Concurrent: 1 << 16, Share: 1, PriorityCeiling: 9,
	}}
}

func (c *loadCommand) print(report *load.Report) error {
	if c.Plot != "" {
		if err := report.SavePlot(c.Plot); err != nil {
			return err
		}
	}
	if err := printReport(c.JSON, report); err != nil {
		return err
	}
	if !report.OK() {
		return errWrongAnswer
	}
	return nil
}
