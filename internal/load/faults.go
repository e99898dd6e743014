package load

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Fault is one line of a fault script:
//
//	5s kill engine 3
//	6s pause engine 4 2s
//	7s slow engine 5 4
//	8s revive engine 3
//	9s kill vm 2
//	12s restart vm 2
//	13s break service 1 after
//
// Numbers count from 1; "engine busy" is the last engine with running work.
type Fault struct {
	At     time.Duration
	Op     string
	Target string // "engine", "vm" or "service"
	Number int    // 0: the last engine with running work
	Arg    string
}

// ParseFaults reads a fault script and sorts the faults by time. It skips empty lines and
// lines that begin with #.
func ParseFaults(r io.Reader) ([]Fault, error) {
	var out []Fault
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		f, err := parseFault(strings.Fields(text))
		if err != nil {
			return nil, Error.New("fault script line %d: %w", line, err)
		}
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out, scanner.Err()
}

var faultArgCounts = map[string]int{ // number of arguments after the target's number
	"kill engine": 0, "revive engine": 0, "pause engine": 1, "slow engine": 1,
	"kill vm": 0, "restart vm": 0, "break service": 1,
}

func parseFault(words []string) (Fault, error) {
	if len(words) < 4 {
		return Fault{}, fmt.Errorf("got %d words, want: TIME OP engine|vm|service NUMBER [ARG]", len(words))
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Fault{}, err
	}
	f := Fault{At: at, Op: words[1], Target: words[2]}
	args, ok := faultArgCounts[f.Op+" "+f.Target]
	if !ok || len(words) != 4+args {
		return Fault{}, fmt.Errorf("unknown fault %q", strings.Join(words[1:], " "))
	}
	if words[3] != "busy" {
		if f.Number, err = strconv.Atoi(words[3]); err != nil || f.Number < 1 {
			return Fault{}, fmt.Errorf("bad number %q; want a whole number from 1, or busy", words[3])
		}
	}
	if args == 1 {
		f.Arg = words[4]
	}
	return f, f.checkArg()
}

func (f *Fault) checkArg() error {
	var err error
	switch f.Op {
	case "pause":
		_, err = time.ParseDuration(f.Arg)
	case "slow":
		_, err = strconv.ParseFloat(f.Arg, 64)
	case "break":
		if _, ok := breakPoints[f.Arg]; !ok {
			err = fmt.Errorf("bad break point %q; want before, after or within", f.Arg)
		}
	}
	return err
}

// injectFaults applies the faults to a local system at their times after start.
func injectFaults(ctx context.Context, s *local.System, faults []Fault, start time.Time, progress func(string)) {
	for _, f := range faults {
		if !sleepUntil(ctx, start.Add(f.At)) {
			return
		}
		if err := f.apply(s); err != nil {
			progress("fault not applied: " + err.Error())
			continue
		}
		progress(fmt.Sprintf("fault: %s %s %d %s", f.Op, f.Target, f.Number, f.Arg))
	}
}

var breakPoints = map[string]standin.BreakPoint{
	"before": standin.BreakBefore, "after": standin.BreakAfter, "within": standin.BreakWithin,
}

func (f *Fault) apply(s *local.System) error {
	switch f.Target {
	case "vm":
		return f.applyVM(s)
	case "service":
		if f.Number > len(s.Services) || f.Number == 0 {
			return fmt.Errorf("service %d does not exist", f.Number)
		}
		s.Services[f.Number-1].BreakNextCall(breakPoints[f.Arg])
		return nil
	}
	return f.applyEngine(s)
}

func (f *Fault) applyVM(s *local.System) error {
	if f.Number > len(s.Nodes) || f.Number == 0 {
		return fmt.Errorf("VM %d does not exist", f.Number)
	}
	if f.Op == "restart" {
		return s.RestartVM(f.Number - 1)
	}
	s.Node(f.Number - 1).Kill()
	return nil
}

func (f *Fault) applyEngine(s *local.System) error {
	n := f.Number
	for i, e := range s.Engines {
		if n == 0 && e.Alive() && e.Running() > 0 {
			n = i + 1
		}
	}
	if n < 1 || n > len(s.Engines) {
		return fmt.Errorf("engine %d does not exist or no engine is busy", n)
	}
	e := s.Engines[n-1]
	switch f.Op {
	case "kill":
		e.Kill()
	case "revive":
		return e.Revive()
	case "pause":
		d, _ := time.ParseDuration(f.Arg)
		e.Pause(d)
	case "slow":
		factor, _ := strconv.ParseFloat(f.Arg, 64)
		e.Slow(factor)
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return timer.Sleep(ctx, time.Until(at)) == nil
}
