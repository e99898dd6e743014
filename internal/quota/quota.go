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

// Timings of the pump.
const (
	waitLimit   = 500 * time.Millisecond // for a grant under way; a commit takes a few ms
	syncTimeout = 2 * time.Second
	resendPause = 100 * time.Millisecond
	tick        = 250 * time.Millisecond
)

// Quota drives a Core against the control group. Safe for concurrent use.
type Quota struct {
	control control.Client
	metrics *expvar.Map
	log     zerolog.Logger
	kick    chan struct{}

	mu   sync.Mutex
	core *Core
}

// New returns a Quota of a VM's incarnation. Run must be started once.
func New(vm, incarnation string, c control.Client, metrics *expvar.Map, log zerolog.Logger) *Quota {
	return &Quota{control: c, metrics: metrics, log: log, kick: make(chan struct{}, 1), core: NewCore(vm, incarnation)}
}

// Reservation is what a request has set aside.
type Reservation struct {
	q *Quota
	t *Ticket
}

// Settle ends the reservation with the tokens that were used; only the first
// call counts.
func (r *Reservation) Settle(tokens int64) { r.q.settle(r.t, true, tokens) }

// Cancel ends the reservation of a request of which nothing ran.
func (r *Reservation) Cancel() { r.q.settle(r.t, false, 0) }

// Reserve sets a request's cost aside. It needs no message where this VM holds
// enough; else it waits a bounded time for a grant. A refusal is a coded error,
// and promises that nothing ran.
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
	timer := time.NewTimer(waitLimit)
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
		return t.err // decided in the meantime
	default:
	}
	q.core.Settle(t, false, 0)
	q.metrics.Add("quota_waits_expired", 1)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return result.New(result.ControlUnavail).WithRetryAfter(retrySoon)
}

func (q *Quota) settle(t *Ticket, ran bool, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Settle(t, ran, tokens)
}

// Recall gives back what lowered allowances recall.
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
	case q.kick <- struct{}{}:
	default:
	}
}

// Run exchanges messages with the group until ctx is done: one at a time, so
// that requests which come meanwhile share the next.
func (q *Quota) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kick:
		case <-ticker.C:
		}
		for q.exchange(ctx) {
		}
	}
}

// exchange sends one message and reports whether another is urgent.
func (q *Quota) exchange(ctx context.Context) bool {
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
		q.log.Debug().Err(err).Uint64("seq", s.Seq).Msg("grants not renewed")
		select {
		case <-ctx.Done():
		case <-time.After(resendPause):
		}
		return ctx.Err() == nil
	}
	q.metrics.Add("quota_messages", 1)
	if reply.Status != plan.SyncOK {
		q.metrics.Add("quota_incarnations_lost", 1)
		q.log.Warn().Uint8("status", uint8(reply.Status)).Str("reason", reply.Message).Msg("grants lost; going on as a new incarnation")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.ApplyReply(time.Now(), reply)
	return q.core.Urgent()
}
