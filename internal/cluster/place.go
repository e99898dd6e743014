package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/decider"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

const (
	// placeTimeout bounds the report of a change of the use of engines and the refresh of
	// the list of backend servers. For requests for an engine see decider.PlaceTimeout.
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
	waiting   map[string]*waitingStream // by request id
	follower  *decider.Follower
	lastGrant uint64 // number of the last grant that the router's use includes
	reportSeq uint64
	useSignal signal
	levels    knownLevels

	refreshMu   sync.Mutex
	refreshedAt time.Time // guarded by refreshMu
}

func newPlacing() *placing {
	return &placing{waiting: map[string]*waitingStream{}, follower: decider.NewFollower(), useSignal: newSignal()}
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

// useReport returns the report of engine use to the control VM that decides, without Suspected.
// It takes what was measured on engines, which heartbeats to all control VMs do not carry.
func (m *Member) useReport() UseReport {
	report := m.fullUseReport()
	report.Suspected, report.SuspectedUnchanged = nil, true
	if m.local.TakeEngineSpeeds != nil {
		report.Speeds = m.local.TakeEngineSpeeds()
	}
	return report
}

// fullUseReport returns the report of engine use for heartbeats, with Suspected.
func (m *Member) fullUseReport() UseReport {
	if m.local.Use == nil {
		return UseReport{}
	}
	seq, lastGrant := m.placing.nextReport()
	report := UseReport{Incarnation: m.incarnation, Seq: seq, LastGrant: lastGrant, Use: m.local.Use(), Term: m.placing.followed().Number}
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
