package routed

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// ServerLimits bound callers' connections.
type ServerLimits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // from a connection's or a request's first byte to the end of its header
	IdleTimeout    time.Duration // between two requests
}

// DefaultLimits hold where the route list states none, and for the listeners between
// VMs. They are generous to callers that reuse connections: one that is closed under
// a request costs that request.
var DefaultLimits = ServerLimits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}

// mostHeaderBytes is the most that a route list can allow: a header is read into
// memory before anything is known of its sender.
const mostHeaderBytes = 256 << 10

// limitsOf are a route list's limits. One below zero counts as not stated.
func limitsOf(l routes.Limits) ServerLimits {
	return ServerLimits{
		MaxHeaderBytes: min(cmp.Or(max(0, l.MaxHeaderBytes), DefaultLimits.MaxHeaderBytes), mostHeaderBytes),
		HeaderTimeout:  cmp.Or(max(0, l.HeaderTimeout), DefaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(max(0, l.IdleTimeout), DefaultLimits.IdleTimeout),
	}
}

// callerConns holds callers' connections to the limits in force, which change with
// the route list while connections are open. The HTTP server's own limits are fixed
// when it starts: with them a connection would be closed under a caller who reuses it
// within a limit that was raised since. Safe for concurrent use.
type callerConns struct {
	mu     sync.Mutex
	limits ServerLimits
	conns  map[*callerConn]bool
}

func newCallerConns(l ServerLimits) *callerConns {
	return &callerConns{limits: l, conns: map[*callerConn]bool{}}
}

// phase is what a connection waits for.
type phase uint8

const (
	awaitsHeader phase = iota // a request's header, which has begun or is the first
	idle
	busy // nothing: a request is under way
)

// callerConn is one caller's connection. Its fields belong to the callerConns.
type callerConn struct {
	net.Conn
	all   *callerConns
	phase phase
	since time.Time
	timer *time.Timer // nil: none
}

// set takes other limits. Time that a connection was idle before does not count:
// its caller may reuse it by the limit that held then.
func (a *callerConns) set(l ServerLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l == a.limits {
		return
	}
	a.limits = l
	for c := range a.conns {
		a.enter(c, c.phase)
	}
}

func (a *callerConns) maxHeaderBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.MaxHeaderBytes
}

// enter begins a phase. It needs a.mu.
func (a *callerConns) enter(c *callerConn, p phase) {
	a.disarm(c)
	c.phase, c.since = p, time.Now()
	var limit time.Duration
	switch p {
	case awaitsHeader:
		limit = a.limits.HeaderTimeout
	case idle:
		limit = a.limits.IdleTimeout
	case busy:
		return
	}
	began := c.since
	c.timer = time.AfterFunc(limit, func() { a.expire(c, began) })
}

// disarm needs a.mu.
func (a *callerConns) disarm(c *callerConn) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// expire closes a connection that is still in the phase that began then.
func (a *callerConns) expire(c *callerConn, began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[c] && c.phase != busy && c.since.Equal(began) {
		_ = c.Conn.Close() // its reader sees it, and ends
	}
}

// note follows a connection's state as the HTTP server sees it.
func (a *callerConns) note(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		a.conns[c] = true
		a.enter(c, awaitsHeader)
	case http.StateActive:
		a.enter(c, busy)
	case http.StateIdle:
		a.enter(c, idle)
	case http.StateClosed, http.StateHijacked:
		a.disarm(c)
		delete(a.conns, c)
	}
}

// Read implements net.Conn. The first bytes after an idle time begin a header.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.all.begun(c)
	}
	return n, err
}

func (a *callerConns) begun(c *callerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == idle {
		a.enter(c, awaitsHeader)
	}
}

// callerListener hands callers' connections to their limits.
type callerListener struct {
	net.Listener
	all *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, all: l.all}, nil
}

// bound refuses requests whose header is larger than the list allows.
func (a *callerConns) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > a.maxHeaderBytes() {
			w.Header().Set("Connection", "close") // the body is not read
			resulthttp.Write(w, "", result.New(result.HeaderTooLarge))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes is the size of a request's line and header as they were sent.
func headerBytes(r *http.Request) int {
	const lineEnd = 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd
	n += len("Host: ") + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + lineEnd
		}
	}
	return n + lineEnd
}
