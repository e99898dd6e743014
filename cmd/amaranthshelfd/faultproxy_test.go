package main

import (
	"net"
	"sync"
	"testing"
	"time"
)

// faultProxy stands between the system and one server on loopback, and does to
// connections what networks do: it delays bytes, holds them back one way or both
// ways, and resets.
type faultProxy struct {
	addr, target string
	listener     net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	delay   time.Duration
	held    [2]bool       // bytes to the server, and from it, do not pass
	changed chan struct{} // closed when that changes
}

// Directions.
const (
	toServer = iota
	fromServer
)

func startFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{addr: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
		p.set(0, false, false)
	})
	return p
}

func (p *faultProxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(near)
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mu.Unlock()
		go p.carry(far, near, toServer)
		go p.carry(near, far, fromServer)
	}
}

// carry copies one direction until either end is closed.
func (p *faultProxy) carry(to, from net.Conn, direction int) {
	defer p.end(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.wait(direction)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// wait lets the fault of a direction pass.
func (p *faultProxy) wait(direction int) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held, changed := p.held[direction], p.changed
		p.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (p *faultProxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// set changes what the proxy does to bytes from now on.
func (p *faultProxy) set(delay time.Duration, holdTo, holdFrom bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.held = delay, [2]bool{holdTo, holdFrom}
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets every connection.
func (p *faultProxy) reset() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	for c := range conns {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset, not an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
