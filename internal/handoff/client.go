package handoff

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
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
	// readTimeout bounds one read.
	readTimeout = readWait + 250*time.Millisecond
	// lostAfter is the time without a piece after which the VM that serves counts as lost.
	// Sound VMs are silent for up to two seconds and go on. The caller can still go on through
	// another VM within six seconds.
	lostAfter = 3 * time.Second
	// goneAfter is the same if the VM refuses connections: its process has ended, or is
	// starting again without the request.
	goneAfter = time.Second
	// keepMargin is how much longer than its reader waits a VM keeps a request. A request that
	// goes on elsewhere runs at two engines for that long.
	keepMargin = 200 * time.Millisecond
	// leaseRenewal is how often the lease of a request is renewed, besides each read. VMs of
	// former builds keep one for 1.5 s.
	leaseRenewal = 700 * time.Millisecond
	// readRetryPause separates reads that failed at once.
	readRetryPause = 20 * time.Millisecond
)

// Outcome is how a hand-off ended.
type Outcome uint8

// Outcomes.
const (
	NotTaken   Outcome = iota // nobody took the request: it has not run
	Answered                  // the caller has its whole answer
	Lost                      // the answer was lost before it began: the request may have run
	Broken                    // the same, after it began
	CallerLeft                // the caller has left, or takes no more
)

// Client hands requests to other VMs. It is safe for concurrent use.
type Client struct {
	t      peer.Transport
	relays func(service string) []string
	log    zerolog.Logger
	// account holds the pieces of answers that callers have not read.
	account *memory.Account
	lastID  atomic.Uint64

	mu      sync.Mutex
	refused map[string]time.Time // until when VMs are not asked
}

// NewClient returns a Client. relays returns the VMs that reach a service.
func NewClient(t peer.Transport, relays func(service string) []string, account *memory.Account, log zerolog.Logger) *Client {
	c := &Client{t: t, relays: relays, log: log, account: account, refused: map[string]time.Time{}}
	c.lastID.Store(rand.Uint64() >> 1) // an earlier process of this VM may have offers in progress
	return c
}

// Serve has another VM serve a request, and writes the answer to w. It sets the ID of q.
func (c *Client) Serve(ctx context.Context, w http.ResponseWriter, q Request) Outcome {
	q.ID = c.lastID.Add(1)
	vm, reply := c.offer(ctx, &q)
	if !reply.Taken {
		return NotTaken
	}
	m := c.account.BeginAnswer(false, func() { resulthttp.EndWrites(w) })
	defer m.Close()
	r := reader{c: c, ctx: ctx, vm: vm, id: q.ID, method: q.Method, statesEnd: reply.StatesEnd, w: w, memory: m}
	reading, stop := context.WithCancel(ctx)
	go r.keepLease(reading)
	outcome := r.copy()
	stop()
	if err := c.t.Send(vm, peer.KindReleaseOffer, ReleaseRequest{ID: q.ID}); err != nil {
		c.log.Debug().Err(err).Str("to", vm).Uint64("offer", q.ID).Msg("a request could not be released; its lease ends it")
	}
	return outcome
}

// offer finds a VM that takes a request, and returns its reply.
func (c *Client) offer(ctx context.Context, q *Request) (vm string, reply OfferReply) {
	offers := 0
	for _, vm := range c.candidates(q.Service) {
		if offers++; offers > maxOffers || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		reply = OfferReply{}
		err := c.t.Call(callCtx, vm, peer.KindOffer, q, &reply)
		cancel()
		if err == nil && reply.Taken {
			return vm, reply
		}
		c.log.Info().Err(err).Str("to", vm).Str("service", q.Service).Uint64("offer", q.ID).Msg("request not taken by another VM")
		c.refuse(vm)
	}
	return "", OfferReply{}
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
	c         *Client
	ctx       context.Context
	vm        string
	id        uint64
	method    string
	statesEnd bool // the VM states whether an answer is complete
	w         http.ResponseWriter
	memory    *memory.Answer // of the piece that is being written
	offset    int64
	begun     bool      // the head was written
	lastRead  time.Time // when the last piece was read and written
	// waitsSince is lastRead; nil: a piece is being written.
	waitsSince atomic.Pointer[time.Time]
}

func (r *reader) copy() Outcome {
	r.noteRead()
	for r.ctx.Err() == nil {
		p, err := r.read()
		switch {
		case err != nil && time.Since(r.lastRead) <= patience(err):
			_ = timer.Sleep(r.ctx, readRetryPause)
			continue
		case err != nil:
			return r.lost("the VM does not answer", err)
		case !p.Known:
			return r.lost("the VM does not have the request", nil)
		case r.isInvented(&p):
			return r.lost("ended without a head", nil)
		}
		if err := r.checkHead(&p); err != nil {
			return r.lost("invalid head", err)
		}
		r.waitsSince.Store(nil)
		if !r.forward(&p) {
			return CallerLeft
		}
		r.noteRead()
		if p.End && r.isWhole(&p) {
			return Answered
		}
		if p.End {
			return r.lost("ended early", nil)
		}
	}
	return r.failure()
}

func (r *reader) noteRead() {
	now := time.Now()
	r.lastRead = now
	r.waitsSince.Store(&now)
}

// keepMS returns for how long the VM shall keep the request. Its messages may be lost while those of
// the reader arrive: if each of them renewed the whole lease, the VM would work on long after the
// request has gone on elsewhere.
func (r *reader) keepMS() int64 {
	since := r.waitsSince.Load()
	if since == nil {
		return readLease.Milliseconds()
	}
	return max(keepMargin, lostAfter+keepMargin-time.Since(*since)).Milliseconds()
}

// failure returns the outcome of an answer that is not complete.
func (r *reader) failure() Outcome {
	if r.begun {
		return Broken
	}
	return Lost
}

// checkHead returns an error if an answer begins with a head that is none. A VM of a former build passes
// on what its server sent.
func (r *reader) checkHead(p *Piece) error {
	hasNone := p.Status == 0 && len(p.Data) == 0
	if r.begun || hasNone {
		return nil
	}
	return httphead.Check(p.Status, p.Header)
}

// isWhole reports whether the answer that a last piece ends is complete.
func (r *reader) isWhole(last *Piece) bool {
	if !r.begun {
		return false
	}
	if r.statesEnd || last.Aborted {
		return last.Complete
	}
	if length, stated := bodyLength(r.method, r.w.Header()); stated {
		return r.offset == length
	}
	return r.confirmEnd()
}

// A VM of a former build does not state whether an answer is complete. If it is stopped, it
// ends the answers that it serves like complete ones, those without a head with an empty one,
// and is gone a moment later.

// confirmPause is longer than a VM takes from the end of its answers to its own.
const confirmPause = 200 * time.Millisecond

// confirmEnd reports whether a VM of a former build is still there after the end of an answer.
func (r *reader) confirmEnd() bool {
	if timer.Sleep(r.ctx, confirmPause) != nil {
		return false
	}
	p, err := r.read()
	return err == nil && p.Known && p.End
}

// isInvented reports whether a VM of a former build has ended an answer that had no head.
func (r *reader) isInvented(p *Piece) bool {
	return !r.statesEnd && !r.begun && p.End && len(p.Header) == 0
}

// lost logs why the answer is lost, and returns its outcome.
func (r *reader) lost(why string, err error) Outcome {
	r.c.log.Warn().Err(err).Str("to", r.vm).Uint64("offer", r.id).Bool("begun", r.begun).Int64("bytes", r.offset).
		Dur("silent", time.Since(r.lastRead)).Str("reason", why).Msg("answer of another VM lost")
	return r.failure()
}

// keepLease renews the lease until ctx ends. Reads do so too, but there are none while the caller
// reads nothing.
func (r *reader) keepLease(ctx context.Context) {
	for timer.Sleep(ctx, leaseRenewal) == nil {
		// It acknowledges nothing, and its piece is not sent.
		if err := r.c.t.Send(r.vm, peer.KindReadAnswer, ReadRequest{ID: r.id, HasHead: true, KeepMS: r.keepMS()}); err != nil {
			r.c.log.Debug().Err(err).Str("to", r.vm).Uint64("offer", r.id).Msg("a lease could not be renewed")
		}
	}
}

// patience returns how long reads may fail with an error.
func patience(err error) time.Duration {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return goneAfter
	}
	return lostAfter
}

func (r *reader) read() (Piece, error) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	var p Piece
	err := r.c.t.Call(ctx, r.vm, peer.KindReadAnswer, ReadRequest{ID: r.id, Offset: r.offset, HasHead: r.begun, KeepMS: r.keepMS()}, &p)
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
	if !r.memory.Add(len(p.Data)) {
		return false
	}
	defer r.memory.Add(-len(p.Data))
	if _, err := r.w.Write(p.Data); err != nil {
		return false
	}
	return http.NewResponseController(r.w).Flush() == nil
}
