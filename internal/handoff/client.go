package handoff

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Bounds of a hand-off.
const (
	// maxOffers is how many VMs are asked to take a request.
	maxOffers = 3
	// offerTimeout bounds the wait for the answer to an offer.
	offerTimeout = 100 * time.Millisecond
	// refusalTime is how long a VM that did not take a request is not asked again.
	refusalTime = 500 * time.Millisecond
	// readTimeout bounds one read, and lostAfter the time without any piece: the VM that
	// serves is lost.
	readTimeout = readWait + 250*time.Millisecond
	lostAfter   = time.Second
	// readRetryPause separates reads that failed at once.
	readRetryPause = 20 * time.Millisecond
)

// Outcome is how a hand-off ended.
type Outcome uint8

// Outcomes.
const (
	NotTaken Outcome = iota // nobody took the request: it has not run
	Answered                // the caller has its answer, or has left
	Lost                    // the VM that served is lost before the answer began: the request may have run
	Broken                  // the same, after it began
)

// Client hands requests to other VMs. It is safe for concurrent use.
type Client struct {
	t      peer.Transport
	relays func(service string) []string
	log    zerolog.Logger
	lastID atomic.Uint64

	mu      sync.Mutex
	refused map[string]time.Time // until when VMs are not asked
}

// NewClient returns a Client. relays returns the VMs that reach a service.
func NewClient(t peer.Transport, relays func(service string) []string, log zerolog.Logger) *Client {
	c := &Client{t: t, relays: relays, log: log, refused: map[string]time.Time{}}
	c.lastID.Store(rand.Uint64() >> 1) // an earlier process of this VM may have offers in progress
	return c
}

// Serve has another VM serve a request, and writes the answer to w. It sets the ID of q.
func (c *Client) Serve(ctx context.Context, w http.ResponseWriter, q Request) Outcome {
	q.ID = c.lastID.Add(1)
	vm, taken := c.offer(ctx, &q)
	if !taken {
		return NotTaken
	}
	r := reader{c: c, ctx: ctx, vm: vm, id: q.ID, w: w}
	outcome := r.copy()
	if err := c.t.Send(vm, peer.KindReleaseOffer, ReleaseRequest{ID: q.ID}); err != nil {
		c.log.Debug().Err(err).Str("to", vm).Uint64("offer", q.ID).Msg("a request could not be released; its lease ends it")
	}
	return outcome
}

// offer finds a VM that takes a request.
func (c *Client) offer(ctx context.Context, q *Request) (vm string, taken bool) {
	offers := 0
	for _, vm := range c.candidates(q.Service) {
		if offers++; offers > maxOffers || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		var reply OfferReply
		err := c.t.Call(callCtx, vm, peer.KindOffer, q, &reply)
		cancel()
		if err == nil && reply.Taken {
			return vm, true
		}
		c.log.Info().Err(err).Str("to", vm).Str("service", q.Service).Uint64("offer", q.ID).Msg("request not taken by another VM")
		c.refuse(vm)
	}
	return "", false
}

// candidates returns the VMs to ask, in random order.
func (c *Client) candidates(service string) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, vm := range c.relays(service) {
		if now.After(c.refused[vm]) {
			delete(c.refused, vm)
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (c *Client) refuse(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[vm] = time.Now().Add(refusalTime)
}

// reader copies the answer to one request to its caller.
type reader struct {
	c      *Client
	ctx    context.Context
	vm     string
	id     uint64
	w      http.ResponseWriter
	offset int64
	begun  bool // the head was written
}

func (r *reader) copy() Outcome {
	last := time.Now()
	for r.ctx.Err() == nil {
		p, err := r.read()
		switch {
		case err != nil && time.Since(last) <= lostAfter:
			_ = timer.Sleep(r.ctx, readRetryPause)
			continue
		case err != nil, !p.Known:
			return r.lost()
		}
		last = time.Now()
		if !r.forward(&p) {
			return Answered // the caller has left
		}
		if p.End && p.Aborted {
			return r.lost()
		}
		if p.End {
			return Answered
		}
	}
	if r.begun {
		return Broken
	}
	return Lost
}

func (r *reader) lost() Outcome {
	r.c.log.Warn().Str("to", r.vm).Uint64("offer", r.id).Bool("begun", r.begun).Msg("answer of another VM lost")
	if r.begun {
		return Broken
	}
	return Lost
}

func (r *reader) read() (Piece, error) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	var p Piece
	err := r.c.t.Call(ctx, r.vm, peer.KindReadAnswer, ReadRequest{ID: r.id, Offset: r.offset, HasHead: r.begun}, &p)
	return p, err
}

// forward writes a piece. It returns false if the caller does not take it.
func (r *reader) forward(p *Piece) bool {
	if !r.begun && p.Status != 0 {
		r.begun = true
		header := r.w.Header()
		for name, values := range p.Header {
			header[name] = values
		}
		if _, stated := header["Content-Type"]; !stated {
			header["Content-Type"] = nil // keeps net/http from guessing it from the body
		}
		r.w.WriteHeader(p.Status)
	}
	if len(p.Data) == 0 {
		return true
	}
	r.offset += int64(len(p.Data))
	if _, err := r.w.Write(p.Data); err != nil {
		return false
	}
	return http.NewResponseController(r.w).Flush() == nil
}
