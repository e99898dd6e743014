package service

import (
	"context"
	"net"
	"sync"
)

// earlyAnswerConn is a connection whose server may answer before it has read the request, and then
// reset the connection. http.Transport drops the answer once a write has failed, so that a write fails
// only when nothing is left to read.
type earlyAnswerConn struct {
	net.Conn
	end   sync.Once
	ended chan struct{} // closed once a read has failed, or the connection was closed
}

func newEarlyAnswerConn(c net.Conn) *earlyAnswerConn {
	return &earlyAnswerConn{Conn: c, ended: make(chan struct{})}
}

// Read implements net.Conn.
func (c *earlyAnswerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.setEnded()
	}
	return n, err
}

// Write implements net.Conn. Behind what has arrived, a read finds the end of a connection whose write
// has failed at once.
func (c *earlyAnswerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// Close implements net.Conn.
func (c *earlyAnswerConn) Close() error {
	c.setEnded()
	return c.Conn.Close()
}

func (c *earlyAnswerConn) setEnded() { c.end.Do(func() { close(c.ended) }) }

// dialContext opens a connection to a backend server.
func (c *Client) dialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := c.dial.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newEarlyAnswerConn(raw), nil
}
