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
		t.Fatalf("refused: %+v", d)
	}
	return it
}

// One workspace sends 400 requests at once, then two others send ten each. In
// order of arrival those twenty would wait behind all 400. By share they are
// served beside it: after 40 starts each of the small ones is done.
func TestHotWorkspaceDoesNotDelayOthers(t *testing.T) {
	q := newQueue(1)
	q.slotRate = 1e6 // nothing is refused here
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
		t.Errorf("after 40 starts: %v", served)
	}
}

// Shares are counted in tokens, not in requests: a workspace with four times
// the share gets four times the tokens, whatever the size of its requests.
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

// A hundred summaries wait for ten slots when a lookup comes. Slots are not
// taken back; the lookup finds one that long work may not hold.
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
		t.Error("the lookup waits behind long work")
	}
}

// The reverse: lookups without end must not keep a summary out.
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
	t.Error("300 lookups went before the summary")
}

// What cannot start in time is refused at entry with the time to come back; and
// callers refused together are told different times.
func TestEarlyRefusalTellsWhenToComeBack(t *testing.T) {
	q := newQueue(2) // 800 cost units a second
	for range 20 {
		enter(t, q, item("a", Short, 300), start)
	}
	late := item("b", Short, 300)
	late.Deadline = start.Add(100 * time.Millisecond)
	d := q.Enter(late, start)
	if d.Verdict != DeadlineTooSoon || d.RetryAfter < minRetry {
		t.Fatalf("got %+v", d)
	}
	times := map[time.Duration]bool{}
	for range 20 {
		again := item("b", Short, 300)
		again.Deadline = late.Deadline
		times[q.Enter(again, start).RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(times) < 5 {
		t.Errorf("20 callers were told %d different times", len(times))
	}
	if q.Len() != 20 {
		t.Errorf("%d wait, want 20: refusals must leave nothing", q.Len())
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
		t.Errorf("started %v, %d expired", it, len(expired))
	}
}

// First tokens come a second after the start. A request whose deadline is in
// half a second cannot be met any more: it is not started for nothing.
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
		t.Errorf("started %v, state %d", it, late.State())
	}
}

func TestResendOfAQueuedKeyAttaches(t *testing.T) {
	q := newQueue(0)
	first := enter(t, q, item("a", Short, 10), start)
	again := *first
	if d := q.Enter(&again, start); d.Verdict != Attached || q.Len() != 1 || q.Get(first.Key) != first {
		t.Errorf("got %+v with %d waiting", d, q.Len())
	}
}

// A zone is lost: two hundred accepted streams need engines while fresh work
// waits. They go first until their budget is used, then both go on.
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
			t.Errorf("fresh work before the recovery budget was used")
		}
	}
	if fresh < 15 {
		t.Errorf("%d of 100 starts were fresh: recovery starves it", fresh)
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
		t.Errorf("%d wait, verdicts %v", q.Len(), verdicts)
	}
	heavy := item("z", Short, 1)
	heavy.Bytes = 6000
	if d := q.Enter(heavy, start); d.Verdict != QueueFull {
		t.Errorf("over the bytes: %+v", d)
	}
}

// Whatever enters, starts, ends or gives up in any order: the counters agree
// with the items, and no more run than there are slots.
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
					r.Fatalf("items %v, queue %d waiting, %d running", states, q.Len(), q.Running())
				}
			},
		})
	})
}

// Eleven routers share one engine that takes 32 streams. Each sees the same
// reports only, and they come to share it without keeping a long queue there.
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
		t.Errorf("limits add up to %d, from %d to %d", total, least, most)
	}
}

// A refusal and a start at 6,600 workspaces.
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
