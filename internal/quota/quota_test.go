package quota

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// lossyGroup is a control group that can lose its reply after executing a command,
// or be unreachable.
type lossyGroup struct {
	*control.LocalClient
	mu          sync.Mutex
	unreachable bool
	loseReplies int
}

func (l *lossyGroup) Propose(ctx context.Context, part control.StateMachineID, cmd []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, errors.New("no leader")
	}
	reply, err := l.LocalClient.Propose(ctx, part, cmd)
	if l.loseReplies > 0 {
		l.loseReplies--
		return nil, errors.New("answer lost")
	}
	return reply, err
}

func (l *lossyGroup) set(unreachable bool, loseReplies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable, l.loseReplies = unreachable, loseReplies
}

func newTestQuota(t *testing.T) (*Quota, *lossyGroup, func() plan.Usage, plan.Allowance) {
	t.Helper()
	a := allowance(1000, 4, time.Hour)
	registry, machine := plan.NewRegistry(), control.NewReplicatedState()
	registry.Execute(0, plan.Command{Action: plan.SetAllowance, Name: "p", Allowance: &a, Create: true})
	registry.Execute(0, plan.Command{Action: plan.SetCustomer, Name: "hot", Customer: &plan.Customer{Workspace: "hot", Plan: "p"}, Create: true})
	ledger := plan.NewLedger(registry, func(err error) { t.Error(err) })
	machine.Register(control.LedgerStateMachine, ledger)
	group := &lossyGroup{LocalClient: control.NewLocalClient(machine)}
	q := New("vm1", "a", group, new(expvar.Map), zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go q.Run(ctx)
	use := func() (u plan.Usage) {
		machine.Read(control.LedgerStateMachine, func(control.StateMachine) { u = ledger.Usage("hot") })
		return u
	}
	return q, group, use, a
}

// Requests would wait without bound while the control group is unreachable. They
// must be refused within 500 ms with Retry-After and without being executed, or end
// when their caller cancels. When the group is back but loses its reply, the
// repeated message must grant the request only once.
func TestWaitForGrantIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, group, use, a := newTestQuota(t)
		req := Request{ID: "r1", Workspace: "hot", Allowance: a, Tokens: 600}
		group.set(true, 0)
		began := time.Now()
		_, err := q.Reserve(t.Context(), req)
		if e := result.From(err); e.Code != result.ControlUnavail || e.Ran != result.RanNo || e.RetryAfter <= 0 || time.Since(began) != maxWait {
			t.Errorf("unreachable group: got %+v after %s, want ControlUnavail with RetryAfter, not run, after 500 ms", e, time.Since(began))
		}
		gone, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := q.Reserve(gone, req); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("cancelled caller: got error %v, want DeadlineExceeded", err)
		}
		group.set(false, 1)
		r, err := q.Reserve(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		again, err := q.Reserve(t.Context(), req)
		if err != nil {
			t.Fatalf("second reservation of a running request failed: %v", err)
		}
		if u := use(); u.Outstanding.Tokens > 1000 || u.Slots > 4 {
			t.Errorf("granted %+v, want at most 1000 tokens outstanding and 4 slots", u)
		}
		r.Settle(500)
		again.Settle(600)
		r.Cancel()
		time.Sleep(3 * time.Second) // in the test's virtual time; changes are reported every second
		if u := use(); u.Spent != (plan.Amount{Tokens: 500, Requests: 1}) {
			t.Errorf("usage after three settlements is %+v, want 500 tokens and 1 request spent", u)
		}
	})
}

// A VM without requests holds no grants and sends no messages, until the group has
// declared its incarnation dead. Its next request must be served with the first
// message, under a new incarnation.
func TestIdleVMContinuesUnderNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _, use, a := newTestQuota(t)
		req := Request{ID: "r1", Workspace: "hot", Allowance: a, Tokens: 100}
		for range 3 {
			r, err := q.Reserve(t.Context(), req)
			if err != nil {
				t.Fatal(err)
			}
			r.Settle(100)
			time.Sleep(5 * time.Minute)
		}
		q.mu.Lock()
		dead := q.core.Counts.LostIncarnations
		q.mu.Unlock()
		if u := use(); u.Spent.Tokens != 300 || u.Outstanding.Tokens != 0 || u.Slots != 0 || dead != 0 {
			t.Errorf("after idle periods: usage %+v, %d incarnations lost; want 300 tokens spent, none outstanding, no slots, 0 lost", u, dead)
		}
	})
}
