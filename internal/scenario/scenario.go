// Package scenario runs load scenarios written as scripts: the decision modules
// and a baseline meet the same callers and faults on a virtual clock, and the
// script states what callers must receive. The scripts stand under testdata; a
// line that begins with '#' is a comment. The commands:
//
//	system engines=N zones=N routers=N [objective=resume-latency] [seed=N]
//	workspace NAME load=40%|rate=N prompt=N tokens=N [prefix=N] [share=N]
//	          [patience=10s] [tries=N] [from=0s] [to=60s]
//	fault AT die|vanish|pause|slow|leave|revive ENGINE-OR-ZONE [for=20s] [factor=8]
//	run LENGTH
//	expect system|baseline METRIC [workspace=NAME] [class=short|long] [from=..] [to=..] OP VALUE
//
// load is a share of what all engines can do. rate is in requests a second;
// prompt, tokens and prefix are in tokens, the first two being means. patience
// is how long a caller waits for the first token; tries is how often it comes
// again after a refusal or after losing patience. OP is one of < <= > >=. VALUE
// is a number, a percentage, a duration, or baseline, the same metric of the
// baseline. Metrics: served, gave-up, refused (shares of the callers), wait-p50,
// wait-p99 (to the first token, of those served), refusal-p99 (from a try to its
// refusal), tokens (of whole answers), tries (per caller), fairness (Jain's index
// over the workspaces' served shares), extra-work (a share), resume-p99.
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

// Script is the state of one script.
type Script struct {
	scenario experiment.Scenario
	outcomes map[string]*experiment.Outcome
}

// New returns the state of a new script.
func New() *Script { return &Script{outcomes: map[string]*experiment.Outcome{}} }

// Commands are the names of the language.
var Commands = []string{"system", "workspace", "fault", "run", "expect"}

// Do executes a command and returns text for the log.
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
	return "", fmt.Errorf("unknown command %s", command)
}

// options are the name=value words of a command.
type options struct {
	words map[string]string
	errs  []error
}

func parse(args []string, allowed ...string) *options {
	o := &options{words: map[string]string{}}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || !slices.Contains(allowed, name) {
			o.errs = append(o.errs, fmt.Errorf("%q: allowed are %s", arg, strings.Join(allowed, "=, ")+"="))
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
		x, err := value(v)
		o.errs = append(o.errs, err)
		*p = x
	}
}

func (o *options) err() error { return errors.Join(o.errs...) }

// value reads a number, a percentage, or a duration in seconds.
func value(text string) (float64, error) {
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
	o := parse(args, "engines", "zones", "routers", "objective", "seed")
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
		o.errs = append(o.errs, errors.New("objective: extra-work or resume-latency"))
	}
	return o.err()
}

func (s *Script) workspace(args []string) error {
	if len(args) == 0 {
		return errors.New("workspace: a name is missing")
	}
	o := parse(args[1:], "load", "rate", "prompt", "tokens", "prefix", "share", "patience", "tries", "from", "to")
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
		o.errs = append(o.errs, errors.New("rate or load above 0 is needed"))
	}
	s.scenario.Loads = append(s.scenario.Loads, l)
	return o.err()
}

func (s *Script) fault(args []string) error {
	if len(args) < 3 || !slices.Contains(experiment.FaultNames, args[1]) {
		return fmt.Errorf("fault AT %s TARGET", strings.Join(experiment.FaultNames, "|"))
	}
	at, err := time.ParseDuration(args[0])
	o := parse(args[3:], "for", "factor")
	o.errs = append(o.errs, err)
	f := experiment.ScenarioFault{At: at, Kind: args[1], Target: args[2], SlowFactor: 4, PauseDuration: time.Second}
	o.duration("for", &f.PauseDuration)
	o.number("factor", &f.SlowFactor)
	s.scenario.Faults = append(s.scenario.Faults, f)
	return o.err()
}

func (s *Script) run(args []string) (string, error) {
	if len(args) != 1 || s.scenario.Engines == 0 {
		return "", errors.New("run LENGTH, after system")
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
		return "", errors.New("expect POLICY METRIC [filters] OP VALUE")
	}
	out := s.outcomes[args[0]]
	if out == nil {
		return "", fmt.Errorf("no run of %q: system or baseline, after run", args[0])
	}
	metric, filters := args[1], args[2:len(args)-2]
	op, want := args[len(args)-2], args[len(args)-1]
	o := parse(filters, "workspace", "class", "from", "to")
	f := experiment.Filter{Workspace: o.words["workspace"], Class: o.words["class"]}
	o.duration("from", &f.From)
	o.duration("to", &f.To)
	if err := o.err(); err != nil {
		return "", err
	}
	got, err := measure(out, metric, f)
	if err != nil {
		return "", err
	}
	limit, err := s.limit(want, metric, f)
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("%s %s %s: %.4g %s %.4g", args[0], metric, strings.Join(filters, " "), got, op, limit)
	if !holds(got, op, limit) {
		return "", errors.New("does not hold: " + text)
	}
	return text, nil
}

func (s *Script) limit(want, metric string, f experiment.Filter) (float64, error) {
	if want == "baseline" {
		return measure(s.outcomes["baseline"], metric, f)
	}
	return value(want)
}

func holds(got float64, op string, limit float64) bool {
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

func measure(out *experiment.Outcome, metric string, f experiment.Filter) (float64, error) {
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
