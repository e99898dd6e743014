package peer

import (
	"context"
	"fmt"
	"net"
)

// maxHandshakeBytes bounds the response to the request that opens a connection. The address may
// belong to something else by now, and a line is collected in memory until it ends.
const maxHandshakeBytes = 16 << 10

// handshakeConn is a connection that bounds what is read until the handshake has ended.
type handshakeConn struct {
	*net.TCPConn
	ended bool
	left  int // what may still be read
}

// dialTCP opens a handshakeConn. It has the form that websocket.Dialer uses.
func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &handshakeConn{TCPConn: c.(*net.TCPConn), left: maxHandshakeBytes}, nil
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.ended {
		return c.TCPConn.Read(p)
	}
	if c.left <= 0 {
		return 0, fmt.Errorf("peer: response to the handshake exceeds %d bytes", maxHandshakeBytes)
	}
	n, err := c.TCPConn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
