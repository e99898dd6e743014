// Command cases runs the scripted cases of the review. It starts the project's own programs as
// the deploy file does, with stand-ins for the platform, the backend servers, the operator and
// the callers, and checks what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that hangs.
const maxRun = 115 * time.Second

// verdict is what a case found.
type verdict struct {
	broken []string // each names the rule and what was seen
}

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases holds the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(s *system, trouble bool) (*verdict, error){
	"firststart": runFirstStart,
	"garbage":    runGarbage,
	"handoff":    runHandoff,
	"listing":    runListing,
	"quorum":     runQuorum,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		v   *verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[name](s, os.Getenv("TROUBLE") != "0")
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return conclude(rec, r.v, r.err)
	case sig := <-signals:
		rec.note("the case could not run: %s", sig)
	case <-time.After(maxRun):
		rec.note("the case could not run: it took more than %v", maxRun)
	}
	return exitNotRun
}

func conclude(rec *record, v *verdict, err error) int {
	if err != nil {
		rec.note("the case could not run: %v", err)
		return exitNotRun
	}
	if len(v.broken) == 0 {
		rec.note("HELD")
		return exitHeld
	}
	rec.note("BROKEN\n    %s", strings.Join(v.broken, "\n    "))
	return exitBroken
}
