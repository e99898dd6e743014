package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// Figures of polling. A router polls only the engines that it uses (at most
// routing.SubsetSize a pool), and both kinds of polls have a budget, so that
// control traffic stays under 11 KB/s a node at any size. Sizes are those of the
// protocol's JSON with its HTTP headers.
const (
	pollEvery    = 1 * time.Second        // at most; slower where the budget asks for it
	pollDeadline = 500 * time.Millisecond // an engine is a few milliseconds away
	pollBytes    = 450                    // of a load report
	pollBudget   = 4000                   // bytes a second for load reports
	eventBytes   = 45                     // of one cache event
	eventBudget  = 3000                   // bytes a second for cache events, over all engines
	eventSaved   = 200_000                // bytes that may be saved up: one engine's full log
)

type polled struct {
	index    int
	name     string
	addr     string
	cacheSeq uint64
}

// poller reads load reports and cache events.
type poller struct {
	router *router
	client *engine.Client
	heard  func(name string) // an engine has answered
	events float64           // bytes left for cache events
}

// run polls until ctx is done. The engines are spread over the interval, with
// jitter, so that routers started together do not poll in step.
func (p *poller) run(ctx context.Context) {
	p.events = eventSaved
	for ctx.Err() == nil {
		list := p.router.listed()
		every := interval(len(list))
		for _, e := range list {
			go p.load(ctx, e)
			p.cache(ctx, e)
			pause := every / time.Duration(len(list))
			p.earn(pause)
			if sleepCtx(ctx, pause/2+rand.N(pause+1)) != nil {
				return
			}
		}
		if len(list) == 0 && sleepCtx(ctx, pollEvery) != nil {
			return
		}
	}
}

func interval(engines int) time.Duration {
	return max(pollEvery, time.Duration(engines)*pollBytes*time.Second/pollBudget)
}

func (p *poller) load(ctx context.Context, e polled) {
	ctx, cancel := context.WithTimeout(ctx, pollDeadline)
	defer cancel()
	load, err := p.client.Load(ctx, e.addr)
	if err != nil {
		return // its streams and connections tell what is wrong
	}
	p.router.report(e.index, &load)
	p.heard(e.name)
}

// cache reads an engine's cache events while the budget lasts. Beyond it the
// hints live on what this router itself has placed.
func (p *poller) cache(ctx context.Context, e polled) {
	if p.events <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollDeadline)
	defer cancel()
	page, err := p.client.CacheEvents(ctx, e.addr, e.cacheSeq)
	p.events -= pollBytes
	if err != nil {
		return
	}
	p.events -= float64(eventBytes * len(page.Events))
	p.router.cacheEvents(e.index, &page)
}

func (p *poller) earn(d time.Duration) {
	p.events = min(eventSaved, p.events+eventBudget*d.Seconds())
}

func sleepCtx(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func expvarFunc(f func() any) expvar.Func { return expvar.Func(f) }

// startPolling begins to poll the engines; it ends with the returned function.
func (n *Node) startPolling() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopPolling = cancel
	p := &poller{router: n.router, client: n.engines, heard: n.hub.Polled}
	go p.run(ctx)
}
