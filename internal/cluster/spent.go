package cluster

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. A third of a service's engines die within a second, and every
// VM has a few streams to send again. With the notices, which are half a second
// apart, no VM would know of the others' sends before all are made, and each would
// have to guess. So each second send is told at once, by a message of some tens of
// bytes: those that come while one is under way go with the next one.

const (
	// spentFor is how long second sends count after they were told: as long as the
	// window of the budgets.
	spentFor = 10 * time.Second
	// spendingTimeout: without an answer by then the notices must do.
	spendingTimeout = 100 * time.Millisecond
)

// Spending is what one life of a VM's process spent of the retry budgets, by
// service. A process that was started again has forgotten what it spent before,
// which goes on to count as a former life's. Turn grows with each message: one that
// was overtaken on its way changes nothing.
type RetrySpending struct {
	Incarnation uint64                        `cbor:"1,keyasint"`
	Seq         uint64                        `cbor:"2,keyasint"`
	Spent       map[string]forward.RetryUsage `cbor:"3,keyasint,omitempty"`
}

// spentBook holds what each life told last.
type spentBook map[uint64]toldSpending

type toldSpending struct {
	turn  uint64
	spent map[string]forward.RetryUsage
	at    time.Time
}

func (b spentBook) note(s RetrySpending, now time.Time) {
	if s.Incarnation == 0 || s.Seq < b[s.Incarnation].turn {
		return // a control process, which sends nothing again; or overtaken
	}
	b[s.Incarnation] = toldSpending{s.Seq, s.Spent, now}
	for life, t := range b {
		if now.Sub(t.at) > spentFor {
			delete(b, life)
		}
	}
}

// others sums what all lives but one spent. One that has ended counts as long as
// its sends are in the window.
func (b spentBook) others(life uint64, now time.Time) map[string]forward.RetryUsage {
	out := map[string]forward.RetryUsage{}
	for l, t := range b {
		if l == life || now.Sub(t.at) > spentFor {
			continue
		}
		for service, s := range t.spent {
			sum := out[service]
			sum.Requests += s.Requests
			sum.Retries += s.Retries
			out[service] = sum
		}
	}
	return out
}

func (h *Hub) spentByOthers(life uint64) map[string]forward.RetryUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.spent.others(life, time.Now())
}

func (h *Hub) serveSpent(_ context.Context, _ string, body []byte) (any, error) {
	var s RetrySpending
	if err := codec.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.spent.note(s, time.Now())
	h.mu.Unlock()
	return h.spentByOthers(s.Incarnation), nil
}

// spent is what this VM's notices and messages say; a VM that sends nothing has
// none.
func (m *Member) spent() RetrySpending {
	if m.local.Spent == nil {
		return RetrySpending{}
	}
	return RetrySpending{m.life, m.turn.Add(1), m.local.Spent()}
}

func (m *Member) learnSpent(others map[string]forward.RetryUsage) {
	if m.local.LearnSpent != nil {
		m.local.LearnSpent(others)
	}
}

// Spending has the control VMs told of a second send at once. It does not wait.
func (m *Member) NotifyRetry() { m.spending.raise() }

// RunSpending tells the control VMs of second sends until ctx ends.
func (m *Member) RunRetryReports(ctx context.Context) { m.spending.each(ctx, m.tellSpending) }

// tellSpending tells every control VM, and learns from one what the others spent.
// It waits for that one alone: a control VM that is lost would else hold up what
// is told next.
func (m *Member) tellSpending(ctx context.Context) {
	source, s := m.source(), m.spent()
	for _, vm := range m.Controls() {
		if vm != m.self && vm != source {
			go m.tellSpendingTo(ctx, vm, s)
		}
	}
	if others, ok := m.tellSpendingTo(ctx, source, s); ok {
		m.learnSpent(others)
	}
}

func (m *Member) tellSpendingTo(ctx context.Context, vm string, s RetrySpending) (others map[string]forward.RetryUsage, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, spendingTimeout)
	defer cancel()
	if err := m.t.Call(ctx, vm, peer.KindSpent, s, &others); err != nil {
		m.log.Debug().Err(err).Str("control", vm).Msg("second sends not told")
		return nil, false
	}
	return others, true
}
