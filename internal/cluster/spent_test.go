package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// spender is a router that spends of one service's budget.
type spender struct {
	member *Member
	stop   context.CancelFunc

	mu     sync.Mutex
	own    forward.RetryUsage
	others forward.RetryUsage
}

func startSpender(ctx context.Context, n *peertest.Net, id string) *spender {
	s := &spender{}
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

func (s *spender) spend() {
	s.mu.Lock()
	s.own.Retries++
	s.mu.Unlock()
	s.member.NotifyRetry()
}

func (s *spender) knows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.others.Retries
}

// A wave of losses: every VM sends one stream again within 30 ms. The next one that
// a VM sends again finds the others' counted, long before the next notices, also
// while a control VM is cut off and answers nobody.
func TestSpendingIsKnownAtOnce(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("control VM cut off: ", cut), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				for _, id := range controls {
					startHub(ctx, n, id, controls)
				}
				var vms []*spender
				for i := range 9 {
					vms = append(vms, startSpender(ctx, n, fmt.Sprint("r", i)))
				}
				time.Sleep(2 * time.Second)
				if cut {
					n.Isolate("c3")
					time.Sleep(time.Second)
				}
				for _, vm := range vms {
					vm.spend()
					time.Sleep(3 * time.Millisecond)
				}
				vms[0].spend()
				time.Sleep(10 * time.Millisecond)
				if got := vms[0].knows(); got != 8 {
					t.Errorf("knows of %d second sends, 8 were made", got)
				}
			})
		})
	}
}

// A router that is started again has forgotten what it sent again. The others go on
// to count it for as long as it is in their windows, beside what the new process
// sends.
func TestFormerLifeCounts(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls)
		}
		first, other := startSpender(ctx, n, "r1"), startSpender(ctx, n, "r2")
		time.Sleep(2 * time.Second)
		first.spend()
		first.spend()
		time.Sleep(100 * time.Millisecond)
		first.stop()
		again := startSpender(ctx, n, "r1")
		time.Sleep(time.Second)
		again.spend()
		time.Sleep(time.Second)
		if other.knows() != 3 || again.knows() != 2 {
			t.Errorf("another VM knows of %d, the VM itself of %d of its former life; want 3 and 2", other.knows(), again.knows())
		}
		time.Sleep(10 * time.Second)
		if other.knows() != 1 {
			t.Errorf("%d count after the window", other.knows())
		}
	})
}

func TestSpendingThatWasOvertaken(t *testing.T) {
	b, now := spentBook{}, time.Now()
	told := func(turn uint64, repeats int) RetrySpending {
		return RetrySpending{Incarnation: 7, Seq: turn, Spent: map[string]forward.RetryUsage{"m": {Retries: repeats}}}
	}
	b.note(told(2, 5), now)
	b.note(told(1, 3), now)
	if got := b.others(0, now)["m"].Retries; got != 5 {
		t.Errorf("%d, want the later word", got)
	}
}
