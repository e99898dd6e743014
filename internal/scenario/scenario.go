// Package scenario runs scripts of load scenarios. It runs the decision modules and a
// baseline with the same callers and faults on a virtual clock, and checks the results
// that the script expects. The scripts are in testdata. A line that begins with '#' is a
// comment. The commands are:
//
//	system engines=N zones=N routers=N [objective=resume-latency] [seed=N]
//	workspace NAME load=40%|rate=N prompt=N tokens=N [prefix=N] [share=N]
//	          [patience=10s] [tries=N] [from=0s] [to=60s]
//	fault AT die|vanish|pause|slow|leave|revive ENGINE-OR-ZONE [for=20s] [factor=8]
//	run LENGTH
//	expect system|baseline METRIC [workspace=NAME] [class=short|long] [from=..] [to=..] OP VALUE
//
// load is a share of the capacity of all engines. rate is in requests per second.
// prompt, tokens and prefix are in tokens, and the first two are means. patience is the
// maximum wait of a caller for the first token. tries is the maximum number of tries,
// where a caller retries after a refusal or after its maximum wait. OP is one of
// < <= > >=. VALUE is a number, a percentage, a duration, or baseline, which is the value
// of the same metric of the baseline.
//
// The metrics are served, gave-up and refused (shares of the callers), wait-p50 and
// wait-p99 (time to the first token, of the callers served), refusal-p99 (time from a
// try to its refusal), tokens (of complete answers), tries (per caller), fairness (Jain's
// index over the workspaces' served shares), extra-work (relative to the useful work)
// and resume-p99 (resume latency).
package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/experiment"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Script is the state of a running script.
type Script struct {
	scenario experiment.Scenario
	outcomes map[string]*experiment.Outcome
}

// New returns the state at the start of a script.
func New() *Script { return &Script{outcomes: map[string]*experiment.Outcome{}} }

// Commands lists the commands that Do executes.
var Commands = []string{"system", "workspace", "fault", "run", "expect"}

// Do executes a command and returns text for the log. It returns an error if the command
// is malformed or an expectation does not hold.
func (s *Script) Do(command string, args []string) (string, error) {
	switch command {
	case "system":
		return "", s.system(args)
	case "workspace":
		return "", s.workspace(args)
	case "fault":
		return "", s.fault(args)
	case "run":
		return s.run(args)
	case "expect":
		return s.expect(args)
	}
	return "", fmt.Errorf("unknown command %q", command)
}

// options are the name=value words of a command.
type options struct {
	words map[string]string
	errs  []error
}

func parseOptions(args []string, allowed ...string) *options {
	o := &options{words: map[string]string{}}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || !slices.Contains(allowed, name) {
			o.errs = append(o.errs, fmt.Errorf("unknown option %q, want one of %s", arg, strings.Join(allowed, "=, ")+"="))
			continue
		}
		o.words[name] = value
	}
	return o
}

func (o *options) integer(name string, p *int) {
	if v, ok := o.words[name]; ok {
		n, err := strconv.Atoi(v)
		o.errs = append(o.errs, err)
		*p = n
	}
}

func (o *options) duration(name string, p *time.Duration) {
	if v, ok := o.words[name]; ok {
		d, err := time.ParseDuration(v)
		o.errs = append(o.errs, err)
		*p = d
	}
}

func (o *options) number(name string, p *float64) {
	if v, ok := o.words[name]; ok {
		x, err := parseValue(v)
		o.errs = append(o.errs, err)
		*p = x
	}
}

func (o *options) err() error { return errors.Join(o.errs...) }

// parseValue parses a number, a percentage as a share, or a duration as seconds.
func parseValue(text string) (float64, error) {
	if pct, ok := strings.CutSuffix(text, "%"); ok {
		x, err := strconv.ParseFloat(pct, 64)
		return x / 100, err
	}
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x, nil
	}
	d, err := time.ParseDuration(text)
	return d.Seconds(), err
}

func (s *Script) system(args []string) error {
	o := parseOptions(args, "engines", "zones", "routers", "objective", "seed")
	c := &s.scenario
	c.Engines, c.Zones, c.Routers, c.Seed = 24, 3, 11, 1
	o.integer("engines", &c.Engines)
	o.integer("zones", &c.Zones)
	o.integer("routers", &c.Routers)
	seed := 1
	o.integer("seed", &seed)
	c.Seed = uint64(seed)
	switch o.words["objective"] {
	case "", "extra-work":
	case "resume-latency":
		c.Objective = recovery.ResumeLatency
	default:
		o.errs = append(o.errs, errors.New("objective must be extra-work or resume-latency"))
	}
	return o.err()
}

func (s *Script) workspace(args []string) error {
	if len(args) == 0 {
		return errors.New("workspace has no name")
	}
	o := parseOptions(args[1:], "load", "rate", "prompt", "tokens", "prefix", "share", "patience", "tries", "from", "to")
	l := experiment.Load{Name: args[0], Prompt: 500, Tokens: 200}
	o.integer("prompt", &l.Prompt)
	o.integer("tokens", &l.Tokens)
	o.integer("prefix", &l.Prefix)
	o.integer("share", &l.Share)
	o.integer("tries", &l.MaxTries)
	o.duration("patience", &l.MaxWait)
	o.duration("from", &l.From)
	o.duration("to", &l.To)
	o.number("rate", &l.Rate)
	var share float64
	o.number("load", &share)
	if share > 0 {
		l.Rate = s.scenario.RateOf(share, l.Prompt, l.Tokens)
	}
	if l.Rate <= 0 {
		o.errs = append(o.errs, errors.New("workspace needs a rate or load above 0"))
	}
	s.scenario.Loads = append(s.scenario.Loads, l)
	return o.err()
}

func (s *Script) fault(args []string) error {
	if len(args) < 3 || !slices.Contains(experiment.FaultNames, args[1]) {
		return fmt.Errorf("malformed fault, want fault AT %s TARGET", strings.Join(experiment.FaultNames, "|"))
	}
	at, err := time.ParseDuration(args[0])
	o := parseOptions(args[3:], "for", "factor")
	o.errs = append(o.errs, err)
	f := experiment.ScenarioFault{At: at, Kind: args[1], Target: args[2], SlowFactor: 4, PauseDuration: time.Second}
	o.duration("for", &f.PauseDuration)
	o.number("factor", &f.SlowFactor)
	s.scenario.Faults = append(s.scenario.Faults, f)
	return o.err()
}

func (s *Script) run(args []string) (string, error) {
	if len(args) != 1 || s.scenario.Engines == 0 {
		return "", errors.New("malformed run, want run LENGTH after system")
	}
	length, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	c := &s.scenario
	names := []string{"system", "baseline"}
	s.outcomes["system"] = c.Run(experiment.System(c.Objective, c.Routers), length)
	s.outcomes["baseline"] = c.Run(experiment.Baseline(c.Routers), length)
	return experiment.Table(names, []*experiment.Outcome{s.outcomes["system"], s.outcomes["baseline"]}), nil
}

func (s *Script) expect(args []string) (string, error) {
	if len(args) < 4 {
		return "", errors.New("malformed expect, want expect POLICY METRIC [filters] OP VALUE")
	}
	out := s.outcomes[args[0]]
	if out == nil {
		return "", fmt.Errorf("no results of policy %q, want system or baseline after run", args[0])
	}
	metric, filters := args[1], args[2:len(args)-2]
	op, want := args[len(args)-2], args[len(args)-1]
	o := parseOptions(filters, "workspace", "class", "from", "to")
	f := experiment.Filter{Workspace: o.words["workspace"], Class: o.words["class"]}
	o.duration("from", &f.From)
	o.duration("to", &f.To)
	if err := o.err(); err != nil {
		return "", err
	}
	got, err := metricValue(out, metric, f)
	if err != nil {
		return "", err
	}
	limit, err := s.expectedValue(want, metric, f)
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("%s %s %s: %.4g %s %.4g", args[0], metric, strings.Join(filters, " "), got, op, limit)
	if !compare(got, op, limit) {
		return "", errors.New("expectation does not hold: " + text)
	}
	return text, nil
}

func (s *Script) expectedValue(want, metric string, f experiment.Filter) (float64, error) {
	if want == "baseline" {
		return metricValue(s.outcomes["baseline"], metric, f)
	}
	return parseValue(want)
}

func compare(got float64, op string, limit float64) bool {
	switch op {
	case "<":
		return got < limit
	case "<=":
		return got <= limit
	case ">":
		return got > limit
	case ">=":
		return got >= limit
	}
	return false
}

func metricValue(out *experiment.Outcome, metric string, f experiment.Filter) (float64, error) {
	t := out.Total(f)
	share := func(n int) float64 { return float64(n) / float64(max(1, t.Offered)) }
	switch metric {
	case "served":
		return t.ServedShare(), nil
	case "gave-up":
		return share(t.GaveUp), nil
	case "refused":
		return share(t.Refused), nil
	case "tries":
		return share(t.Tries), nil
	case "tokens":
		return float64(t.Tokens), nil
	case "wait-p50":
		return experiment.Quantile(t.Waits, 0.5).Seconds(), nil
	case "wait-p99":
		return experiment.Quantile(t.Waits, 0.99).Seconds(), nil
	case "refusal-p99":
		return experiment.Quantile(t.RefusalLatencies, 0.99).Seconds(), nil
	case "fairness":
		return out.Fairness(f), nil
	case "extra-work":
		return out.ExtraShare(), nil
	case "resume-p99":
		return experiment.Quantile(out.ResumeLatencies(), 0.99).Seconds(), nil
	}
	return 0, fmt.Errorf("unknown metric %q", metric)
}
