// Package settings reads and validates the daemon's INI files. Every error names the file,
// the section, the key and the allowed values.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
)

// Role is a role of a VM in the system.
type Role string

// Roles of a VM. A VM may hold both.
const (
	RoleRouter  Role = "router"
	RoleControl Role = "control"
)

// Objective selects what recovery minimizes: extra engine work or the caller's wait.
type Objective string

// Objectives of recovery.
const (
	ExtraWork     Objective = "extra-work"
	ResumeLatency Objective = "resume-latency"
)

// VM is the configuration of one VM.
type VM struct {
	ID       string
	Zone     string
	Roles    []Role
	Peer     string // ip:port of its peer listener
	Endpoint string // ip:port of its listener for callers
}

// HasRole reports whether the VM holds the role r.
func (v VM) HasRole(r Role) bool { return slices.Contains(v.Roles, r) }

// BackendKind distinguishes engines from plain services.
type BackendKind string

// Kinds of backend servers.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// Backend is one backend server in the settings.
type Backend struct {
	Name             string
	Kind             BackendKind
	Address          string
	Zone             string
	Models           []string // engines
	Service          string   // plain services: the service it belongs to
	Fences           bool     // rejects requests with an outdated fencing number
	IdempotencyRules []string // plain services: "POST /path idempotent" or "PUT /path once"
}

// Settings is the validated configuration of one VM.
type Settings struct {
	Self          VM
	Operators     string // ip:port of the listener for operators
	DataDir       string // folder of the stored data; required with the control role
	OperatorToken string
	PeerToken     string
	PlatformURL   string
	VMs           []VM
	Backends      []Backend
	Objective     Objective
	FreshnessTTL  time.Duration
	CallerKeep    time.Duration // how long a run continues without a reader
	DrainTimeout  time.Duration
	EntryTTL      time.Duration // how long callers may keep an answer with the addresses of routers
	MaxBodyBytes  int64
	MemoryMB      int64 // of the VM; 0: not stated
	Descriptors   int64 // that the process may open; 0: not stated
	LogLevel      string
	LogFormat     string
	TraceFile     string
}

// Error is one invalid setting. Section, Key and Allowed may be empty.
type Error struct {
	File, Section, Key string
	Problem, Allowed   string
}

// Error implements error.
func (e *Error) Error() string {
	where := e.File
	if e.Section != "" {
		where += " [" + e.Section + "]"
	}
	if e.Key != "" {
		where += " " + e.Key
	}
	if e.Allowed == "" {
		return where + ": " + e.Problem
	}
	return where + ": " + e.Problem + "; allowed: " + e.Allowed
}

// Default returns the configuration without a file: one VM with both roles on loopback.
// It fails if the user has no cache directory.
func Default() (*Settings, error) {
	cache, err := os.UserCacheDir()
	if err != nil {
		return nil, &Error{File: "(default)", Section: "vm", Key: "data_dir", Problem: err.Error(), Allowed: "a folder"}
	}
	return &Settings{
		Self: VM{
			ID: "vm1", Zone: "zone1", Roles: []Role{RoleRouter, RoleControl},
			Peer: "127.0.0.1:7402", Endpoint: "127.0.0.1:7400",
		},
		Operators: "127.0.0.1:7401", DataDir: filepath.Join(cache, "amaranthshelf"),
		Objective: ExtraWork, FreshnessTTL: 3 * time.Second, CallerKeep: 60 * time.Second,
		DrainTimeout: 5 * time.Minute, EntryTTL: 5 * time.Second, MaxBodyBytes: 4 << 20,
		LogLevel: "info", LogFormat: "json",
	}, nil
}

// Load reads and validates a file. Settings that it omits have the values of Default. Load
// returns all errors joined, each an *Error.
func Load(path string) (*Settings, error) {
	s, err := Default()
	if err != nil {
		return nil, err
	}
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, path)
	if err != nil {
		return nil, &Error{File: path, Problem: err.Error(), Allowed: "a readable INI file"}
	}
	r := &reader{file: path, s: s}
	for _, section := range f.Sections() {
		r.section(section)
	}
	r.check()
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return s, nil
}

type setter func(value string) (allowed string, ok bool)

type reader struct {
	file string
	s    *Settings
	errs []error
}

func (r *reader) fail(section, key, problem, allowed string) {
	r.errs = append(r.errs, &Error{File: r.file, Section: section, Key: key, Problem: problem, Allowed: allowed})
}

func (r *reader) section(sec *ini.Section) {
	name := sec.Name()
	switch {
	case strings.HasPrefix(name, "vm:"):
		vm := VM{ID: strings.TrimPrefix(name, "vm:")}
		r.apply(sec, vmKeys(&vm))
		r.s.VMs = append(r.s.VMs, vm)
	case strings.HasPrefix(name, "backend:"):
		b := Backend{Name: strings.TrimPrefix(name, "backend:"), Kind: KindEngine}
		r.apply(sec, backendKeys(&b))
		r.s.Backends = append(r.s.Backends, b)
	default:
		keys, ok := r.fixedSections()[name]
		if !ok {
			r.fail(name, "", "unknown section", "vm, listen, tokens, platform, policy, limits, log, vm:<id>, backend:<name>")
			return
		}
		r.apply(sec, keys)
	}
}

func (r *reader) apply(sec *ini.Section, keys map[string]setter) {
	for _, key := range sec.Keys() {
		set, ok := keys[key.Name()]
		if !ok {
			names := make([]string, 0, len(keys))
			for k := range keys {
				names = append(names, k)
			}
			slices.Sort(names)
			r.fail(sec.Name(), key.Name(), "unknown key", strings.Join(names, ", "))
			continue
		}
		if allowed, ok := set(key.String()); !ok {
			r.fail(sec.Name(), key.Name(), fmt.Sprintf("invalid value %q", key.String()), allowed)
		}
	}
}

func (r *reader) fixedSections() map[string]map[string]setter {
	s := r.s
	return map[string]map[string]setter{
		ini.DefaultSection: {},
		"vm": {
			"id": word(&s.Self.ID), "zone": word(&s.Self.Zone),
			"roles": roles(&s.Self.Roles), "data_dir": text(&s.DataDir),
		},
		"listen": {
			"callers": address(&s.Self.Endpoint), "operators": address(&s.Operators), "peers": address(&s.Self.Peer),
		},
		"tokens":   {"operator": text(&s.OperatorToken), "peer": text(&s.PeerToken)},
		"platform": {"url": text(&s.PlatformURL)},
		"policy": {
			"objective":       oneOf((*string)(&s.Objective), string(ExtraWork), string(ResumeLatency)),
			"freshness_lease": duration(&s.FreshnessTTL, time.Second, time.Minute),
			"caller_keep":     duration(&s.CallerKeep, time.Second, time.Hour),
			"drain_timeout":   duration(&s.DrainTimeout, time.Second, time.Hour),
			"entry_ttl":       duration(&s.EntryTTL, time.Second, time.Minute),
			"max_body_bytes":  integer(&s.MaxBodyBytes, 1<<10, 16<<20),
		},
		"limits": {
			"descriptors": integer(&s.Descriptors, 64, 1<<24), "memory_mb": integer(&s.MemoryMB, 16, 1<<24),
		},
		"log": {
			"level":      oneOf(&s.LogLevel, "debug", "info", "warn", "error"),
			"format":     oneOf(&s.LogFormat, "json", "console"),
			"trace_file": text(&s.TraceFile),
		},
	}
}

func vmKeys(vm *VM) map[string]setter {
	return map[string]setter{
		"zone": word(&vm.Zone), "roles": roles(&vm.Roles), "peer": address(&vm.Peer), "callers": address(&vm.Endpoint),
	}
}

func backendKeys(b *Backend) map[string]setter {
	return map[string]setter{
		"kind":    oneOf((*string)(&b.Kind), string(KindEngine), string(KindService)),
		"address": address(&b.Address), "zone": word(&b.Zone), "models": list(&b.Models),
		"service": word(&b.Service), "fences": boolean(&b.Fences), "methods": list(&b.IdempotencyRules),
	}
}

func (r *reader) check() {
	s := r.s
	if !slices.ContainsFunc(s.VMs, func(v VM) bool { return v.ID == s.Self.ID }) {
		s.VMs = append(s.VMs, s.Self)
	}
	for _, vm := range s.VMs {
		if vm.Peer == "" || vm.Zone == "" {
			r.fail("vm:"+vm.ID, "peer", "missing peer address or zone", "ip:port and a zone name")
		}
	}
	for _, b := range s.Backends {
		if b.Address == "" {
			r.fail("backend:"+b.Name, "address", "missing", "ip:port")
		}
		r.checkIdempotencyRules(b)
	}
	if s.Self.HasRole(RoleControl) && s.DataDir == "" {
		r.fail("vm", "data_dir", "a control VM needs a data folder", "a folder")
	}
	r.checkLoopback(s.Operators, "operators", s.OperatorToken, "operator")
	r.checkLoopback(s.Self.Peer, "peers", s.PeerToken, "peer")
}

func (r *reader) checkIdempotencyRules(b Backend) {
	for _, text := range b.IdempotencyRules {
		if _, err := call.ParseIdempotencyRule(text); err != nil {
			r.fail("backend:"+b.Name, "methods", fmt.Sprintf("invalid idempotency rule %q", text), err.Error())
		}
	}
}

// checkLoopback rejects a listener beyond loopback that has no token. Any host on the
// network could otherwise edit plans or impersonate a VM.
func (r *reader) checkLoopback(addr, key, token, tokenKey string) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Addr().IsLoopback() || token != "" {
		return
	}
	r.fail("listen", key, "listens beyond loopback without [tokens] "+tokenKey, "set the token, or listen on 127.0.0.1")
}

func text(p *string) setter {
	return func(v string) (string, bool) {
		*p = v
		return "any text", true
	}
}

func word(p *string) setter {
	return func(v string) (string, bool) {
		ok := v != "" && !strings.ContainsAny(v, "/ \t,#")
		*p = v
		return "a name without spaces, commas, '#' and '/'", ok
	}
}

func list(p *[]string) setter {
	return func(v string) (string, bool) {
		for item := range strings.SplitSeq(v, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*p = append(*p, item)
			}
		}
		return "a comma-separated list", len(*p) > 0
	}
}

func roles(p *[]Role) setter {
	return func(v string) (string, bool) {
		*p = nil
		for item := range strings.SplitSeq(v, ",") {
			role := Role(strings.TrimSpace(item))
			if role != RoleRouter && role != RoleControl {
				return "router, control, or both separated by a comma", false
			}
			*p = append(*p, role)
		}
		return "", true
	}
}

// address accepts IP addresses only. With host names the system would depend on a resolver
// during network failures.
func address(p *string) setter {
	return func(v string) (string, bool) {
		_, err := netip.ParseAddrPort(v)
		*p = v
		return "ip:port with an IP address", err == nil
	}
}

func oneOf(p *string, allowed ...string) setter {
	return func(v string) (string, bool) {
		*p = v
		return strings.Join(allowed, " | "), slices.Contains(allowed, v)
	}
}

func duration(p *time.Duration, low, high time.Duration) setter {
	return func(v string) (string, bool) {
		d, err := time.ParseDuration(v)
		*p = d
		return fmt.Sprintf("a duration from %s to %s", low, high), err == nil && d >= low && d <= high
	}
}

func integer(p *int64, low, high int64) setter {
	return func(v string) (string, bool) {
		n, err := strconv.ParseInt(v, 10, 64)
		*p = n
		return fmt.Sprintf("a number from %d to %d", low, high), err == nil && n >= low && n <= high
	}
}

func boolean(p *bool) setter {
	return func(v string) (string, bool) {
		b, err := strconv.ParseBool(v)
		*p = b
		return "true | false", err == nil
	}
}
