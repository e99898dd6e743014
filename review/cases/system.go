package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const program = "target/amaranthshelfd"

// Ports of every machine.
type ports struct{ front, ready, control, directory, firstPeer int }

// system is a small deployment: machines with a router and a control process each, on loopback
// addresses of their own.
type system struct {
	rec      *record
	dir      string
	subnet   string // first three numbers of the machines' addresses
	ports    ports
	machines []*machine
	platform *platform
}

// machine is one machine of the deployment.
type machine struct {
	s      *system
	number int
	ip     string
	zone   string
	seeds  []string
	procs  map[string]*process // by role; guarded by mu

	mu     sync.Mutex
	closed bool // nothing is started any more
}

// process is a running process of a role.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
}

const (
	roleRouter  = "router"
	roleControl = "control"
)

var roles = []string{roleControl, roleRouter}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func newSystem(rec *record) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is not built: %w", program, err)
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir}
	if err := s.chooseAddresses(); err != nil {
		return nil, err
	}
	if s.platform, err = startPlatform(rec); err != nil {
		return nil, err
	}
	rec.note("machines on %s.0/24, logs and data in a temporary folder", s.subnet)
	return s, nil
}

// chooseAddresses draws a subnet of loopback addresses and ports that are free on it.
func (s *system) chooseAddresses() error {
	for range 50 {
		s.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		base := 21000 + rand.IntN(8000)
		s.ports = ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, firstPeer: base + 10}
		if s.allFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses and ports found")
}

func (s *system) allFree() bool {
	p := s.ports
	for number := 1; number <= 4; number++ {
		for _, port := range []int{p.front, p.ready, p.control, p.directory, p.firstPeer, p.firstPeer + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.subnet, number, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// add returns a further machine, which is not started.
func (s *system) add() *machine {
	n := len(s.machines) + 1
	m := &machine{s: s, number: n, ip: fmt.Sprintf("%s.%d", s.subnet, n), zone: zones[(n-1)%len(zones)], procs: map[string]*process{}}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) String() string { return fmt.Sprintf("machine-%d", m.number) }

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) front() string     { return m.address(m.s.ports.front) }
func (m *machine) ready() string     { return m.address(m.s.ports.ready) }
func (m *machine) control() string   { return m.address(m.s.ports.control) }
func (m *machine) directory() string { return m.address(m.s.ports.directory) }

func (m *machine) dataDir(role string) string {
	return filepath.Join(m.s.dir, m.String(), "data", role)
}

// settings returns the settings file of a process.
func (m *machine) settings(role string, firstStart bool) map[string]any {
	p := m.s.ports
	zoneRegions := map[string]string{}
	for _, z := range zones {
		zoneRegions[z] = "region"
	}
	serves, listen := []string{"edge"}, map[string]string{"front": m.front(), "ready": m.ready()}
	if role == roleControl {
		serves = []string{"control_plane", "registry"}
		listen = map[string]string{"control": m.control(), "directory": m.directory()}
	}
	return map[string]any{
		"node_name": m.String(), "role": role, "machine_class": "edge", "serves": serves,
		"ip": m.ip, "zone": m.zone, "region": "region", "zones": zoneRegions, "listen": listen,
		names.PeerPorts: []int{p.firstPeer, p.firstPeer + 15}, "seeds": m.seeds,
		"first_start": firstStart, "fault_counted": true,
		"limits":   map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": m.dataDir(role), "discovery": "cloud_api", "entry": "registry", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": catchUp.Seconds(),
			"drain_ms": 3000, "grace_s": grace.Seconds(), "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
			"max_stretch_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_ratio": 0.8, "retry_window_s": 10, "retry_slack": 150,
			"recover_s": recoverWithin.Seconds(), "iteration_ms": 120, "retry_after_s": 5.6, "ttl_max_s": ttlMax.Seconds(),
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"addr": m.s.platform.address, "rate_per_s": 40.0, "duties": []string{}, "lag_ms": 800},
	}
}

// Bounds of the deployment, as on the sheets of the pages.
const (
	catchUp       = 4 * time.Second
	grace         = 8 * time.Second
	recoverWithin = 12 * time.Second
	contact       = 3 * time.Second
	ttlMax        = 5 * time.Second
)

// start starts the processes of all roles. firstStart is that of the settings.
func (m *machine) start(firstStart bool) error {
	for _, role := range roles {
		if err := m.startRole(role, firstStart); err != nil {
			return err
		}
	}
	m.s.rec.note("%s (%s, %s) started, first start %t", m, m.ip, m.zone, firstStart)
	return nil
}

func (m *machine) startRole(role string, firstStart bool) error {
	dir := filepath.Join(m.s.dir, m.String())
	if err := os.MkdirAll(m.dataDir(role), 0o700); err != nil {
		return err
	}
	settings, err := json.MarshalIndent(m.settings(role, firstStart), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, role+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, role+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "--managed", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHSHELF_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return errors.New("the case ends")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended is of no interest
		_ = out.Close()
		close(p.done)
	}()
	m.procs[role] = p
	return nil
}

// signal sends a signal to the machine's processes.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.procs {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(sig)
		}
	}
}

// ended waits until all processes of the machine have ended, at most for d.
func (m *machine) ended(d time.Duration) bool {
	limit := time.After(d)
	for _, role := range roles {
		m.mu.Lock()
		p := m.procs[role]
		m.mu.Unlock()
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-limit:
			return false
		}
	}
	return true
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (m *machine) stop() {
	m.s.rec.note("%s gets SIGTERM", m)
	m.signal(syscall.SIGTERM)
	if !m.ended(grace) {
		m.signal(syscall.SIGKILL)
		m.ended(time.Second)
	}
	m.s.rec.note("%s has ended", m)
}

// loseDisk kills the machine's processes and empties its data folders.
func (m *machine) loseDisk() error {
	m.s.rec.note("%s is killed and loses its disk", m)
	m.signal(syscall.SIGKILL)
	m.ended(time.Second)
	for _, role := range roles {
		if err := os.RemoveAll(m.dataDir(role)); err != nil {
			return err
		}
	}
	return nil
}

// pid returns the process id of a role.
func (m *machine) pid(role string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.procs[role].cmd.Process.Pid
}

// startAll starts n machines, with the first three as seeds.
func (s *system) startAll(n int) error {
	for range n {
		s.add()
	}
	for _, m := range s.machines {
		m.seeds = s.seeds()
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) seeds() []string {
	var out []string
	for _, m := range s.machines[:3] {
		out = append(out, m.control())
	}
	return out
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *system) close() {
	for _, m := range s.machines {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		m.ended(2 * time.Second)
	}
	s.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	s.rec.note("logs kept in %s", s.dir)
}
