// Package local runs a whole system in one process on loopback, before stand-in
// engines and services: for the demo, the load tool, measurements and tests.
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

// Options describe a system.
type Options struct {
	VMs      int
	Zones    int
	Engines  int
	Engine   func(i int) standin.EngineConfig  // nil: standin.DefaultEngine of Model
	Model    string                            // of every engine
	Services []string                          // a service of each name, one backend server each
	Settings func(i int, s *settings.Settings) // changes a VM's settings; may be nil
	Plans    func() ([]plan.Customer, []plan.Allowance)
	Log      zerolog.Logger
}

// System is a running system.
type System struct {
	Nodes    []*node.Node
	Engines  []*standin.EngineServer
	Services []*standin.Service

	mu       sync.Mutex // over Nodes, once the system runs
	vms      []settings.VM
	o        Options
	dir      string
	token    string // of operators
	backends []settings.Backend
}

// Start starts a system; after an error nothing is left running.
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

func (s *System) zone(i int) string { return fmt.Sprintf("zone%d", i%s.o.Zones+1) }

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
			Name: name, Kind: settings.KindEngine, Address: e.Addr, Zone: s.zone(i), Models: []string{s.o.Model}, Fences: cfg.EnforceFencing,
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
			Name: fmt.Sprintf("%s%d", name, i+1), Kind: settings.KindService, Address: service.Addr, Zone: s.zone(i), Service: name,
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

// Node is the VM i, from 0; a restart replaces it.
func (s *System) Node(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Nodes[i]
}

// RestartVM kills the VM i, from 0, and starts it again on its addresses and
// its disk; its memory is gone.
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

// ServiceRuns is how often calls with a key ran on all services.
func (s *System) ServiceRuns(key string) int {
	total := 0
	for _, service := range s.Services {
		total += service.Runs(key)
	}
	return total
}

// settings are those of one VM. The first VMs are the control group.
func (s *System) settings(i int) (*settings.Settings, error) {
	conf, err := settings.Default()
	if err != nil {
		return nil, err
	}
	conf.Self.ID, conf.Self.Zone = fmt.Sprintf("vm%d", i+1), s.zone(i)
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

// controlVMs is how many VMs form the control group: five, so that any two may
// be lost at once; three in a system that is too small for that.
func (s *System) controlVMs() int {
	if s.o.VMs >= 5 {
		return 5
	}
	return 3
}

// Stop ends everything at once.
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

// Addresses are the callers' addresses of all VMs.
func (s *System) Addresses() []string {
	var out []string
	for _, n := range s.Nodes {
		out = append(out, n.Self().Endpoint)
	}
	return out
}

// Work is what all engines have computed, in tokens.
func (s *System) ComputedTokens() int {
	total := 0
	for _, e := range s.Engines {
		st := e.Stats()
		total += st.PrefillTokens + st.GeneratedTokens
	}
	return total
}

// KillRunningEngine kills an engine that has work, and reports whether there
// was one.
func (s *System) KillRunningEngine() bool {
	for _, e := range s.Engines {
		if e.Alive() && e.Running() > 0 {
			e.Kill()
			return true
		}
	}
	return false
}
