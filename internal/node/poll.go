package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Figures of polling. A router polls only the engines that it uses (at most
// routing.SubsetSize a pool), and both kinds of polls have a budget, so that
// control traffic stays under 11 KB/s a node at any size. Sizes are those of the
// protocol's JSON with its HTTP headers.
const (
	pollEvery    = 1 * time.Second        // at most; slower where the budget asks for it
	pollSoon     = 250 * time.Millisecond // while requests wait, from what was saved up
	pollDeadline = 500 * time.Millisecond // an engine is a few milliseconds away
	pollBytes    = 450                    // of a load report
	pollBudget   = 4000                   // bytes a second for load reports
	pollSaved    = 60_000                 // bytes that may be saved up: five rounds over a subset
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
	router  *router
	client  *engine.Client
	heard   func(name string) // an engine has answered
	waiting func() bool       // whether requests wait for a slot

	mu     sync.Mutex
	loads  float64 // bytes left for reports
	events float64 // bytes left for cache events
}

// run polls until ctx is done. The engines are spread over the interval, with
// jitter, so that routers started together do not poll in step.
func (p *poller) run(ctx context.Context) {
	p.loads, p.events = pollSaved, eventSaved
	for ctx.Err() == nil {
		list := p.router.listed()
		for _, e := range list {
			go p.poll(ctx, e)
			pause := p.pause(len(list))
			if timer.Sleep(ctx, pause/2+rand.N(pause+1)) != nil {
				return
			}
		}
		if len(list) == 0 && timer.Sleep(ctx, pollEvery) != nil {
			return
		}
	}
}

// pause is the time to the poll of the next of n engines. While requests wait,
// limits can grow only with reports: on a VM that has just started, or that a
// workspace has just come to, they would wait for two seconds and more.
func (p *poller) pause(n int) time.Duration {
	hungry := p.waiting()
	p.mu.Lock()
	defer p.mu.Unlock()
	every := interval(n)
	if hungry && p.loads > 0 {
		every = min(every, pollSoon)
	}
	pause := every / time.Duration(n)
	p.loads = min(pollSaved, p.loads+pollBudget*pause.Seconds()-pollBytes)
	p.events = min(eventSaved, p.events+eventBudget*pause.Seconds())
	return pause
}

func (p *poller) poll(ctx context.Context, e polled) {
	p.load(ctx, e)
	p.cache(ctx, e)
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
	if !p.spend(pollBytes) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollDeadline)
	defer cancel()
	page, err := p.client.CacheEvents(ctx, e.addr, e.cacheSeq)
	if err != nil {
		return
	}
	p.spend(eventBytes * len(page.Events))
	p.router.cacheEvents(e.index, e.cacheSeq, &page)
}

// spend takes bytes of the budget for cache events, if there are any left.
func (p *poller) spend(bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events <= 0 {
		return false
	}
	p.events -= float64(bytes)
	return true
}

// startPolling begins to poll the engines; it ends with the returned function.
func (n *Node) startPolling() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopPolling = cancel
	p := &poller{router: n.router, client: n.engines, heard: n.hub.Polled, waiting: n.admission.waiting}
	go p.run(ctx)
}
