package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
)

var (
	errAbandoned  = errors.New("service: call given up before its first byte")
	errSecondDial = errors.New("service: a non-idempotent call has one connection")
)

// Dial implements Sender.
func (c *Client) Dial(ctx context.Context, addr string) (Connection, error) {
	raw, err := c.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{addr: addr, conn: &watchedConn{Conn: raw}}, nil
}

// connection carries one request over one fresh TCP connection.
//
// http.Transport by itself replays a request that has an Idempotency-Key, or no
// body, when a reused connection breaks: the booking would run twice. Here the
// connection is fresh, the Transport lives for this one request, and its second
// dial fails, so that nothing is left to replay on.
type connection struct {
	addr string
	conn *watchedConn
}

// Send implements Connection.
func (c *connection) Send(ctx context.Context, r *Request, permit func() error) (*call.Answer, bool, error) {
	c.conn.permit = permit
	req, err := newRequest(ctx, c.addr, r)
	if err != nil {
		return nil, c.conn.abandon(), err
	}
	t := &http.Transport{
		DialContext: c.handOver(), DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, c.conn.abandon(), err
	}
	a, err := readAnswer(resp)
	return a, c.conn.abandon(), err
}

func (c *connection) handOver() func(context.Context, string, string) (net.Conn, error) {
	first := make(chan net.Conn, 1)
	first <- c.conn
	return func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-first:
			return conn, nil
		default:
			return nil, errSecondDial
		}
	}
}

// Close implements Connection.
func (c *connection) Close() {
	c.conn.abandon()
	_ = c.conn.Close()
}

// watchedConn knows whether a byte of the request may have left.
type watchedConn struct {
	net.Conn
	permit func() error

	mu        sync.Mutex
	wrote     bool
	abandoned bool
}

// Write implements net.Conn.
func (w *watchedConn) Write(p []byte) (int, error) {
	first, err := w.begin()
	if err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	if first && n == 0 && err != nil {
		w.mu.Lock()
		w.wrote = false
		w.mu.Unlock()
	}
	return n, err
}

// begin asks for the permission before the first byte. wrote is set before the
// bytes go, so that abandon never says "nothing left" while a write is under way.
func (w *watchedConn) begin() (first bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false, errAbandoned
	}
	if w.wrote {
		return false, nil
	}
	if w.permit != nil {
		if err := w.permit(); err != nil {
			w.abandoned = true
			return false, err
		}
	}
	w.wrote = true
	return true, nil
}

// abandon forbids a first byte from now on and reports whether any may have
// left. Without it, a Transport that gave up on a deadline could still write
// from its own goroutine after the call was declared not sent.
func (w *watchedConn) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	return w.wrote
}
