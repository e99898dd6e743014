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

func table(zone string, n, zones int, salt uint64) *Table {
	t := NewTable(zone, rand.New(rand.NewPCG(seed, salt)))
	var specs []Spec
	for i := range n {
		specs = append(specs, Spec{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%zones), Pools: []string{"m"}})
	}
	t.SetServers(specs)
	return t
}

func ask(prompt, tokens int) *Query {
	return &Query{Pool: "m", PromptTokens: prompt, NewTokens: tokens}
}

// The caller sees its request wait behind a hundred others though engines idle.
// Eleven routers hold the same 2 s old report in which one engine is idle and
// all others are busy; each places 24 requests before the next report. Sending
// to the least loaded by report would put all 264 on the idle engine.
func TestRoutersWithOneStaleReportDoNotHerd(t *testing.T) {
	const engines, routers, requests = 24, 11, 24
	placed := make([]int, engines)
	for r := range routers {
		tab := table("z0", engines, 3, uint64(r))
		tab.SetPeers(routers)
		for i := range engines {
			load := &engine.Load{Running: 12, StepMS: 10, AgeMS: 2000}
			if i == 5 {
				load.Running = 0
			}
			tab.ApplyReport(i, load, start)
		}
		for range requests {
			p, ok := tab.Pick(ask(100, 200), start)
			if !ok {
				t.Fatal("no engine")
			}
			placed[p.Engine]++
		}
	}
	mean := routers * requests / engines
	for i, n := range placed {
		if n > 3*mean {
			t.Errorf("engine %d got %d of %d requests, mean %d", i, n, routers*requests, mean)
		}
	}
	if placed[5] < mean {
		t.Errorf("the idle engine got %d, below the mean %d", placed[5], mean)
	}
}

// A prefix that every second request shares is cached on one engine. It is used
// while that engine is not much above the mean; then others take it, too.
func TestHotPrefixDoesNotOverloadItsEngine(t *testing.T) {
	tab := table("z0", 12, 1, 1)
	hot := make([]uint64, 8)
	for i := range hot {
		hot[i] = uint64(i + 1)
	}
	hits := 0
	for n := range 600 {
		q := ask(1100, 100)
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
		t.Errorf("one engine holds %d of 600, mean 50", most)
	}
	if hits < 200 {
		t.Errorf("%d of 300 hot requests met their prefix", hits)
	}
}

func TestCacheEventsWithAGapVoidTheEnginesHints(t *testing.T) {
	tab := table("z0", 4, 1, 1)
	events := func(from, to uint64) *engine.CacheEvents {
		page := &engine.CacheEvents{Next: to}
		for s := from; s <= to; s++ {
			page.Events = append(page.Events, engine.CacheEvent{Seq: s, Op: "add", Prefix: s})
		}
		return page
	}
	tab.ApplyCacheEvents(2, events(1, 8))
	chain := []uint64{1, 2, 3, 4}
	if got := tab.hints.cached(2, tab.engines[2].cacheGen, chain); got != 4*BlockTokens {
		t.Fatalf("%d tokens known, want %d", got, 4*BlockTokens)
	}
	page := events(9, 12)
	page.Events = append(page.Events[:1], page.Events[2:]...) // 10 is lost
	tab.ApplyCacheEvents(2, page)
	if got := tab.hints.cached(2, tab.engines[2].cacheGen, chain); got != 0 {
		t.Errorf("%d tokens believed after a gap that may hide their eviction", got)
	}
	if got := tab.hints.cached(2, tab.engines[2].cacheGen, []uint64{11, 12}); got == 0 {
		t.Error("the events after the gap were not learned")
	}
	tab.ApplyCacheEvents(2, &engine.CacheEvents{Next: 3})
	if got := tab.hints.cached(2, tab.engines[2].cacheGen, []uint64{11}); got != 0 || tab.CacheSeq(2) != 3 {
		t.Error("a restarted engine kept its old hints")
	}
}

func TestNearZoneFirstThenSpill(t *testing.T) {
	tab := table("z1", 9, 3, 1)
	zone := func(p Placement) string { return tab.Spec(p.Engine).Zone }
	for range 3 {
		if p, _ := tab.Pick(ask(10, 10), start); zone(p) != "z1" {
			t.Fatalf("an idle near zone was passed over for %s", zone(p))
		}
	}
	far := 0
	for range 90 {
		if p, _ := tab.Pick(ask(10, 10), start); zone(p) != "z1" {
			far++
		}
	}
	if far < 30 {
		t.Errorf("%d of 90 spilled over; the near third would be overloaded", far)
	}
}

// A slow engine would hold every stream placed on it. It is left out at once
// its reports show it, but if half of the pool looks slow, the fault is likely
// this router's: all are used.
func TestSlowEnginesAreLeftOutWithinACap(t *testing.T) {
	tab := table("z0", 10, 1, 1)
	report := func(i int, step float64) { tab.ApplyReport(i, &engine.Load{StepMS: step, Running: 4}, start) }
	for i := range 10 {
		report(i, 10)
	}
	for range 40 {
		report(3, 80)
	}
	if got := tab.State(3, start); got != "slow" {
		t.Fatalf("state %q, want slow", got)
	}
	for range 200 {
		if p, _ := tab.Pick(ask(10, 10), start); p.Engine == 3 {
			t.Fatal("work placed on the slow engine")
		}
	}
	for i := range 4 {
		for range 40 {
			report(i, 80)
		}
	}
	for i := range 10 {
		if got := tab.State(i, start); got != "in" {
			t.Errorf("engine %d is %q though four of ten look slow", i, got)
		}
	}
}

// An engine that refuses connections is out at once; when its time is over, one
// request at a time tries it, and a success brings it back.
func TestDeadEngineIsProbedBackIn(t *testing.T) {
	tab := table("z0", 2, 1, 1)
	tab.SetLimit(1, 0)
	p, _ := tab.Pick(ask(10, 10), start)
	tab.Done(&p, Refused, start)
	if _, ok := tab.Pick(ask(10, 10), start); ok {
		t.Fatal("work placed on a dead engine")
	}
	later := start.Add(refusedOut)
	probe, ok := tab.Pick(ask(10, 10), later)
	if !ok {
		t.Fatal("no probe after the ejection's end")
	}
	if _, ok := tab.Pick(ask(10, 10), later); ok {
		t.Fatal("a second request beside the probe")
	}
	tab.Done(&probe, OK, later)
	for range 3 {
		if _, ok := tab.Pick(ask(10, 10), later); !ok {
			t.Fatal("not back in after a good probe")
		}
	}
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	tab := table("z0", 3, 1, 1)
	tab.ApplyReport(1, &engine.Load{Leaving: true}, start)
	tab.SetLeaving(1, false) // the platform's list lags
	tab.SetLeaving(2, true)
	tab.ApplyReport(2, &engine.Load{}, start) // so does this report
	for range 100 {
		if p, _ := tab.Pick(ask(10, 10), start); p.Engine != 0 {
			t.Fatal("new work for a leaving engine")
		}
	}
}

// A request that may crash engines runs beside as few others as possible, never
// beside another such request, and new work stays away from its engine.
func TestSuspectsRunApart(t *testing.T) {
	tab := table("z0", 4, 1, 1)
	for range 12 {
		tab.Pick(ask(10, 10), start)
	}
	used := map[int]bool{}
	for range 4 {
		q := ask(10, 10)
		q.Suspect = true
		p, ok := tab.Pick(q, start)
		if !ok || used[p.Engine] {
			t.Fatalf("suspect on engine %d beside another one", p.Engine)
		}
		used[p.Engine] = true
	}
	q := ask(10, 10)
	q.Suspect = true
	if _, ok := tab.Pick(q, start); ok {
		t.Error("a fifth suspect on four engines")
	}
}

// A zone is lost and three of its eight engines are known to be out. A resume
// would find the other five one dial timeout after another; it goes elsewhere.
func TestResumesStayAwayFromADoubtfulZone(t *testing.T) {
	tab := table("z1", 24, 3, 1)
	resume := ask(10, 10)
	resume.Resume = true
	for range 3 {
		for {
			p, _ := tab.Pick(ask(10, 10), start)
			if tab.Spec(p.Engine).Zone == "z1" {
				tab.Done(&p, Suspected, start)
				break
			}
		}
	}
	for range 50 {
		if p, ok := tab.Pick(resume, start); !ok || tab.Spec(p.Engine).Zone == "z1" {
			t.Fatal("a resume was sent into the lost zone")
		}
	}
}

// After an outage of all engines every one is on probation. A suspect must find
// one all the same, or its accepted answer never goes on.
func TestSuspectGoesOnAfterAnOutage(t *testing.T) {
	tab := table("z0", 2, 1, 1)
	for range 2 {
		p, _ := tab.Pick(ask(10, 10), start)
		tab.Done(&p, Refused, start)
	}
	q := ask(10, 10)
	q.Suspect = true
	if _, ok := tab.Pick(q, start.Add(maxOut)); !ok {
		t.Error("no engine for the suspect")
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
			t.Fatalf("router %d uses zones %v only", r, zones)
		}
	}
	for _, s := range specs {
		if n := seen[s.Name]; n < 2 || n > 28 {
			t.Errorf("%s is used by %d routers, mean 11", s.Name, n)
		}
	}
}

// The decision at the target size, with a prompt of 1,024 tokens whose prefix is
// cached somewhere, new to all, or unknown.
func BenchmarkPick710(b *testing.B) {
	for _, bench := range []struct {
		name  string
		chain int  // blocks
		same  bool // prompts recur
	}{{"no-hints", 0, true}, {"cached-prefix", 8, true}, {"new-prefix", 8, false}} {
		b.Run(bench.name, func(b *testing.B) {
			tab := table("z0", 710, 5, 1)
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
