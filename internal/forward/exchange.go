package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// maxStrays bounds the answers to other requests that are read past.
const maxStrays = 3

// maxAnswer bounds an answer that is held whole before it is passed on.
const maxAnswer = 16 << 20

// fault is why a send brought no answer.
type fault uint8

const (
	noFault    fault = iota
	faultDial        // no connection
	faultBreak       // the connection broke, or carried garbage
	faultSlow        // given up waiting, there may be time for another server
)

// String implements fmt.Stringer.
func (f fault) String() string {
	return [...]string{"", "no connection", "broken", "slow"}[f]
}

// reply is what came of one send.
type reply struct {
	sent   sent
	fault  fault
	answer Answer
	resp   *http.Response
	body   []byte
}

// headers returns the request's headers for one send.
func (h *Handler) headers(q *request, s *upstream.Server, more Send) http.Header {
	header := q.out.Header.Clone()
	more.Deadline, more.Instance = max(time.Millisecond, q.left()), s.ID
	more.Workspace, more.Priority = q.workspace, q.priority
	h.o.Wire.SetSendHeaders(header, more)
	return header
}

// open connects and sends a request. A kept connection that turns out to be
// closed before a byte left is replaced by a new one.
func (h *Handler) open(q *request, s *upstream.Server, header http.Header, fresh bool) (*upstream.Conn, reply) {
	out := q.out
	out.Header = header
	for {
		c, err := h.o.Pool.Get(q.ctx, s.ID, s.Address, fresh)
		if err != nil {
			if q.ctx.Err() == nil {
				h.o.Fleet.Unreachable(s)
			}
			return nil, reply{sent: notSent, fault: faultDial}
		}
		left, err := c.Send(&out)
		switch {
		case err == nil:
			return c, reply{}
		case left:
			c.Close()
			return nil, reply{sent: unknown, fault: faultBreak}
		case !c.Reused():
			c.Close()
			return nil, reply{sent: notSent, fault: faultDial}
		}
		c.Close()
		fresh = true
	}
}

// readHead reads the head of the answer to this request. Answers that carry
// another request's id are read past: a server may send one late, where the next
// is expected.
func (h *Handler) readHead(q *request, c *upstream.Conn) (*http.Response, Answer, error) {
	for range maxStrays {
		resp, err := c.ReadHead(q.out.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		a := h.o.Wire.ReadAnswer(resp.StatusCode, resp.Header)
		if a.RequestID == "" || a.RequestID == q.RequestID || q.RequestID == "" {
			return resp, a, nil
		}
		h.Stats.StrayAnswers.Inc()
		h.o.Log.Warn().Str("request", q.RequestID).Str("answered", a.RequestID).Msg("answer to another request dropped")
		if _, err := upstream.ReadBody(resp, maxAnswer); err != nil {
			return nil, Answer{}, err
		}
	}
	return nil, Answer{}, upstream.ErrBroken
}

// exchange sends a request and reads the whole answer. wait bounds it below the
// request's own time; zero: not.
func (h *Handler) exchange(q *request, s *upstream.Server, more Send, wait time.Duration) reply {
	c, out := h.open(q, s, h.headers(q, s, more), false)
	if c == nil {
		return out
	}
	stop := context.AfterFunc(q.ctx, c.Close)
	defer stop()
	if wait > 0 {
		c.SetReadDeadline(time.Now().Add(wait))
	}
	resp, a, err := h.readHead(q, c)
	var body []byte
	if err == nil {
		body, err = upstream.ReadBody(resp, maxAnswer)
	}
	if err != nil {
		c.Close()
		return reply{sent: unknown, fault: faultOf(err)}
	}
	if stop() {
		h.o.Pool.Put(c, resp)
	}
	return h.judge(reply{answer: a, resp: resp, body: body})
}

func faultOf(err error) fault {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return faultSlow
	}
	return faultBreak
}

// judge sorts a whole answer. One that does not bear the server's signature, or
// is encoded on its way, is not the server's, whatever its status says.
func (h *Handler) judge(r reply) reply {
	switch {
	case r.answer.NotRun:
		r.sent = refused
	case !r.answer.Signed || r.resp.Header.Get("Content-Encoding") != "":
		r.sent, r.fault = unknown, faultBreak
	default:
		r.sent = answered
	}
	return r
}
