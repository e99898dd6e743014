package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The failure pattern is the silence of sound servers. A call that is late at its server is sent
// to another one. If the first exchange were given up at that moment, the call would be lost
// although its server goes on within a second: no other server may be reached, have room, or be
// left in the retry budget.
//
// A late exchange is therefore held while the call is sent to another server, and the caller gets
// the first answer. The two servers work on the call for maxOverlap at most: then the exchange
// before ends, or the other one if its server has given no sign of life and the call may be sent
// again. A server that refuses the call, or fails, in that time ends nothing.

// flight is an exchange whose request was sent and whose answer is awaited.
type flight struct {
	conn      *upstream.Conn
	server    *upstream.Server
	writtenAt time.Time
	stop      func() bool // returns true once: its caller decides what becomes of the connection
	done      chan reply
	ended     atomic.Bool // a reply is in done, or was taken from it
	overtaken atomic.Bool // it was dropped while the call went on at another server
}

// drop closes the connection unless the answer is complete. It reports whether it did.
func (f *flight) drop() bool {
	if !f.stop() {
		return false
	}
	f.conn.Close()
	return true
}

// heldCall is a late exchange of a call.
type heldCall struct {
	flight *flight
	server *upstream.Server
	run    *contentRun
	began  time.Time
	reply  *reply // nil: the exchange is in flight
}

// heldCalls are the late exchanges of one call.
type heldCalls struct {
	h      *Handler
	q      *request
	caller context.Context    // of the request before the first exchange was held
	cancel context.CancelFunc // of the context since; nil: none was held
	ended  chan struct{}      // receives when an exchange has ended

	mu    sync.Mutex
	calls []*heldCall
}

// callHeldUse is what a held call uses of its server.
var callHeldUse = placement.Usage{Requests: 1}

func newHeldCalls(h *Handler, q *request) *heldCalls {
	return &heldCalls{h: h, q: q, caller: q.ctx, ended: make(chan struct{}, 1)}
}

// hold keeps an exchange. From then on the context of the request ends with the first usable
// answer to a held call, so that no search for a server goes on beside it.
func (c *heldCalls) hold(call *heldCall) {
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	if c.cancel == nil {
		c.q.ctx, c.cancel = context.WithCancel(c.caller)
	}
	c.h.opts.Fleet.Take(call.server, callHeldUse)
	cancel := c.cancel
	go func() {
		r := <-call.flight.done
		c.mu.Lock()
		call.reply = &r
		isHeld := slices.Contains(c.calls, call)
		c.mu.Unlock()
		if isHeld && r.isUsable() {
			cancel()
		}
		select {
		case c.ended <- struct{}{}:
		default:
		}
	}()
}

// boundOverlap ends either the calls that are held, or the exchange that was begun beside them, if
// both are in flight after maxOverlap.
func (c *heldCalls) boundOverlap(next *flight) {
	c.mu.Lock()
	before := slices.Clone(c.calls)
	c.mu.Unlock()
	if len(before) == 0 {
		return
	}
	life, isLast := c.h.checkLife(next.server, next.writtenAt), !c.q.history.MayRunAgain()
	time.AfterFunc(maxOverlap-time.Since(next.writtenAt), func() {
		heard := slices.ContainsFunc(before, func(call *heldCall) bool { return c.h.heardSince(call.server, next.writtenAt) })
		c.endOverlap(before, next, life.showsLife() || isLast && !heard)
	})
}

// endOverlap ends the calls of before, or next if it does not stay.
func (c *heldCalls) endOverlap(before []*heldCall, next *flight, stays bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = slices.DeleteFunc(before, func(call *heldCall) bool { return call.flight.ended.Load() || !slices.Contains(c.calls, call) })
	if len(before) == 0 || next.ended.Load() {
		return
	}
	if !stays {
		next.overtaken.Store(true)
		next.drop()
		return
	}
	for _, call := range before {
		c.drop(call)
	}
}

// drop ends a held call: another server has the request. It needs c.mu.
func (c *heldCalls) drop(call *heldCall) {
	call.flight.overtaken.Store(true)
	if !call.flight.drop() {
		return // its answer is complete
	}
	c.calls = slices.DeleteFunc(c.calls, func(other *heldCall) bool { return other == call })
	c.h.opts.Fleet.Release(call.server, callHeldUse)
	c.h.opts.SuspectContents.abandon(call.run)
	c.h.opts.Log.Info().Str("request", c.q.RequestID).Str("server", call.server.ID).Dur("after", time.Since(call.began)).
		Msg("held call dropped: another server has the request")
}

// isUsable reports whether the caller gets this answer at once.
func (r *reply) isUsable() bool {
	return r.outcome == sendAnswered && r.resp.StatusCode < http.StatusInternalServerError
}

// next removes and returns a held call whose exchange has ended, usable ones first; nil: there
// is none.
func (c *heldCalls) next() *heldCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := -1
	for i, call := range c.calls {
		if call.reply == nil {
			continue
		}
		if at < 0 || call.reply.isUsable() {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	call := c.calls[at]
	c.calls = append(c.calls[:at:at], c.calls[at+1:]...)
	return call
}

// settle records what came of a held call that next returned.
func (c *heldCalls) settle(call *heldCall) {
	h, r := c.h, call.reply
	if r.isUsable() {
		c.q.ctx = c.caller // the answer has ended the context of the search
	}
	h.opts.Fleet.Release(call.server, callHeldUse)
	h.endContentRun(call.server, call.run, r)
	if r.outcome == sendRefused {
		c.q.history.Refused()
	}
	h.noteSendResult(c.q, call.server, r, call.began, call.run)
	h.opts.Log.Info().Str("request", c.q.RequestID).Str("server", call.server.ID).Str("sent", r.outcome.String()).Str("fault", r.fault.String()).
		Dur("after", time.Since(call.began)).Msg("held call ended")
}

// await waits until a held call has ended, or until it is time to search for a server again. It
// returns false if there is nothing left to wait for.
func (c *heldCalls) await() bool {
	c.mu.Lock()
	wait := time.Duration(0)
	for _, call := range c.calls {
		wait = max(wait, c.holdTimeLeft(call))
	}
	c.mu.Unlock()
	if wait <= 0 || c.caller.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(wait, heldSearchInterval))
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-timer.C:
	case <-c.caller.Done():
		return false
	}
	return true
}

// holdTimeLeft returns how long a call may still be held. Its server may be slow without being
// silent.
func (c *heldCalls) holdTimeLeft(call *heldCall) time.Duration {
	if call.reply != nil {
		return heldSearchInterval
	}
	return maxHeldSilence - min(time.Since(call.began), c.h.opts.Fleet.SilentFor(call.server))
}

// release gives up the exchanges that are left.
func (c *heldCalls) release() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		c.h.opts.Fleet.Release(call.server, callHeldUse)
		c.h.opts.SuspectContents.abandon(call.run)
		if r := call.reply; r != nil && r.fault == faultBroken {
			c.h.probeForDeath(call.server, call.run, true)
		}
		call.flight.drop()
	}
	c.calls = nil
}
