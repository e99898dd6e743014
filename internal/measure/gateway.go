// Package measure takes the measurements of docs/CAPACITY.md and docs/MEASUREMENTS.md on
// one machine. Each runs together with its baseline, because machines are noisy and only
// ratios and slopes are valid elsewhere.
package measure

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Path holds the latencies and costs of streams over one path. Times are in milliseconds.
type Path struct {
	FirstP50, FirstP95 float64
	GapP50, GapP95     float64
	CPUPerToken        float64 // processor time of the whole process, in microseconds
	HeapPerStream      float64 // heap and stacks of the whole process above idle, in bytes
}

// Gateway compares streams through the system with streams read directly from the same
// engines.
type Gateway struct {
	VMs, Streams, TokensEach int
	Direct, Via              Path
}

const (
	gatewayModel = "m"
	gatewayKey   = "measure"
	gatewayZones = 3
	// streamsPerEngine gives the engines batches of the size that they have under load.
	streamsPerEngine = 32
)

// RunGateway measures concurrent streams of tokens tokens each, first direct and then
// through the given number of VMs. It calls say before each path.
func RunGateway(ctx context.Context, vms, streams, tokens int, say func(string)) (*Gateway, error) {
	s, err := local.Start(local.Options{
		VMs: vms, Zones: min(vms, gatewayZones), Engines: (streams + streamsPerEngine - 1) / streamsPerEngine, Model: gatewayModel,
		Engine: gatewayEngine, Plans: gatewayPlans, Log: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	out := &Gateway{VMs: vms, Streams: streams, TokensEach: tokens}
	direct := engine.NewClient()
	var callers []*client.Client
	for _, addr := range s.Addresses() {
		callers = append(callers, client.New([]string{addr}, gatewayKey))
	}
	say("direct streams")
	out.Direct, err = measurePath(ctx, streams, tokens, "direct", func(ctx context.Context, i int, key string, on func()) error {
		c := engine.Completion{Attempt: key, Model: gatewayModel, Prompt: promptOf(key), MaxTokens: tokens, Stream: true}
		return direct.Generate(ctx, s.Engines[i%len(s.Engines)].Addr, c, func(engine.Event) error {
			on()
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	say("streams through the system")
	out.Via, err = measurePath(ctx, streams, tokens, "via", func(ctx context.Context, i int, key string, on func()) error {
		_, err := callers[i%len(callers)].Complete(ctx, key, client.Completion{Model: gatewayModel, Prompt: promptOf(key), MaxTokens: tokens},
			func(client.Progress) { on() })
		return err
	})
	return out, err
}

func gatewayEngine(i int) standin.EngineConfig {
	cfg := standin.DefaultEngine(fmt.Sprintf("engine%d", i+1), gatewayModel)
	cfg.StepBase = 20 * time.Millisecond // typical of large models
	cfg.MaxBatch = 2 * streamsPerEngine
	return cfg
}

func gatewayPlans() ([]plan.Customer, []plan.Allowance) {
	const unlimited = 1 << 40
	return []plan.Customer{{Workspace: "measure", Plan: "p", KeyHashes: []string{plan.HashKey(gatewayKey)}}},
		[]plan.Allowance{{
			Plan: "p", Models: []string{gatewayModel}, TokensPerWindow: unlimited, RequestsPerWindow: unlimited,
			WindowSeconds: 3600, Concurrent: 1 << 16, Share: 1, PriorityCeiling: 9,
		}}
}

func promptOf(key string) string { return key + strings.Repeat(" log line", 10) }

type streamFunc func(ctx context.Context, i int, key string, on func()) error

type pathMeasurement struct {
	mu         sync.Mutex
	first, gap *hdrhistogram.Histogram
	err        error
}

// measurePath runs the streams concurrently and samples the heap in the middle of the run.
func measurePath(ctx context.Context, streams, tokens int, name string, run streamFunc) (Path, error) {
	const histMax = int64(time.Minute / time.Microsecond)
	p := &pathMeasurement{first: hdrhistogram.New(1, histMax, 3), gap: hdrhistogram.New(1, histMax, 3)}
	idle := liveHeapBytes()
	cpu := cpuTime()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() { p.runStream(ctx, i, fmt.Sprintf("%s-%d", name, i), run) })
	}
	half := time.NewTimer(time.Duration(tokens) * 20 * time.Millisecond / 2)
	<-half.C
	busy := liveHeapBytes()
	wg.Wait()
	used := cpuTime() - cpu
	return Path{
		FirstP50: ms(p.first, 50), FirstP95: ms(p.first, 95), GapP50: ms(p.gap, 50), GapP95: ms(p.gap, 95),
		CPUPerToken:   float64(used.Microseconds()) / float64(streams*tokens),
		HeapPerStream: float64(busy-idle) / float64(streams),
	}, p.err
}

func (p *pathMeasurement) runStream(ctx context.Context, i int, key string, run streamFunc) {
	start := time.Now()
	last := time.Time{}
	err := run(ctx, i, key, func() {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		if last.IsZero() {
			_ = p.first.RecordValue(now.Sub(start).Microseconds())
		} else {
			_ = p.gap.RecordValue(now.Sub(last).Microseconds())
		}
		last = now
	})
	if err != nil {
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
	}
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// liveHeapBytes returns the size of the live heap and the stacks after a collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Text formats the results as a table.
func (g *Gateway) Text() string {
	var b strings.Builder
	row := func(name string, direct, via float64, unit string) {
		ratio := 0.0
		if direct > 0 {
			ratio = via / direct
		}
		fmt.Fprintf(&b, "%-28s %10.2f %10.2f %8.2f  %s\n", name, direct, via, ratio, unit)
	}
	fmt.Fprintf(&b, "%d streams of %d tokens at once through %d VMs; all parts in one process\n", g.Streams, g.TokensEach, g.VMs)
	fmt.Fprintf(&b, "%-28s %10s %10s %8s\n", "", "direct", "via", "ratio")
	row("first token p50", g.Direct.FirstP50, g.Via.FirstP50, "ms")
	row("first token p95", g.Direct.FirstP95, g.Via.FirstP95, "ms")
	row("between tokens p50", g.Direct.GapP50, g.Via.GapP50, "ms")
	row("between tokens p95", g.Direct.GapP95, g.Via.GapP95, "ms")
	row("processor time per token", g.Direct.CPUPerToken, g.Via.CPUPerToken, "us")
	row("heap and stack per stream", g.Direct.HeapPerStream, g.Via.HeapPerStream, "bytes")
	if extra := g.Via.CPUPerToken - g.Direct.CPUPerToken; extra > 0 {
		fmt.Fprintf(&b, "the system adds %.1f us per token: %.0f tokens/s per core\n", extra, 1e6/extra)
	}
	return b.String()
}
