package routed

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// traffic counts what the connections to callers and servers carry. Safe for concurrent use.
type traffic struct {
	received, sent atomic.Uint64 // bytes
	open           atomic.Int64  // connections

	mu      sync.Mutex
	writers int // writes in progress
	writing time.Duration
	asOf    time.Time // of writing
}

// count returns a connection that is counted until it is closed.
func (t *traffic) count(c net.Conn) net.Conn {
	t.open.Add(1)
	return &countedConn{Conn: c, t: t}
}

// changeWriters adds to the number of writes in progress.
func (t *traffic) changeWriters(by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	t.writers += by
}

// writingTime returns the sum over all writes, also those in progress, of the time that they
// took.
func (t *traffic) writingTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	return t.writing
}

// advance brings writing up to now. It needs t.mu.
func (t *traffic) advance() {
	now := time.Now()
	if t.writers > 0 {
		t.writing += time.Duration(t.writers) * now.Sub(t.asOf)
	}
	t.asOf = now
}

// countedConn is a connection that is counted.
type countedConn struct {
	net.Conn
	t      *traffic
	closed sync.Once
}

// NetConn returns the connection below.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.t.changeWriters(1)
	defer c.t.changeWriters(-1)
	n, err := c.Conn.Write(p)
	c.t.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.t.open.Add(-1) })
	return c.Conn.Close()
}

// errNoSyscallConn is returned for connections without a file descriptor.
var errNoSyscallConn = errors.New("connection has no file descriptor")

// SyscallConn implements syscall.Conn, by which package upstream checks idle connections.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoSyscallConn
}
