// Package routedengine provides stand-ins for the backend servers of routed requests:
// plain servers, and engines that stream numbered events, keep backup copies of each
// other's runs and resume after an event. Tests make them die, stop answering, refuse
// and answer wrongly. They use a network in memory, which lets tests run in virtual
// time.
package routedengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Net is an in-memory network with its servers. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	servers   map[string]*Server // by address
	listeners []net.Listener
}

// NewNet returns an empty network.
func NewNet() *Net { return &Net{servers: map[string]*Server{}} }

// errRefused is the error of a dial to a dead server.
var errRefused = fmt.Errorf("routedengine: %w", syscall.ECONNREFUSED)

// Dial connects to the server at an address. A dial to an unresponsive server blocks
// until ctx is done.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	s := n.servers[addr]
	n.mu.Unlock()
	if s == nil {
		return nil, errRefused
	}
	if s.inState(Unresponsive) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	if s.atConnectionLimit() {
		return resetConn{near}, nil
	}
	if !s.accept(far) {
		return nil, errRefused
	}
	return near, nil
}

// resetConn is a connection that its server has reset.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (resetConn) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Write implements net.Conn.
func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// ListenTCP adds a server to the network and listens on its address, or on a free
// loopback port if it has none.
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
	n.listeners = append(n.listeners, l)
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

// ChangeAddress registers a server under another address, such as that of a proxy in
// front of it.
func (n *Net) ChangeAddress(s *Server, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, s.Address)
	s.Address = addr
	n.servers[addr] = s
}

// Close kills all servers and closes their listeners.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, s := range n.servers {
		s.Set(Dead)
	}
}

// KillZoneOf kills all servers of the zone where a request runs.
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

// Backends returns the list entries of all servers, in no particular order.
func (n *Net) Backends() []upstream.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []upstream.Backend
	for _, s := range n.servers {
		out = append(out, s.Backend)
	}
	return out
}

// State is the state of a server.
type State int

// The states.
const (
	Alive        State = iota
	Dead               // existing connections are reset, new ones are refused
	Unresponsive       // connections hang, and nothing is answered until the state changes
	Silent             // the same, but new connections are accepted
	Breaking           // connections are accepted, and closed once a request has come
)

// Run records a request that a server started.
type Run struct {
	RequestID  string
	Path       string
	Body       string
	Header     http.Header
	FirstEvent uint64 // id of the first event that the run generates
	Prefilled  bool   // the prompt was prefilled; false: resumed from a copy
	At         time.Time
}

// Server is a stand-in for a backend server. Its exported fields must be set before the
// first request.
type Server struct {
	upstream.Backend
	Net *Net

	Events        int           // number of events of a stream; 0: the server answers calls
	PrefillTime   time.Duration // of the prompt, before the first event
	EventInterval time.Duration // between events
	CallTime      time.Duration // duration of a call
	CopyTime      time.Duration // duration of a copy on order
	NamesPath     bool          // each event states the path of its stream
	NamesVersion  bool          // each event states the server's version
	// Intercept, if set, may answer a request, and reports whether it did.
	Intercept func(s *Server, w http.ResponseWriter, r *http.Request) bool

	mu         sync.Mutex
	state      State
	wake       chan struct{} // closed when the state changes
	conns      map[net.Conn]bool
	runs       []Run
	arrivals   []time.Time // of all requests, in order
	rateLimit  string      // stated in every answer; empty: none
	fragility  fragility
	leaving    bool              // stated in every answer
	connsTaken bool              // new connections are reset
	retryAfter string            // Retry-After with which every request is refused; empty: none is
	active     map[string]bool   // streams that run here, by request id
	eventsMade map[string]int    // events of running streams, by request id
	copies     map[string]uint64 // last event of each backup copy, by "address/id"
}

// Add starts a server on the network and returns it.
func (n *Net) Add(s *Server) *Server {
	s.Net, s.wake, s.conns = n, make(chan struct{}), map[net.Conn]bool{}
	s.active, s.eventsMade, s.copies = map[string]bool{}, map[string]int{}, map[string]uint64{}
	n.mu.Lock()
	n.servers[s.Address] = s
	n.mu.Unlock()
	return s
}

func (s *Server) inState(state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == state
}

// Set changes the state. Dead resets every connection and drops every copy.
func (s *Server) Set(state State) {
	s.mu.Lock()
	s.state = state
	close(s.wake)
	s.wake = make(chan struct{})
	conns := s.conns
	if state == Dead {
		s.conns, s.copies = map[net.Conn]bool{}, map[string]uint64{}
		s.eventsMade, s.active = map[string]int{}, map[string]bool{}
	}
	s.mu.Unlock()
	if state != Dead {
		return
	}
	for c := range conns {
		_ = c.Close()
	}
}

// Runs returns the requests that the server has started, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// StateRateLimit makes the server state a rate limit in all its answers; empty: none. It
// accepts any number of requests all the same.
func (s *Server) StateRateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = limit
}

// TakeConnections makes the server reset new connections, like one over its limit of them.
func (s *Server) TakeConnections(taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connsTaken = taken
}

func (s *Server) atConnectionLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsTaken
}

// RefuseUntil makes the server refuse every request and ask for a pause of retryAfter, in the
// form of the header Retry-After; empty: it accepts requests.
func (s *Server) RefuseUntil(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = retryAfter
}

// StateLeaving makes the server state in all its answers that it leaves.
func (s *Server) StateLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Arrivals returns when requests arrived, in order, including those that the server refused
// or answered without a run.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Copies returns the number of backup copies of other engines' runs.
func (s *Server) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

// DropCopies drops all backup copies, like an engine that lacks memory.
func (s *Server) DropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[string]uint64{}
}

// accept serves a connection. It returns false if the server is dead.
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
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.rateLimit != "" {
		w.Header().Set(forward.HeaderRateLimit, s.rateLimit)
	}
	if s.leaving {
		w.Header().Set(forward.HeaderLeaving, "1")
	}
	s.stateFragility(w)
	retryAfter := s.retryAfter
	s.mu.Unlock()
	if !s.pause(r, 0) {
		return
	}
	switch {
	case s.inState(Breaking), s.inState(Dead):
		panic(http.ErrAbortHandler)
	case r.URL.Path == forward.PlainReportURI && r.Header.Get(forward.HeaderInstance) == s.ID:
		s.report(w)
	case r.URL.Path == forward.PlainCopyURI:
		s.copyOnOrder(w, r)
	case r.Header.Get(forward.HeaderInstance) != s.ID:
		s.refuse(w, r, http.StatusMisdirectedRequest)
	case retryAfter != "":
		w.Header().Set("Retry-After", retryAfter)
		s.Refuse(w, r)
	case s.Intercept != nil && s.Intercept(s, w, r):
	case s.Events > 0:
		s.stream(w, r)
	case s.answerFragileCall(w, r):
	default:
		s.AnswerCall(w, r, http.StatusOK)
	}
}

// Refuse answers that the request did not run.
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
	for id, n := range s.eventsMade {
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

// RecordRun records that a request runs here. from is the id of its first event.
func (s *Server) RecordRun(r *http.Request, from uint64, prefilled bool) {
	body := make([]byte, max(0, r.ContentLength))
	_, _ = r.Body.Read(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get(forward.HeaderRequestID), Path: r.RequestURI, Body: string(body),
		Header: r.Header.Clone(), FirstEvent: from, Prefilled: prefilled, At: time.Now(),
	})
}

// AnswerCall runs a call and answers it with a status.
func (s *Server) AnswerCall(w http.ResponseWriter, r *http.Request, status int) {
	s.RecordRun(r, 0, false)
	s.pause(r, s.CallTime)
	s.sign(w, r)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.ID, r.Header.Get(forward.HeaderRequestID))
}

// pause waits for d, and while the server is unresponsive or silent. It returns false if the
// caller has left.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return false
	}
	return s.awaitAnswering(r, Unresponsive, Silent)
}

// awaitAnswering waits while the server is in one of the states. It returns false if the caller
// has left.
func (s *Server) awaitAnswering(r *http.Request, states ...State) bool {
	for {
		s.mu.Lock()
		wake, waits := s.wake, slices.Contains(states, s.state)
		s.mu.Unlock()
		if !waits {
			return true
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return false
		}
	}
}

// VersionMark precedes the server's version in an event that states it.
const VersionMark = " by version "

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(forward.HeaderRequestID)
	after, _ := strconv.ParseUint(r.Header.Get(forward.HeaderLastEvent), 10, 64)
	prefill := true
	if from := r.Header.Get(forward.HeaderCopyFrom); from != "" {
		if !s.consumeCopy(from) {
			s.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		prefill = false
	}
	s.RecordRun(r, after+1, prefill)
	defer s.markActive(id)()
	if prefill && !s.pause(r, s.PrefillTime) {
		return
	}
	backup := s.Net.ServerAt(r.Header.Get(forward.HeaderCopyTo))
	s.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	of := ""
	if s.NamesPath {
		of = " of " + r.URL.Path
	}
	if s.NamesVersion {
		of += VersionMark + s.Version
	}
	for n := after + 1; n <= uint64(s.Events); n++ {
		if !s.pause(r, s.EventInterval) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d%s\n\n", n, n, of)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.setProgress(id, int(n-after))
		backup.keepCopyOf(id, n)
	}
	s.setProgress(id, 0)
}

// markActive marks a stream as running here until end is called.
func (s *Server) markActive(id string) (end func()) {
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

func (s *Server) setProgress(id string, made int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsMade[id] = made
	if made == 0 {
		delete(s.eventsMade, id)
	}
}

// ServerAt returns the server at an address, or nil.
func (n *Net) ServerAt(addr string) *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[addr]
}

// oneConn is a listener that accepts a single connection.
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
