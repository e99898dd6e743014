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

// probeEvery begins a further try beside one that is unanswered: a lossy link
// loses a packet of one try in ten, and a lost packet is sent again only after 200
// ms.
const probeEvery = 45 * time.Millisecond

// prober asks silent servers whether they live, once at a time each: many
// streams fall silent together when an engine dies.
type prober struct {
	pool  *upstream.Pool
	fleet *upstream.Fleet
	wire  Wire

	mu      sync.Mutex
	pending map[string]*probe
}

// probe is one question. The verdict is valid once done is closed.
type probe struct {
	done chan struct{}
	verdict
}

// verdict is what one try, and in the end the question, came to.
type verdict struct {
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
	q.verdict = p.question(ctx, s)
	if q.alive {
		p.fleet.Heard(s)
	}
	p.mu.Lock()
	delete(p.pending, s.ID)
	p.mu.Unlock()
	close(q.done)
}

// question tries until one try is answered or refused, or ctx ends.
func (p *prober) question(ctx context.Context, s *upstream.Server) verdict {
	tries := int(probeTimeout / probeEvery)
	answers := make(chan verdict, tries)
	next := time.NewTicker(probeEvery)
	defer next.Stop()
	begun := 1
	go func() { answers <- p.try(ctx, s) }()
	for ended := 0; ended < begun; {
		select {
		case v := <-answers:
			ended++
			// A refusal is an answer of the machine: nobody listens there.
			if v.alive || ctx.Err() == nil {
				return v
			}
		case <-next.C:
			if begun < tries {
				begun++
				go func() { answers <- p.try(ctx, s) }()
			}
		}
	}
	return verdict{}
}

func (p *prober) try(ctx context.Context, s *upstream.Server) verdict {
	r := upstream.Request{Method: http.MethodGet, URI: p.wire.ReportURI(), Host: s.Address, Header: http.Header{}}
	resp, body, err := p.pool.Do(ctx, s.ID, s.Address, &r)
	if err != nil {
		return verdict{}
	}
	v := verdict{alive: true}
	if report, err := p.wire.ReadReport(body); err == nil && resp.StatusCode == http.StatusOK {
		v.report, v.told = report, true
	}
	return v
}

// blame remembers the request as one that ran where a server died.
func (h *Handler) blame(q *request, s *upstream.Server, passed int) {
	// A stream that came well forward here is past what would have ended the server.
	if passed < clearedAfter {
		h.o.SuspectContents.AddDeath(q.digest, s.ID)
	}
	h.o.Log.Info().Str("request", q.RequestID).Str("server", s.ID).Int("passed", passed).Uint64("digest", q.digest).Msg("request blamed")
}

// confirmDeath finds out, beside the request, whether the server that broke it
// has died. A broken answer alone blames nobody: a server may lose answers and
// live. One that takes no connection any more is dead, and the request is
// remembered as one that ran there.
//
// A request under which a server died before waits for the finding: it would else
// be at the next server by then.
func (h *Handler) confirmDeath(q *request, s *upstream.Server, passed int) {
	h.Stats.Probes.Inc()
	p := h.prober.ask(s)
	found := make(chan struct{})
	go func() {
		defer close(found)
		<-p.done
		if !p.alive {
			h.o.Fleet.MarkDead(s)
			h.blame(q, s, passed)
		}
	}()
	if h.o.SuspectContents.IsSuspect(q.digest) {
		<-found
	}
}
