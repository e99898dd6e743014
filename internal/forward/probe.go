package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// probeTimeout: a live engine accepts a connection within two round trips and
// reports without a slot; three times the slowest of both.
const probeTimeout = 150 * time.Millisecond

// prober asks silent servers whether they live, once at a time each: many
// streams fall silent together when an engine dies.
type prober struct {
	pool  *upstream.Pool
	fleet *upstream.Fleet
	wire  Wire

	mu      sync.Mutex
	pending map[string]*probe
}

// probe is one question. alive and report are valid once done is closed.
type probe struct {
	done   chan struct{}
	alive  bool
	report Report
	told   bool // report holds what the engine said
}

func newProber(pool *upstream.Pool, fleet *upstream.Fleet, wire Wire) *prober {
	return &prober{pool: pool, fleet: fleet, wire: wire, pending: map[string]*probe{}}
}

// ask begins a question, or joins the one under way.
func (p *prober) ask(s *upstream.Server) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.pending[s.ID]; q != nil {
		return q
	}
	q := &probe{done: make(chan struct{})}
	p.pending[s.ID] = q
	go p.run(s, q)
	return q
}

func (p *prober) run(s *upstream.Server, q *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q.alive = p.question(ctx, s, q)
	if q.alive {
		p.fleet.Heard(s)
	}
	p.mu.Lock()
	delete(p.pending, s.ID)
	p.mu.Unlock()
	close(q.done)
}

// question uses a new connection: a kept one may have gone silent by itself
// while the server lives.
func (p *prober) question(ctx context.Context, s *upstream.Server, q *probe) bool {
	c, err := p.pool.Get(ctx, s.ID, s.Address, true)
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	r := upstream.Request{Method: http.MethodGet, URI: p.wire.ReportURI(), Host: s.Address, Header: http.Header{}}
	if _, err := c.Send(&r); err != nil {
		c.Close()
		return false
	}
	resp, err := c.ReadHead(http.MethodGet)
	if err != nil {
		c.Close()
		return false
	}
	body, err := upstream.ReadBody(resp, maxAnswer)
	if err != nil {
		c.Close()
		return false
	}
	if report, err := p.wire.ReadReport(body); err == nil && resp.StatusCode == http.StatusOK {
		q.report, q.told = report, true
	}
	if stop() {
		p.pool.Put(c, resp)
	}
	return true
}

// confirmDeath finds out, beside the request, whether the server that broke it
// has died. A broken answer alone blames nobody: a server may lose answers and
// live. One that takes no connection any more is dead, and the request is
// remembered as one that ran there.
func (h *Handler) confirmDeath(q *request, s *upstream.Server, passed int) {
	h.Stats.Probes.Add(1)
	p := h.prober.ask(s)
	go func() {
		<-p.done
		if !p.alive {
			h.o.Fleet.Dead(s)
			h.o.Blame.Died(q.digest, s.ID, passed)
		}
	}()
}
