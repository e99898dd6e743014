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

// lossy is a control group whose answers can be lost after it has executed the
// command, or which cannot be reached at all.
type lossy struct {
	*control.LocalClient
	mu          sync.Mutex
	unreachable bool
	loseAnswers int
}

func (l *lossy) Propose(ctx context.Context, part control.StateMachineID, cmd []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, errors.New("no leader")
	}
	reply, err := l.LocalClient.Propose(ctx, part, cmd)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return nil, errors.New("answer lost")
	}
	return reply, err
}

func (l *lossy) set(unreachable bool, loseAnswers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable, l.loseAnswers = unreachable, loseAnswers
}

func newPump(t *testing.T) (*Quota, *lossy, func() plan.Usage, plan.Allowance) {
	t.Helper()
	a := allowance(1000, 4, time.Hour)
	book, machine := plan.NewRegistry(), control.NewReplicatedState()
	book.Do(0, plan.Command{Action: plan.SetAllowance, Name: "p", Allowance: &a, Create: true})
	book.Do(0, plan.Command{Action: plan.SetCustomer, Name: "hot", Customer: &plan.Customer{Workspace: "hot", Plan: "p"}, Create: true})
	ledger := plan.NewLedger(book, func(err error) { t.Error(err) })
	machine.Register(control.LedgerStateMachine, ledger)
	group := &lossy{LocalClient: control.NewLocalClient(machine)}
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

// The group cannot be reached. A caller is refused within 500 ms, not run, and
// told when to come back; one who leaves earlier is let go. Once the group is
// back, but loses its answer, the repeated message grants the request once.
func TestWaitForGrantIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, group, use, a := newPump(t)
		req := Request{ID: "r1", Workspace: "hot", Allowance: a, Tokens: 600}
		group.set(true, 0)
		began := time.Now()
		_, err := q.Reserve(t.Context(), req)
		if e := result.From(err); e.Code != result.ControlUnavail || e.Ran != result.RanNo || e.RetryAfter <= 0 || time.Since(began) != waitLimit {
			t.Errorf("unreachable: %+v after %s", e, time.Since(began))
		}
		gone, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := q.Reserve(gone, req); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("caller gone: %v", err)
		}
		group.set(false, 1)
		r, err := q.Reserve(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		again, err := q.Reserve(t.Context(), req)
		if err != nil {
			t.Fatalf("the same request while it runs: %v", err)
		}
		if u := use(); u.Outstanding.Tokens > 1000 || u.Slots > 4 {
			t.Errorf("granted %+v", u)
		}
		r.Settle(500)
		again.Settle(600)
		r.Cancel()
		time.Sleep(3 * time.Second) // of the test's clock: reports are sent each second
		if u := use(); u.Spent != (plan.Amount{Tokens: 500, Requests: 1}) {
			t.Errorf("settled three times: %+v", u)
		}
	})
}

// A quiet VM holds nothing and says nothing for longer than the group waits for
// it. Its next request is served by the first message, under a new incarnation.
func TestQuietVMGoesOnUnderANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _, use, a := newPump(t)
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
			t.Errorf("after quiet minutes: %+v, %d incarnations lost", u, dead)
		}
	})
}
