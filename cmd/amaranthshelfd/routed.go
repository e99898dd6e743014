package main

import (
	"context"
	"expvar"
	"fmt"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routed"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// runRouted runs a router or a control process of the routed system with the settings file
// at path, and returns the exit code.
func runRouted(path string, check bool) int {
	s, err := settings.LoadRouted(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	if err := serveRouted(s, path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func serveRouted(s *settings.Routed, path string) error {
	var lost telemetry.LineCounters
	out := lost.Writer(os.Stdout)
	defer out.Close()
	log, err := telemetry.Logger(out, s.LogLevel, "json", s.ID+"/"+string(s.Kind))
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	expvar.Publish("shelf", telemetry.Expvar(set))
	signals := routed.Signals()
	heads := headlimit.NewAccount(s.Limits.MemoryMB<<20, int(s.Limits.Descriptors))
	headlimit.RegisterGauges(set, heads)
	common := routed.Common{
		ID: s.ID, Listen: s.Peers, Zone: s.Zone, Token: s.Tokens.Peer, Seeds: s.Seeds,
		Log: log, RoutineLog: lost.RoutineLog(log), Metrics: set, Heads: heads,
	}
	sup := routed.Supervisor{Path: path, Log: log, ReadSeeds: func() ([]string, error) {
		s, err := settings.LoadRouted(path)
		if err != nil {
			return nil, err
		}
		return s.Seeds, nil
	}}
	memory.LimitRuntime(s.Limits.MemoryMB << 20)
	p, err := startRouted(s, common, &sup)
	if err != nil {
		return err
	}
	log.Info().Str("kind", string(s.Kind)).Str("operators", s.Operators).Msg("started")
	return sup.Run(p, signals)
}

func startRouted(s *settings.Routed, common routed.Common, sup *routed.Supervisor) (routed.Process, error) {
	if s.Kind == settings.RoutedRouter {
		r, err := routed.StartRouter(routed.RouterOptions{
			Common: common, Endpoint: s.Endpoint, Wire: forward.NewPlainWire(), RetryAllowance: forward.DefaultRetryAllowance,
			Drain:  routed.DrainTimes{Grace: s.Grace, EntryTTL: routed.EntryTTL},
			Limits: limits(s),
		})
		if err != nil {
			return nil, err
		}
		_, err = routed.Listen(s.Operators, routed.OperatorHandler(nil, r, s.Tokens.Operator, common.Metrics), common.Heads, common.Log)
		return r, err
	}
	c, err := routed.StartControl(routed.ControlOptions{
		Common: common, Dir: s.DataDir, FirstStart: s.FirstStart, TargetVoters: int(s.TargetVoters), ReadBackends: backendReader(s, common.Log),
		Rollouts:    rollout.Limits{Share: float64(s.RolloutPercent) / 100, Slack: float64(s.RolloutSlack)},
		VersionHold: s.VersionHold,
	})
	if err != nil {
		return nil, err
	}
	sup.Failure = c.Failure()
	return c, c.Serve(s.Operators, routed.OperatorHandler(c, nil, s.Tokens.Operator, common.Metrics))
}

// limits returns the resources of the VM as the settings state them.
func limits(s *settings.Routed) capacity.Limits {
	return capacity.Limits{
		Cores: s.Limits.Cores, LinkBitsPerSecond: s.Limits.LinkMbps * 1e6,
		Descriptors: int(s.Limits.Descriptors), MemoryBytes: s.Limits.MemoryMB << 20,
	}
}

// backendReader returns a function that lists the backend servers of the settings and,
// where the settings name a platform, those of the platform's inventory.
func backendReader(s *settings.Routed, log zerolog.Logger) func(context.Context) ([]upstream.Backend, error) {
	reader := inventory.NewReader(s.Platform, log)
	go reader.Run(context.Background())
	var configured []upstream.Backend
	for _, b := range s.Backends {
		configured = append(configured, upstream.Backend{ID: b.ID, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: int(b.Slots), Version: b.Version})
	}
	return func(context.Context) ([]upstream.Backend, error) {
		list, _, _ := reader.List()
		rows := append([]upstream.Backend(nil), configured...)
		for _, b := range list.Backends {
			if b.Service != "" && b.Address != "" {
				rows = append(rows, upstream.Backend{ID: b.Name, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: 1, Draining: b.Leaving})
			}
		}
		return rows, nil
	}
}
