package quota

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Timings of the exchange with the control group.
const (
	maxWait      = 500 * time.Millisecond // of a request for a grant; a commit takes a few ms
	syncTimeout  = 2 * time.Second
	resendDelay  = 100 * time.Millisecond
	tickInterval = 250 * time.Millisecond
)

// Quota connects a Core to the control group. It is safe for concurrent use.
type Quota struct {
	control control.Client
	metrics *expvar.Map
	log     zerolog.Logger
	wakeup  chan struct{}

	mu   sync.Mutex
	core *Core
}

// New returns the Quota of a VM's incarnation. The caller must start Run once.
func New(vm, incarnation string, c control.Client, metrics *expvar.Map, log zerolog.Logger) *Quota {
	return &Quota{control: c, metrics: metrics, log: log, wakeup: make(chan struct{}, 1), core: NewCore(vm, incarnation)}
}

// Reservation is the reserved cost of a request. The caller must end it with Settle
// or Cancel.
type Reservation struct {
	q *Quota
	t *Ticket
}

// Settle ends the reservation with the number of tokens that were used. Only the
// first call of Settle or Cancel counts.
func (r *Reservation) Settle(tokens int64) { r.q.settle(r.t, true, tokens) }

// Cancel ends the reservation of a request that was not executed at all, and releases
// its whole cost.
func (r *Reservation) Cancel() { r.q.settle(r.t, false, 0) }

// Reserve reserves the cost of a request. It returns at once if this VM holds enough
// grants, and otherwise waits up to maxWait for a grant. A refusal is a
// *result.Error and guarantees that nothing was executed.
func (q *Quota) Reserve(ctx context.Context, r Request) (*Reservation, error) {
	q.mu.Lock()
	t, err := q.core.Reserve(time.Now(), r)
	urgent := q.core.Urgent()
	q.mu.Unlock()
	if urgent {
		q.wake()
	}
	if err != nil {
		return nil, err
	}
	if err := q.await(ctx, t); err != nil {
		return nil, err
	}
	return &Reservation{q, t}, nil
}

func (q *Quota) await(ctx context.Context, t *Ticket) error {
	select {
	case <-t.done:
		return t.err
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-t.done:
		return t.err // decided after the wait ended
	default:
	}
	q.core.Settle(t, false, 0)
	q.metrics.Add("quota_waits_expired", 1)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return result.New(result.ControlUnavail).WithRetryAfter(retryDelay)
}

func (q *Quota) settle(t *Ticket, ran bool, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Settle(t, ran, tokens)
}

// Recall applies the allowances of d. Workspaces whose allowance was lowered or removed
// return the grants that are not in use with the next message.
func (q *Quota) Recall(d *plan.Directory) {
	q.mu.Lock()
	q.core.Recall(func(workspace string) (plan.Allowance, bool) {
		_, a, ok := d.Workspace(workspace)
		return a, ok
	})
	urgent := q.core.Urgent()
	q.mu.Unlock()
	if urgent {
		q.wake()
	}
}

func (q *Quota) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// Run exchanges messages with the control group until ctx is done, one at a time.
// Requests that arrive while a message is in flight share the next one.
func (q *Quota) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wakeup:
		case <-ticker.C:
		}
		for q.syncOnce(ctx) {
		}
	}
}

// syncOnce sends the next message to the ledger in the control group, if one is due, and
// applies the reply. It reports whether the caller is to call it again at once. After a reply
// this means that another message is urgent. After a failure it is true unless ctx has ended:
// the same message is sent again, since the ledger may or may not have applied it.
func (q *Quota) syncOnce(ctx context.Context) bool {
	q.mu.Lock()
	s, ok := q.core.Next(time.Now())
	q.mu.Unlock()
	if !ok {
		return false
	}
	pctx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := control.Propose[plan.SyncReply](pctx, q.control, control.LedgerStateMachine, s)
	cancel()
	if err != nil {
		q.metrics.Add("quota_messages_failed", 1)
		q.log.Debug().Err(err).Uint64("seq", s.Seq).Msg("message to the ledger failed; it will be sent again")
		select {
		case <-ctx.Done():
		case <-time.After(resendDelay):
		}
		return ctx.Err() == nil
	}
	q.metrics.Add("quota_messages", 1)
	if reply.Status != plan.SyncOK {
		q.metrics.Add("quota_incarnations_lost", 1)
		q.log.Warn().Uint8("status", uint8(reply.Status)).Str("reason", reply.Message).Msg("ledger rejected the message; grants are lost and a new incarnation starts")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.ApplyReply(time.Now(), reply)
	return q.core.Urgent()
}
