package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// retryingRouter is a router that spends one service's retry budget.
type retryingRouter struct {
	member *Member
	stop   context.CancelFunc

	mu     sync.Mutex
	own    forward.RetryUsage
	others forward.RetryUsage
}

func startRetryingRouter(ctx context.Context, n *peertest.Net, id string) *retryingRouter {
	s := &retryingRouter{}
	s.member = NewMember(id, n.VM(id), controls, NewListReplica(func(upstream.List) {}), Local{
		Spent: func() map[string]forward.RetryUsage {
			s.mu.Lock()
			defer s.mu.Unlock()
			return map[string]forward.RetryUsage{"m": s.own}
		},
		LearnSpent: func(others map[string]forward.RetryUsage) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.others = others["m"]
		},
	}, zerolog.Nop())
	ctx, s.stop = context.WithCancel(ctx)
	go s.member.Run(ctx)
	go s.member.RunRetryReports(ctx)
	return s
}

func (s *retryingRouter) retry() {
	s.mu.Lock()
	s.own.Retries++
	s.mu.Unlock()
	s.member.NotifyRetry()
}

func (s *retryingRouter) knownRetries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.others.Retries
}

// Many engines are lost, and every VM retries one stream within 30 ms. Before its next
// retry a VM must know the others' retries, long before the next heartbeats. This must
// hold also while one control VM is partitioned.
func TestRetriesAreReportedAtOnce(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("control VM partitioned: ", cut), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				for _, id := range controls {
					startHub(ctx, n, id, controls)
				}
				var vms []*retryingRouter
				for i := range 9 {
					vms = append(vms, startRetryingRouter(ctx, n, fmt.Sprint("r", i)))
				}
				time.Sleep(2 * time.Second)
				if cut {
					n.Isolate("c3")
					time.Sleep(time.Second)
				}
				for _, vm := range vms {
					vm.retry()
					time.Sleep(3 * time.Millisecond)
				}
				vms[0].retry()
				time.Sleep(10 * time.Millisecond)
				if got := vms[0].knownRetries(); got != 8 {
					t.Errorf("got %d retries of other VMs, want 8", got)
				}
			})
		})
	}
}

// A restarted router does not know its former retries. The other VMs must count them,
// together with those of the new process, while they are in the budgets' window.
func TestFormerIncarnationCounts(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls)
		}
		first, other := startRetryingRouter(ctx, n, "r1"), startRetryingRouter(ctx, n, "r2")
		time.Sleep(2 * time.Second)
		first.retry()
		first.retry()
		time.Sleep(100 * time.Millisecond)
		first.stop()
		restarted := startRetryingRouter(ctx, n, "r1")
		time.Sleep(time.Second)
		restarted.retry()
		time.Sleep(time.Second)
		if other.knownRetries() != 3 || restarted.knownRetries() != 2 {
			t.Errorf("another VM knows %d retries, the restarted VM %d of its former incarnation; want 3 and 2", other.knownRetries(), restarted.knownRetries())
		}
		time.Sleep(10 * time.Second)
		if other.knownRetries() != 1 {
			t.Errorf("got %d retries after the window, want 1", other.knownRetries())
		}
	})
}

func TestOutOfOrderSpending(t *testing.T) {
	b, now := newSpendingTable(), time.Now()
	report := func(seq uint64, retries int) RetrySpending {
		return RetrySpending{Incarnation: 7, Seq: seq, Spent: map[string]forward.RetryUsage{"m": {Retries: retries}}}
	}
	b.record(report(2, 5), now)
	b.record(report(1, 3), now)
	if got := b.others(0, now)["m"].Retries; got != 5 {
		t.Errorf("got %d retries, want 5 of the later report", got)
	}
}

// Guards against sums that drift from the reports that they consist of, whatever the order in
// which incarnations report, fall silent and come back.
func TestSpendingSumsMatchTheReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table, now := newSpendingTable(), time.Unix(0, 0)
	type report struct {
		spent forward.RetryUsage
		at    time.Time
	}
	last := map[uint64]report{}
	for seq := range uint64(5000) {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		incarnation := 1 + rng.Uint64N(80)
		spent := forward.RetryUsage{Requests: rng.IntN(5), Retries: rng.IntN(3)}
		table.record(RetrySpending{Incarnation: incarnation, Seq: seq, Spent: map[string]forward.RetryUsage{"m": spent}}, now)
		last[incarnation] = report{spent, now}
		asking, want := 1+rng.Uint64N(90), forward.RetryUsage{}
		for other, r := range last {
			if other != asking && now.Sub(r.at) <= spendingTTL {
				want.Requests += r.spent.Requests
				want.Retries += r.spent.Retries
			}
		}
		if got := table.others(asking, now)["m"]; got != want {
			t.Fatalf("report %d: got %+v spent by the others, want %+v", seq, got, want)
		}
	}
}

// Guards against heartbeats whose work grows with the number of VMs: the work of a control VM
// would grow with its square.
func TestHeartbeatCostPerVM(t *testing.T) {
	cost := func(vms int) time.Duration {
		h := newLoadedHub(t, vms, 50)
		heartbeat := h.heartbeat(t, 0, false, 0)
		least := time.Hour
		for range 15 {
			began := time.Now()
			for range 40 {
				var decoded Heartbeat
				if err := codec.Unmarshal(heartbeat, &decoded); err != nil {
					t.Fatal(err)
				}
				h.hub.recordHeartbeat(h.routers[0], decoded)
				h.hub.scheduling.receiveReport(h.routers[0], &decoded.UseReport)
				h.hub.spentByOthers(decoded.Spent.Incarnation)
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	few, many := cost(100), cost(1000)
	t.Logf("40 heartbeats: %v with 100 VMs, %v with 1000", few, many)
	if many > 4*few {
		t.Errorf("got %v for 40 heartbeats with 100 VMs and %v with 1000, want no growth with the VMs", few, many)
	}
}
