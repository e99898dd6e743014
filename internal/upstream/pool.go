package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
)

// idlePerServer bounds the idle connections to one backend server. The server counts the
// connections of all VMs together, and a few cover one VM's load.
const idlePerServer = 6

// Pool keeps idle connections by backend server. It is safe for concurrent use.
type Pool struct {
	dial Dialer
	now  func() time.Time
	// account holds the responses that Do reads; nil: they are not counted.
	account *memory.Account

	mu    sync.Mutex
	idle  map[string][]*Conn
	dials uint64
}

// Dialer opens a connection to an address of the form ip:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// NewPool returns a Pool over TCP.
func NewPool() *Pool { return NewWrappedPool(func(c net.Conn) net.Conn { return c }) }

// NewWrappedPool returns a Pool over TCP that uses what wrap returns for each connection.
func NewWrappedPool(wrap func(net.Conn) net.Conn) *Pool {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: false}}
	return NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return wrap(c), nil
	})
}

// NewPoolWith returns a Pool that opens its connections with dial.
func NewPoolWith(dial Dialer) *Pool {
	return &Pool{dial: dial, now: time.Now, idle: map[string][]*Conn{}}
}

// SetAccount sets the account for the responses that Do reads. It must be set before the Pool is
// used.
func (p *Pool) SetAccount(a *memory.Account) { p.account = a }

// Get returns an idle connection to the server with the given key, or a new one. fresh asks
// for a new one, because an idle connection may have failed silently.
func (p *Pool) Get(ctx context.Context, key, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(key); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	return newConn(raw, key), nil
}

func (p *Pool) takeIdle(key string) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if p.now().Before(c.idleUntil) && c.isReusable() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// Put returns a connection to the pool after a complete response, or closes it.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	c.SetReadDeadline(time.Time{})
	if !c.reusable(resp, p.now()) {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= idlePerServer {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// maxResponseBytes bounds the response to a request that Do sends. A report of a thousand runs
// takes 64 KB. Decoded, a report may take some fifty times the memory of its text.
const maxResponseBytes = 256 << 10

// Do sends a request that this system itself makes, such as a probe, and reads the
// complete response. It opens a new connection, since an idle one may have failed silently
// while the server is alive. It calls ready right before the request is written and returns
// its error.
func (p *Pool) Do(ctx context.Context, key, addr string, r *Request, ready func() error) (*http.Response, []byte, error) {
	c, err := p.Get(ctx, key, addr, true)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := ready(); err != nil {
		c.Close()
		return nil, nil, err
	}
	if _, err := c.Send(r); err != nil {
		c.Close()
		return nil, nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	resp, err := c.ReadHead(r.Method)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	body, err := p.readBody(c, resp)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	if stop() {
		p.Put(c, resp)
	}
	return resp, body, nil
}

// readBody reads the response to a request that Do sent.
func (p *Pool) readBody(c *Conn, resp *http.Response) ([]byte, error) {
	if p.account == nil {
		return ReadBody(resp, maxResponseBytes)
	}
	m := p.account.BeginAnswer(false, c.Close)
	defer m.Close()
	body, err := ReadPieces(resp, maxResponseBytes, m.Add)
	return bytes.Join(body, nil), err
}

// Sweep closes the idle connections that have expired. Connections to a server that left
// the list while a request was in flight would otherwise stay open forever.
func (p *Pool) Sweep() {
	now := p.now()
	var expired []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[key] = keep
		if len(keep) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// Forget closes the idle connections to a server that is gone.
func (p *Pool) Forget(key string) {
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Dials returns the number of connections that were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}
