package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// BenchmarkVMLoss measures the loss of a VM, by a kill or a planned shutdown, while the
// answers of its callers are in progress. It reports the longest pause in each answer, and
// the engines' work beyond that of uninterrupted answers.
func BenchmarkVMLoss(b *testing.B) {
	for name, lose := range map[string]func(ctx context.Context, s *local.System){
		"killed":   func(_ context.Context, s *local.System) { s.Nodes[0].Kill() },
		"shutdown": func(ctx context.Context, s *local.System) { _ = s.Nodes[0].Shutdown(ctx) },
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				vmLoss(b, lose)
			}
		})
	}
}

func vmLoss(b *testing.B, lose func(context.Context, *local.System)) {
	const streams, tokens, at = 150, 300, 100
	s, err := local.Start(local.Options{
		VMs: 5, Zones: 3, Engines: 10, Model: "m", Log: zerolog.Nop(),
		Engine: func(i int) standin.EngineConfig {
			cfg := standin.DefaultEngine(fmt.Sprint("e", i), "m")
			cfg.StepBase = 20 * time.Millisecond
			return cfg
		},
		Settings: func(_ int, conf *settings.Settings) { conf.EntryTTL = 200 * time.Millisecond },
		Plans: func() ([]plan.Customer, []plan.Allowance) {
			return []plan.Customer{{Workspace: "coop", Plan: "p", KeyHashes: []string{plan.HashKey(testKey)}}},
				[]plan.Allowance{{
					Plan: "p", Models: []string{"m"}, TokensPerWindow: 1 << 40, RequestsPerWindow: 1 << 40,
					WindowSeconds: 3600, Concurrent: 1 << 16, Share: 1,
				}}
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	before := s.ComputedTokens()
	var once sync.Once
	var wg sync.WaitGroup
	var mu sync.Mutex
	var gaps []time.Duration
	ideal := 0
	for i := range streams {
		req := client.Completion{Model: "m", Prompt: fmt.Sprintf("unit %d log: return flow cold for three days", i), MaxTokens: tokens}
		ideal += len(req.Prompt) + tokens
		wg.Go(func() {
			answer, err := client.New(s.Addresses(), testKey).Complete(ctx, fmt.Sprint("k", i), req, func(p client.Progress) {
				if p.Index >= at {
					once.Do(func() { go lose(ctx, s) })
				}
			})
			if err == nil {
				err = standin.Verify(engine.Completion{Model: "m", Prompt: req.Prompt, MaxTokens: tokens}, "1", answer.TokenIDs, true)
			}
			if err != nil {
				b.Errorf("k%d: %v", i, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			gaps = append(gaps, answer.LongestGap)
		})
	}
	wg.Wait()
	if len(gaps) == 0 {
		b.Fatal("no answer was completed")
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-gap-ms")
	b.ReportMetric(float64(gaps[len(gaps)*99/100].Milliseconds()), "p99-gap-ms")
	b.ReportMetric(100*float64(s.ComputedTokens()-before-ideal)/float64(ideal), "extra-%")
}
