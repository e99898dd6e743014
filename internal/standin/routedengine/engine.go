// Package routedengine is a stand-in for the backend servers behind routed
// requests: engines that stream numbered events, keep copies of each other's runs
// and go on behind an event, and plain servers. They die, fall silent, refuse and
// answer wrongly on order. They live on a network in memory, so that tests run in
// virtual time.
package routedengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Net is a network in memory with its servers.
type Net struct {
	mu      sync.Mutex
	servers map[string]*Server // by address
	listens []net.Listener
}

// NewNet returns an empty network.
func NewNet() *Net { return &Net{servers: map[string]*Server{}} }

// errRefused is what a dead server's machine answers.
var errRefused = errors.New("routedengine: connection refused")

// Dial connects to the server at an address. A dark one never answers.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	s := n.servers[addr]
	n.mu.Unlock()
	if s == nil {
		return nil, errRefused
	}
	if s.is(Unresponsive) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	if !s.accept(far) {
		return nil, errRefused
	}
	return near, nil
}

// ListenTCP puts a server on the network and on its address; without one on a
// loopback address of its own.
func (n *Net) ListenTCP(s *Server) error {
	addr := s.Address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	n.Add(s)
	n.mu.Lock()
	n.listens = append(n.listens, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !s.accept(c) {
				_ = c.Close()
			}
		}
	}()
	return nil
}

// Move has a server known by another address, where a proxy stands before it.
func (n *Net) ChangeAddress(s *Server, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, s.Address)
	s.Address = addr
	n.servers[addr] = s
}

// Close ends all servers and their listeners.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listens {
		_ = l.Close()
	}
	for _, s := range n.servers {
		s.Set(Dead)
	}
}

// LoseZoneOf ends all servers of the zone where a request runs.
func (n *Net) KillZoneOf(request string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	zone := ""
	for _, s := range n.servers {
		for _, r := range s.Runs() {
			if r.RequestID == request {
				zone = s.Zone
			}
		}
	}
	for _, s := range n.servers {
		if s.Zone == zone {
			s.Set(Dead)
		}
	}
}

// List is the list of backend servers that names all of them.
func (n *Net) Backends() []upstream.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []upstream.Backend
	for _, s := range n.servers {
		out = append(out, s.Backend)
	}
	return out
}

// State is how a server is.
type State int

// The states.
const (
	Alive        State = iota
	Dead               // every connection is reset, new ones are refused
	Unresponsive       // nothing comes from it any more
)

// Run is one request as a server began it.
type Run struct {
	RequestID  string
	Path       string
	Body       string
	Header     http.Header
	FirstEvent uint64 // first event made
	Prefilled  bool   // the whole prompt was read
}

// Server is one stand-in. Set its fields before the first request.
type Server struct {
	upstream.Backend
	Net *Net

	Events        int           // of a stream
	PrefillTime   time.Duration // until the first event, where the prompt is read
	EventInterval time.Duration // between events
	CallTime      time.Duration // of a call
	CopyTime      time.Duration // of a copy on order
	// Answer, if set, takes a call over and reports whether it did.
	Intercept func(s *Server, w http.ResponseWriter, r *http.Request) bool

	mu     sync.Mutex
	state  State
	wake   chan struct{} // closed when the state changes
	conns  map[net.Conn]bool
	runs   []Run
	active map[string]bool   // by request id, of streams here
	made   map[string]int    // by request id, of runs under way
	copies map[string]uint64 // by address/id, last event of a kept copy
}

// Add puts a server on the network and starts it.
func (n *Net) Add(s *Server) *Server {
	s.Net, s.wake, s.conns = n, make(chan struct{}), map[net.Conn]bool{}
	s.active, s.made, s.copies = map[string]bool{}, map[string]int{}, map[string]uint64{}
	n.mu.Lock()
	n.servers[s.Address] = s
	n.mu.Unlock()
	return s
}

func (s *Server) is(state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == state
}

// Set changes the state. Death resets every connection and forgets every copy.
func (s *Server) Set(state State) {
	s.mu.Lock()
	s.state = state
	close(s.wake)
	s.wake = make(chan struct{})
	conns := s.conns
	if state == Dead {
		s.conns, s.copies = map[net.Conn]bool{}, map[string]uint64{}
		s.made, s.active = map[string]int{}, map[string]bool{}
	}
	s.mu.Unlock()
	if state != Dead {
		return
	}
	for c := range conns {
		_ = c.Close()
	}
}

// Runs are the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Copies is how many copies of other engines' runs are kept here.
func (s *Server) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

// DropCopies forgets all kept copies, as an engine that lacks memory does.
func (s *Server) DropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[string]uint64{}
}

// accept serves a connection, unless the server is dead by now.
func (s *Server) accept(c net.Conn) bool {
	s.mu.Lock()
	alive := s.state != Dead
	if alive {
		s.conns[c] = true
	}
	s.mu.Unlock()
	if !alive {
		return false
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Hour}
	go func() { _ = server.Serve(&oneConn{conn: c}) }()
	return true
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case s.is(Unresponsive):
		<-r.Context().Done()
	case r.URL.Path == forward.PlainReportURI:
		s.report(w)
	case r.URL.Path == forward.PlainCopyURI:
		s.copyOut(w, r)
	case r.Header.Get(forward.HeaderInstance) != s.ID:
		s.refuse(w, r, http.StatusMisdirectedRequest)
	case s.Intercept != nil && s.Intercept(s, w, r):
	case s.Events > 0:
		s.stream(w, r)
	default:
		s.AnswerCall(w, r, http.StatusOK)
	}
}

// Refuse answers that the request has not run.
func (s *Server) Refuse(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, http.StatusServiceUnavailable)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	s.sign(w, r)
	w.Header().Set(forward.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func (s *Server) sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(forward.HeaderSignature, s.ID)
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	out := forward.Report{Made: map[string]int{}, Complete: true}
	for id, n := range s.made {
		out.Made[id] = n
	}
	for id := range s.active {
		if _, named := out.Made[id]; !named {
			out.Complete = false
		}
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out)
}

// Note records that a request runs here.
func (s *Server) RecordRun(r *http.Request, from uint64, anew bool) {
	body := make([]byte, max(0, r.ContentLength))
	_, _ = r.Body.Read(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get(forward.HeaderRequestID), Path: r.RequestURI, Body: string(body),
		Header: r.Header.Clone(), FirstEvent: from, Prefilled: anew,
	})
}

// Call runs a request with one answer.
func (s *Server) AnswerCall(w http.ResponseWriter, r *http.Request, status int) {
	s.RecordRun(r, 0, false)
	s.pause(r, s.CallTime)
	s.sign(w, r)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.ID, r.Header.Get(forward.HeaderRequestID))
}

// pause waits; false: the caller has gone. A dark server waits until it is not.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return false
	}
	for s.is(Unresponsive) {
		s.mu.Lock()
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(forward.HeaderRequestID)
	after, _ := strconv.ParseUint(r.Header.Get(forward.HeaderLastEvent), 10, 64)
	anew := true
	if from := r.Header.Get(forward.HeaderCopyFrom); from != "" {
		if !s.takeCopy(from) {
			s.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		anew = false
	}
	s.RecordRun(r, after+1, anew)
	defer s.begin(id)()
	if anew && !s.pause(r, s.PrefillTime) {
		return
	}
	keeper := s.Net.ServerAt(r.Header.Get(forward.HeaderCopyTo))
	s.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= uint64(s.Events); n++ {
		if !s.pause(r, s.EventInterval) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.progress(id, int(n-after))
		keeper.keepOf(id, n)
	}
	s.progress(id, 0)
}

// begin notes a stream as here until the function that it returns is called.
func (s *Server) begin(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.active
	active[id] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(active, id)
	}
}

func (s *Server) progress(id string, made int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[id] = made
	if made == 0 {
		delete(s.made, id)
	}
}

// At returns the server at an address, or nil.
func (n *Net) ServerAt(addr string) *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[addr]
}

// oneConn is a listener with one connection.
type oneConn struct {
	conn net.Conn
	once sync.Once
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	var c net.Conn
	l.once.Do(func() { c = l.conn })
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *oneConn) Close() error { return nil }

// Addr implements net.Listener.
func (l *oneConn) Addr() net.Addr { return l.conn.LocalAddr() }
