package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// cutMode is what a cut does to a VM's connections to backend servers.
type cutMode int

const (
	noCut    cutMode = iota
	cutLost          // packets are lost: connections hang
	cutReset         // connections are reset, and new ones refused
	cutNew           // new connections are refused, open ones live on
)

// serverLink is the link of one VM to all backend servers.
type serverLink struct {
	mu      sync.Mutex
	mode    cutMode
	changed chan struct{} // closed when mode changes
	conns   map[*linkedConn]struct{}
}

func newServerLink() *serverLink {
	return &serverLink{changed: make(chan struct{}), conns: map[*linkedConn]struct{}{}}
}

func (l *serverLink) state() (cutMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

func (l *serverLink) set(mode cutMode) {
	l.mu.Lock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	conns := l.conns
	if mode == cutReset {
		l.conns = map[*linkedConn]struct{}{}
	}
	l.mu.Unlock()
	if mode == cutReset {
		for c := range conns {
			_ = c.Close()
		}
	}
}

// dial connects over the link.
func (l *serverLink) dial(ctx context.Context, addr string, next func(context.Context, string) (net.Conn, error)) (net.Conn, error) {
	switch mode, _ := l.state(); mode {
	case cutLost:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutReset, cutNew:
		return nil, fmt.Errorf("cut: %w", syscall.ECONNREFUSED)
	case noCut:
	}
	raw, err := next(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &linkedConn{Conn: raw, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// linkedConn is a connection over a serverLink.
type linkedConn struct {
	net.Conn
	link      *serverLink
	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

func (c *linkedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *linkedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *linkedConn) Read(p []byte) (int, error) {
	for {
		mode, changed := c.link.state()
		if mode != cutLost {
			return c.Conn.Read(p)
		}
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *linkedConn) Write(p []byte) (int, error) {
	if mode, _ := c.link.state(); mode == cutLost {
		return len(p), nil // lost on the way
	}
	return c.Conn.Write(p)
}

// The bounds of service at VMs that are partitioned from all servers.
const (
	cutBoundFrom    = 3 * time.Second // after the cut began
	cutLeastService = 2.0 / 3         // of what the others serve at the first attempt
	cutTime         = 12 * time.Second
)

// tries counts the first tries of callers.
type tries struct{ sent, served int }

func (n tries) share() float64 { return float64(n.served) / float64(max(1, n.sent)) }

// A VM that reaches callers and other VMs, but no backend server, must serve its callers
// through VMs that reach them: callers keep its address for a while.
func TestVMsWithoutServersServeThroughOthers(t *testing.T) {
	const routers = 12
	for i, tt := range []struct {
		name string
		mode cutMode
		cut  func(router int) bool
	}{
		{"eight of twelve, packets lost", cutLost, func(i int) bool { return i%3 != 0 }},
		{"eight of twelve, reset and refused", cutReset, func(i int) bool { return i%3 != 0 }},
		{"eight of twelve, new connections refused", cutNew, func(i int) bool { return i%3 != 0 }},
		{"one", cutLost, func(i int) bool { return i == 5 }},
		{"all but one", cutReset, func(i int) bool { return i != 5 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if testing.Short() && i > 0 {
				t.Skip("one case shows the races of this test")
			}
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startCallSystem(ctx, n, routers)
				defer s.stop()
				s.load(60, 2*time.Second, s.any)
				for i, r := range s.routers {
					if tt.cut(i) {
						r.link.set(tt.mode)
					}
				}
				s.load(60, cutBoundFrom, s.any)
				cut, others := s.loadByLink(60, cutTime-cutBoundFrom)
				if others.share() < 0.9 {
					t.Errorf("VMs that reach the servers served %d of %d first tries, want nine in ten", others.served, others.sent)
				}
				if cut.share() < cutLeastService*others.share() {
					t.Errorf("VMs without servers served %d of %d first tries, the others %d of %d; want at least two thirds of their share", cut.served, cut.sent, others.served, others.sent)
				}
				for _, r := range s.routers {
					r.link.set(noCut)
				}
				time.Sleep(2 * time.Second)
				if answered, refused := s.load(60, 2*time.Second, s.any); refused > answered/20 {
					t.Errorf("after the cut %d of %d calls were refused, want one in twenty at most", refused, answered+refused)
				}
			})
		})
	}
}

// loadByLink is load over all routers by turns, counted by whether they reach the servers.
func (s *callSystem) loadByLink(perSecond float64, d time.Duration) (cut, others tries) {
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	for end := time.Now().Add(d); time.Now().Before(end); {
		r := s.any(rng)
		mode, _ := r.link.state()
		go func() {
			ok := s.vote(r)
			mu.Lock()
			defer mu.Unlock()
			n := &others
			if mode != noCut {
				n = &cut
			}
			n.sent++
			if ok {
				n.served++
			}
		}()
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	return cut, others
}
