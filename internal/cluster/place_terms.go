package cluster

import (
	"cmp"
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/decider"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// maxMoves is how often in a row a request is sent on at once because another control
	// VM decides. While a term changes hands, control VMs may name each other.
	maxMoves = 4
	// moveRetryInterval is the pause after maxMoves. The control VMs hear of a claim within
	// milliseconds.
	moveRetryInterval = 50 * time.Millisecond
)

// waitingStream receives the decision about a stream. term is the one that the router
// followed when it last asked.
type waitingStream struct {
	answer chan scheduler.Answer
	term   decider.Term
	// service is that of the stream.
	service string
}

// wait registers a request, and returns a function that ends the wait.
func (p *placing) wait(id string) (*waitingStream, func()) {
	w := &waitingStream{answer: make(chan scheduler.Answer, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[id] = w
	return w, func() {
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
	w := p.waiting[d.ID]
	return w != nil && w.offer(d.Answer)
}

func (w *waitingStream) offer(a scheduler.Answer) bool {
	select {
	case w.answer <- a:
		return true
	default:
		return false
	}
}

func (p *placing) followed() decider.Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.Term()
}

// hear records the term that a control VM stated; nil: it states none. The streams that wait
// for an answer under an older term ask the new holder at once.
func (p *placing) hear(vm string, t *decider.Term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hearLocked(vm, t)
}

// hearLocked needs p.mu.
func (p *placing) hearLocked(vm string, t *decider.Term) {
	if !p.follower.Hear(vm, t) {
		return
	}
	for _, w := range p.waiting {
		if t.Newer(w.term) {
			w.offer(scheduler.Answer{Outcome: scheduler.Moved, Term: t.Number, Holder: t.Holder})
		}
	}
}

// asks records that a stream is about to ask vm, and returns the number of the followed term
// and its holder if that is another VM.
func (p *placing) asks(w *waitingStream, vm string) (number uint64, silent string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.term = p.follower.Term()
	return w.term.Number, p.follower.Silent(vm)
}

// answered completes an answer of vm, and records the term that it states. w is the stream
// that asked vm; nil: none.
func (p *placing) answered(w *waitingStream, vm string, a *scheduler.Answer) {
	if a.Holder == "" {
		a.Holder = vm
	}
	if a.Level != nil && w != nil {
		p.levels.learn(w.service, a.Level, time.Now())
	}
	if a.Term == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := decider.Term{Number: a.Term, Holder: a.Holder}
	if w != nil {
		w.term = t
	}
	p.hearLocked(a.Holder, &t)
}

// accepts reports whether an answer of vm may be used: it is no grant, or a grant of the
// newest term.
func (p *placing) accepts(a *scheduler.Answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.Outcome != scheduler.Granted || p.follower.Accepts(a.Holder, decider.Term{Number: a.Term, Holder: a.Holder})
}

func (p *placing) order(answering []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.Order(answering)
}

// hearTerm records the term in a heartbeat's reply.
func (m *Member) hearTerm(vm string, reply *HeartbeatReply) {
	m.placing.hear(vm, reply.Term)
	if terms := m.terms.Load(); terms != nil && reply.Term != nil {
		terms.hear(vm, reply.Term, reply.HolderHeardMS)
	}
}

// placementCall is a request for an engine until it is decided.
type placementCall struct {
	*Member
	request PlaceRequest
	waiting *waitingStream
	timeout time.Duration
	// ask is the control VM that the last answer named; empty: the followed one.
	ask   string
	moves int // in a row
	// renewed is set once the control VM that is asked has this VM's use of engines. Only
	// the first request carries it, because hundreds of streams may wait and repeat theirs.
	renewed bool
}

// Place implements forward.Placer. It calls abandon every placeRetryInterval while the
// stream waits, and each time that a control VM names another one. The caller calls Took
// once its use includes the grant.
func (m *Member) Place(ctx context.Context, st scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	waiting, end := m.placing.wait(st.ID)
	defer end()
	waiting.service = st.Service
	c := &placementCall{Member: m, request: PlaceRequest{Stream: st}, waiting: waiting, timeout: decider.PlaceTimeout(time.Until(st.Due))}
	for {
		p, ok := c.send(ctx)
		if ok && p.Outcome == scheduler.Waiting {
			p, ok = c.await(ctx)
		}
		switch {
		case !ok:
			return p, false
		case p.Outcome == scheduler.Moved && abandon():
			return scheduler.Answer{Outcome: scheduler.Waiting}, true
		case p.Outcome == scheduler.Moved:
			if !c.move(ctx, &p) {
				return scheduler.Answer{}, false
			}
		case !m.placing.accepts(&p):
			m.log.Info().Str("request", st.ID).Str("engine", p.Server).Uint64("term", p.Term).Uint64("newer_term", m.placing.followed().Number).Msg("grant of an older term given back")
			m.Took(p.Number)
			c.ask, c.renewed = "", false
		case p.Outcome == scheduler.Waiting && !abandon():
		default:
			return p, true
		}
	}
}

// await waits for the decision, until the request must be repeated. The outcome is then
// Waiting. It returns false once ctx ends.
func (c *placementCall) await(ctx context.Context) (scheduler.Answer, bool) {
	retry := time.NewTimer(placeRetryInterval)
	defer retry.Stop()
	select {
	case p := <-c.waiting.answer:
		return p, true
	case <-retry.C:
		return scheduler.Answer{}, true
	case <-ctx.Done():
		return scheduler.Answer{}, false
	}
}

// move prepares a request to the control VM that an answer named. It returns false once ctx
// ends.
func (c *placementCall) move(ctx context.Context, p *scheduler.Answer) bool {
	c.ask, c.renewed = "", false
	if p.Term == 0 {
		c.ask = p.Holder
	}
	if c.moves++; c.moves <= maxMoves {
		return true
	}
	c.moves = 0
	return timer.Sleep(ctx, moveRetryInterval) == nil
}

// send asks the deciding control VM, and another one if that does not answer.
func (c *placementCall) send(ctx context.Context) (scheduler.Answer, bool) {
	for range placeAttempts {
		vm := c.ask
		if vm == "" {
			vm = c.scheduler()
		}
		if vm == "" || ctx.Err() != nil {
			break
		}
		c.ask = ""
		p, err := c.call(ctx, vm)
		if err == nil {
			c.renewed = true
			if p.Outcome != scheduler.Moved {
				c.moves = 0
			}
			return p, true
		}
		if ctx.Err() == nil {
			c.recordFailure(vm, err)
		}
	}
	return scheduler.Answer{}, false
}

func (c *placementCall) call(ctx context.Context, vm string) (scheduler.Answer, error) {
	r := &c.request
	r.DueMS, r.DeadlineMS = time.Until(r.Stream.Due).Milliseconds(), time.Until(r.Stream.Deadline).Milliseconds()
	if by := r.Stream.FirstEventBy; !by.IsZero() {
		r.FirstEventMS = cmp.Or(time.Until(by).Milliseconds(), -1)
	}
	r.Term, r.Silent = c.placing.asks(c.waiting, vm)
	r.Report = UseReport{}
	if !c.renewed {
		r.Report = c.useReport()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var p scheduler.Answer
	err := c.t.Call(ctx, vm, peer.KindPlace, r, &p)
	if err == nil {
		c.placing.answered(c.waiting, vm, &p)
	}
	return p, err
}

// scheduler returns the control VM that is asked about streams: the holder of the newest
// term, or the first by id if none is known or it did not answer lately. It is empty if no
// control VM answered.
func (m *Member) scheduler() string {
	if d := m.schedulers(1); len(d) > 0 {
		return d[0]
	}
	return ""
}

// schedulers returns the control VM that is asked about streams and its successors, at most
// n.
func (m *Member) schedulers(n int) []string {
	controls := m.Controls()
	var answering []string
	m.mu.Lock()
	for _, vm := range controls {
		if at, ok := m.lastAnswers[vm]; ok && time.Since(at) <= presenceTimeout {
			answering = append(answering, vm)
		}
	}
	m.mu.Unlock()
	order := m.placing.order(answering)
	return order[:min(n, len(order))]
}

// servePlaceDecision receives the decision about a waiting stream, or passes it to the
// router whose request this VM relayed. If the stream's caller has left, nothing waits for
// the decision and a grant is returned.
func (m *Member) servePlaceDecision(_ context.Context, from string, body []byte) (any, error) {
	var p PlaceDecision
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	m.placing.answered(nil, from, &p.Answer)
	if p.Router != "" {
		return nil, m.t.Send(p.Router, peer.KindPlaceDecision, PlaceDecision{ID: p.ID, Answer: p.Answer})
	}
	if !m.placing.deliver(p) && p.Answer.Outcome == scheduler.Granted {
		m.Took(p.Answer.Number)
	}
	return nil, nil
}
