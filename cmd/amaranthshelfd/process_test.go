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
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// asDaemon makes this test binary be the daemon, so that no build is needed.
const asDaemon = "AMARANTHSHELF_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path := os.Getenv(asRouted); path != "" {
		os.Exit(run([]string{"--routed", path}))
	}
	if path := os.Getenv(asDaemon); path != "" {
		os.Exit(run([]string{"--config", path}))
	}
	os.Exit(m.Run())
}

const vmCount = 3

// processes are VMs as processes of their own.
type processes struct {
	t                  *testing.T
	callers, operators []string
	daemons            []*exec.Cmd
	configs            []string
}

// Ports below those that systems hand out for outgoing connections: a process that
// is started again must find its own free.
// Test processes that run beside one another each begin in a block of their own.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portBlock = 64
)

var nextPort = firstPort + os.Getpid()*portBlock%(lastPort-firstPort)

// freePorts returns addresses that were free a moment ago, never the same twice.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
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

func startProcesses(t *testing.T, backends string) *processes {
	t.Helper()
	p := &processes{t: t}
	dir := t.TempDir()
	ports := freePorts(t, 3*vmCount)
	p.callers, p.operators = ports[:vmCount], ports[vmCount:2*vmCount]
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

func (p *processes) start(i int) {
	p.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asDaemon+"="+p.configs[i])
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

func (p *processes) signal(i int, s syscall.Signal) {
	if err := p.daemons[i].Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}

func (p *processes) stop() {
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

// put sends a row to the operators' listener until the group has a leader.
func (p *processes) put(ctx context.Context, path, body string) {
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
	p.t.Fatalf("PUT %s: %s", path, last)
}

// ready waits until a VM serves.
func (p *processes) ready(ctx context.Context, i int) {
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
	p.t.Fatalf("vm%d is not ready", i+1)
}

const processKey = "process-key"

func (p *processes) putPlans(ctx context.Context) {
	p.t.Helper()
	p.put(ctx, "/v1/allowances/basic", `{"models":["m"],"services":["desk"],"tokens_per_window":1000000,
		"requests_per_window":1000,"window_seconds":3600,"concurrent":50,"share":1}`)
	p.put(ctx, "/v1/plans/coop", `{"plan":"basic","key_hashes":["`+plan.HashKey(processKey)+`"]}`)
}

func (p *processes) generate(ctx context.Context, key string, at int, event func()) *client.Answer {
	p.t.Helper()
	c := engine.Completion{Model: "m", Prompt: "unit 9 log", MaxTokens: 300}
	done := false
	answer, err := client.New(p.callers, processKey).Complete(ctx, key, client.Completion{Model: "m", Prompt: c.Prompt, MaxTokens: c.MaxTokens},
		func(pr client.Progress) {
			if pr.Index >= at && !done {
				done = true
				event()
			}
		})
	if err != nil || !done {
		p.t.Fatalf("%s: %v, event happened: %v", key, err, done)
	}
	if err := standin.Verify(c, "1", answer.TokenIDs, true); err != nil {
		p.t.Errorf("%s: %v", key, err)
	}
	return answer
}

// Three daemons as processes of their own. The caller's VM is killed with
// SIGKILL in mid-output, started again, and another one is stopped with SIGSTOP
// and goes on later: each time the caller reconnects and gets its whole answer,
// and the plans are still there, since the control group kept a majority.
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
		t.Error("the caller never reconnected")
	}
	_ = p.daemons[0].Wait()
	p.start(0)
	p.ready(ctx, 0)
	paused := p.generate(ctx, "paused", 100, func() { p.signal(0, syscall.SIGSTOP) })
	if paused.Reconnects == 0 || paused.LongestGap < time.Second {
		t.Errorf("the caller's VM was not paused: %d reconnects, longest gap %v", paused.Reconnects, paused.LongestGap)
	}
	p.signal(0, syscall.SIGCONT)
	p.generate(ctx, "after", 1, func() {})
	t.Logf("longest gap: killed %v, paused %v", killed.LongestGap, paused.LongestGap)
}
