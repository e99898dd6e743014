package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// idlePerServer bounds the idle connections to one backend server: it counts
// the connections of all VMs together, and a few cover the load of one.
const idlePerServer = 6

// Pool keeps idle connections by backend server. Safe for concurrent use.
type Pool struct {
	dial Dialer
	now  func() time.Time

	mu    sync.Mutex
	idle  map[string][]*Conn
	dials uint64
}

// Dialer opens a connection to an address, ip:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// NewPool returns a Pool over TCP.
func NewPool() *Pool {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: false}}
	return NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) })
}

// NewPoolWith returns a Pool over other connections.
func NewPoolWith(dial Dialer) *Pool {
	return &Pool{dial: dial, now: time.Now, idle: map[string][]*Conn{}}
}

// Get returns an idle connection to the server with that key, or a new one.
// fresh asks for a new one: an idle connection may have gone silent unnoticed.
func (p *Pool) Get(ctx context.Context, key, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.take(key); c != nil {
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

func (p *Pool) take(key string) *Conn {
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
		if p.now().Before(c.idleTo) && c.quiet() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// Put takes a connection back after a whole answer, or closes it.
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

// maxAsked bounds the answer to a question.
const maxAsked = 4 << 20

// Ask sends a request of this system's own on a new connection and reads the whole
// answer: a kept connection may have gone silent by itself while the server lives.
func (p *Pool) Do(ctx context.Context, key, addr string, r *Request) (*http.Response, []byte, error) {
	c, err := p.Get(ctx, key, addr, true)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if _, err := c.Send(r); err != nil {
		c.Close()
		return nil, nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	resp, err := c.ReadHead(r.Method)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	body, err := ReadBody(resp, maxAsked)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	if stop() {
		p.Put(c, resp)
	}
	return resp, body, nil
}

// Sweep closes the idle connections whose time has passed. Those to a server that
// left the list while one was under way would otherwise stay open for ever.
func (p *Pool) Sweep() {
	now := p.now()
	var expired []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.idleTo) {
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

// Idle is how many idle connections are kept.
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

// Dials is how many connections were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}
