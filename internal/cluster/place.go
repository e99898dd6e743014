package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

const (
	// placeTimeout bounds one request for an engine. A control VM answers within
	// milliseconds, and a small VM under overload within 0.1 to 0.2 s. With a shorter
	// timeout, routers would take an overloaded control VM for lost and ask different
	// ones, and several would schedule at once, just when the order matters most. A frozen
	// control VM is detected by this timeout, by the first streams that ask it, or by the
	// heartbeats.
	placeTimeout = 300 * time.Millisecond
	// placeAttempts is how many control VMs are asked before a router places a stream by
	// itself.
	placeAttempts = 2
	// placeRetryInterval is the time between two requests for a waiting stream: the
	// decision may be lost, or the control VM that queues the stream. It is far shorter
	// than the time for which a queued stream is kept without a request.
	placeRetryInterval = 1 * time.Second
)

var _ forward.Placer = (*Member)(nil)

// placing is the state of a router's requests for engines. Safe for concurrent use.
type placing struct {
	mu        sync.Mutex
	waiting   map[string]chan scheduler.Answer // by request id
	lastGrant uint64                           // number of the last grant that the router's use includes
	reportSeq uint64
	useSignal signal

	refreshMu   sync.Mutex
	refreshedAt time.Time // guarded by refreshMu
}

func newPlacing() *placing {
	return &placing{waiting: map[string]chan scheduler.Answer{}, useSignal: newSignal()}
}

// wait returns the channel that receives the decision about a request, and a function
// that ends the wait.
func (p *placing) wait(id string) (<-chan scheduler.Answer, func()) {
	ch := make(chan scheduler.Answer, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[id] = ch
	return ch, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, id)
	}
}

// deliver passes a decision to the stream that waits for it. It returns false if none
// does.
func (p *placing) deliver(d PlaceDecision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.waiting[d.ID]
	if ch == nil {
		return false
	}
	select {
	case ch <- d.Answer:
		return true
	default:
		return false
	}
}

// recordGrant records that the router's use includes a grant, or that the grant was not
// needed.
func (p *placing) recordGrant(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastGrant = max(p.lastGrant, number)
}

// nextReport returns the sequence number of a report and the last grant that it includes.
// It is called before the use is read. A use that includes later grants counts them
// twice for a moment, whereas one that lacks a stated grant would lose a run.
func (p *placing) nextReport() (seq, lastGrant uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportSeq++
	return p.reportSeq, p.lastGrant
}

// useReport returns the report of engine use between heartbeats, without Suspected.
func (m *Member) useReport() UseReport {
	report := m.fullUseReport()
	report.Suspected, report.SuspectedUnchanged = nil, true
	return report
}

// fullUseReport returns the report of engine use for heartbeats, with Suspected.
func (m *Member) fullUseReport() UseReport {
	if m.local.Use == nil {
		return UseReport{}
	}
	seq, lastGrant := m.placing.nextReport()
	report := UseReport{Incarnation: m.incarnation, Seq: seq, LastGrant: lastGrant, Use: m.local.Use()}
	if m.local.BackendReport != nil {
		o := m.local.BackendReport()
		report.Avoid, report.Suspected, report.Alive = o.Avoid, o.Suspected, o.Alive
	}
	if m.local.Withheld != nil {
		report.Withheld = m.local.Withheld()
	}
	if m.local.EngineTimings != nil {
		report.EngineTimings = m.local.EngineTimings()
	}
	return report
}

// Place implements forward.Placer. It calls abandon every placeRetryInterval while the
// stream waits. The caller calls Took once its use includes the grant.
func (m *Member) Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	decided, end := m.placing.wait(st.ID)
	defer end()
	request := PlaceRequest{Stream: st}
	for retry := false; ; retry = true {
		request.DueMS, request.DeadlineMS = time.Until(st.Due).Milliseconds(), time.Until(st.Deadline).Milliseconds()
		p, ok := m.requestPlace(ctx, &request, retry)
		if !ok || p.Outcome != scheduler.Waiting {
			return p, ok
		}
		retryTimer := time.NewTimer(placeRetryInterval)
		select {
		case p := <-decided:
			retryTimer.Stop()
			return p, true
		case <-retryTimer.C:
			if abandon() {
				return p, true
			}
		case <-ctx.Done():
			retryTimer.Stop()
			return scheduler.Answer{}, false
		}
	}
}

// requestPlace asks the scheduling control VM, and its successor if that does not answer.
//
// Only the first request for a stream carries this VM's use of engines, because hundreds
// of streams may wait and repeat their requests.
func (m *Member) requestPlace(ctx context.Context, request *PlaceRequest, retry bool) (scheduler.Answer, bool) {
	for range placeAttempts {
		vm := m.scheduler()
		if vm == "" || ctx.Err() != nil {
			break
		}
		request.Report = UseReport{}
		if !retry {
			request.Report = m.useReport()
		}
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		var p scheduler.Answer
		err := m.t.Call(callCtx, vm, peer.KindPlace, request, &p)
		cancel()
		if err == nil {
			return p, true
		}
		if ctx.Err() == nil {
			m.recordFailure(vm, err)
		}
	}
	return scheduler.Answer{}, false
}

// scheduler returns the scheduling control VM as this VM sees it: the first by id of
// those that answered recently. It is empty if none did.
func (m *Member) scheduler() string {
	if d := m.schedulers(1); len(d) > 0 {
		return d[0]
	}
	return ""
}

// schedulers returns the scheduling control VM and its successors, at most n.
func (m *Member) schedulers(n int) []string {
	controls := m.Controls()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, vm := range controls {
		if at, ok := m.lastAnswers[vm]; ok && time.Since(at) <= presenceTimeout && len(out) < n {
			out = append(out, vm)
		}
	}
	return out
}

// Refresh updates the list of backend servers from the scheduling control VM. Calls that
// arrive during an exchange wait for the next one, which serves all of them.
func (m *Member) Refresh(ctx context.Context) {
	asked := time.Now()
	m.placing.refreshMu.Lock()
	defer m.placing.refreshMu.Unlock()
	vm := m.scheduler()
	if m.placing.refreshedAt.After(asked) || vm == "" || ctx.Err() != nil {
		return
	}
	m.placing.refreshedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	m.exchange(ctx, vm, m.heartbeat(nil))
}

// Took records that the router's use includes a grant, or that the grant was not needed.
func (m *Member) Took(number uint64) {
	m.placing.recordGrant(number)
	m.UseChanged()
}

// UseChanged triggers a report of engine use and does not block. The scheduling control
// VM needs it at once, because a finished prefill lets the next prompt start.
func (m *Member) UseChanged() { m.placing.useSignal.raise() }

// RunUseReports reports changes of engine use until ctx ends. Changes that occur while a
// report is in flight are combined into the next one.
func (m *Member) RunUseReports(ctx context.Context) { m.placing.useSignal.each(ctx, m.sendUseReport) }

func (m *Member) sendUseReport(ctx context.Context) {
	vm := m.scheduler()
	if vm == "" {
		return // the heartbeats carry the use
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if err := m.t.Call(ctx, vm, peer.KindUseReport, m.useReport(), nil); err != nil {
		m.log.Debug().Err(err).Str("control", vm).Msg("use of engines could not be reported; the next heartbeat carries it")
	}
}

// servePlaceDecision receives the decision about a waiting stream. If the stream's caller
// has left, nothing waits for the decision and a grant is returned.
func (m *Member) servePlaceDecision(_ context.Context, _ string, body []byte) (any, error) {
	var p PlaceDecision
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if !m.placing.deliver(p) && p.Answer.Outcome == scheduler.Granted {
		m.Took(p.Answer.Number)
	}
	return nil, nil
}
