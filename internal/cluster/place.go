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
	// placeTimeout bounds one question for an engine. A control VM answers in some
	// milliseconds, and small VMs under overload in a tenth of a second or two. Routers
	// that took it for lost then would ask another each, and several decide at once, just
	// when the order matters most. One that was paused is found here, by the first streams
	// that ask, or by the notices.
	placeTimeout = 300 * time.Millisecond
	// placeTries control VMs are asked before a router decides for itself.
	placeTries = 2
	// askAgainEvery has a waiting stream asked for again: the answer may be lost, or the
	// control VM that holds its place.
	// It is far below the time for which a place is kept without a question.
	askAgainEvery = 1 * time.Second
)

var _ forward.Placer = (*Member)(nil)

// placing is a router's side of asking for engines. Safe for concurrent use.
type placing struct {
	mu      sync.Mutex
	waiting map[string]chan scheduler.Answer // by request id
	taken   uint64                           // the last grant that the router's use includes
	turn    uint64
	changed signal

	refreshing sync.Mutex
	refreshed  time.Time // needs refreshing
}

func newPlacing() *placing {
	return &placing{waiting: map[string]chan scheduler.Answer{}, changed: newSignal()}
}

// wait returns where a decision about a request is told, and what ends the waiting.
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

// deliver hands a decision to the stream that waits for it, if it still does.
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

// took notes that a grant is part of the router's use from now on, or was not needed.
func (p *placing) took(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = max(p.taken, number)
}

// next numbers a message. The last grant taken is read before the use is: a use that
// includes more than is said is counted twice for a moment, one that includes less
// would lose a run.
func (p *placing) next() (turn, taken uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	return p.turn, p.taken
}

// told is what this VM tells of its use of engines.
func (m *Member) told() UseReport {
	t := m.toldWhole()
	t.Suspected, t.SuspectedUnchanged = nil, true
	return t
}

// toldWhole is the same for the notices, with what this VM doubts.
func (m *Member) toldWhole() UseReport {
	if m.local.Use == nil {
		return UseReport{}
	}
	turn, taken := m.placing.next()
	t := UseReport{Incarnation: m.life, Seq: turn, LastGrant: taken, Use: m.local.Use()}
	if m.local.Opinion != nil {
		o := m.local.Opinion()
		t.Avoid, t.Suspected, t.Alive = o.Avoid, o.Suspected, o.Alive
	}
	if m.local.Paces != nil {
		t.Paces = m.local.Paces()
	}
	return t
}

// Place implements forward.Placer. Abandon is asked each second. The caller calls Took
// once its use includes what was granted.
func (m *Member) Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	decided, end := m.placing.wait(st.ID)
	defer end()
	a := PlaceRequest{Stream: st}
	for again := false; ; again = true {
		a.DueMS, a.DeadlineMS = time.Until(st.Due).Milliseconds(), time.Until(st.Deadline).Milliseconds()
		p, ok := m.askPlace(ctx, &a, again)
		if !ok || p.Outcome != scheduler.Waiting {
			return p, ok
		}
		again := time.NewTimer(askAgainEvery)
		select {
		case p := <-decided:
			again.Stop()
			return p, true
		case <-again.C:
			if abandon() {
				return p, true
			}
		case <-ctx.Done():
			again.Stop()
			return scheduler.Answer{}, false
		}
	}
}

// askPlace asks the control VM that decides, and the next one where it does not answer.
//
// What this VM uses goes with the first question alone: hundreds of streams may wait,
// and each asks again.
func (m *Member) askPlace(ctx context.Context, a *PlaceRequest, again bool) (scheduler.Answer, bool) {
	for range placeTries {
		vm := m.scheduler()
		if vm == "" || ctx.Err() != nil {
			break
		}
		a.Report = UseReport{}
		if !again {
			a.Report = m.told()
		}
		asking, cancel := context.WithTimeout(ctx, placeTimeout)
		var p scheduler.Answer
		err := m.t.Call(asking, vm, peer.KindPlace, a, &p)
		cancel()
		if err == nil {
			return p, true
		}
		if ctx.Err() == nil {
			m.missed(vm, err)
		}
	}
	return scheduler.Answer{}, false
}

// scheduler is the control VM that decides about engines, as this VM sees it: the
// first by id of those that answered lately.
func (m *Member) scheduler() string {
	if d := m.schedulers(1); len(d) > 0 {
		return d[0]
	}
	return ""
}

// schedulers are the control VM that decides and those that would after it, at most n.
func (m *Member) schedulers(n int) []string {
	controls := m.Controls()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, vm := range controls {
		if at, ok := m.answered[vm]; ok && time.Since(at) <= presentFor && len(out) < n {
			out = append(out, vm)
		}
	}
	return out
}

// Refresh asks the control VM that decides for its list of backend servers. Callers
// that come while one question is under way wait for the next, which serves them all.
func (m *Member) Refresh(ctx context.Context) {
	asked := time.Now()
	m.placing.refreshing.Lock()
	defer m.placing.refreshing.Unlock()
	vm := m.scheduler()
	if m.placing.refreshed.After(asked) || vm == "" || ctx.Err() != nil {
		return
	}
	m.placing.refreshed = time.Now()
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	m.exchange(ctx, vm, m.notice(nil))
}

// Took notes that the router's use includes a grant, or that it was not needed.
func (m *Member) Took(number uint64) {
	m.placing.took(number)
	m.UseChanged()
}

// UseChanged has the control VM that decides told at once: a prompt that was read lets
// the next one begin. It does not wait.
func (m *Member) UseChanged() { m.placing.changed.raise() }

// RunUse tells of changes until ctx ends. Those that come while one message is under
// way go with the next one.
func (m *Member) RunUseReports(ctx context.Context) { m.placing.changed.each(ctx, m.tellUse) }

func (m *Member) tellUse(ctx context.Context) {
	vm := m.scheduler()
	if vm == "" {
		return // the notices tell it
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if err := m.t.Call(ctx, vm, peer.KindUse, m.told(), nil); err != nil {
		m.log.Debug().Err(err).Str("control", vm).Msg("use of engines not told")
	}
}

// servePlaced takes a decision about a stream that waited. Nobody waits any more where
// its caller left: the grant is given back.
func (m *Member) servePlaced(_ context.Context, _ string, body []byte) (any, error) {
	var p PlaceDecision
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if !m.placing.deliver(p) && p.Answer.Outcome == scheduler.Granted {
		m.Took(p.Answer.Number)
	}
	return nil, nil
}
