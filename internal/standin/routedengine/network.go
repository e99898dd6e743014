package routedengine

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Net is an in-memory network with its servers. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	servers   map[string]*Server // by address
	listeners []net.Listener
}

// NewNet returns an empty network.
func NewNet() *Net { return &Net{servers: map[string]*Server{}} }

// errRefused is the error of a dial to a dead server.
var errRefused = fmt.Errorf("routedengine: %w", syscall.ECONNREFUSED)

// Dial connects to the server at an address. A dial to an unresponsive server blocks
// until ctx is done.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	s := n.servers[addr]
	n.mu.Unlock()
	if s == nil {
		return nil, errRefused
	}
	if s.inState(Unresponsive) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	if s.atConnectionLimit() {
		return resetConn{near}, nil
	}
	if !s.accept(far) {
		return nil, errRefused
	}
	return near, nil
}

// resetConn is a connection that its server has reset.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (resetConn) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Write implements net.Conn.
func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// ListenTCP adds a server to the network and listens on its address, or on a free
// loopback port if it has none.
func (n *Net) ListenTCP(s *Server) error {
	addr := s.Address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	n.Add(s)
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !s.accept(c) {
				_ = c.Close()
			}
		}
	}()
	return nil
}

// ChangeAddress registers a server under another address, such as that of a proxy in
// front of it.
func (n *Net) ChangeAddress(s *Server, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, s.Address)
	s.Address = addr
	n.servers[addr] = s
}

// Close kills all servers and closes their listeners.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, s := range n.servers {
		s.Set(Dead)
	}
}

// KillZoneOf kills all servers of the zone where a request runs.
func (n *Net) KillZoneOf(request string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	zone := ""
	for _, s := range n.servers {
		for _, r := range s.Runs() {
			if r.RequestID == request {
				zone = s.Zone
			}
		}
	}
	for _, s := range n.servers {
		if s.Zone == zone {
			s.Set(Dead)
		}
	}
}

// Backends returns the list entries of all servers, in no particular order.
func (n *Net) Backends() []upstream.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []upstream.Backend
	for _, s := range n.servers {
		out = append(out, s.Backend)
	}
	return out
}

// Add starts a server on the network and returns it.
func (n *Net) Add(s *Server) *Server {
	s.Net, s.wake, s.conns = n, make(chan struct{}), map[net.Conn]bool{}
	s.active, s.eventsMade, s.copies = map[string]string{}, map[string]int{}, map[string]string{}
	n.mu.Lock()
	n.servers[s.Address] = s
	n.mu.Unlock()
	return s
}

// ServerAt returns the server at an address, or nil.
func (n *Net) ServerAt(addr string) *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[addr]
}

// oneConn is a listener that accepts a single connection.
type oneConn struct {
	conn net.Conn
	once sync.Once
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	var c net.Conn
	l.once.Do(func() { c = l.conn })
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *oneConn) Close() error { return nil }

// Addr implements net.Listener.
func (l *oneConn) Addr() net.Addr { return l.conn.LocalAddr() }
