// Package load is an open-loop load generator. It sends requests at the times of an
// arrival process, whether or not earlier requests have been answered, and measures every
// latency from the intended time. A closed loop would send fewer requests the slower the
// system answers, and would hide the stalls that it is meant to show (coordinated
// omission).
package load

import (
	"embed"
	"errors"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("load")

//go:embed profiles/*.ini
var builtinProfiles embed.FS

// Kind is the kind of request that a class sends.
type Kind string

// Kinds of requests: a generation on an engine, or a call to a plain service.
const (
	KindGeneration Kind = "generation"
	KindCall       Kind = "call"
)

// Class is a group of similar requests with an arrival process of its own.
type Class struct {
	Name         string
	Kind         Kind    `ini:"kind"`
	Rate         float64 `ini:"rate"` // requests per second
	PromptTokens int     `ini:"prompt_tokens"`
	MaxTokens    int     `ini:"max_tokens"`
	Spread       float64 `ini:"spread"` // sigma of the lognormal distribution of sizes
	Priority     int     `ini:"priority"`
	DeadlineMS   int64   `ini:"deadline_ms"`
	Method       string  `ini:"method"`
	Path         string  `ini:"path"`
}

// SystemSize describes the system that a local run starts.
type SystemSize struct {
	VMs            int    `ini:"vms"`
	Zones          int    `ini:"zones"`
	Engines        int    `ini:"engines"`
	Model          string `ini:"model"`
	Service        string `ini:"service"`
	ServiceServers int    `ini:"service_servers"`
	Objective      string `ini:"objective"`
}

// Workspace is a customer with its share of the requests, relative to the sum of weights.
type Workspace struct {
	Name   string
	Weight float64
}

// Profile is a workload: the classes of requests, the workspaces that send them, and the
// system that serves them in a local run.
type Profile struct {
	System     SystemSize
	Workspaces []Workspace
	Classes    []Class
}

// LoadProfile reads the built-in profile of that name, or else the file at that path.
func LoadProfile(nameOrPath string) (*Profile, error) {
	data, err := builtinProfiles.ReadFile("profiles/" + nameOrPath + ".ini")
	if err != nil {
		data, err = os.ReadFile(nameOrPath)
	}
	if err != nil {
		return nil, Error.New("profile %q is neither built in (cooperative, reelhouse) nor a file: %w", nameOrPath, err)
	}
	return parseProfile(data)
}

func parseProfile(data []byte) (*Profile, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, Error.New("profile: %w", err)
	}
	p := &Profile{}
	if err := checkKeys(f.Section("system"), systemKeys); err != nil {
		return nil, err
	}
	if err := f.Section("system").StrictMapTo(&p.System); err != nil {
		return nil, Error.New("profile [system]: %w", err)
	}
	for _, key := range f.Section("workspaces").Keys() {
		weight, err := key.Float64()
		if err != nil || weight <= 0 {
			return nil, Error.New("profile [workspaces] %s: bad weight; want a number above 0", key.Name())
		}
		p.Workspaces = append(p.Workspaces, Workspace{key.Name(), weight})
	}
	for _, sec := range f.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), "class:")
		if !ok {
			continue
		}
		c := Class{Name: name}
		if err := checkKeys(sec, classKeys); err != nil {
			return nil, err
		}
		if err := sec.StrictMapTo(&c); err != nil {
			return nil, Error.New("profile [%s]: %w", sec.Name(), err)
		}
		p.Classes = append(p.Classes, c)
	}
	return p, p.check()
}

var (
	classKeys  = []string{"kind", "rate", "prompt_tokens", "max_tokens", "spread", "priority", "deadline_ms", "method", "path"}
	systemKeys = []string{"vms", "zones", "engines", "model", "service", "service_servers", "objective"}
)

// checkKeys returns an error for an unknown key. A misspelt key would otherwise leave its
// default in force unnoticed.
func checkKeys(sec *ini.Section, allowed []string) error {
	for _, key := range sec.Keys() {
		if !slices.Contains(allowed, key.Name()) {
			return Error.New("profile [%s] %s: unknown key; allowed: %s", sec.Name(), key.Name(), strings.Join(allowed, ", "))
		}
	}
	return nil
}

func (p *Profile) check() error {
	if len(p.Workspaces) == 0 || len(p.Classes) == 0 {
		return Error.New("profile: needs [workspaces] and at least one [class:<name>]")
	}
	for _, c := range p.Classes {
		if err := c.check(); err != nil {
			return Error.New("profile [class:%s]: %w", c.Name, err)
		}
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case c.Rate <= 0:
		return errors.New("bad rate; want a number above 0")
	case c.Kind == KindGeneration && (c.PromptTokens < 1 || c.MaxTokens < 1):
		return errors.New("bad prompt_tokens or max_tokens; want at least 1 each")
	case c.Kind == KindCall && (!slices.Contains([]string{"GET", "POST", "PUT", "DELETE"}, c.Method) || !strings.HasPrefix(c.Path, "/")):
		return errors.New("bad method or path; want GET, POST, PUT or DELETE, and a path that begins with /")
	case c.Kind != KindGeneration && c.Kind != KindCall:
		return errors.New("bad kind; want generation or call")
	}
	return nil
}
