package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
)

var (
	errAbandoned  = errors.New("service: call abandoned before its first byte")
	errSecondDial = errors.New("service: a non-idempotent call may not open a second connection")
)

// Dial implements Sender.
func (c *Client) Dial(ctx context.Context, addr string) (Connection, error) {
	raw, err := c.dialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{addr: addr, conn: &trackedConn{Conn: raw}}, nil
}

// connection carries one request over one new TCP connection.
//
// When a reused connection breaks, http.Transport replays a request that has an
// Idempotency-Key or no body, and a booking would run twice. Here the connection is
// new, the Transport is used for this one request only, and its second dial fails.
// There is no connection on which it could replay the request.
type connection struct {
	addr string
	conn *trackedConn
}

// Send implements Connection.
func (c *connection) Send(ctx context.Context, r *Request, permit func() error) (*call.Answer, bool, error) {
	c.conn.permit = permit
	req, err := newRequest(ctx, c.addr, r)
	if err != nil {
		return nil, c.conn.abandon(), err
	}
	t := httphead.NewTransport(&http.Transport{
		DialContext: c.dialOnce(), DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, c.conn.abandon(), err
	}
	a, err := readAnswer(resp)
	return a, c.conn.abandon(), err
}

func (c *connection) dialOnce() func(context.Context, string, string) (net.Conn, error) {
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

// trackedConn tracks whether a byte of the request may have been sent.
type trackedConn struct {
	net.Conn
	permit func() error

	mu        sync.Mutex
	wrote     bool
	abandoned bool
}

// Write implements net.Conn.
func (w *trackedConn) Write(p []byte) (int, error) {
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

// begin calls permit before the first byte. It sets wrote before the bytes are
// written; abandon then never reports "nothing sent" while a write is in progress.
func (w *trackedConn) begin() (first bool, err error) {
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

// abandon forbids a first byte from now on and reports whether any byte may have
// been sent. Without it, a Transport whose deadline has passed could still write
// from its own goroutine after the call was reported as not sent.
func (w *trackedConn) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	return w.wrote
}
