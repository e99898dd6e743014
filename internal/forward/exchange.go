package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// maxStrayAnswers bounds the answers to other requests that are skipped.
const maxStrayAnswers = 3

// fault is the reason why a send brought no answer.
type fault uint8

const (
	noFault        fault = iota
	faultDial            // no connection
	faultBroken          // the connection broke, or carried no valid answer
	faultSlow            // no answer within the maximum wait; there may be time for another server
	faultWithheld        // the server accepts no request now
	faultOvertaken       // it was ended, since the request went on at another server
)

// String implements fmt.Stringer.
func (f fault) String() string {
	return [...]string{"", "no connection", "broken", "slow", "withheld", "overtaken"}[f]
}

// reply is the result of one send.
type reply struct {
	outcome sendOutcome
	fault   fault
	cause   string // of faultBroken, for the log; empty: not known
	answer  Answer
	resp    *http.Response
	body    upstream.Body
	memory  *memory.Answer // of body
	flight  *flight        // the exchange, which goes on; nil: it has ended
}

// headers returns the headers of the request for one send.
func (h *Handler) headers(q *request, s *upstream.Server, send Send) http.Header {
	header := q.outbound.Header.Clone()
	send.Deadline, send.Instance = max(time.Millisecond, q.left()), s.ID
	send.Workspace, send.Priority = q.workspace, q.priority
	h.opts.Wire.SetSendHeaders(header, send)
	return header
}

// open connects to a server and sends the request. An idle connection that proves to be
// closed before a byte left is replaced by a new one. p is the permit for the send.
func (h *Handler) open(q *request, s *upstream.Server, p backpressure.Permit, header http.Header, fresh bool) (*upstream.Conn, reply) {
	out := q.outbound
	out.Header = header
	for {
		c, err := h.opts.Pool.Get(q.ctx, s.ID, s.Address, fresh)
		if err != nil {
			if q.ctx.Err() == nil {
				h.opts.Fleet.Unreachable(s, err)
			}
			return nil, reply{outcome: sendNotSent, fault: faultDial}
		}
		if !h.gate.use(s, backpressure.NewWork, p) {
			c.Close()
			return nil, reply{outcome: sendNotSent, fault: faultWithheld}
		}
		mayHaveArrived, err := c.Send(&out)
		switch {
		case err == nil:
			return c, reply{}
		case mayHaveArrived:
			c.Close()
			return nil, reply{outcome: sendUnknown, fault: faultBroken}
		case !c.Reused():
			c.Close()
			return nil, reply{outcome: sendNotSent, fault: faultDial}
		}
		c.Close()
		fresh = true
	}
}

// readHead reads the head of the answer to this request. It skips answers that carry
// another request's id: a server may send an answer late, where the next one is
// expected. sent is when the request was sent, or shortly before.
func (h *Handler) readHead(q *request, s *upstream.Server, c *upstream.Conn, sent time.Time) (*http.Response, Answer, error) {
	for range maxStrayAnswers {
		resp, err := c.ReadHead(q.outbound.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		a := h.opts.Wire.ReadAnswer(resp.StatusCode, resp.Header)
		if a.RequestID == "" || a.RequestID == q.RequestID || q.RequestID == "" {
			learnStatement(h.opts.Fleet, s, &a, q.RequestID, sent)
			return resp, a, nil
		}
		h.Stats.StrayAnswers.Inc()
		h.opts.Log.Warn().Str("request", q.RequestID).Str("answered", a.RequestID).Msg("answer carries the id of another request; dropped")
		if err := upstream.DiscardBody(resp, maxStrayBytes); err != nil {
			return nil, Answer{}, err
		}
	}
	return nil, Answer{}, upstream.ErrBroken
}

// exchange sends a request and reads the complete answer. If none has come after wait, it
// returns faultSlow with the exchange in flight; zero: it waits until the request's deadline.
func (h *Handler) exchange(q *request, s *upstream.Server, p backpressure.Permit, send Send, wait time.Duration) reply {
	sent := time.Now()
	c, out := h.open(q, s, p, h.headers(q, s, send), false)
	if c == nil {
		return out
	}
	f := &flight{conn: c, server: s, writtenAt: time.Now(), stop: context.AfterFunc(q.ctx, c.Close), done: make(chan reply, 1)}
	m, limits := q.beginAnswer(h, s, c.Close), h.answerLimits(q)
	go func() {
		r := h.readReply(q, s, f, m, limits, sent)
		f.ended.Store(true)
		f.done <- r
	}()
	q.held.boundOverlap(f)
	var slow <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		slow = timer.C
	}
	select {
	case r := <-f.done:
		return r
	case <-slow:
		return reply{outcome: sendUnknown, fault: faultSlow, flight: f}
	}
}

// readReply reads the complete answer of an exchange into the memory of m. Nothing is collected of
// an answer that is not the server's, or that only states a refusal.
func (h *Handler) readReply(q *request, s *upstream.Server, f *flight, m *memory.Answer, l answerLimits, sent time.Time) reply {
	resp, a, err := h.readHead(q, s, f.conn, sent)
	if err != nil {
		return h.breakOff(s, f, err)
	}
	r := h.classifyReply(reply{answer: a, resp: resp})
	switch {
	case r.fault != noFault:
		f.conn.Close()
		return r
	case r.outcome == sendRefused:
		err = upstream.DiscardBody(resp, maxRefusalBytes)
	default:
		err = readAnswerBody(&r, l, m)
	}
	if err == nil {
		err = h.checkEnd(s, &r)
	}
	if err != nil {
		return h.breakOff(s, f, err)
	}
	if f.stop() {
		h.opts.Pool.Put(f.conn, resp)
	}
	return r
}

// An answer without a length cannot be told from a part of one if it ended together with its server,
// or right behind its head.
var (
	errServerEnded = fmt.Errorf("%w: the server ended", upstream.ErrBroken)
	errNoBody      = fmt.Errorf("%w: neither a length nor a body", upstream.ErrBroken)
)

// checkEnd returns why an answer that was read to its end may be a part of one; nil: it is whole. A
// refusal needs no body.
func (h *Handler) checkEnd(s *upstream.Server, r *reply) error {
	switch {
	case httphead.Delimited(r.resp):
		return nil
	case r.outcome == sendAnswered && r.body.Len() == 0:
		return errNoBody
	case h.hasEnded(s):
		return errServerEnded
	}
	return nil
}

// hasEnded reports whether no process, one that ends or another one is at a server's address. The
// connections of a killed process end like those of a complete answer.
func (h *Handler) hasEnded(s *upstream.Server) bool {
	p := h.prober.startAnew(s)
	<-p.done
	return p.endsConnections() || p.replaced || p.startedAgain
}

// breakOff ends an exchange whose answer cannot be read.
func (h *Handler) breakOff(s *upstream.Server, f *flight, err error) reply {
	f.conn.Close()
	if f.overtaken.Load() {
		return reply{outcome: sendUnknown, fault: faultOvertaken}
	}
	h.noteSpoiled(s, err)
	return reply{outcome: sendUnknown, fault: faultBroken, cause: causeOf(err)}
}

// maxCauseBytes bounds the text of an error that may quote what a server sent.
const maxCauseBytes = 256

// causeOf returns why an answer could not be read, for the log.
func causeOf(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxCauseBytes)], "")
}

// classifyReply sets the outcome of a received answer. An answer that lacks the server's
// signature, or was encoded on its way, is not the server's, whatever its status.
func (h *Handler) classifyReply(r reply) reply {
	switch {
	case r.answer.NotRun:
		r.outcome = sendRefused
	case !r.answer.Signed || r.resp.Header.Get("Content-Encoding") != "":
		r.outcome, r.fault = sendUnknown, faultBroken
	default:
		r.outcome = sendAnswered
	}
	return r
}
