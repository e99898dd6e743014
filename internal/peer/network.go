package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
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

// Timings. Links are a millisecond apart within a deployment: two seconds of
// silence is a cut or a pause, not a slow link.
const (
	// A VM that was dark a moment ago has lost the opening packet, and the kernel
	// sends it again only after a second: a new attempt is sooner.
	dialTimeout  = 400 * time.Millisecond
	writeTimeout = 2 * time.Second
	pingEvery    = 700 * time.Millisecond
	silenceLimit = 2500 * time.Millisecond
	redialPause  = 100 * time.Millisecond

	idleLimit = 1 * time.Minute
)

// Path is where a VM accepts peer connections.
const Path = "/peer"

// Network is the Transport over WebSockets.
type Network struct {
	self  string
	token string
	log   zerolog.Logger
	addr  func(vm string) (string, bool)

	mu       sync.Mutex
	conns    map[string]*conn
	dialing  map[string]*dial
	failedAt map[string]time.Time
	handlers map[Kind]Handler
	closed   bool
	// unclaimed are answers that came after their calls had ended.
	unclaimed unclaimed
	all       map[*conn]struct{}
	ctx       context.Context
	cancel    context.CancelFunc
}

type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// NewNetwork returns a Network for the VM self. addr gives a VM's peer address
// as ip:port; token is the secret that all VMs share.
func NewNetwork(self, token string, addr func(vm string) (string, bool), log zerolog.Logger) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		self: self, token: token, addr: addr, log: log,
		conns: map[string]*conn{}, dialing: map[string]*dial{}, failedAt: map[string]time.Time{},
		handlers: map[Kind]Handler{}, all: map[*conn]struct{}{},
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

// Call implements Transport. A message to the own VM goes straight to its
// handler, through the codec, so that both sides never share memory.
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
	// Connecting may take a second: the sender must not wait for it.
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
		defer cancel()
		if c, err := n.connect(ctx, vm); err == nil {
			_ = c.send(kind, 0, false, body, nil)
		}
	}()
	return nil
}

// serve runs the handler of a message. A handler that panics fails this one call:
// a fault that one message brings about must not end every answer of the VM.
func (n *Network) serve(ctx context.Context, from string, kind Kind, body []byte) (out any, err error) {
	h := n.handler(kind)
	if h == nil {
		return nil, fmt.Errorf("peer: no handler for kind %d", kind)
	}
	defer func() {
		if p := recover(); p != nil {
			n.log.Error().Str("from", from).Int("kind", int(kind)).Bytes("stack", debug.Stack()).Msgf("handler panicked: %v", p)
			out, err = nil, result.New(result.InvariantBroken)
		}
	}()
	return h(ctx, from, body)
}

// AsRemote gives the form in which a handler's error reaches the calling VM.
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

// connect returns the connection to a VM, dialling at most once at a time and,
// after a failure, not again within redialPause: callers fail fast instead of
// each waiting for a dead VM's dial to time out.
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
	if at, ok := n.failedAt[vm]; ok && time.Since(at) < redialPause {
		n.mu.Unlock()
		return nil, fmt.Errorf("%w: %s", ErrUnreachable, vm)
	}
	d := n.dialing[vm]
	if d == nil {
		d = &dial{done: make(chan struct{})}
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

func (n *Network) dial(vm string, d *dial) {
	c, err := n.dialOnce(vm)
	defer close(d.done)
	d.conn, d.err = n.opened(vm, c, err)
	if c != nil && d.conn == nil {
		// Only here, where the lock is free: a connection that ends takes it to be
		// forgotten. Ended under the lock, a VM that closes would hang for ever.
		c.close()
	}
}

// opened takes what an attempt to connect came to.
func (n *Network) opened(vm string, c *conn, err error) (*conn, error) {
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
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	header := http.Header{"Authorization": {"Bearer " + n.token}}
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	ws, resp, err := dialer.DialContext(ctx, "ws://"+addr+Path, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	c := newConn(n, ws, vm)
	c.dialed = true
	if err := c.writeHello(); err != nil {
		c.close()
		return nil, err
	}
	n.start(c)
	return c, nil
}

// start runs a connection. One that is accepted while the network closes would be
// ended by nobody.
func (n *Network) start(c *conn) {
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.all[c] = struct{}{}
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
	CheckOrigin:      func(*http.Request) bool { return true }, // no browser holds the peer token
}

// ServeHTTP accepts a connection from another VM. A connection opened by
// the other side serves its calls only; this side's calls use their own.
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

// Close ends every connection.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	all := make([]*conn, 0, len(n.all))
	for c := range n.all {
		all = append(all, c)
	}
	n.mu.Unlock()
	n.cancel()
	for _, c := range all {
		c.close()
	}
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, c)
	if n.conns[c.vm] == c {
		delete(n.conns, c.vm)
	}
}
