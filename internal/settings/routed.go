package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// RoutedKind is the kind of a process that takes part in serving routed requests.
type RoutedKind string

// Kinds of processes.
const (
	RoutedRouter  RoutedKind = "router"
	RoutedControl RoutedKind = "control"
)

// RoutedBackend is one backend server for routed requests in the settings.
type RoutedBackend struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int64
	Version string // of its software; empty if not stated
}

// Routed is the validated configuration of a router or control process.
type Routed struct {
	Kind         RoutedKind
	ID           string // peer address
	Zone         string
	Seeds        []string // peer addresses of control processes
	DataDir      string   // control
	FirstStart   bool     // control: first start of the whole system
	TargetVoters int64    // control: number of voters that the control group maintains
	Grace        time.Duration
	Peers        string // ip:port of the listener for other VMs, if it is not ID
	Endpoint     string // router: ip:port of the listener for callers
	Operators    string // ip:port of the listener for operators
	Tokens       struct{ Operator, Peer string }
	Platform     string // base URL of the platform's list of backend servers
	Backends     []RoutedBackend
	// RolloutPercent and RolloutSlack limit how many requests of a service may reach a bad
	// new version: this percentage, plus RolloutSlack requests.
	RolloutPercent int64
	RolloutSlack   int64
	// VersionHold is how long a version that nobody ordered waits for the order of a roll-out.
	VersionHold time.Duration
	// Limits are the resources of the VM; 0: not stated.
	Limits struct {
		Cores, LinkMbps       float64
		Descriptors, MemoryMB int64
	}
	LogLevel string
}

// LoadRouted reads and validates a settings file. On errors it returns all of them joined,
// each an *Error.
func LoadRouted(path string) (*Routed, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return nil, &Error{File: path, Problem: err.Error(), Allowed: "a readable INI file"}
	}
	s := &Routed{Kind: RoutedRouter, TargetVoters: 3, Grace: 30 * time.Second, RolloutPercent: 10, RolloutSlack: 50, VersionHold: 10 * time.Second, LogLevel: "info"}
	r := &reader{file: path}
	keys := s.keys()
	for _, sec := range f.Sections() {
		name := sec.Name()
		if id, ok := strings.CutPrefix(name, "backend:"); ok {
			b := RoutedBackend{ID: id, Slots: 1}
			r.apply(sec, b.keys())
			s.Backends = append(s.Backends, b)
			continue
		}
		if known, ok := keys[name]; ok {
			r.apply(sec, known)
			continue
		}
		r.fail(name, "", "unknown section", "process, listen, tokens, platform, rollouts, limits, log, backend:<id>")
	}
	r.checkRouted(s)
	return s, errors.Join(r.errs...)
}

func (s *Routed) keys() map[string]map[string]setter {
	return map[string]map[string]setter{
		ini.DefaultSection: {},
		"process": {
			"kind": oneOf((*string)(&s.Kind), string(RoutedRouter), string(RoutedControl)),
			"id":   address(&s.ID), "zone": word(&s.Zone), "seeds": addresses(&s.Seeds), "data_dir": text(&s.DataDir),
			"first_start": boolean(&s.FirstStart), "voters": integer(&s.TargetVoters, 1, 7),
			"grace": duration(&s.Grace, time.Second, time.Hour),
		},
		"listen":   {"callers": address(&s.Endpoint), "operators": address(&s.Operators), "peers": address(&s.Peers)},
		"tokens":   {"operator": text(&s.Tokens.Operator), "peer": text(&s.Tokens.Peer)},
		"platform": {"url": text(&s.Platform)},
		"rollouts": {"percent": integer(&s.RolloutPercent, 1, 100), "slack": integer(&s.RolloutSlack, 0, 1<<20), "hold": duration(&s.VersionHold, 0, time.Hour)},
		"limits": {
			"cores": number(&s.Limits.Cores, 0.001, 1024), "link_mbps": number(&s.Limits.LinkMbps, 0.1, 1e6),
			"descriptors": integer(&s.Limits.Descriptors, 64, 1<<24), "memory_mb": integer(&s.Limits.MemoryMB, 16, 1<<24),
		},
		"log": {"level": oneOf(&s.LogLevel, "debug", "info", "warn", "error")},
	}
}

func (b *RoutedBackend) keys() map[string]setter {
	return map[string]setter{
		"service": word(&b.Service), "address": address(&b.Address), "zone": word(&b.Zone), "slots": integer(&b.Slots, 1, 1<<20),
		"version": word(&b.Version),
	}
}

func (r *reader) checkRouted(s *Routed) {
	required := []struct{ section, key, value string }{
		{"process", "id", s.ID},
		{"process", "zone", s.Zone},
		{"process", "seeds", strings.Join(s.Seeds, ",")},
		{"listen", "operators", s.Operators},
	}
	if s.Kind == RoutedRouter {
		required = append(required, struct{ section, key, value string }{"listen", "callers", s.Endpoint})
	} else {
		required = append(required, struct{ section, key, value string }{"process", "data_dir", s.DataDir})
	}
	for _, q := range required {
		if q.value == "" {
			r.fail(q.section, q.key, "missing", "see docs/OPERATIONS.md")
		}
	}
	r.checkLimits(s)
	for _, b := range s.Backends {
		if b.Service == "" || b.Address == "" {
			r.fail("backend:"+b.ID, "service", "service or address missing", "a service name and ip:port")
		}
	}
	r.checkLoopback(s.Operators, "operators", s.Tokens.Operator, "operator")
	r.checkLoopback(s.ID, "id", s.Tokens.Peer, "peer")
	if s.Peers != "" {
		r.checkLoopback(s.Peers, "peers", s.Tokens.Peer, "peer")
	}
}

// checkLimits rejects limits that would have no effect.
func (r *reader) checkLimits(s *Routed) {
	l := s.Limits
	if s.Kind == RoutedRouter && l.Cores == 0 && l.LinkMbps == 0 && (l.Descriptors != 0 || l.MemoryMB != 0) {
		r.fail("limits", "cores", "cores and link_mbps missing", "at least one of them beside descriptors and memory_mb")
	}
	if s.Kind == RoutedControl && (l.Cores != 0 || l.LinkMbps != 0) {
		r.fail("limits", "", "cores and link_mbps of a control process have no effect", "descriptors and memory_mb")
	}
}

// number accepts a number, also with a fraction.
func number(p *float64, low, high float64) setter {
	return func(v string) (string, bool) {
		n, err := strconv.ParseFloat(v, 64)
		*p = n
		return fmt.Sprintf("a number from %g to %g", low, high), err == nil && n >= low && n <= high
	}
}

// addresses accepts a comma-separated list of IP addresses with ports.
func addresses(p *[]string) setter {
	return func(v string) (string, bool) {
		allowed, ok := list(p)(v)
		for _, item := range *p {
			var one string
			if _, valid := address(&one)(item); !valid {
				return "ip:port, separated by commas", false
			}
		}
		return allowed, ok
	}
}
