package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Bounds of a connection. A message that exceeds one is refused at once: a retry by the
// sender costs less than unbounded memory for a slow VM.
const (
	queueFrames    = 1024 // in each lane
	maxServedCalls = 512  // handlers that run at the same time
)

type conn struct {
	network *Network
	ws      *websocket.Conn
	vm      string

	dialed        bool // opened by this VM
	queue         *sendQueue
	done          chan struct{}
	closeOnce     sync.Once
	handlerSlots  chan struct{}
	readSincePing atomic.Bool  // data was read since the last tick of the ping timer
	lastSent      atomic.Int64 // time of the last message that this VM queued, in Unix nanoseconds

	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan frame
}

func newConn(n *Network, ws *websocket.Conn, vm string) *conn {
	c := &conn{
		network: n, ws: ws, vm: vm, queue: newSendQueue(), done: make(chan struct{}),
		handlerSlots: make(chan struct{}, maxServedCalls), pending: map[uint64]chan frame{},
	}
	c.lastSent.Store(time.Now().UnixNano())
	ws.SetReadLimit(maxFrameBytes)
	if tcp, ok := ws.NetConn().(interface{ SetWriteBuffer(bytes int) error }); ok {
		if err := tcp.SetWriteBuffer(socketBufferBytes); err != nil {
			n.log.Debug().Err(err).Msg("write buffer size of a peer connection could not be set; keeping the default")
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
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.Close()
		c.network.remove(c)
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
	c.lastCall++
	id := c.lastCall
	c.pending[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
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
	c.lastSent.Store(time.Now().UnixNano())
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
	case !c.queue.enqueue(kind, data):
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

// writeLoop writes queued frames and pings a connection on which nothing was read for
// pingInterval. It closes a connection that is idle.
func (c *conn) writeLoop() {
	defer c.close()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		data, ok, err := c.queue.next(ping.C, c.done)
		if err != nil {
			c.network.log.Error().Err(err).Str("vm", c.vm).Msg("peer frame could not be encoded; closing the connection")
		}
		if !ok {
			return
		}
		if data == nil && c.idle() {
			return
		}
		if data == nil && c.readSincePing.Swap(false) {
			continue // the other VM is alive; it sends a ping itself if it has received nothing
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

// idle reports whether this VM opened the connection, has sent nothing on it for
// idleTimeout and waits for no reply. Without the check, each of 330 VMs would keep and ping
// a connection to every VM to which it has ever sent a message.
func (c *conn) idle() bool {
	unused := time.Since(time.Unix(0, c.lastSent.Load()))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed && unused >= idleTimeout && len(c.pending) == 0
}

func (c *conn) readLoop() {
	defer c.close()
	extend := func() {
		c.readSincePing.Store(true)
		_ = c.ws.SetReadDeadline(time.Now().Add(readTimeout))
	}
	extend()
	var in reassembler
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
			c.network.log.Warn().Err(err).Str("vm", c.vm).Msg("peer frame refused; closing the connection")
			return
		}
	}
}

// receive decodes a frame and dispatches it. A fragment is dispatched as part of its frame,
// when the last fragment has arrived.
func (c *conn) receive(in *reassembler, data []byte) error {
	var f frame
	if err := codec.Unmarshal(data, &f); err != nil {
		return err
	}
	if f.Kind != kindFragment {
		c.dispatch(f)
		return nil
	}
	f, complete, err := in.add(f.Body)
	if err == nil && complete {
		c.dispatch(f)
	}
	return err
}

func (c *conn) dispatch(f frame) {
	if f.Reply {
		c.mu.Lock()
		ch := c.pending[f.Call]
		delete(c.pending, f.Call)
		c.mu.Unlock()
		if ch == nil {
			c.network.unclaimed.add(f.Kind, len(f.Body))
			return
		}
		ch <- f
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		if f.Call != 0 {
			_ = c.send(f.Kind, f.Call, true, nil, ErrQueueFull)
		}
		return
	}
	go func() {
		defer func() { <-c.handlerSlots }()
		c.handle(f)
	}()
}

func (c *conn) handle(f frame) {
	ctx, cancel := context.WithCancel(c.network.ctx)
	defer cancel()
	out, err := c.network.serve(ctx, c.vm, f.Kind, f.Body)
	if f.Call != 0 {
		_ = c.send(f.Kind, f.Call, true, out, err)
	}
}
