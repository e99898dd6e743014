// Package demo runs the whole system in one process on loopback, injects faults, and checks
// the answers that its callers receive.
package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Scene holds the results of one part of the demo. Times are in milliseconds.
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

// Report holds the results of the whole demo. OK is set if every check passed.
type Report struct {
	Scenes []Scene `json:"scenes"`
	OK     bool    `json:"ok"`
}

// Text formats the report as text.
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
		if s.ServiceAnswer != "" {
			fmt.Fprintf(&b, "     %d runs on the service\n%s", s.ServiceRuns, s.ServiceAnswer)
		}
	}
	return b.String()
}

const (
	demoKey   = "demo-workspace-key"
	demoModel = "diagnosis"
	vmCount   = 3
	engines   = 4
)

type system struct{ *local.System }

// Run starts the system, runs the scenes and stops it. It returns an error if the system
// could not be started. A failed check is not an error; the report contains it.
func Run(ctx context.Context, progress func(string)) (*Report, error) {
	progress("starting 3 VMs, 4 engines and a dispatch service")
	s, err := start()
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	report := &Report{OK: true}
	scenes := []struct {
		step string
		play func(context.Context) Scene
	}{
		{"an unbroken generation", s.unbroken},
		{"an engine dies in mid-output", s.engineDies},
		{"the VM that holds the caller dies", s.vmDies},
		{"bookings over a breaking connection", s.bookings},
		{"a routed stream loses its zone of engines", s.zoneDies},
		{"a routed stream loses its router while two versions serve", s.routerDies},
		{"a bad version of a service is rolled out", s.badVersion},
	}
	for _, scene := range scenes {
		progress(scene.step)
		began := time.Now()
		out := scene.play(ctx)
		out.DurationMS = millis(time.Since(began))
		report.Scenes = append(report.Scenes, out)
		report.OK = report.OK && out.OK
	}
	return report, nil
}

func start() (*system, error) {
	s, err := local.Start(local.Options{
		VMs: vmCount, Zones: vmCount, Engines: engines, Model: demoModel, Services: []string{"dispatch"},
		Plans: plans, Log: zerolog.Nop(),
	})
	return &system{s}, err
}

func plans() ([]plan.Customer, []plan.Allowance) {
	return []plan.Customer{{Workspace: "demo", Plan: "basic", KeyHashes: []string{plan.HashKey(demoKey)}}},
		[]plan.Allowance{{
			Plan: "basic", Models: []string{demoModel}, Services: []string{"dispatch"},
			TokensPerWindow: 1e6, RequestsPerWindow: 1e3, WindowSeconds: 3600, Concurrent: 100, Share: 1,
		}}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	answerTokens = 300
	faultAtToken = 100
)

// generate runs one generation. It calls injectFault when faultAtToken tokens have arrived,
// and then measures the longest gap as the resume latency.
func (s *system) generate(ctx context.Context, key, prompt string, injectFault func()) Scene {
	before := s.ComputedTokens()
	faultInjected := injectFault == nil
	resume := time.Duration(0)
	body := client.Completion{Model: demoModel, Prompt: prompt, MaxTokens: answerTokens}
	answer, err := client.New(s.Addresses(), demoKey).Complete(ctx, key, body, func(p client.Progress) {
		if faultInjected {
			resume = max(resume, p.Gap)
		}
		if p.Index >= faultAtToken && !faultInjected {
			faultInjected = true
			injectFault()
		}
	})
	scene := Scene{Tokens: len(answer.TokenIDs), Reconnects: answer.Reconnects}
	if injectFault != nil {
		scene.ResumeMS = millis(resume)
	}
	scene.ExtraTokens = s.ComputedTokens() - before - len(prompt) - answerTokens
	if err == nil {
		c := engine.Completion{Model: demoModel, Prompt: prompt, MaxTokens: answerTokens}
		err = standin.Verify(c, "1", answer.TokenIDs, true)
	}
	scene.OK, scene.Check = err == nil && faultInjected, "every token follows from its prefix"
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

func (s *system) unbroken(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-1", "Unit 12: flow 61 C, return 58 C, valve hunting. Diagnose.", nil)
	scene.Name, scene.What = "unbroken", "one generation, nothing fails"
	return scene
}

func (s *system) engineDies(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-2", "Unit 31: no hot water since Tuesday, pressure normal. Diagnose.", func() { s.KillRunningEngine() })
	scene.Name, scene.What = "engine dies", fmt.Sprintf("the engine is killed after %d tokens", faultAtToken)
	return scene
}

func (s *system) vmDies(ctx context.Context) Scene {
	scene := s.generate(ctx, "demo-3", "Unit 44: pump cycles every 90 s at night. Diagnose.", s.Nodes[0].Kill)
	scene.Name, scene.What = "VM dies", "the VM that holds the caller's connection is killed; the caller reconnects to another"
	scene.OK = scene.OK && scene.Reconnects > 0
	return scene
}
