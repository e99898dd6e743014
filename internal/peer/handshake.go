package peer

import (
	"context"
	"net"

	"github.com/amaranthshelf/amaranthshelf/internal/readlimit"
)

// maxHandshakeBytes bounds the response to the request that opens a connection. The address may
// belong to something else by now, and a line is collected in memory until it ends.
const maxHandshakeBytes = 16 << 10

// handshakeConn is a connection that bounds what is read until the handshake has ended.
type handshakeConn struct {
	*net.TCPConn
	in *readlimit.Reader
}

// dialTCP opens a handshakeConn. It has the form that websocket.Dialer uses.
func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &handshakeConn{TCPConn: raw.(*net.TCPConn), in: readlimit.New(raw)}
	c.in.Start(maxHandshakeBytes)
	return c, nil
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) { return c.in.Read(p) }
