package cluster

import (
	"container/list"
	"context"
	"maps"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. A third of a service's engines die within a second, and every VM has
// a few streams to retry. Heartbeats are about half a second apart, and with them alone
// all retries would be made before any VM knew of the others'. Each VM would have to guess
// how much of the budget is left. Therefore each retry is reported at once in a message
// of a few tens of bytes. Retries made while a message is in flight share the next one.

const (
	// spendingTTL is how long reported retries count: as long as the budgets' window.
	spendingTTL = 10 * time.Second
	// spendingTimeout bounds a report. After it, the next heartbeat carries the report.
	spendingTimeout = 100 * time.Millisecond
)

// RetrySpending is what one incarnation of a VM's process spent of the retry budgets, by
// service. A restarted process does not know what it spent before; that part continues to
// count under the former incarnation. Seq grows with each message, and a message that
// arrives after a later one is ignored.
type RetrySpending struct {
	Incarnation uint64                        `cbor:"1,keyasint"`
	Seq         uint64                        `cbor:"2,keyasint"`
	Spent       map[string]forward.RetryUsage `cbor:"3,keyasint,omitempty"`
}

// spendingTable holds the last report of each incarnation within spendingTTL, and their sum.
// Hundreds of VMs each report and ask several times a second, so neither may look at the
// reports of all others.
type spendingTable struct {
	reports map[uint64]*list.Element // of receivedSpending, by incarnation
	byAge   *list.List               // the oldest first
	sum     map[string]forward.RetryUsage
}

type receivedSpending struct {
	incarnation uint64
	seq         uint64
	spent       map[string]forward.RetryUsage
	at          time.Time
}

func newSpendingTable() *spendingTable {
	return &spendingTable{reports: map[uint64]*list.Element{}, byAge: list.New(), sum: map[string]forward.RetryUsage{}}
}

func (b *spendingTable) record(s RetrySpending, now time.Time) {
	if s.Incarnation == 0 {
		return // from a control process, which makes no retries
	}
	if e := b.reports[s.Incarnation]; e != nil {
		if s.Seq < spendingOf(e).seq {
			return // out of order
		}
		b.remove(e)
	}
	b.add(s.Spent, 1)
	b.reports[s.Incarnation] = b.byAge.PushBack(receivedSpending{s.Incarnation, s.Seq, s.Spent, now})
	b.expire(now)
}

func spendingOf(e *list.Element) receivedSpending {
	r, _ := e.Value.(receivedSpending)
	return r
}

func (b *spendingTable) remove(e *list.Element) {
	r := spendingOf(e)
	b.add(r.spent, -1)
	b.byAge.Remove(e)
	delete(b.reports, r.incarnation)
}

// add adds a report to the sum (by = 1) or removes it (by = -1).
func (b *spendingTable) add(spent map[string]forward.RetryUsage, by int) {
	for service, s := range spent {
		sum := b.sum[service]
		sum.Requests += by * s.Requests
		sum.Retries += by * s.Retries
		b.sum[service] = sum
		if sum == (forward.RetryUsage{}) {
			delete(b.sum, service)
		}
	}
}

func (b *spendingTable) expire(now time.Time) {
	for e := b.byAge.Front(); e != nil && now.Sub(spendingOf(e).at) > spendingTTL; e = b.byAge.Front() {
		b.remove(e)
	}
}

// others sums, by service, what all incarnations but one spent. An incarnation that has
// ended counts while its retries are in the window.
func (b *spendingTable) others(incarnation uint64, now time.Time) map[string]forward.RetryUsage {
	b.expire(now)
	out := maps.Clone(b.sum)
	if e := b.reports[incarnation]; e != nil {
		for service, s := range spendingOf(e).spent {
			sum := out[service]
			out[service] = forward.RetryUsage{Requests: sum.Requests - s.Requests, Retries: sum.Retries - s.Retries}
		}
	}
	return out
}

func (h *Hub) spentByOthers(incarnation uint64) map[string]forward.RetryUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retrySpending.others(incarnation, time.Now())
}

func (h *Hub) serveSpent(_ context.Context, _ string, body []byte) (any, error) {
	var s RetrySpending
	if err := codec.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.retrySpending.record(s, time.Now())
	h.mu.Unlock()
	return h.spentByOthers(s.Incarnation), nil
}

// ownSpending returns this VM's next report; it is empty for a VM that sends no requests.
func (m *Member) ownSpending() RetrySpending {
	if m.local.Spent == nil {
		return RetrySpending{}
	}
	return RetrySpending{m.incarnation, m.spendingSeq.Add(1), m.local.Spent()}
}

func (m *Member) learnSpent(others map[string]forward.RetryUsage) {
	if m.local.LearnSpent != nil {
		m.local.LearnSpent(others)
	}
}

// NotifyRetry triggers a report of this VM's retries to the control VMs. It does not block.
func (m *Member) NotifyRetry() { m.spendingSignal.raise() }

// RunRetryReports reports retries to the control VMs until ctx ends.
func (m *Member) RunRetryReports(ctx context.Context) { m.spendingSignal.each(ctx, m.reportSpending) }

// reportSpending sends a report to every control VM and takes from one of them what the
// others spent. It waits for that one only, because waiting for a lost control VM would
// delay the next report.
func (m *Member) reportSpending(ctx context.Context) {
	source, s := m.freshestControl(), m.ownSpending()
	for _, vm := range m.Controls() {
		if vm != m.self && vm != source {
			go m.reportSpendingTo(ctx, vm, s)
		}
	}
	if others, ok := m.reportSpendingTo(ctx, source, s); ok {
		m.learnSpent(others)
	}
}

func (m *Member) reportSpendingTo(ctx context.Context, vm string, s RetrySpending) (others map[string]forward.RetryUsage, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, spendingTimeout)
	defer cancel()
	if err := m.t.Call(ctx, vm, peer.KindRetrySpending, s, &others); err != nil {
		m.log.Debug().Err(err).Str("control", vm).Msg("retries could not be reported; the next heartbeat carries them")
		return nil, false
	}
	return others, true
}
