package headlimit

import (
	"bytes"
	"container/list"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

const (
	// headSlack is how far a head may exceed its limit before the connection is closed. The HTTP server
	// reads as much ahead.
	headSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read of a client before its connection is closed, so that
	// the answer reaches it. Bytes that are not read would reset the connection, which takes away what
	// the client has not received.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// writeHeadTooLarge writes the answer to a head that is too large. The HTTP server has no request to
// answer yet.
func writeHeadTooLarge(w io.Writer) error {
	e := result.New(result.HeaderTooLarge)
	body, err := json.Marshal(e)
	if err != nil {
		return err
	}
	resp := http.Response{
		StatusCode: result.Lookup(e.Code).Status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{"Content-Type": {"application/json"}}, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	return resp.Write(w)
}

// conn is a client's connection. The mutex of its account guards the fields from held on; scanner and
// counted are used by one goroutine of the HTTP server at a time.
type conn struct {
	net.Conn
	account *Account
	maxHead func() int
	scanner scanner
	counted int         // what the account was told last
	raw     atomic.Bool // it carries no requests any more

	arrived  atomic.Int64 // requests that have begun to arrive
	answered atomic.Int64 // requests whose answers are written
	refused  atomic.Bool  // its head is too large
	lingers  atomic.Bool  // it was closed for writing, and is closed for reading soon

	held    int
	served  bool          // a request is being served
	leaving int           // what it held when it gave way, until the HTTP server frees it
	waits   *list.Element // nil: it does not wait
	removed bool          // it does not count any more
	gone    chan struct{} // closed once it is removed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.raw.Load() {
		return n, err
	}
	c.scanner.scan(p[:n])
	c.arrived.Store(c.scanner.requests)
	if c.scanner.inHead > c.maxHead()+headSlack {
		c.refuse()
		return 0, io.EOF
	}
	if c.count() && !c.account.awaitRoom(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// count tells the account what the heads on the connection hold, and closes the connections that give
// way. It reports whether that has changed.
func (c *conn) count() bool {
	bytes := c.scanner.current.charge() + c.scanner.next.charge()
	if bytes == c.counted {
		return false
	}
	c.counted = bytes
	for _, victim := range c.account.hold(c, bytes) {
		_ = victim.Conn.Close()
	}
	return true
}

// refuse answers a head that is too large. What it holds counts until the HTTP server closes the
// connection, which frees it.
func (c *conn) refuse() {
	c.refused.Store(true)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if writeHeadTooLarge(c.Conn) == nil {
		c.closeWrite()
	}
}

// closeWrite ends what the client reads, and reports whether it did.
func (c *conn) closeWrite() bool {
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && tcp.CloseWrite() == nil
}

// discard reads what the client sends.
func (c *conn) discard() {
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the client may have closed
}

// Close implements net.Conn. If bytes of a refused head or of another request are unread, the connection
// is first closed for writing only. It counts until it is closed.
func (c *conn) Close() error {
	unread := c.refused.Load() || c.hasNext()
	if !unread || c.lingers.Load() || !c.closeWrite() || c.lingers.Swap(true) {
		return c.Conn.Close()
	}
	c.account.free(c)
	c.account.await(c)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	go func() {
		c.discard()
		_ = c.Conn.Close()
		c.account.drop(c)
	}()
	return nil
}

// hasNext reports whether another request has begun to arrive behind the one that is served.
func (c *conn) hasNext() bool { return c.arrived.Load() > c.answered.Load()+1 }

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	account *Account
	maxHead func() int
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, account: l.account, maxHead: l.maxHead}
	if victim := l.account.accept(c); victim != nil {
		_ = victim.Conn.Close()
	}
	return c, nil
}

// Guard makes the connections of a server count, and returns the listener that it must serve. maxHead
// returns how many bytes a head may have. It must be called before the server serves.
func (a *Account) Guard(s *http.Server, l net.Listener, maxHead func() int) net.Listener {
	state := s.ConnState
	s.ConnState = func(outer net.Conn, to http.ConnState) {
		if c := find(outer); c != nil {
			c.onState(to)
		}
		if state != nil {
			state(outer, to)
		}
	}
	s.ConnContext = func(ctx context.Context, outer net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, find(outer))
	}
	return listener{l, a, maxHead}
}

type connKey struct{}

// find returns the counted connection that others may wrap; nil: there is none.
func find(outer net.Conn) *conn {
	for {
		if c, ok := outer.(*conn); ok {
			return c
		}
		wrapper, ok := outer.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		outer = wrapper.NetConn()
	}
}

func (c *conn) onState(to http.ConnState) {
	switch to {
	case http.StateIdle:
		c.answered.Add(1)
		c.scanner.nextRequest()
		c.account.await(c)
		c.count()
	case http.StateHijacked:
		c.raw.Store(true)
		c.account.drop(c)
	case http.StateClosed:
		if !c.lingers.Load() {
			c.account.drop(c)
		}
	case http.StateNew, http.StateActive:
	}
}

// Serve marks a request as served: its connection does not give way to others any more. It reports
// false if the heads of such requests would hold too much.
func Serve(r context.Context) bool {
	c, _ := r.Value(connKey{}).(*conn)
	return c == nil || c.account.serve(c)
}

// HasNext reports whether another request has begun to arrive behind the one with a context.
func HasNext(r context.Context) bool {
	c, _ := r.Value(connKey{}).(*conn)
	return c != nil && c.hasNext()
}

// Unanswered reports whether a request has begun to arrive on a connection that counts, and its answer is
// not written.
func Unanswered(outer net.Conn) bool {
	c := find(outer)
	return c != nil && c.arrived.Load() > c.answered.Load()
}
