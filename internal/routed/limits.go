package routed

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// ServerLimits bounds the connections of callers.
type ServerLimits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // from a connection's or a request's first byte to the end of its header
	IdleTimeout    time.Duration // between two requests
}

// DefaultLimits applies where the route list states no limits, and to the listeners
// for VMs and operators. The limits are generous because callers reuse connections:
// closing a connection just as a request arrives fails that request.
var DefaultLimits = ServerLimits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}

// maxConfigurableHeaderBytes is the largest header limit that a route list can set. A
// header is read into memory before its sender is authenticated.
const maxConfigurableHeaderBytes = 256 << 10

// serverLimits returns the limits of a route list. A negative value counts as not set.
func serverLimits(l routes.Limits) ServerLimits {
	return ServerLimits{
		MaxHeaderBytes: min(cmp.Or(max(0, l.MaxHeaderBytes), DefaultLimits.MaxHeaderBytes), maxConfigurableHeaderBytes),
		HeaderTimeout:  cmp.Or(max(0, l.HeaderTimeout), DefaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(max(0, l.IdleTimeout), DefaultLimits.IdleTimeout),
	}
}

// callerConns enforces the limits in force on the connections of callers. The limits
// change with the route list while connections are open. The HTTP server's own limits
// are fixed when it starts: after the idle timeout is raised, they would still close a
// connection that its caller reuses within the new timeout. It is safe for concurrent
// use.
type callerConns struct {
	mu     sync.Mutex
	limits ServerLimits
	conns  map[*callerConn]bool
	// count returns the connection to use for an accepted one; nil: the same.
	count func(net.Conn) net.Conn
}

func newCallerConns(l ServerLimits) *callerConns {
	return &callerConns{limits: l, conns: map[*callerConn]bool{}}
}

// connPhase is what a connection waits for.
type connPhase uint8

const (
	readingHeader connPhase = iota // for a request's header, which is the first or has begun to arrive
	idle
	busy // for nothing: a request is being served
)

// callerConn is one caller's connection. The mutex of its owner guards its fields.
type callerConn struct {
	net.Conn
	owner      *callerConns
	phase      connPhase
	phaseStart time.Time
	timer      *time.Timer // nil if none runs
}

// setLimits replaces the limits and restarts the timers of all connections. The time
// that a connection was idle before is not counted, because its caller may rely on the
// limit that was in force then.
func (a *callerConns) setLimits(l ServerLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l == a.limits {
		return
	}
	a.limits = l
	for c := range a.conns {
		a.setPhase(c, c.phase)
	}
}

// open returns the number of open connections.
func (a *callerConns) open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// unanswered returns the number of connections with a request that has begun to arrive and whose answer
// is not written.
func (a *callerConns) unanswered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if headlimit.Unanswered(c) {
			n++
		}
	}
	return n
}

func (a *callerConns) maxHeaderBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.MaxHeaderBytes
}

// setPhase starts a phase and its timer. The caller must hold a.mu.
func (a *callerConns) setPhase(c *callerConn, p connPhase) {
	a.stopTimer(c)
	c.phase, c.phaseStart = p, time.Now()
	var limit time.Duration
	switch p {
	case readingHeader:
		limit = a.limits.HeaderTimeout
	case idle:
		limit = a.limits.IdleTimeout
	case busy:
		return
	}
	began := c.phaseStart
	c.timer = time.AfterFunc(limit, func() { a.expire(c, began) })
}

// stopTimer stops the timer of c's phase. The caller must hold a.mu.
func (a *callerConns) stopTimer(c *callerConn) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// expire closes a connection that is still in the phase that began at began.
func (a *callerConns) expire(c *callerConn, began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[c] && c.phase != busy && c.phaseStart.Equal(began) {
		_ = c.Conn.Close() // the goroutine that reads from it gets an error and ends
	}
}

// onStateChange is the ConnState callback of the HTTP server.
func (a *callerConns) onStateChange(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		a.conns[c] = true
		a.setPhase(c, readingHeader)
	case http.StateActive:
		a.setPhase(c, busy)
	case http.StateIdle:
		a.setPhase(c, idle)
	case http.StateClosed, http.StateHijacked:
		a.stopTimer(c)
		delete(a.conns, c)
	}
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The first bytes after an idle phase begin a header.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.owner.headerBegun(c)
	}
	return n, err
}

func (a *callerConns) headerBegun(c *callerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == idle {
		a.setPhase(c, readingHeader)
	}
}

// callerListener puts the connections that it accepts under the limits of owner.
type callerListener struct {
	net.Listener
	owner *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.owner.count != nil {
		c = l.owner.count(c)
	}
	return &callerConn{Conn: c, owner: l.owner}, nil
}

// limitHeader refuses requests whose header exceeds the limit in force.
func (a *callerConns) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > a.maxHeaderBytes() {
			w.Header().Set("Connection", "close") // the body is not read
			resulthttp.Write(w, "", result.New(result.HeaderTooLarge))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the size on the wire of the request line and header.
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
