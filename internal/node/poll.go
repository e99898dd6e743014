package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Constants of polling. A router polls only the engines that it uses (at most
// routing.SubsetSize for each pool), and both kinds of polls have a byte budget. Control
// traffic therefore stays under 11 KB/s for each VM, whatever the size of the system.
// Sizes are those of the protocol's JSON with its HTTP headers.
const (
	pollInterval        = 1 * time.Second        // the shortest interval; the budget may make it longer
	busyPollInterval    = 250 * time.Millisecond // while requests wait, paid from the saved budget
	pollTimeout         = 500 * time.Millisecond // the round trip to an engine takes a few milliseconds
	loadReportBytes     = 450                    // size of a load report
	loadBytesPerSecond  = 4000                   // budget for load reports
	maxSavedLoadBytes   = 60_000                 // covers five rounds over a subset
	cacheEventBytes     = 45                     // size of one cache event
	cacheBytesPerSecond = 3000                   // budget for the cache events of all engines
	maxSavedCacheBytes  = 200_000                // covers one engine's full log
)

type pollTarget struct {
	index    int
	name     string
	addr     string
	cacheSeq uint64
}

// poller reads the load reports and cache events of engines.
type poller struct {
	router     *router
	client     *engine.Client
	onAnswer   func(name string) // called when an engine has answered
	hasWaiting func() bool       // whether requests wait for a slot

	mu          sync.Mutex
	loadBudget  float64 // bytes left for load reports
	cacheBudget float64 // bytes left for cache events
}

// run polls until ctx is done. The polls are spread over the interval with jitter, which
// keeps routers that start together from polling in step.
func (p *poller) run(ctx context.Context) {
	p.loadBudget, p.cacheBudget = maxSavedLoadBytes, maxSavedCacheBytes
	for ctx.Err() == nil {
		list := p.router.pollTargets()
		for _, e := range list {
			go p.poll(ctx, e)
			pause := p.pause(len(list))
			if timer.Sleep(ctx, pause/2+rand.N(pause+1)) != nil {
				return
			}
		}
		if len(list) == 0 && timer.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// pause returns the time until the next of n engines is polled, and updates the budgets.
// It is shorter while requests wait, because their limits grow only with load reports. At
// the normal interval, requests would wait for two seconds and more on a VM that has just
// started, or that a workspace has just begun to use.
func (p *poller) pause(n int) time.Duration {
	busy := p.hasWaiting()
	p.mu.Lock()
	defer p.mu.Unlock()
	every := pollIntervalFor(n)
	if busy && p.loadBudget > 0 {
		every = min(every, busyPollInterval)
	}
	pause := every / time.Duration(n)
	p.loadBudget = min(maxSavedLoadBytes, p.loadBudget+loadBytesPerSecond*pause.Seconds()-loadReportBytes)
	p.cacheBudget = min(maxSavedCacheBytes, p.cacheBudget+cacheBytesPerSecond*pause.Seconds())
	return pause
}

func (p *poller) poll(ctx context.Context, e pollTarget) {
	p.pollLoad(ctx, e)
	p.pollCacheEvents(ctx, e)
}

func pollIntervalFor(engines int) time.Duration {
	return max(pollInterval, time.Duration(engines)*loadReportBytes*time.Second/loadBytesPerSecond)
}

func (p *poller) pollLoad(ctx context.Context, e pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.client.Load(ctx, e.addr)
	if err != nil {
		return // the engine's streams and connections show the failure
	}
	p.router.applyReport(e.index, &load)
	p.onAnswer(e.name)
}

// pollCacheEvents reads an engine's cache events while the budget lasts. Without it, the
// cache hints come only from the requests that this router has placed itself.
func (p *poller) pollCacheEvents(ctx context.Context, e pollTarget) {
	if !p.spendCacheBudget(loadReportBytes) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := p.client.CacheEvents(ctx, e.addr, e.cacheSeq)
	if err != nil {
		return
	}
	p.spendCacheBudget(cacheEventBytes * len(page.Events))
	p.router.applyCacheEvents(e.index, e.cacheSeq, &page)
}

// spendCacheBudget takes bytes from the budget for cache events. It reports false if the
// budget is exhausted.
func (p *poller) spendCacheBudget(bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cacheBudget <= 0 {
		return false
	}
	p.cacheBudget -= float64(bytes)
	return true
}

// startPolling starts to poll the engines. n.stopPolling stops it.
func (n *Node) startPolling() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopPolling = cancel
	p := &poller{router: n.router, client: n.engines, onAnswer: n.hub.Polled, hasWaiting: n.admission.hasWaiting}
	go p.run(ctx)
}
