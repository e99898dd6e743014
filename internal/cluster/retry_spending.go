package cluster

import (
	"context"
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

// spendingTable holds the last report of each incarnation.
type spendingTable map[uint64]receivedSpending

type receivedSpending struct {
	seq   uint64
	spent map[string]forward.RetryUsage
	at    time.Time
}

func (b spendingTable) record(s RetrySpending, now time.Time) {
	if s.Incarnation == 0 || s.Seq < b[s.Incarnation].seq {
		return // from a control process, which makes no retries, or out of order
	}
	b[s.Incarnation] = receivedSpending{s.Seq, s.Spent, now}
	for incarnation, t := range b {
		if now.Sub(t.at) > spendingTTL {
			delete(b, incarnation)
		}
	}
}

// others sums, by service, what all incarnations but one spent. An incarnation that has
// ended counts while its retries are in the window.
func (b spendingTable) others(incarnation uint64, now time.Time) map[string]forward.RetryUsage {
	out := map[string]forward.RetryUsage{}
	for other, t := range b {
		if other == incarnation || now.Sub(t.at) > spendingTTL {
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
