// Command amaranthshelfd is the daemon that runs on each VM. It runs in one of three modes:
//   - by default, or with --config, it runs a VM with the roles that the settings give it:
//     router, control or both;
//   - with --routed, it runs one process of the routed system, which forwards requests to
//     backend servers: a router or a control process;
//   - with --managed, it runs such a process with the settings that the platform provides.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
	"github.com/amaranthshelf/amaranthshelf/platform"
)

// Exit codes, as docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"INI settings file; without it, a single VM with both roles on loopback"`
	Routed  string `long:"routed" value-name:"FILE" description:"serve routed requests with this INI settings file of a router or control process"`
	Managed string `long:"managed" value-name:"ROLE" choice:"router" choice:"control" description:"run one role with the settings that the platform provides"`
	Check   bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitSettings
	}
	if opts.Managed != "" {
		return runManaged(opts.Managed)
	}
	if opts.Routed != "" {
		return runRouted(opts.Routed, opts.Check)
	}
	s, err := loadSettings(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func runManaged(role string) int {
	if err := platform.Run(role); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return settings.Default()
	}
	return settings.Load(path)
}

func serve(s *settings.Settings) error {
	log, err := telemetry.Logger(os.Stderr, s.LogLevel, s.LogFormat, s.Self.ID)
	if err != nil {
		return err
	}
	memory.LimitRuntime(s.MemoryMB << 20)
	n, err := node.Listen(s, log)
	if err != nil {
		return err
	}
	vms := s.VMs
	if len(vms) == 0 {
		vms = []settings.VM{n.Self()}
	}
	n.Start(vms)
	log.Info().Str("callers", n.Self().Endpoint).Str("operators", n.OperatorAddr()).Msg("serving")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case <-ctx.Done():
	case err := <-n.Failure():
		return err
	}
	log.Info().Msg("shutting down")
	drain, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	if err := n.Shutdown(drain); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
