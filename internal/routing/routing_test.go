package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

const seed = 20261202

var start = time.Unix(1_000_000, 0)

func newTable(zone string, n, zones int, salt uint64) *Table {
	t := NewTable(zone, rand.New(rand.NewPCG(seed, salt)))
	var specs []Spec
	for i := range n {
		specs = append(specs, Spec{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%zones), Pools: []string{"m"}})
	}
	t.SetServers(specs)
	return t
}

func newQuery(prompt, tokens int) *Query {
	return &Query{Pool: "m", PromptTokens: prompt, NewTokens: tokens}
}

// Requests queue on one engine although others are idle. Eleven routers hold the
// same report, 2 s old, in which one engine is idle and all others are busy. Each
// places 24 requests before the next report. Choosing the engine with the least
// reported load would put all 264 requests on the idle engine.
func TestRoutersWithOneStaleReportDoNotHerd(t *testing.T) {
	const engines, routers, requests = 24, 11, 24
	placed := make([]int, engines)
	for r := range routers {
		tab := newTable("z0", engines, 3, uint64(r))
		tab.SetPeers(routers)
		for i := range engines {
			load := &engine.Load{Running: 12, StepMS: 10, AgeMS: 2000}
			if i == 5 {
				load.Running = 0
			}
			tab.ApplyReport(i, load, start)
		}
		for range requests {
			p, ok := tab.Pick(newQuery(100, 200), start)
			if !ok {
				t.Fatal("Pick found no engine")
			}
			placed[p.Engine]++
		}
	}
	mean := routers * requests / engines
	for i, n := range placed {
		if n > 3*mean {
			t.Errorf("engine %d got %d of %d requests, want at most 3 times the mean of %d", i, n, routers*requests, mean)
		}
	}
	if placed[5] < mean {
		t.Errorf("the idle engine got %d requests, want at least the mean of %d", placed[5], mean)
	}
}

// A prefix that every second request shares is cached on one engine, which
// affinity alone would overload. Requests must go to that engine only while its
// load is close to the mean, and then to other engines, which cache the prefix too.
func TestHotPrefixDoesNotOverloadItsEngine(t *testing.T) {
	tab := newTable("z0", 12, 1, 1)
	hot := make([]uint64, 8)
	for i := range hot {
		hot[i] = uint64(i + 1)
	}
	hits := 0
	for n := range 600 {
		q := newQuery(1100, 100)
		if n%2 == 0 {
			q.BlockDigests = hot
		}
		p, _ := tab.Pick(q, start)
		if p.CachedTokens() > 0 {
			hits++
		}
	}
	most := 0
	for i := range tab.Len() {
		most = max(most, tab.Inflight(i))
	}
	if most > 75 {
		t.Errorf("one engine holds %d of 600 requests, want at most 75 (mean 50)", most)
	}
	if hits < 200 {
		t.Errorf("%d of 300 requests with the hot prefix hit the cache, want at least 200", hits)
	}
}

func TestCacheEventGapInvalidatesHints(t *testing.T) {
	tab := newTable("z0", 4, 1, 1)
	events := func(from, to uint64) *engine.CacheEvents {
		page := &engine.CacheEvents{Next: to}
		for s := from; s <= to; s++ {
			page.Events = append(page.Events, engine.CacheEvent{Seq: s, Op: "add", Prefix: s})
		}
		return page
	}
	tab.ApplyCacheEvents(2, events(1, 8))
	chain := []uint64{1, 2, 3, 4}
	if got := tab.hints.cachedTokens(2, tab.engines[2].hintsGen, chain); got != 4*BlockTokens {
		t.Fatalf("got %d cached tokens, want %d", got, 4*BlockTokens)
	}
	page := events(9, 12)
	page.Events = append(page.Events[:1], page.Events[2:]...) // event 10 is lost
	tab.ApplyCacheEvents(2, page)
	if got := tab.hints.cachedTokens(2, tab.engines[2].hintsGen, chain); got != 0 {
		t.Errorf("got %d cached tokens after a gap that may hide their eviction, want 0", got)
	}
	if got := tab.hints.cachedTokens(2, tab.engines[2].hintsGen, []uint64{11, 12}); got == 0 {
		t.Error("got 0 cached tokens for events after the gap, want more")
	}
	tab.ApplyCacheEvents(2, &engine.CacheEvents{Next: 3})
	if got := tab.hints.cachedTokens(2, tab.engines[2].hintsGen, []uint64{11}); got != 0 || tab.CacheSeq(2) != 3 {
		t.Error("hints of a restarted engine were not invalidated")
	}
}

func TestNearZoneIsPreferredUntilLoaded(t *testing.T) {
	tab := newTable("z1", 9, 3, 1)
	zone := func(p Placement) string { return tab.Spec(p.Engine).Zone }
	for range 3 {
		if p, _ := tab.Pick(newQuery(10, 10), start); zone(p) != "z1" {
			t.Fatalf("work went to zone %s although the near zone was idle", zone(p))
		}
	}
	far := 0
	for range 90 {
		if p, _ := tab.Pick(newQuery(10, 10), start); zone(p) != "z1" {
			far++
		}
	}
	if far < 30 {
		t.Errorf("%d of 90 requests went to other zones, want at least 30; the near zone is overloaded", far)
	}
}

// A slow engine delays every stream placed on it, so it must be ejected once its
// reports show that it is slow. If four of ten engines look slow, the cause is
// more likely this router itself, and none may be ejected.
func TestSlowEnginesAreEjectedWithinCap(t *testing.T) {
	tab := newTable("z0", 10, 1, 1)
	report := func(i int, step float64) { tab.ApplyReport(i, &engine.Load{StepMS: step, Running: 4}, start) }
	for i := range 10 {
		report(i, 10)
	}
	for range 40 {
		report(3, 80)
	}
	if got := tab.State(3, start); got != "slow" {
		t.Fatalf("got state %q, want slow", got)
	}
	for range 200 {
		if p, _ := tab.Pick(newQuery(10, 10), start); p.Engine == 3 {
			t.Fatal("work was placed on the slow engine")
		}
	}
	for i := range 4 {
		for range 40 {
			report(i, 80)
		}
	}
	for i := range 10 {
		if got := tab.State(i, start); got != "in" {
			t.Errorf("engine %d has state %q, want in, since four of ten engines look slow", i, got)
		}
	}
}

// An engine that refuses connections must be ejected at once. After the ejection
// only one request at a time may probe it, and a success reinstates it.
func TestDeadEngineIsProbedBackIn(t *testing.T) {
	tab := newTable("z0", 2, 1, 1)
	tab.SetLimit(1, 0)
	p, _ := tab.Pick(newQuery(10, 10), start)
	tab.Done(&p, Refused, start)
	if _, ok := tab.Pick(newQuery(10, 10), start); ok {
		t.Fatal("work was placed on an engine that refused a connection")
	}
	later := start.Add(minEjection)
	probe, ok := tab.Pick(newQuery(10, 10), later)
	if !ok {
		t.Fatal("no probe was placed after the end of the ejection")
	}
	if _, ok := tab.Pick(newQuery(10, 10), later); ok {
		t.Fatal("a second request was placed while the probe was in flight")
	}
	tab.Done(&probe, OK, later)
	for range 3 {
		if _, ok := tab.Pick(newQuery(10, 10), later); !ok {
			t.Fatal("the engine was not reinstated after a successful probe")
		}
	}
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	tab := newTable("z0", 3, 1, 1)
	tab.ApplyReport(1, &engine.Load{Leaving: true}, start)
	tab.SetLeaving(1, false) // the platform's list is outdated
	tab.SetLeaving(2, true)
	tab.ApplyReport(2, &engine.Load{}, start) // this report is outdated too
	for range 100 {
		if p, _ := tab.Pick(newQuery(10, 10), start); p.Engine != 0 {
			t.Fatal("new work was placed on a leaving engine")
		}
	}
}

// Requests with suspect content may crash their engine. Each must run on an engine
// of its own, apart from all other suspects, and new work must avoid that engine.
func TestSuspectsAreIsolated(t *testing.T) {
	tab := newTable("z0", 4, 1, 1)
	for range 12 {
		tab.Pick(newQuery(10, 10), start)
	}
	used := map[int]bool{}
	for range 4 {
		q := newQuery(10, 10)
		q.Suspect = true
		p, ok := tab.Pick(q, start)
		if !ok || used[p.Engine] {
			t.Fatalf("a suspect was placed on engine %d, which runs another suspect", p.Engine)
		}
		used[p.Engine] = true
	}
	q := newQuery(10, 10)
	q.Suspect = true
	if _, ok := tab.Pick(q, start); ok {
		t.Error("a fifth suspect was placed on four engines")
	}
}

// A zone is lost, and the loss of three of its eight engines has been observed. A
// resume must go to another zone: on the other five engines it would run into one
// dial timeout after another.
func TestResumesAvoidSuspectedZone(t *testing.T) {
	tab := newTable("z1", 24, 3, 1)
	resume := newQuery(10, 10)
	resume.Resume = true
	for range 3 {
		for {
			p, _ := tab.Pick(newQuery(10, 10), start)
			if tab.Spec(p.Engine).Zone == "z1" {
				tab.Done(&p, Suspected, start)
				break
			}
		}
	}
	for range 50 {
		if p, ok := tab.Pick(resume, start); !ok || tab.Spec(p.Engine).Zone == "z1" {
			t.Fatal("a resume was placed in the lost zone")
		}
	}
}

// After an outage of all engines every engine is probing. A suspect must be
// placed nevertheless, or its accepted answer is never resumed.
func TestSuspectIsPlacedAfterOutageOfAllEngines(t *testing.T) {
	tab := newTable("z0", 2, 1, 1)
	for range 2 {
		p, _ := tab.Pick(newQuery(10, 10), start)
		tab.Done(&p, Refused, start)
	}
	q := newQuery(10, 10)
	q.Suspect = true
	if _, ok := tab.Pick(q, start.Add(maxEjection)); !ok {
		t.Error("Pick found no engine for the suspect")
	}
}

func TestSubsetsCoverEnginesEvenlyAndSurviveAZone(t *testing.T) {
	var specs []Spec
	for i := range 710 {
		specs = append(specs, Spec{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%5), Pools: []string{"m"}})
	}
	seen := map[string]int{}
	for r := range 330 {
		zones := map[string]int{}
		for _, s := range Subset(fmt.Sprintf("vm%d", r), fmt.Sprintf("z%d", r%5), specs) {
			seen[s.Name]++
			zones[s.Zone]++
		}
		if len(zones) < 3 {
			t.Fatalf("router %d uses only zones %v, want at least 3 zones", r, zones)
		}
	}
	for _, s := range specs {
		if n := seen[s.Name]; n < 2 || n > 28 {
			t.Errorf("%s is used by %d routers, want 2 to 28 (mean 11)", s.Name, n)
		}
	}
}

// BenchmarkPick710 measures Pick with 710 engines, without hints and with a prompt
// of 1,024 tokens whose prefix is cached on an engine or on none.
func BenchmarkPick710(b *testing.B) {
	for _, bench := range []struct {
		name  string
		chain int  // blocks
		same  bool // all requests have the same prompt
	}{{"no-hints", 0, true}, {"cached-prefix", 8, true}, {"new-prefix", 8, false}} {
		b.Run(bench.name, func(b *testing.B) {
			tab := newTable("z0", 710, 5, 1)
			for i := range 710 {
				tab.ApplyReport(i, &engine.Load{Running: i % 20, StepMS: 10, AgeMS: 500}, start)
			}
			q := Query{Pool: "m", PromptTokens: 1200, NewTokens: 300, BlockDigests: make([]uint64, bench.chain)}
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				for j := range q.BlockDigests {
					q.BlockDigests[j] = uint64(j)
					if !bench.same {
						q.BlockDigests[j] += n * 64
					}
				}
				p, _ := tab.Pick(&q, start)
				tab.Done(&p, OK, start)
			}
		})
	}
}
