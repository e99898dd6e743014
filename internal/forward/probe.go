package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// probeTimeout is three times the longest time that a live engine takes to accept a
// connection, which needs two round trips at most, and to report, which needs no slot.
const probeTimeout = 150 * time.Millisecond

// probeRetryInterval separates the attempts of a probe, which run concurrently. A lossy
// link drops a packet of one attempt in ten, and TCP retransmits it only after 200 ms.
const probeRetryInterval = 45 * time.Millisecond

// prober checks whether silent servers are alive. It runs one probe per server at a
// time, since many streams fall silent together when an engine dies.
type prober struct {
	engines *engineCaller
	fleet   *upstream.Fleet
	wire    Wire
	// contents are told which servers are alive.
	contents *SuspectContents

	mu       sync.Mutex
	inFlight map[probeKey]*probe
	excused  map[string]bool // servers whose last probe was excused, by id
}

// probeKey keeps those who wait for a short probe from joining a long one.
type probeKey struct {
	server     string
	timeout    time.Duration
	resetIsEnd bool // a reset ends the probe
}

// probe is a check of one server. Its result is valid once done is closed.
type probe struct {
	done chan struct{}
	probeResult
}

// probeResult is the result of one attempt, and of the probe as a whole.
type probeResult struct {
	alive    bool
	answered bool // the engine answered this probe
	withheld bool // the engine accepts no request now, or this VM stalled: nothing is known of it
	refused  bool // the host refused the connection: no process listens there
	closed   bool // the server ended the connection that it had accepted
	reset    bool // the server reset a connection, as one does that is at its limit of them
	invalid  bool // the server answered with what is no response: it is alive, and may answer the next attempt
	// replaced reports that another incarnation answers at the address: the one that was
	// probed is dead.
	replaced bool
	// startedAgain reports that the server has started again under its id since the list was made,
	// maybe with another version.
	startedAgain bool
	// sameInstance reports that the answer names the incarnation that was probed.
	sameInstance bool
	report       Report
	hasReport    bool // report holds the engine's own report
}

func newProber(engines *engineCaller, o *Options) *prober {
	return &prober{engines: engines, fleet: o.Fleet, wire: o.Wire, contents: o.SuspectContents, inFlight: map[probeKey]*probe{}, excused: map[string]bool{}}
}

// start begins a probe of a server, or joins the one in flight.
func (p *prober) start(s *upstream.Server) *probe {
	return p.startWith(s, probeKey{server: s.ID, timeout: probeTimeout})
}

// startAnew is start for what only a probe tells that begins now: one in flight may have been answered
// before the moment in question. It waits for that one.
func (p *prober) startAnew(s *upstream.Server) *probe {
	p.mu.Lock()
	former := p.inFlight[probeKey{server: s.ID, timeout: probeTimeout}]
	p.mu.Unlock()
	if former != nil {
		<-former.done
	}
	return p.start(s)
}

// startAfterBreak is start for a server that has broken a connection. If it resets the next one
// too, it is not just at its limit of connections.
func (p *prober) startAfterBreak(s *upstream.Server) *probe {
	return p.startWith(s, probeKey{server: s.ID, timeout: probeTimeout, resetIsEnd: true})
}

// startWithin is start with another timeout.
func (p *prober) startWithin(s *upstream.Server, timeout time.Duration) *probe {
	return p.startWith(s, probeKey{server: s.ID, timeout: timeout})
}

func (p *prober) startWith(s *upstream.Server, key probeKey) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running := p.inFlight[key]; running != nil {
		return running
	}
	started := &probe{done: make(chan struct{})}
	p.inFlight[key] = started
	go p.runProbe(s, started, key)
	return started
}

func (p *prober) runProbe(s *upstream.Server, pr *probe, key probeKey) {
	ctx, cancel := context.WithTimeout(context.Background(), key.timeout)
	defer cancel()
	began := time.Now()
	pr.probeResult = p.probeUntilAnswered(ctx, s, key.resetIsEnd)
	if !pr.isConclusive() {
		_ = timer.Sleep(ctx, probeTimeout-time.Since(began)) // resets come at once
		pr.alive = p.fleet.SilentFor(s) < time.Since(began)  // bytes came on another connection
		pr.withheld = !pr.alive && p.excuses(s, time.Since(began)-key.timeout)
	}
	switch {
	case pr.answered:
		p.fleet.Answered(s)
		p.contents.heard(s)
	case pr.replaced:
		p.fleet.MarkStale(s)
	}
	p.mu.Lock()
	delete(p.inFlight, key)
	p.mu.Unlock()
	close(pr.done)
}

// excuses reports whether a probe that failed and ended late tells nothing, since this VM stalled and
// an answer may wait to be read. It is true once in a row: a VM that stays slow must find dead
// servers too.
func (p *prober) excuses(s *upstream.Server, late time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late < maxTimerDelay || p.excused[s.ID] {
		delete(p.excused, s.ID)
		return false
	}
	p.excused[s.ID] = true
	return true
}

// endsConnections reports whether no process, or one that ends, is at the server's address.
func (r *probeResult) endsConnections() bool { return r.refused || r.closed }

// isConclusive reports whether the result shows what became of the server. A reset alone does not:
// a server resets connections beyond the number that it accepts.
func (r *probeResult) isConclusive() bool {
	return r.alive || r.withheld || r.replaced || r.endsConnections()
}

// probeUntilAnswered repeats attempts until one is conclusive, all have failed, or ctx ends.
func (p *prober) probeUntilAnswered(ctx context.Context, s *upstream.Server, resetIsEnd bool) probeResult {
	tries := int(probeTimeout / probeRetryInterval)
	answers := make(chan probeResult, tries)
	next := time.NewTicker(probeRetryInterval)
	defer next.Stop()
	started := 1
	go func() { answers <- p.try(ctx, s, resetIsEnd) }()
	var last probeResult
	for ended := 0; ended < tries; {
		select {
		case v := <-answers:
			ended++
			if v.isConclusive() {
				return v
			}
			last.reset = last.reset || v.reset
			last.alive = last.alive || v.invalid
		case <-ctx.Done():
			return last
		case <-next.C:
			if started < tries {
				started++
				go func() { answers <- p.try(ctx, s, resetIsEnd) }()
			}
		}
	}
	return last
}

func (p *prober) try(ctx context.Context, s *upstream.Server, resetIsEnd bool) probeResult {
	r := upstream.Request{Method: http.MethodGet, URI: p.wire.ReportURI(), Host: s.Address, Header: http.Header{}}
	p.wire.SetInstance(r.Header, s.ID)
	resp, body, err := p.engines.do(ctx, s, &r)
	if err != nil {
		closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		return probeResult{
			withheld: errors.Is(err, errWithheld), refused: errors.Is(err, syscall.ECONNREFUSED),
			closed: ctx.Err() == nil && (closed || reset && resetIsEnd), reset: reset, invalid: errors.Is(err, upstream.ErrInvalid),
		}
	}
	a := p.wire.ReadAnswer(resp.StatusCode, resp.Header)
	if a.WrongInstance || a.Instance != "" && a.Instance != s.ID {
		return probeResult{replaced: true}
	}
	v := probeResult{alive: true, answered: true}
	if report, err := p.wire.ReadReport(body); err == nil && resp.StatusCode == http.StatusOK {
		v.report, v.hasReport = report, true
	}
	v.startedAgain = s.BornMS != 0 && v.report.BornMS > s.BornMS
	v.sameInstance = a.Instance == s.ID && !v.startedAgain
	return v
}

// blameContents blames the contents that ran on a server that died. Their abandoned runs may
// have ended other servers too, where no request may notice it for some time. A server that
// another VM reports is probed as well, since it may be alive.
func (h *Handler) blameContents(server string, e upstream.Evidence) {
	if e == upstream.Confirmed || e == upstream.Silence {
		h.dead.probe()
	}
	blamed, elsewhere := h.opts.SuspectContents.serverDied(server, e)
	if e == upstream.PeerReport && len(blamed) > 0 {
		h.probeForDeath(blamed[0].server, blamed[0], false)
	}
	for _, r := range elsewhere {
		h.probeForDeath(r.server, r, false)
	}
}

// judgeDead judges a server dead that did not answer a probe. One that is only silent breaks no
// connection.
func (h *Handler) judgeDead(s *upstream.Server, p *probe, brokeOff bool) {
	if brokeOff || p.endsConnections() {
		h.opts.Fleet.MarkDead(s)
		return
	}
	h.opts.Fleet.MarkSilent(s)
}

// probeForDeath probes a server on which a content may still run, or that broke off its run, and
// returns a channel that is closed once the result is known.
func (h *Handler) probeForDeath(s *upstream.Server, r *contentRun, brokeOff bool) <-chan struct{} {
	h.Stats.Probes.Inc()
	var p *probe
	if brokeOff {
		p = h.prober.startAfterBreak(s)
	} else {
		p = h.prober.start(s)
	}
	found := make(chan struct{})
	go func() {
		defer close(found)
		<-p.done
		switch {
		case p.withheld:
		case !p.alive:
			h.judgeDead(s, p, brokeOff)
		case p.sameInstance:
			h.opts.SuspectContents.forget(r)
		}
	}()
	return found
}

// answersProbe reports whether a server answers a probe now. The server of a trial must be
// alive before the run is recorded, or the trial is blamed for an earlier death.
func (h *Handler) answersProbe(s *upstream.Server) bool {
	h.Stats.Probes.Inc()
	p := h.prober.start(s)
	<-p.done
	if !p.alive && !p.withheld {
		h.judgeDead(s, p, false)
	}
	return p.alive
}

// confirmDeath probes, concurrently with the request, whether the server that broke off
// its answer has died. A broken answer alone raises no suspicion, since a live server
// may lose answers. A server that accepts no connection is dead, and the contents that ran
// there become suspect.
//
// A request whose content is suspect already, or that broke off at another server before, waits
// for the results. Otherwise it could reach, and kill, the next server in the meantime.
func (h *Handler) confirmDeath(q *request, s *upstream.Server, r *contentRun) {
	q.deathChecks = append(q.deathChecks, h.probeForDeath(s, r, true))
	if len(q.deathChecks) == 1 && !h.opts.SuspectContents.isSuspect(q.digest) {
		return
	}
	for _, found := range q.deathChecks {
		<-found
	}
}
