package main

import (
	"net"
	"sync"
	"testing"
	"time"
)

// faultProxy is a TCP proxy between the system and one server on loopback. It injects
// network faults: it delays bytes, blocks them in one or both directions, and resets
// connections.
type faultProxy struct {
	addr, target string
	listener     net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	delay   time.Duration
	blocked [2]bool       // by direction; blocked bytes wait in the proxy
	changed chan struct{} // closed and replaced when blocked or cutPID changes
	cutPID  int           // process whose connections are blocked; 0: none
}

// Directions of bytes through the proxy, which index faultProxy.blocked.
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
		p.resetConns()
		p.setFault(0, false, false)
	})
	return p
}

func (p *faultProxy) serve() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", p.target)
		if err != nil {
			resetConn(clientConn)
			continue
		}
		p.mu.Lock()
		p.conns[clientConn], p.conns[serverConn] = true, true
		p.mu.Unlock()
		isCut := p.isCut(clientConn)
		go p.copyDirection(serverConn, clientConn, toServer, isCut)
		go p.copyDirection(clientConn, serverConn, fromServer, isCut)
	}
}

// copyDirection copies bytes of one direction until either connection is closed.
func (p *faultProxy) copyDirection(to, from net.Conn, direction int, isCut func(pid int) bool) {
	defer p.closeConns(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.waitForFault(direction, isCut)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitForFault sleeps for the delay and then blocks while the direction is blocked, or while the
// client is cut off.
func (p *faultProxy) waitForFault(direction int, isCut func(pid int) bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		blocked, pid, changed := p.blocked[direction], p.cutPID, p.changed
		p.mu.Unlock()
		if !blocked && !isCut(pid) {
			return
		}
		<-changed
	}
}

func (p *faultProxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// setFault replaces the delay and the blocked directions for bytes that are read from now on.
func (p *faultProxy) setFault(delay time.Duration, blockTo, blockFrom bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.blocked = delay, [2]bool{blockTo, blockFrom}
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConns resets every open connection.
func (p *faultProxy) resetConns() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	for c := range conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset, so that the peer does not see an orderly close.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
