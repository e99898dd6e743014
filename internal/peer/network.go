package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// Timeouts and intervals. The latency within a deployment is about a millisecond, so two
// seconds without data mean a partition or a paused VM, not a slow link.
const (
	// A VM that was unreachable until a moment ago has lost the SYN, and the kernel
	// retransmits it only after a second. A new dial attempt succeeds sooner.
	dialTimeout   = 400 * time.Millisecond
	writeTimeout  = 2 * time.Second
	pingInterval  = 700 * time.Millisecond
	readTimeout   = 2500 * time.Millisecond
	redialBackoff = 100 * time.Millisecond

	idleTimeout = 1 * time.Minute
)

// Path is the HTTP path at which a VM accepts peer connections.
const Path = "/peer"

// Network implements Transport over WebSockets. It is safe for concurrent use.
type Network struct {
	self  string
	token string
	log   zerolog.Logger
	addr  func(vm string) (string, bool)

	mu       sync.Mutex
	conns    map[string]*conn
	dialing  map[string]*dialAttempt
	failedAt map[string]time.Time
	handlers map[Kind]Handler
	closed   bool
	// unclaimed counts replies that arrived after their calls had ended.
	unclaimed unclaimedCounter
	openConns map[*conn]struct{}
	ctx       context.Context
	cancel    context.CancelFunc
}

type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// NewNetwork returns a Network for the VM self. addr returns the peer address of a VM as
// ip:port, or false if it is unknown. token is the secret that all VMs share.
func NewNetwork(self, token string, addr func(vm string) (string, bool), log zerolog.Logger) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		self: self, token: token, addr: addr, log: log,
		conns: map[string]*conn{}, dialing: map[string]*dialAttempt{}, failedAt: map[string]time.Time{},
		handlers: map[Kind]Handler{}, openConns: map[*conn]struct{}{},
		ctx: ctx, cancel: cancel,
	}
}

// Handle implements Transport.
func (n *Network) Handle(kind Kind, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

func (n *Network) handler(kind Kind) Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[kind]
}

// Call implements Transport. A message to the local VM is passed directly to the handler.
// It is encoded and decoded as well, because caller and handler must not share memory.
func (n *Network) Call(ctx context.Context, vm string, kind Kind, body, reply any) error {
	if vm == n.self {
		return n.callSelf(ctx, kind, body, reply)
	}
	c, err := n.connect(ctx, vm)
	if err != nil {
		return err
	}
	return c.call(ctx, kind, body, reply)
}

func (n *Network) callSelf(ctx context.Context, kind Kind, body, reply any) error {
	data, err := codec.Marshal(body)
	if err != nil {
		return err
	}
	out, err := n.serve(ctx, n.self, kind, data)
	if err != nil {
		return AsRemote(err)
	}
	if reply == nil {
		return nil
	}
	data, err = codec.Marshal(out)
	if err != nil {
		return err
	}
	return codec.Unmarshal(data, reply)
}

// Send implements Transport.
func (n *Network) Send(vm string, kind Kind, body any) error {
	if vm == n.self {
		go func() { _ = n.callSelf(n.ctx, kind, body, nil) }()
		return nil
	}
	n.mu.Lock()
	c := n.conns[vm]
	n.mu.Unlock()
	if c != nil && !c.dead() {
		return c.send(kind, 0, false, body, nil)
	}
	// Opening a connection may take up to dialTimeout, and Send must not block.
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
		defer cancel()
		if c, err := n.connect(ctx, vm); err == nil {
			_ = c.send(kind, 0, false, body, nil)
		}
	}()
	return nil
}

// serve runs the handler of a message. If the handler panics, only this call fails: a fault
// that one message triggers must not end all requests that the VM serves.
func (n *Network) serve(ctx context.Context, from string, kind Kind, body []byte) (out any, err error) {
	h := n.handler(kind)
	if h == nil {
		return nil, fmt.Errorf("peer: no handler for kind %d", kind)
	}
	defer func() {
		if p := recover(); p != nil {
			n.log.Error().Str("from", from).Int("kind", int(kind)).Bytes("stack", debug.Stack()).Msgf("handler of a peer message panicked; the call fails: %v", p)
			out, err = nil, result.New(result.InvariantBroken)
		}
	}()
	return h(ctx, from, body)
}

// AsRemote converts an error of a handler to the *RemoteError that the calling VM receives.
// An error that wraps a *RemoteError is returned unchanged.
func AsRemote(err error) error {
	var re *RemoteError
	if errors.As(err, &re) {
		return err
	}
	out := &RemoteError{Message: err.Error()}
	var coded *result.Error
	if errors.As(err, &coded) {
		out.Code = int(coded.Code)
		out.Message = coded.Message
	}
	return out
}

// connect returns the open connection to a VM or opens one. Concurrent callers share one
// dial attempt. For redialBackoff after a failed attempt, connect returns ErrUnreachable at
// once: callers fail fast instead of each waiting for the dial timeout of a dead VM.
func (n *Network) connect(ctx context.Context, vm string) (*conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	if c := n.conns[vm]; c != nil && !c.dead() {
		n.mu.Unlock()
		return c, nil
	}
	if at, ok := n.failedAt[vm]; ok && time.Since(at) < redialBackoff {
		n.mu.Unlock()
		return nil, fmt.Errorf("%w: %s", ErrUnreachable, vm)
	}
	d := n.dialing[vm]
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		n.dialing[vm] = d
		go n.dial(vm, d)
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, vm, ctx.Err())
	}
}

func (n *Network) dial(vm string, d *dialAttempt) {
	c, err := n.dialOnce(vm)
	defer close(d.done)
	d.conn, d.err = n.finishDial(vm, c, err)
	if c != nil && d.conn == nil {
		// close locks n.mu to remove the connection, so it must run after finishDial has
		// unlocked it. Otherwise a VM that shuts down would deadlock.
		c.close()
	}
}

// finishDial records the result of a dial attempt. It returns no connection if the attempt
// failed or the network was closed in the meantime.
func (n *Network) finishDial(vm string, c *conn, err error) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dialing, vm)
	if err == nil && n.closed {
		err = ErrClosed
	}
	if err != nil {
		n.failedAt[vm] = time.Now()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, vm, err)
	}
	delete(n.failedAt, vm)
	n.conns[vm] = c
	return c, nil
}

func (n *Network) dialOnce(vm string) (*conn, error) {
	addr, ok := n.addr(vm)
	if !ok {
		return nil, errors.New("no address known")
	}
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: dialTCP}
	header := http.Header{"Authorization": {"Bearer " + n.token}}
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	ws, resp, err := dialer.DialContext(ctx, "ws://"+addr+Path, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if raw, ok := ws.NetConn().(*handshakeConn); ok {
		raw.in.Stop()
	}
	c := newConn(n, ws, vm)
	c.dialed = true
	if err := c.writeHello(); err != nil {
		c.close()
		return nil, err
	}
	n.start(c)
	return c, nil
}

// start runs the read and write loops of a connection. If the network is already closed, it
// closes the connection, because Close no longer sees it.
func (n *Network) start(c *conn) {
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.openConns[c] = struct{}{}
	}
	n.mu.Unlock()
	if closed {
		c.close()
		return
	}
	go c.writeLoop()
	go c.readLoop()
}

var upgrader = websocket.Upgrader{
	HandshakeTimeout: dialTimeout,
	CheckOrigin:      func(*http.Request) bool { return true }, // browsers do not have the peer token
}

// ServeHTTP accepts a connection from another VM. The connection carries only the calls of
// the VM that opened it and their replies; calls in the other direction use a connection of
// their own.
func (n *Network) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	got := strings.TrimSpace(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer"))
	if subtle.ConstantTimeCompare([]byte(got), []byte(n.token)) != 1 {
		resulthttp.Write(w, "", result.New(result.Unauthorized))
		return
	}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	c := newConn(n, ws, "")
	if err := c.readHello(); err != nil {
		n.log.Warn().Err(err).Msg("peer hello refused")
		c.close()
		return
	}
	n.start(c)
}

// Close closes all connections, cancels the handlers of calls from other VMs and refuses new
// connections.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	all := make([]*conn, 0, len(n.openConns))
	for c := range n.openConns {
		all = append(all, c)
	}
	n.mu.Unlock()
	n.cancel()
	for _, c := range all {
		c.close()
	}
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openConns, c)
	if n.conns[c.vm] == c {
		delete(n.conns, c.vm)
	}
}
