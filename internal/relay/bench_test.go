package relay_test

import (
	"context"
	"expvar"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
)

// tap is an engine that gives tokens as fast as they are taken, and then keeps
// its streams open.
type tap struct {
	tokens int
	views  []generation.Membership
}

func (e *tap) Generate(ctx context.Context, _ string, c engine.Completion, on func(engine.Event) error) error {
	ids, texts := []int32{7}, []string{" boiler"}
	for i := range e.tokens {
		if err := on(engine.Event{Attempt: c.Attempt, Index: i + 1, TokenIDs: ids, Texts: texts}); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *tap) Attach(context.Context, string, engine.Attempt, int, func(engine.Event) error) error {
	return nil
}
func (e *tap) Cancel(context.Context, string, engine.Attempt) error { return nil }
func (e *tap) Views() []generation.Membership                       { return e.views }
func (e *tap) Reachable(string) bool                                { return true }
func (e *tap) Usable(string) (engines, routers int)                 { return 1, 1 }
func (e *tap) Pick(context.Context, relay.Query) (relay.Choice, error) {
	return relay.Choice{Backend: relay.Backend{Name: "e"}}, nil
}

// One token of 500 running streams from the engine's event to its release, over
// five VMs in one process without sockets; then what a stream holds on all five.
func BenchmarkStreams(b *testing.B) {
	const streams, length = 500, 1000
	e := &tap{tokens: length}
	view := generation.Membership{Version: 1}
	for i := range 5 {
		view.Candidates = append(view.Candidates, generation.Candidate{VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%3)})
	}
	e.views = []generation.Membership{view}
	net := peertest.New(1)
	var hubs []*relay.Hub
	for _, c := range view.Candidates {
		h := relay.NewHub(relay.Config{
			VM: c.VM, EpochVM: c.VM + "#1", OpenTimeout: time.Minute, SilenceLimit: time.Minute, CallerKeep: time.Minute,
			Limits: generation.DefaultLimits(time.Minute),
		}, relay.Deps{
			Transport: net.VM(c.VM), Members: e, Engines: e, Router: e, Log: zerolog.Nop(), Metrics: new(expvar.Map).Init(),
		})
		b.Cleanup(h.Close)
		hubs = append(hubs, h)
	}
	var spent time.Duration
	var heldBytes float64
	for n := range b.N {
		before := heap()
		began := time.Now()
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() { readAll(b, hubs[i%len(hubs)], fmt.Sprint(n, "-", i), length) })
		}
		wg.Wait()
		spent += time.Since(began)
		heldBytes = float64(heap()-before) / streams
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*streams*length), "ns/token")
	b.ReportMetric(heldBytes, "B/stream")
	b.ReportMetric(heldBytes/length, "B/token-held")
}

func readAll(b *testing.B, h *relay.Hub, key string, length int) {
	req := generation.Request{ID: generation.RequestID{Workspace: "w", Key: key}, Model: "m", Prompt: "unit 7", MaxTokens: 2 * length}
	reader, err := h.Open(b.Context(), req, false)
	if err != nil {
		b.Error(err)
		return
	}
	for at := 0; at < length; {
		chunk, err := reader.Wait(b.Context(), at)
		if err != nil {
			b.Error(err)
			return
		}
		at += len(chunk.Span.Tokens)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
