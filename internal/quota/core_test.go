package quota

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AMARANTHSHELF_SEED"), "20261202")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func allowance(tokens int64, concurrent int, window time.Duration) plan.Allowance {
	return plan.Allowance{
		Plan: "p", Models: []string{"m"}, TokensPerWindow: tokens, RequestsPerWindow: 1_000_000,
		WindowSeconds: int64(window / time.Second), Concurrent: concurrent, Share: 1,
	}
}

// A hot workspace requests more than its allowance on all of 11 VMs at once. Three
// of them die within the window while they hold grants and run requests, and their
// unused grants are lost. At the end of the window at least 95% of the allowance
// must have been used, with at most two control messages a second per VM.
func TestUsableShareWithThreeOfElevenLost(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens int64
		rate   float64
	}{{"small workspace", 300_000, 4}, {"large workspace", 6_000_000, 60}, {"hot workspace", 24_000_000, 240}} {
		w := newSimulation(1, 11, t.Fatalf)
		w.setAllowance(allowance(tc.tokens, 100_000, 10*time.Minute))
		w.load(tc.rate, epoch.Add(10*time.Minute-time.Second), func() (int64, int64, time.Duration) {
			cost := 200 + w.rng.Int64N(600)
			used := cost/5 + w.rng.Int64N(cost*4/5)
			return cost, used, time.Duration(used) * 38 * time.Millisecond
		})
		for i, at := range []time.Duration{2 * time.Minute, 4 * time.Minute, 4*time.Minute + time.Second} {
			w.After(at, func() { w.vms[3*i].dead = true })
		}
		w.run(90 * time.Second)
		steady := w.messages
		steadyRequests := w.accepted
		w.run(9*time.Minute + 30*time.Second)
		share := float64(w.used["1"]) / float64(tc.tokens)
		perRequest := float64(w.messages) / float64(w.accepted+w.refused)
		t.Logf("%s: %.1f%% of the allowance used, %d accepted, %d refused, %.3f messages per request, %.1f messages/s and %.0f bytes/s per VM; until exhaustion %.3f and %.1f",
			tc.name, 100*share, w.accepted, w.refused, perRequest, float64(w.messages)/600/9, float64(w.bytes)/600/9,
			float64(steady)/float64(steadyRequests), float64(steady)/90/11)
		if perVM := float64(steady) / 90 / 11; perVM > 2 {
			t.Errorf("%s: %.1f messages/s per VM, want at most 2", tc.name, perVM)
		}
		if share < 0.95 {
			t.Errorf("%s: %.1f%% of the allowance used, want at least 95%%", tc.name, 100*share)
		}
	}
}

// Random faults must not charge a window more than its allowance. Messages are lost
// and repeated. VMs die, or pause beyond the time after which the group declares
// them dead, and come back. Operators raise and lower the allowance and change the
// window length. Windows end while requests run, and the ledger restarts from its
// snapshot. The ledger checks its invariant; the simulation counts the tickets
// independently. Callers may see refusals, but nothing else.
func TestNeverExceededRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, t.Fatalf)
		w.lossShare, w.repeatShare = 0.1, 0.1
		w.setAllowance(allowance(20_000, 12, 10*time.Second))
		w.load(40, epoch.Add(time.Minute), func() (int64, int64, time.Duration) {
			cost := 50 + w.rng.Int64N(500)
			return cost, w.rng.Int64N(cost + 1), time.Duration(w.rng.IntN(4000)) * time.Millisecond
		})
		for range rapid.IntRange(4, 12).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 55).Draw(t, "at")) * time.Second
			kind := rapid.IntRange(0, 4).Draw(t, "kind")
			v := w.vms[rapid.IntRange(0, 3).Draw(t, "vm")]
			n := rapid.Int64Range(1, 40).Draw(t, "n")
			w.After(at, func() { w.fault(kind, v, n) })
		}
		w.run(70 * time.Second)
		if w.accepted == 0 {
			t.Fatal("no request was accepted")
		}
		if w.peakConcurrency > 12 {
			t.Fatalf("%d requests ran at once, want at most 12", w.peakConcurrency)
		}
	})
}

func (w *simulation) fault(kind int, v *vm, n int64) {
	switch kind {
	case 0:
		if !v.dead {
			v.dead = true
			w.startVM(v.name)
		}
	case 1:
		v.paused = true
		w.After(time.Duration(n)*time.Second, func() { v.paused = false })
	case 2:
		w.setAllowance(allowance(n*1000, 12, 10*time.Second))
	case 3:
		w.setAllowance(allowance(20_000, 12, time.Duration(n)*time.Second))
	case 4:
		data, err := w.ledger.Snapshot()
		if err != nil {
			w.fail("%v", err)
		}
		w.ledger = plan.NewLedger(w.registry, w.invariantBroken)
		if err := w.ledger.Restore(data); err != nil {
			w.fail("%v", err)
		}
	}
}

// Four VMs hold grants and run requests when the operator lowers the tokens to a
// tenth, which is less than what is spent. Idle grants must be returned, and no
// further request may be admitted in the window, also not from tokens that running
// requests leave unused. If only the concurrency is lowered, the number of running
// requests must fall to it as they end, and stay there.
func TestLoweredAllowanceRecallsGrants(t *testing.T) {
	for _, tc := range []struct {
		name       string
		tokens     int64
		concurrent int
	}{{"tokens", 10_000, 40}, {"concurrency", 100_000, 4}} {
		w := newSimulation(2, 4, t.Fatalf)
		w.setAllowance(allowance(100_000, 40, time.Minute))
		w.load(40, epoch.Add(50*time.Second), func() (int64, int64, time.Duration) { return 100, 50, time.Second })
		w.run(10 * time.Second)
		before := w.ledger.Usage("hot")
		if before.Spent.Tokens < 10_000 || before.Outstanding.Tokens == 0 || before.Slots <= 4 {
			t.Fatalf("test setup failed: usage before the change is %+v", before)
		}
		w.setAllowance(allowance(tc.tokens, tc.concurrent, time.Minute))
		w.run(50 * time.Millisecond)
		accepted := w.accepted
		w.run(10 * time.Second)
		after := w.ledger.Usage("hot")
		if tc.tokens == 10_000 && (w.accepted != accepted || after.Outstanding.Tokens != 0) {
			t.Errorf("%s: %d requests admitted beyond the new allowance, outstanding %+v; want none", tc.name, w.accepted-accepted, after.Outstanding)
		}
		w.peakConcurrency = 0
		accepted = w.accepted
		w.request(w.vms[0], "booking", 0, 0, time.Second)
		w.run(10 * time.Second)
		if tc.tokens == 10_000 && w.accepted != accepted+1 {
			t.Errorf("%s: a request that needs no tokens was refused", tc.name)
		}
		if w.peakConcurrency > tc.concurrent || tc.concurrent == 4 && w.peakConcurrency == 0 {
			t.Errorf("%s: %d requests ran at once, want at most %d, and some if only the concurrency is lowered", tc.name, w.peakConcurrency, tc.concurrent)
		}
	}
}

// A VM dies while its requests run. Its concurrency must not be granted to another
// VM before the group has declared it dead and plan.SlotReleaseDelayMS has passed,
// since its engines may still run the requests. After that the concurrency must be
// available again.
func TestDeadVMsConcurrencyIsFreedAfterTheSafeDelay(t *testing.T) {
	w := newSimulation(3, 2, t.Fatalf)
	w.setAllowance(allowance(1_000_000, 10, time.Hour))
	for range 10 {
		w.request(w.vms[0], "r"+time.Duration(w.rng.Int64()).String(), 100, 100, time.Hour)
	}
	w.run(100 * time.Millisecond)
	w.vms[0].dead = true
	safe := (plan.DeadAfterMS + plan.SlotReleaseDelayMS) * time.Millisecond
	try := func() bool {
		before := w.accepted
		w.request(w.vms[1], "r"+time.Duration(w.rng.Int64()).String(), 100, 100, time.Second)
		w.run(600 * time.Millisecond)
		return w.accepted > before
	}
	for end := w.Now().Add(safe - 2*time.Second); w.Now().Before(end); w.run(5 * time.Second) {
		if try() {
			t.Fatalf("the dead VM's concurrency was granted to another VM after %s", w.Now().Sub(epoch))
		}
	}
	w.run(10 * time.Second)
	try() // the reply tells the router that concurrency is available again
	if !try() {
		t.Errorf("the dead VM's concurrency is still not available after %s", w.Now().Sub(epoch))
	}
}

// A request still runs when its window ends. It must be charged only to the window
// in which it was reserved, and the tokens that it leaves unused must not become
// available in the next window.
func TestWindowEndsInMidAnswer(t *testing.T) {
	w := newSimulation(4, 1, t.Fatalf)
	w.setAllowance(allowance(1000, 10, 10*time.Second))
	w.run(9 * time.Second)
	w.request(w.vms[0], "long", 900, 10, 5*time.Second)
	w.run(2 * time.Second)
	w.request(w.vms[0], "next", 1000, 1000, time.Second)
	w.run(4 * time.Second)
	if w.accepted != 2 {
		t.Fatalf("%d requests accepted, want 2; the running request counts against the next window", w.accepted)
	}
	u := w.ledger.Usage("hot")
	if u.Spent.Tokens+u.Outstanding.Tokens != 1000 {
		t.Errorf("usage in the next window is %+v, want only the 1000 tokens of the second request", u)
	}
	w.request(w.vms[0], "third", 990, 1, time.Second)
	w.run(time.Second)
	if w.accepted != 2 {
		t.Error("tokens left unused in one window were granted in the next")
	}
}

func BenchmarkReserveSettle(b *testing.B) {
	w := newSimulation(5, 1, b.Fatalf)
	w.setAllowance(allowance(1_000_000_000_000, 100, time.Hour))
	w.request(w.vms[0], "first", 1_000_000_000, 1, time.Hour)
	w.run(time.Second)
	r := Request{ID: "r", Workspace: "hot", Allowance: w.allowance(), Tokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		t, err := w.vms[0].core.Reserve(w.Now(), r)
		if err != nil {
			b.Fatal(err)
		}
		w.vms[0].core.Settle(t, true, 1)
	}
}
