package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// routedConfigEnv names the settings file with which this test binary runs as a process of
// the routed system.
const routedConfigEnv = "AMARANTHSHELF_TEST_ROUTED"

// Sizes of the soak's system, and parameters of its stand-in servers.
const (
	soakControls = 3
	soakRouters  = 3
	soakZones    = 3
	soakEvents   = 60
	soakSlots    = 2 // of an engine; few, so that streams wait
	soakGrace    = 2 * time.Second
)

// soakProcess is one process of the system. It is restarted each time it has exited.
type soakProcess struct {
	name, settings string
	cmd            *exec.Cmd
	exited         chan struct{} // closed when cmd has exited
}

// soakSystem runs the real program as separate processes. Its backend servers are stand-ins
// that are reached through fault proxies.
type soakSystem struct {
	t         *testing.T
	net       *routedengine.Net
	servers   []*routedengine.Server // engines, then vote servers (service "desk")
	proxies   []*faultProxy          // by index of the server
	callers   []string               // callers' addresses of the routers
	operators []string               // operators' addresses of the control processes
	// routerOperators are the operators' addresses of the routers.
	routerOperators []string
	controlText     []string      // settings of the control processes without the servers
	listed          []string      // versions of the engines that are listed; nil: all
	peers           []string      // ids of the control processes, which are the addresses of links
	links           []*faultProxy // from the other VMs to each control process
	dir             string

	mu        sync.Mutex
	processes []*soakProcess // control processes, then routers
	limits    []soakLimit    // that servers stated
	pauses    []soakPause    // that servers asked for
	cordons   []soakCordon   // that an operator ordered
	faults    []faultTime    // that have begun
	// standstills are those of the router processes.
	standstills []standstill
	// waitingAtFault counts the faults of the deciding control VM that began while streams waited.
	waitingAtFault int
	// routerStarts counts how often a router was started again.
	routerStarts int

	crasher soakCrasher

	// newVersionFails makes the new version of the vote servers fail half of the votes.
	newVersionFails bool
	newVersionVotes atomic.Int64 // votes that reached the new version
	// mixed is set if engines of several versions serve, without any roll-out.
	mixed bool
	slots int // of an engine; 0: soakSlots
	// events is the number of events of a stream; 0: soakEvents.
	events int
	// grace is the grace period of the routers; 0: soakGrace.
	grace time.Duration
	// rareTimes returns, for a service, how many times as long as others a request takes; nil: none
	// takes longer.
	rareTimes func(service string) func(id string) int
	// resumeTimes are the times that the engines take to resume from a copy; nil: none.
	resumeTimes []time.Duration
	// memoryMB is the memory limit that the settings of the routers state; 0: none.
	memoryMB int
	// descriptors is the limit of descriptors that the settings of all processes state beside the
	// memory limit; 0: they state neither but for the routers' memory.
	descriptors int
	// routerPeers and controlPeers are the addresses at which the processes serve other VMs.
	routerPeers, controlPeers []string
}

// failBadVersion counts the votes that reach the new version. If that version is to fail, it
// answers every second vote with an error.
func (s *soakSystem) failBadVersion(e *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
	if n := s.newVersionVotes.Add(1); !s.newVersionFails || n%2 == 0 {
		return false
	}
	e.AnswerCall(w, r, http.StatusInternalServerError)
	return true
}

func startSoakSystem(t *testing.T, seed uint64) *soakSystem {
	s := newSoakSystem(t, seed)
	s.startAll()
	return s
}

func newSoakSystem(t *testing.T, seed uint64) *soakSystem {
	return &soakSystem{t: t, mixed: isMixed(seed), newVersionFails: seed%2 == 0}
}

// startAll starts the servers and the processes.
func (s *soakSystem) startAll() {
	t := s.t
	s.net, s.dir = routedengine.NewNet(), t.TempDir()
	if *soakLogs != "" {
		s.dir = filepath.Join(*soakLogs, t.Name())
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(s.net.Close)
	for i := range 2 * soakZones {
		s.addServer(&routedengine.Server{
			Backend: upstream.Backend{ID: fmt.Sprint("engine", i), Service: "models", Zone: fmt.Sprint("z", i%soakZones), Slots: s.engineSlots(), Version: s.engineVersion(i)},
			Events:  cmp.Or(s.events, soakEvents), NamesPath: true, NamesVersion: true, NamesMemory: true, PrefillTime: 100 * time.Millisecond, EventInterval: 20 * time.Millisecond,
			ResumeTime: s.resumeTime(i),
		})
	}
	for i := range soakZones {
		s.addServer(&routedengine.Server{
			Backend:  upstream.Backend{ID: fmt.Sprint("desk", i), Service: "desk", Zone: fmt.Sprint("z", i), Slots: 6, Version: "v1"},
			CallTime: 20 * time.Millisecond, Intercept: s.crasher.intercept(nil),
		})
	}
	for i := range soakZones {
		if s.mixed {
			break
		}
		s.addServer(&routedengine.Server{
			Backend:  upstream.Backend{ID: fmt.Sprint("newdesk", i), Service: "desk", Zone: fmt.Sprint("z", i), Slots: 6, Version: "v2"},
			CallTime: 20 * time.Millisecond, Intercept: s.crasher.intercept(s.failBadVersion),
		})
	}
	s.writeSettings(freePorts(t, 2*soakControls+3*soakRouters))
	t.Cleanup(s.stop)
	for i := range s.processes {
		s.start(i)
	}
}

func (s *soakSystem) engineSlots() int {
	if s.slots == 0 {
		return soakSlots
	}
	return s.slots
}

// addServer starts a server on loopback behind a fault proxy. The server's address becomes
// the proxy's, so that routers and other servers connect through the proxy.
func (s *soakSystem) addServer(e *routedengine.Server) {
	if s.rareTimes != nil {
		e.Times = s.rareTimes(e.Service)
	}
	if err := s.net.ListenTCP(e); err != nil {
		s.t.Fatal(err)
	}
	p := startFaultProxy(s.t, e.Address)
	s.net.ChangeAddress(e, p.addr)
	s.servers, s.proxies = append(s.servers, e), append(s.proxies, p)
}

func (s *soakSystem) writeSettings(ports []string) {
	for i := range soakControls {
		link := startFaultProxy(s.t, ports[i])
		s.links, s.peers = append(s.links, link), append(s.peers, link.addr)
	}
	seeds := strings.Join(s.peers, ", ")
	add := func(name, text string) {
		s.processes = append(s.processes, &soakProcess{name: name, settings: s.writeFile(name, text)})
	}
	for i := range soakControls {
		operators := ports[soakControls+i]
		s.operators = append(s.operators, operators)
		name := fmt.Sprint("control", i)
		s.controlText = append(s.controlText, fmt.Sprintf("[process]\nkind = control\nid = %s\nzone = z%d\nseeds = %s\ndata_dir = %s/%s\nfirst_start = true\nvoters = %d\n[rollouts]\nhold = %s\n[listen]\noperators = %s\npeers = %s\n",
			s.peers[i], i, seeds, s.dir, name, soakControls, s.versionHold(), operators, ports[i]))
		s.controlPeers = append(s.controlPeers, ports[i])
		if s.descriptors > 0 {
			s.controlText[i] += fmt.Sprintf("[limits]\nmemory_mb = %d\ndescriptors = %d\n", s.memoryMB, s.descriptors)
		}
		add(name, s.controlText[i]+s.backendText())
	}
	for i := range soakRouters {
		// All VMs run on one loopback address, so that each router's host has a control process
		// and addresses are not weighted. The limits make the routers measure their load.
		own := ports[2*soakControls+3*i:]
		s.callers, s.routerOperators = append(s.callers, own[1]), append(s.routerOperators, own[2])
		s.routerPeers = append(s.routerPeers, own[0])
		memory := ""
		if s.memoryMB > 0 {
			memory = fmt.Sprintf("memory_mb = %d\n", s.memoryMB)
		}
		if s.descriptors > 0 {
			memory += fmt.Sprintf("descriptors = %d\n", s.descriptors)
		}
		add(fmt.Sprint("router", i), fmt.Sprintf("[process]\nkind = router\nid = %s\nzone = z%d\nseeds = %s\ngrace = %s\n[listen]\ncallers = %s\noperators = %s\n[limits]\ncores = %d\nlink_mbps = %d\n",
			own[0], i, seeds, cmp.Or(s.grace, soakGrace), own[1], own[2], 1<<i, 100<<i)+memory)
	}
}

// writeFile writes the settings of a process and returns the path.
func (s *soakSystem) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text+"[tokens]\npeer = soak\n"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// backendText returns the settings of the listed servers.
func (s *soakSystem) backendText() string {
	var out strings.Builder
	for _, e := range s.servers {
		if s.listed == nil || e.Service != "models" || slices.Contains(s.listed, e.Version) {
			fmt.Fprintf(&out, "[backend:%s]\nservice = %s\naddress = %s\nzone = %s\nslots = %d\nversion = %s\n", e.ID, e.Service, e.Address, e.Zone, e.Slots, e.Version)
		}
	}
	return out.String()
}

// start starts a process unless it is running.
func (s *soakSystem) start(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[i]
	if p.cmd != nil {
		select {
		case <-p.exited:
		default:
			return
		}
		if i >= soakControls {
			s.routerStarts++
		}
	}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), routedConfigEnv+"="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	ended := make(chan struct{})
	p.cmd, p.exited = cmd, ended
	go func() {
		_ = cmd.Wait() // the exit status follows from the signal that was sent
		close(ended)
	}()
}

// signal sends a signal to a process that this soak started, unless the process has exited.
// The returned channel is closed when the process has exited.
func (s *soakSystem) signal(i int, sig syscall.Signal) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[i]
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig) // the process may exit at the same moment
	}
	return p.exited
}

func (s *soakSystem) stop() {
	for i, p := range s.processes {
		if p.cmd != nil {
			s.signal(i, syscall.SIGCONT)
			<-s.signal(i, syscall.SIGKILL)
		}
		if s.t.Failed() {
			text, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
			s.t.Logf("%s: %v\n%s", p.name, err, tail(text, 4000))
		}
	}
}

func tail(text []byte, n int) []byte { return text[max(0, len(text)-n):] }

// voteCount returns how many votes reached the vote servers.
func (s *soakSystem) voteCount() int {
	n := 0
	for _, e := range s.servers {
		if e.Service == "desk" {
			n += len(e.Runs())
		}
	}
	return n
}
