package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// daemonConfigEnv names the settings file with which this test binary runs as the daemon,
// so that the tests need no separate build.
const daemonConfigEnv = "AMARANTHSHELF_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path := os.Getenv(routedConfigEnv); path != "" {
		os.Exit(run([]string{"--routed", path}))
	}
	if path := os.Getenv(daemonConfigEnv); path != "" {
		os.Exit(run([]string{"--config", path}))
	}
	os.Exit(m.Run())
}

const vmCount = 3

// daemonProcesses is a system of vmCount VMs, each of them a separate daemon process.
type daemonProcesses struct {
	t                  *testing.T
	callers, operators []string
	peers              []string
	daemons            []*exec.Cmd
	configs            []string
}

// The ports lie below the ephemeral range of common systems. A restarted process needs
// its old ports, and an outgoing connection must not have taken them meanwhile.
// Test processes that run in parallel each begin in a separate block of ports.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portBlock = 64
)

var (
	portsMu  sync.Mutex
	nextPort = firstPort + os.Getpid()*portBlock%(lastPort-firstPort) // guarded by portsMu
)

// freePorts returns n loopback addresses that were just free. It returns no address twice
// until the whole range has been used. Parallel tests may call it.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	var out []string
	for try := 0; len(out) < n; try++ {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", nextPort))
		nextPort = firstPort + (nextPort+1-firstPort)%(lastPort-firstPort)
		if err != nil {
			if try > 100*n {
				t.Fatal(err)
			}
			continue
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func startProcesses(t *testing.T, backends string) *daemonProcesses {
	t.Helper()
	p := &daemonProcesses{t: t}
	dir := t.TempDir()
	ports := freePorts(t, 3*vmCount)
	p.callers, p.operators, p.peers = ports[:vmCount], ports[vmCount:2*vmCount], ports[2*vmCount:]
	var list strings.Builder
	for i := range vmCount {
		fmt.Fprintf(&list, "[vm:vm%d]\nzone = z%d\nroles = router, control\npeer = %s\ncallers = %s\n", i+1, i+1, ports[2*vmCount+i], p.callers[i])
	}
	for i := range vmCount {
		path := filepath.Join(dir, fmt.Sprintf("vm%d.ini", i+1))
		text := fmt.Sprintf("[vm]\nid = vm%d\nzone = z%d\nroles = router, control\ndata_dir = %s/data%d\n"+
			"[listen]\ncallers = %s\noperators = %s\npeers = %s\n[policy]\nentry_ttl = 1s\n",
			i+1, i+1, dir, i+1, p.callers[i], p.operators[i], ports[2*vmCount+i])
		if err := os.WriteFile(path, []byte(text+list.String()+backends), 0o600); err != nil {
			t.Fatal(err)
		}
		p.configs = append(p.configs, path)
		p.daemons = append(p.daemons, nil)
		p.start(i)
	}
	t.Cleanup(p.stop)
	return p
}

func (p *daemonProcesses) start(i int) {
	p.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonConfigEnv+"="+p.configs[i])
	log, err := os.Create(p.configs[i] + ".log")
	if err != nil {
		p.t.Fatal(err)
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.daemons[i] = cmd
}

func (p *daemonProcesses) signal(i int, s syscall.Signal) {
	if err := p.daemons[i].Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}

func (p *daemonProcesses) stop() {
	for i, d := range p.daemons {
		_ = d.Process.Signal(syscall.SIGCONT)
		_ = d.Process.Kill()
		_ = d.Wait()
		if p.t.Failed() {
			text, _ := os.ReadFile(p.configs[i] + ".log")
			p.t.Logf("vm%d:\n%s", i+1, text)
		}
	}
}

// putRow sends a row to the operators' listeners of the VMs in turn until one accepts it.
// Right after the start the control group has no leader and refuses it.
func (p *daemonProcesses) putRow(ctx context.Context, path, body string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var last string
	for try := 0; ctx.Err() == nil; try++ {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.operators[try%vmCount]+path, strings.NewReader(body))
		if err != nil {
			p.t.Fatal(err)
		}
		r.Header.Set("If-None-Match", "*")
		r.Header.Set("Idempotency-Key", "put"+strings.ReplaceAll(path, "/", "-"))
		r.URL.RawQuery = "wait=in-force"
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return
			}
			last = resp.Status
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	p.t.Fatalf("PUT %s was not accepted in 10 s; last status: %s", path, last)
}

// waitReady waits until a VM reports that it is ready.
func (p *daemonProcesses) waitReady(ctx context.Context, i int) {
	p.t.Helper()
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operators[i]+"/readyz", http.NoBody)
		if err != nil {
			p.t.Fatal(err)
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	p.t.Fatalf("vm%d did not become ready before the deadline of the test", i+1)
}

const processKey = "process-key"

func (p *daemonProcesses) putPlans(ctx context.Context) {
	p.t.Helper()
	p.putRow(ctx, "/v1/allowances/basic", `{"models":["m"],"services":["desk"],"tokens_per_window":1000000,
		"requests_per_window":1000,"window_seconds":3600,"concurrent":50,"share":1}`)
	p.putRow(ctx, "/v1/plans/coop", `{"plan":"basic","key_hashes":["`+plan.HashKey(processKey)+`"]}`)
}

func (p *daemonProcesses) generate(ctx context.Context, key string, faultAt int, injectFault func()) *client.Answer {
	p.t.Helper()
	c := engine.Completion{Model: "m", Prompt: "unit 9 log", MaxTokens: 300}
	injected := false
	answer, err := client.New(p.callers, processKey).Complete(ctx, key, client.Completion{Model: "m", Prompt: c.Prompt, MaxTokens: c.MaxTokens},
		func(pr client.Progress) {
			if pr.Index >= faultAt && !injected {
				injected = true
				injectFault()
			}
		})
	if err != nil || !injected {
		p.t.Fatalf("generation %s: got error %v, fault injected %v; want no error and a fault", key, err, injected)
	}
	if err := standin.Verify(c, "1", answer.TokenIDs, true); err != nil {
		p.t.Errorf("generation %s has a wrong answer: %v", key, err)
	}
	return answer
}

// Guards against lost answers and lost plans when the VM that holds a caller's connection
// fails. It runs three daemon processes. vm1 gets SIGKILL in mid-output and is restarted;
// later it gets SIGSTOP in mid-output and SIGCONT afterwards. Each time the caller must
// reconnect and receive the complete answer. The plans must survive, because the control
// group keeps a majority.
func TestProcessesKilledAndPaused(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	var backends strings.Builder
	for i := range 2 {
		e, err := standin.ServeEngine(standin.DefaultEngine("e", "m"), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		fmt.Fprintf(&backends, "[backend:e%d]\naddress = %s\nzone = z%d\nmodels = m\n", i, e.Addr, i+1)
	}
	p := startProcesses(t, backends.String())
	p.putPlans(ctx)
	killed := p.generate(ctx, "killed", 100, func() { p.signal(0, syscall.SIGKILL) })
	if killed.Reconnects == 0 {
		t.Error("the caller did not reconnect after its VM was killed, want at least one reconnect")
	}
	_ = p.daemons[0].Wait()
	p.start(0)
	p.waitReady(ctx, 0)
	paused := p.generate(ctx, "paused", 100, func() { p.signal(0, syscall.SIGSTOP) })
	if paused.Reconnects == 0 || paused.LongestGap < time.Second {
		t.Errorf("with the caller's VM paused: got %d reconnects and a longest gap of %v, want at least 1 and 1s", paused.Reconnects, paused.LongestGap)
	}
	p.signal(0, syscall.SIGCONT)
	p.generate(ctx, "after", 1, func() {})
	t.Logf("longest gap: killed %v, paused %v", killed.LongestGap, paused.LongestGap)
}
