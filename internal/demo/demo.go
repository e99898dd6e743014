// Package demo runs the whole system in one process on loopback, breaks it, and
// checks what its callers received.
package demo

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Scene is the account of one part of the demo.
type Scene struct {
	Name          string  `json:"name"`
	What          string  `json:"what"`
	Tokens        int     `json:"tokens"`
	ResumeMS      float64 `json:"resume_latency_ms"`
	ExtraTokens   int     `json:"extra_tokens"`
	Reconnects    int     `json:"reconnects"`
	Check         string  `json:"check"`
	OK            bool    `json:"ok"`
	DurationMS    float64 `json:"duration_ms"`
	ServiceRuns   int     `json:"service_runs,omitempty"`
	ServiceAnswer string  `json:"service_answer,omitempty"`
}

// Report is the account of the whole demo.
type Report struct {
	Scenes []Scene `json:"scenes"`
	OK     bool    `json:"ok"`
}

// Text is the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	for _, s := range r.Scenes {
		mark := "ok  "
		if !s.OK {
			mark = "FAIL"
		}
		fmt.Fprintf(&b, "%s %s: %s\n", mark, s.Name, s.What)
		fmt.Fprintf(&b, "     %d tokens, resume latency %.0f ms, extra work %d tokens, %d reconnects; check: %s\n",
			s.Tokens, s.ResumeMS, s.ExtraTokens, s.Reconnects, s.Check)
	}
	return b.String()
}

const (
	demoKey   = "demo-workspace-key"
	demoModel = "diagnosis"
	vmCount   = 3
	engines   = 4
)

type system struct {
	nodes   []*node.Node
	engines []*standin.EngineServer
	service *standin.Service
	dir     string
}

// Run starts the system, plays the scenes and stops it. It returns an error
// where the system could not be started; a failed check is in the report.
func Run(ctx context.Context, progress func(string)) (*Report, error) {
	progress("starting 3 VMs, 4 engines and a dispatch service")
	s, err := start()
	if err != nil {
		return nil, err
	}
	defer s.stop()
	report := &Report{OK: true}
	scenes := []struct {
		step string
		play func(context.Context) Scene
	}{
		{"an unbroken generation", s.unbroken},
		{"an engine dies in mid-output", s.engineDies},
		{"the VM that holds the caller dies", s.vmDies},
	}
	for _, scene := range scenes {
		progress(scene.step)
		began := time.Now()
		out := scene.play(ctx)
		out.DurationMS = ms(time.Since(began))
		report.Scenes = append(report.Scenes, out)
		report.OK = report.OK && out.OK
	}
	return report, nil
}

func start() (*system, error) {
	dir, err := os.MkdirTemp("", "amaranthshelf-demo-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir}
	backends, err := s.startBackends()
	if err != nil {
		s.stop()
		return nil, err
	}
	if err := s.startVMs(backends); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) startBackends() ([]settings.Backend, error) {
	var out []settings.Backend
	for i := range engines {
		name := fmt.Sprintf("engine%d", i+1)
		e, err := standin.ServeEngine(standin.DefaultEngine(name, demoModel), "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
		out = append(out, settings.Backend{
			Name: name, Kind: settings.KindEngine, Address: e.Addr, Zone: zone(i % vmCount), Models: []string{demoModel},
		})
	}
	service, err := standin.ServeService("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.service = service
	return append(out, settings.Backend{Name: "dispatch1", Kind: settings.KindService, Address: service.Addr, Service: "dispatch"}), nil
}

func zone(i int) string { return fmt.Sprintf("zone%d", i+1) }

func (s *system) startVMs(backends []settings.Backend) error {
	var vms []settings.VM
	for i := range vmCount {
		conf, err := settings.Default()
		if err != nil {
			return err
		}
		conf.Self.ID, conf.Self.Zone = fmt.Sprintf("vm%d", i+1), zone(i)
		conf.Self.Callers, conf.Self.Peer, conf.Operators = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		conf.DataDir = fmt.Sprintf("%s/vm%d", s.dir, i+1)
		conf.Backends = backends
		n, err := node.Listen(conf, zerolog.Nop())
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		vms = append(vms, n.Self())
	}
	dir := plan.NewDirectory(1,
		[]plan.Customer{{Workspace: "demo", Plan: "basic", KeyHashes: []string{plan.HashKey(demoKey)}}},
		[]plan.Allowance{{Plan: "basic", Models: []string{demoModel}, Services: []string{"dispatch"}}})
	for _, n := range s.nodes {
		n.Start(vms)
		n.SetPlans(dir)
	}
	return nil
}

func (s *system) stop() {
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, e := range s.engines {
		e.Close()
	}
	if s.service != nil {
		s.service.Close()
	}
	_ = os.RemoveAll(s.dir)
}

func (s *system) addresses() []string {
	var out []string
	for _, n := range s.nodes {
		out = append(out, n.Self().Callers)
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	answerTokens = 300
	breakAt      = 100
)

// generate runs one generation and calls at once breakAt tokens have come.
func (s *system) generate(ctx context.Context, key, prompt string, at func()) Scene {
	before := s.work()
	broken := at == nil
	resume := time.Duration(0)
	body := client.Completion{Model: demoModel, Prompt: prompt, MaxTokens: answerTokens}
	answer, err := client.New(s.addresses(), demoKey).Complete(ctx, key, body, func(p client.Progress) {
		if broken {
			resume = max(resume, p.Gap)
		}
		if p.Index >= breakAt && !broken {
			broken = true
			at()
		}
	})
	scene := Scene{Tokens: len(answer.TokenIDs), Reconnects: answer.Reconnects}
	if at != nil {
		scene.ResumeMS = ms(resume)
	}
	scene.ExtraTokens = s.work() - before - len(prompt) - answerTokens
	if err == nil {
		c := engine.Completion{Model: demoModel, Prompt: prompt, MaxTokens: answerTokens}
		err = standin.Verify(c, "1", answer.TokenIDs, true)
	}
	scene.OK, scene.Check = err == nil && broken, "every token follows from its prefix"
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

// work is what all engines have computed, in tokens.
func (s *system) work() int {
	total := 0
	for _, e := range s.engines {
		st := e.Stats()
		total += st.PrefillTokens + st.GeneratedTotal
	}
	return total
}

func (s *system) unbroken(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-1", "Unit 12: flow 61 C, return 58 C, valve hunting. Diagnose.", nil)
	scene.Name, scene.What = "unbroken", "one generation, nothing fails"
	return scene
}

func (s *system) engineDies(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-2", "Unit 31: no hot water since Tuesday, pressure normal. Diagnose.", s.killRunningEngine)
	scene.Name, scene.What = "engine dies", fmt.Sprintf("the engine is killed after %d tokens", breakAt)
	return scene
}

func (s *system) killRunningEngine() {
	for _, e := range s.engines {
		if e.Alive() && e.Running() > 0 {
			e.Kill()
			return
		}
	}
}

func (s *system) vmDies(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-3", "Unit 44: pump cycles every 90 s at night. Diagnose.", s.nodes[0].Kill)
	scene.Name, scene.What = "VM dies", "the VM that holds the caller's connection is killed; the caller reconnects to another"
	scene.OK = scene.OK && scene.Reconnects > 0
	return scene
}
