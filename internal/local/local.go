// Package local runs a complete system with stand-in engines and services in one process
// on loopback addresses. The demo, the load tool, measurements and tests use it.
package local

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Options describe the system that Start starts.
type Options struct {
	VMs      int
	Zones    int
	Engines  int
	Engine   func(i int) standin.EngineConfig  // configuration of engine i, from 0; nil: standin.DefaultEngine of Model
	Model    string                            // of every engine
	Services []string                          // names; each service has one backend server
	Settings func(i int, s *settings.Settings) // changes the settings of VM i, from 0; may be nil
	Plans    func() ([]plan.Customer, []plan.Allowance)
	Log      zerolog.Logger
}

// System is a running system. Stop ends it.
type System struct {
	Nodes    []*node.Node
	Engines  []*standin.EngineServer
	Services []*standin.Service

	mu       sync.Mutex // guards Nodes after Start
	vms      []settings.VM
	o        Options
	dir      string
	token    string // operators' token
	backends []settings.Backend
}

// Start starts a system and waits until it admits requests. After an error nothing keeps
// running.
func Start(o Options) (*System, error) {
	dir, err := os.MkdirTemp("", "amaranthshelf-")
	if err != nil {
		return nil, err
	}
	s := &System{o: o, dir: dir}
	if err := errors.Join(s.startEngines(), s.startServices()); err != nil {
		s.Stop()
		return nil, err
	}
	if err := s.startVMs(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) zoneName(i int) string { return fmt.Sprintf("zone%d", i%s.o.Zones+1) }

func (s *System) startEngines() error {
	for i := range s.o.Engines {
		name := fmt.Sprintf("engine%d", i+1)
		cfg := standin.DefaultEngine(name, s.o.Model)
		if s.o.Engine != nil {
			cfg = s.o.Engine(i)
		}
		e, err := standin.ServeEngine(cfg, "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.backends = append(s.backends, settings.Backend{
			Name: name, Kind: settings.KindEngine, Address: e.Addr, Zone: s.zoneName(i), Models: []string{s.o.Model}, Fences: cfg.EnforceFencing,
		})
	}
	return nil
}

func (s *System) startServices() error {
	for i, name := range s.o.Services {
		service, err := standin.ServeService("127.0.0.1:0")
		if err != nil {
			return err
		}
		s.Services = append(s.Services, service)
		s.backends = append(s.backends, settings.Backend{
			Name: fmt.Sprintf("%s%d", name, i+1), Kind: settings.KindService, Address: service.Addr, Zone: s.zoneName(i), Service: name,
		})
	}
	return nil
}

func (s *System) startVMs() error {
	for i := range s.o.VMs {
		conf, err := s.settings(i)
		if err != nil {
			return err
		}
		n, err := s.listen(conf)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
		s.vms = append(s.vms, n.Self())
	}
	for _, n := range s.Nodes {
		n.Start(s.vms)
	}
	if err := s.publish(s.o.Plans()); err != nil {
		return err
	}
	return s.awaitReady()
}

func (s *System) listen(conf *settings.Settings) (*node.Node, error) {
	return node.Listen(conf, s.o.Log.With().Str("vm", conf.Self.ID).Logger())
}

// Node returns VM i, from 0. RestartVM replaces it.
func (s *System) Node(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Nodes[i]
}

// RestartVM kills VM i, from 0, and starts it again with its addresses and its disk. The
// contents of its memory are lost.
func (s *System) RestartVM(i int) error {
	old := s.Node(i)
	old.Kill()
	conf, err := s.settings(i)
	if err != nil {
		return err
	}
	conf.Self.Endpoint, conf.Self.Peer, conf.Operators = s.vms[i].Endpoint, s.vms[i].Peer, old.OperatorAddr()
	n, err := s.listen(conf)
	if err != nil {
		return err
	}
	n.Start(s.vms)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Nodes[i] = n
	return nil
}

// ServiceRuns returns how often calls with an idempotency key ran on all services.
func (s *System) ServiceRuns(key string) int {
	total := 0
	for _, service := range s.Services {
		total += service.Runs(key)
	}
	return total
}

// settings returns the settings of VM i. The first VMs form the control group.
func (s *System) settings(i int) (*settings.Settings, error) {
	conf, err := settings.Default()
	if err != nil {
		return nil, err
	}
	conf.Self.ID, conf.Self.Zone = fmt.Sprintf("vm%d", i+1), s.zoneName(i)
	conf.Self.Endpoint, conf.Self.Peer, conf.Operators = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.DataDir = fmt.Sprintf("%s/vm%d", s.dir, i+1)
	conf.Backends = s.backends
	if i >= s.controlVMs() {
		conf.Self.Roles = []settings.Role{settings.RoleRouter}
	}
	if s.o.Settings != nil {
		s.o.Settings(i, conf)
	}
	s.token = conf.OperatorToken
	return conf, nil
}

// controlVMs returns the size of the control group. Five VMs tolerate the loss of any two
// at once. Smaller systems use three.
func (s *System) controlVMs() int {
	if s.o.VMs >= 5 {
		return 5
	}
	return 3
}

// Stop kills all VMs, engines and services and removes their files.
func (s *System) Stop() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, service := range s.Services {
		service.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// Addresses returns the addresses of all VMs for callers.
func (s *System) Addresses() []string {
	var out []string
	for _, n := range s.Nodes {
		out = append(out, n.Self().Endpoint)
	}
	return out
}

// ComputedTokens returns the tokens that all engines have prefilled or generated.
func (s *System) ComputedTokens() int {
	total := 0
	for _, e := range s.Engines {
		st := e.Stats()
		total += st.PrefillTokens + st.GeneratedTokens
	}
	return total
}

// KillRunningEngine kills one engine that has runs, and reports whether it found one.
func (s *System) KillRunningEngine() bool {
	for _, e := range s.Engines {
		if e.Alive() && e.Running() > 0 {
			e.Kill()
			return true
		}
	}
	return false
}
