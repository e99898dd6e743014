package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Queue bounds per connection, in frames. A full queue refuses the message at
// once: the sender's own retry is better than unbounded memory behind a slow VM.
const (
	queueFrames    = 1024
	maxServedCalls = 512
)

type conn struct {
	network *Network
	ws      *websocket.Conn
	vm      string

	dialed bool // by this end
	out    *outbox
	done   chan struct{}
	once   sync.Once
	slots  chan struct{}
	heard  atomic.Bool  // anything was read since the last ping
	used   atomic.Int64 // last message sent from this end, in Unix nanoseconds

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan frame
}

func newConn(n *Network, ws *websocket.Conn, vm string) *conn {
	c := &conn{
		network: n, ws: ws, vm: vm, out: newOutbox(), done: make(chan struct{}),
		slots: make(chan struct{}, maxServedCalls), waiting: map[uint64]chan frame{},
	}
	c.used.Store(time.Now().UnixNano())
	ws.SetReadLimit(maxFrameBytes)
	if tcp, ok := ws.NetConn().(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(socketBytes); err != nil {
			n.log.Debug().Err(err).Msg("socket buffer not set")
		}
	}
	return c
}

func (c *conn) dead() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.ws.Close()
		c.network.forget(c)
	})
}

func (c *conn) writeHello() error {
	data, err := codec.Marshal(hello{Version: ProtocolVersion, VM: c.network.self})
	if err != nil {
		return err
	}
	_ = c.ws.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.ws.WriteMessage(websocket.BinaryMessage, data)
}

func (c *conn) readHello() error {
	_ = c.ws.SetReadDeadline(time.Now().Add(dialTimeout))
	_, data, err := c.ws.ReadMessage()
	if err != nil {
		return err
	}
	var h hello
	if err := codec.Unmarshal(data, &h); err != nil {
		return err
	}
	if h.Version != ProtocolVersion {
		return fmt.Errorf("peer: protocol version %d, want %d", h.Version, ProtocolVersion)
	}
	c.vm = h.VM
	return nil
}

func (c *conn) call(ctx context.Context, kind Kind, body, reply any) error {
	ch := make(chan frame, 1)
	c.mu.Lock()
	c.next++
	id := c.next
	c.waiting[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	if err := c.send(kind, id, false, body, nil); err != nil {
		return err
	}
	select {
	case f := <-ch:
		return f.decode(reply)
	case <-c.done:
		return fmt.Errorf("%w: %s: connection lost", ErrUnreachable, c.vm)
	case <-ctx.Done():
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.vm, ctx.Err())
	}
}

func (f *frame) decode(reply any) error {
	if f.Err != "" {
		return &RemoteError{Code: f.Code, Message: f.Err}
	}
	if reply == nil {
		return nil
	}
	return codec.Unmarshal(f.Body, reply)
}

func (c *conn) send(kind Kind, call uint64, isReply bool, body any, failure error) error {
	c.used.Store(time.Now().UnixNano())
	f := frame{Kind: kind, Call: call, Reply: isReply}
	if failure != nil {
		f.setError(failure)
	} else if body != nil {
		data, err := codec.Marshal(body)
		if err != nil {
			return err
		}
		f.Body = data
	}
	data, err := codec.Marshal(&f)
	if err != nil {
		return err
	}
	switch {
	case c.dead():
		return fmt.Errorf("%w: %s: connection lost", ErrUnreachable, c.vm)
	case !c.out.put(kind, data):
		return ErrQueueFull
	}
	return nil
}

func (f *frame) setError(err error) {
	f.Err = err.Error()
	var coded *result.Error
	if errors.As(err, &coded) {
		f.Code = int(coded.Code)
		f.Err = coded.Message
	}
}

// writeLoop sends what waits, and pings a silent connection.
func (c *conn) writeLoop() {
	defer c.close()
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	for {
		data, ok, err := c.out.next(ping.C, c.done)
		if err != nil {
			c.network.log.Error().Err(err).Str("vm", c.vm).Msg("peer frame not encoded")
		}
		if !ok {
			return
		}
		if data == nil && c.idle() {
			return
		}
		if data == nil && c.heard.Swap(false) {
			continue // the other end lives; if it has not heard of this one, it asks
		}
		_ = c.ws.SetWriteDeadline(time.Now().Add(writeTimeout))
		kind := websocket.BinaryMessage
		if data == nil {
			kind = websocket.PingMessage
		}
		if err := c.ws.WriteMessage(kind, data); err != nil {
			return
		}
	}
}

// idle reports whether this end opened the connection and has not used it for
// idleLimit. Among 330 VMs each would else keep, and ping, a connection to every
// VM that it ever had a message for.
func (c *conn) idle() bool {
	unused := time.Since(time.Unix(0, c.used.Load()))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed && unused >= idleLimit && len(c.waiting) == 0
}

func (c *conn) readLoop() {
	defer c.close()
	extend := func() {
		c.heard.Store(true)
		_ = c.ws.SetReadDeadline(time.Now().Add(silenceLimit))
	}
	extend()
	var in inbox
	pong := c.ws.PingHandler()
	c.ws.SetPingHandler(func(data string) error {
		extend()
		return pong(data)
	})
	c.ws.SetPongHandler(func(string) error {
		extend()
		return nil
	})
	for {
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return
		}
		extend()
		if err := c.receive(&in, data); err != nil {
			c.network.log.Warn().Err(err).Str("vm", c.vm).Msg("peer frame refused")
			return
		}
	}
}

// receive takes an encoded frame.
func (c *conn) receive(in *inbox, data []byte) error {
	var f frame
	if err := codec.Unmarshal(data, &f); err != nil {
		return err
	}
	if f.Kind != kindFragment {
		c.dispatch(f)
		return nil
	}
	f, whole, err := in.take(f.Body)
	if err == nil && whole {
		c.dispatch(f)
	}
	return err
}

func (c *conn) dispatch(f frame) {
	if f.Reply {
		c.mu.Lock()
		ch := c.waiting[f.Call]
		delete(c.waiting, f.Call)
		c.mu.Unlock()
		if ch == nil {
			c.network.unclaimed.note(f.Kind, len(f.Body))
			return
		}
		ch <- f
		return
	}
	select {
	case c.slots <- struct{}{}:
	default:
		if f.Call != 0 {
			_ = c.send(f.Kind, f.Call, true, nil, ErrQueueFull)
		}
		return
	}
	go func() {
		defer func() { <-c.slots }()
		c.answer(f)
	}()
}

func (c *conn) answer(f frame) {
	ctx, cancel := context.WithCancel(c.network.ctx)
	defer cancel()
	out, err := c.network.serve(ctx, c.vm, f.Kind, f.Body)
	if f.Call != 0 {
		_ = c.send(f.Kind, f.Call, true, out, err)
	}
}
