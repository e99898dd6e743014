// Command amaranthshelf is the command-line tool for operators and developers. It works on
// plans, allowances, routes, roll-outs and cordons, explains requests, and runs demos, load
// tests and stand-in servers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes, as docs/OPERATIONS.md lists them.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("amaranthshelf", flags.HelpFlag|flags.PassDoubleDash)
	for _, add := range []func(*flags.Parser) error{
		addPlan,
		addAllowance,
		addStatus,
		addControl,
		addRoutes,
		addRollout,
		addCordon,
		addUncordon,
		addRoom,
		addExplain,
		addAccount,
		addConfig,
		addDemo,
		addExperiment,
		addLoad,
		addMeasure,
		addStandin,
	} {
		if err := add(parser); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
