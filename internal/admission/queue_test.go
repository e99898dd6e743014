package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const seed = 20261202

var start = time.Unix(1_000_000, 0)

func newQueue(slots int) *Queue {
	q := NewQueue(DefaultBounds, rand.New(rand.NewPCG(seed, 1)), func(*Item) {})
	q.SetCapacity(slots)
	return q
}

var keys int

func item(ws string, class Class, cost float64) *Item {
	keys++
	return &Item{Key: fmt.Sprint(keys), Workspace: ws, Class: class, Cost: cost, Bytes: 100}
}

func enter(t *testing.T, q *Queue, it *Item, now time.Time) *Item {
	t.Helper()
	if d := q.Enter(it, now); d.Refused() {
		t.Fatalf("got %+v, want the request accepted", d)
	}
	return it
}

// One workspace sends 400 requests at once, then two others send ten each. In order of
// arrival those twenty would wait behind all 400. With fair queueing they are served
// alongside, and after 40 starts the small workspaces are done.
func TestHotWorkspaceDoesNotDelayOthers(t *testing.T) {
	q := newQueue(1)
	q.slotRate = 1e6 // high enough to refuse nothing
	for range 400 {
		enter(t, q, item("hot", Short, 1000), start)
	}
	for range 10 {
		enter(t, q, item("a", Short, 1000), start)
		enter(t, q, item("b", Short, 1000), start)
	}
	served := map[string]int{}
	for range 40 {
		it := q.Next(start)
		served[it.Workspace]++
		q.Leave(it, true, start)
	}
	if served["a"] != 10 || served["b"] != 10 {
		t.Errorf("after 40 starts: got %v, want ten of a and ten of b", served)
	}
}

// Shares are counted in tokens, not in requests: a workspace with four times the share
// gets four times the tokens, whatever the size of its requests.
func TestSharesAreInTokens(t *testing.T) {
	q := newQueue(1)
	q.slotRate = 1e9
	for range 500 {
		big := item("gold", Short, 4000)
		big.Weight = 4
		enter(t, q, big, start)
	}
	for range 1500 {
		enter(t, q, item("basic", Short, 500), start)
	}
	tokens := map[string]float64{}
	for range 800 {
		it := q.Next(start)
		tokens[it.Workspace] += it.Cost
		q.Leave(it, true, start)
	}
	if ratio := tokens["gold"] / tokens["basic"]; ratio < 3.8 || ratio > 4.2 {
		t.Errorf("gold got %.2f times the tokens of basic, want 4", ratio)
	}
}

// A hundred summaries wait for ten slots when a lookup arrives. Running requests are not
// preempted, and the lookup must find a slot that long work may not hold.
func TestLongWorkLeavesSlotsForShort(t *testing.T) {
	q := newQueue(10)
	q.slotRate = 1e6
	for range 100 {
		enter(t, q, item("dossiers", Long, 20000), start)
	}
	for q.Next(start) != nil {
	}
	if got := q.Running(); got != 8 {
		t.Fatalf("long work holds %d of 10 slots, want 8", got)
	}
	lookup := enter(t, q, item("desk", Short, 100), start)
	if it := q.Next(start); it != lookup {
		t.Error("the lookup waits behind long work, want it started")
	}
}

// A steady stream of lookups must not starve a summary.
func TestShortWorkDoesNotStarveLong(t *testing.T) {
	q := newQueue(1)
	q.slotRate = 1e6
	for range 2000 {
		enter(t, q, item("desk", Short, 100), start)
	}
	long := enter(t, q, item("dossiers", Long, 20000), start)
	for n := range 300 {
		it := q.Next(start)
		if it == long {
			return
		}
		_ = n
		q.Leave(it, true, start)
	}
	t.Error("300 lookups started before the summary")
}

// A request that cannot start in time must be refused at entry with a retry time, and
// callers that are refused together must get different times.
func TestEarlyRefusalHasRetryAfter(t *testing.T) {
	q := newQueue(2) // 800 cost units a second
	for range 20 {
		enter(t, q, item("a", Short, 300), start)
	}
	late := item("b", Short, 300)
	late.Deadline = start.Add(100 * time.Millisecond)
	d := q.Enter(late, start)
	if d.Verdict != DeadlineTooSoon || d.RetryAfter < minRetry {
		t.Fatalf("got %+v, want DeadlineTooSoon with retry after 1s or more", d)
	}
	times := map[time.Duration]bool{}
	for range 20 {
		again := item("b", Short, 300)
		again.Deadline = late.Deadline
		times[q.Enter(again, start).RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(times) < 5 {
		t.Errorf("got %d different retry times for 20 callers, want 5 or more", len(times))
	}
	if q.Len() != 20 {
		t.Errorf("got %d waiting, want 20: refusals must leave nothing", q.Len())
	}
}

func TestExpiredWorkNeverStarts(t *testing.T) {
	var expired []*Item
	q := NewQueue(DefaultBounds, rand.New(rand.NewPCG(seed, 1)), func(it *Item) { expired = append(expired, it) })
	q.SetCapacity(1)
	old := item("a", Short, 10)
	old.Deadline = start.Add(time.Second)
	enter(t, q, old, start)
	fresh := enter(t, q, item("a", Short, 10), start)
	if it := q.Next(start.Add(2 * time.Second)); it != fresh || len(expired) != 1 || old.State() != Expired {
		t.Errorf("got %v started and %d expired, want the second request started and one expired", it, len(expired))
	}
}

// First tokens come a second after the start. A request whose deadline is in half a
// second cannot be served in time any more and must not be started.
func TestNoStartTooLateForTheFirstToken(t *testing.T) {
	q := newQueue(1)
	for range 200 {
		it := enter(t, q, item("a", Short, 10), start)
		q.Next(start)
		q.FirstToken(it, start.Add(time.Second))
		q.Leave(it, true, start.Add(time.Second))
	}
	running := enter(t, q, item("a", Short, 10), start)
	q.Next(start)
	late := item("a", Short, 10)
	late.Deadline = start.Add(3 * time.Second)
	enter(t, q, late, start)
	at := start.Add(2500 * time.Millisecond)
	q.Leave(running, true, at)
	if it := q.Next(at); it != nil || late.State() != Expired {
		t.Errorf("got %v started and state %d, want nothing started and the request expired", it, late.State())
	}
}

func TestResendOfAQueuedKeyAttaches(t *testing.T) {
	q := newQueue(0)
	first := enter(t, q, item("a", Short, 10), start)
	again := *first
	if d := q.Enter(&again, start); d.Verdict != Attached || q.Len() != 1 || q.Get(first.Key) != first {
		t.Errorf("got %+v with %d waiting, want it attached and one waiting", d, q.Len())
	}
}

// After a zone is lost, two hundred accepted streams need engines while new work waits.
// They must start first until their budget is used, and then share the slots with new
// work.
func TestRecoveryGoesFirstWithinItsBudget(t *testing.T) {
	q := newQueue(1)
	q.slotRate = 1e9
	for range 200 {
		enter(t, q, item("a", Recovery, 4000), start)
		enter(t, q, item("b", Short, 4000), start)
	}
	var order []Class
	for range 100 {
		it := q.Next(start)
		order = append(order, it.Class)
		q.Leave(it, true, start)
	}
	fresh := 0
	for i, class := range order {
		if class == Short {
			fresh++
		}
		if i == recoveryBurst/4000-1 && fresh > 0 {
			t.Errorf("new work started before the recovery budget was used")
		}
	}
	if fresh < 15 {
		t.Errorf("got %d new requests in 100 starts, want 15 or more: recovery starves new work", fresh)
	}
}

func TestQueueIsBounded(t *testing.T) {
	q := NewQueue(Bounds{Count: 40, Bytes: 5000}, rand.New(rand.NewPCG(seed, 1)), func(*Item) {})
	q.SetCapacity(1)
	q.slotRate = 1e9
	verdicts := map[Verdict]int{}
	for n := range 100 {
		verdicts[q.Enter(item(fmt.Sprint("w", n/20), Short, 1), start).Verdict]++
	}
	if q.Len() != 40 || verdicts[WorkspaceBacklog] == 0 || verdicts[QueueFull] == 0 {
		t.Errorf("got %d waiting and verdicts %v, want 40 waiting and both WorkspaceBacklog and QueueFull", q.Len(), verdicts)
	}
	heavy := item("z", Short, 1)
	heavy.Bytes = 6000
	if d := q.Enter(heavy, start); d.Verdict != QueueFull {
		t.Errorf("got %+v beyond the byte limit, want QueueFull", d)
	}
}

// After any sequence of requests that enter, start, end or are cancelled, the counters
// must match the items, and no more items may run than there are slots.
func TestQueueCountersHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := newQueue(rapid.IntRange(0, 5).Draw(r, "slots"))
		var items []*Item
		now := start
		r.Repeat(map[string]func(*rapid.T){
			"enter": func(r *rapid.T) {
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "ws"), Class(rapid.IntRange(0, 3).Draw(r, "class")), 100)
				if rapid.Bool().Draw(r, "deadline") {
					it.Deadline = now.Add(time.Second)
				}
				if !q.Enter(it, now).Refused() {
					items = append(items, it)
				}
			},
			"next": func(*rapid.T) { q.Next(now) },
			"leave": func(r *rapid.T) {
				if len(items) > 0 {
					q.Leave(rapid.SampledFrom(items).Draw(r, "item"), rapid.Bool().Draw(r, "whole"), now)
				}
			},
			"time": func(*rapid.T) { now = now.Add(300 * time.Millisecond) },
			"": func(r *rapid.T) {
				states := map[State]int{}
				for _, it := range items {
					states[it.State()]++
				}
				slack := int(recoverySlack * float64(q.Capacity()))
				if states[Waiting] != q.Len() || states[Running] != q.Running() || q.Running() > q.Capacity()+slack {
					r.Fatalf("got items by state %v, but the queue counts %d waiting and %d running", states, q.Len(), q.Running())
				}
			},
		})
	})
}

// Eleven routers share one engine that takes 32 streams. Each sees only the same reports,
// and their limits must converge to equal shares without a long queue in the engine.
func TestLimitersShareAnEngine(t *testing.T) {
	limits := make([]*Limiter, 11)
	for i := range limits {
		limits[i] = NewLimiter(11, float64(i)/11)
	}
	for range 60 {
		total := 0
		for _, l := range limits {
			total += l.Limit()
		}
		batch := min(total, 32)
		step := 4 + 0.1*float64(batch)
		for _, l := range limits {
			l.Report(step, total-batch, l.Limit())
		}
	}
	total, least, most := 0, 1<<30, 0
	for _, l := range limits {
		total += l.Limit()
		least, most = min(least, l.Limit()), max(most, l.Limit())
	}
	if total < 16 || total > 48 || most > 3*least {
		t.Errorf("got limits that add up to %d, from %d to %d; want 16 to 48, and at most three times the smallest", total, least, most)
	}
}

// BenchmarkAdmission6600 measures a refusal and a start with 6,600 workspaces.
func BenchmarkAdmission6600(b *testing.B) {
	fill := func() (*Queue, []Item) {
		q := newQueue(100)
		q.slotRate = 1e9
		items := make([]Item, 6600)
		for i := range items {
			items[i] = Item{Key: fmt.Sprint("k", i), Workspace: fmt.Sprint("w", i), Class: Short, Cost: 1000, Bytes: 100}
			q.Enter(&items[i], start)
		}
		return q, items
	}
	b.Run("start-leave-enter", func(b *testing.B) {
		q, _ := fill()
		b.ReportAllocs()
		for b.Loop() {
			it := q.Next(start)
			q.Leave(it, true, start)
			q.Enter(it, start)
		}
	})
	b.Run("refusal", func(b *testing.B) {
		q, _ := fill()
		q.slotRate = 1
		it := Item{Key: "again", Workspace: "w1", Class: Short, Cost: 1000}
		b.ReportAllocs()
		for b.Loop() {
			if d := q.Enter(&it, start); !d.Refused() {
				b.Fatal(d)
			}
		}
	})
}
