// Package routedengine provides stand-ins for the backend servers of routed requests:
// plain servers, and engines that stream numbered events, keep backup copies of each
// other's runs and resume after an event. Tests make them die, stop answering, refuse
// and answer wrongly. They use a network in memory, which lets tests run in virtual
// time.
package routedengine

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// State is the state of a server.
type State int

// The states.
const (
	Alive        State = iota
	Dead               // existing connections are reset, new ones are refused
	Unresponsive       // connections hang, and nothing is answered until the state changes
	Silent             // the same, but new connections are accepted
	Breaking           // connections are accepted, and closed once a request has come
	Stalled            // streams make no events; everything else is answered
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
	// End is when the answer was complete or its connection was closed; zero: the run is in progress.
	End  time.Time
	Made int // events of the stream that the run has sent
}

// Ended returns the end of the run, which is now if it is in progress.
func (r *Run) Ended() time.Time {
	if r.End.IsZero() {
		return time.Now()
	}
	return r.End
}

// Server is a stand-in for a backend server. Its exported fields must be set before the
// first request.
type Server struct {
	upstream.Backend
	Net *Net

	Events        int           // number of events of a stream; 0: the server answers calls
	PrefillTime   time.Duration // of the prompt, before the first event
	ResumeTime    time.Duration // from a copy, before the next event is made
	HeadAtOnce    bool          // the head of a stream is sent at once, not with its first event
	EventInterval time.Duration // between events
	CallTime      time.Duration // duration of a call
	CopyTime      time.Duration // duration of a copy on order
	NamesPath     bool          // each event states the path of its stream
	NamesVersion  bool          // each event states the server's version
	NamesMemory   bool          // each event states the request whose prompt the run goes on from
	// Times returns how many times as long as others a request takes; nil: none takes longer.
	Times func(id string) int
	// Intercept, if set, may answer a request, and reports whether it did.
	Intercept func(s *Server, w http.ResponseWriter, r *http.Request) bool
	// InterceptProbe is Intercept for probes.
	InterceptProbe func(s *Server, w http.ResponseWriter, r *http.Request) bool

	slowdown atomic.Int64 // see Slow

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
	active     map[string]string // the request whose prompt each running stream goes on from, by request id
	eventsMade map[string]int    // events of running streams, by request id
	copies     map[string]string // the request whose prompt each backup copy has, by "address/id"
}

func (s *Server) inState(state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == state
}

// Slow makes prompts and events take a number of times as long from now on.
func (s *Server) Slow(times int) { s.slowdown.Store(int64(times)) }

// slowed returns how long a part of a stream takes.
func (s *Server) slowed(id string, d time.Duration) time.Duration {
	return s.timesOf(id) * d * time.Duration(max(1, s.slowdown.Load()))
}

func (s *Server) timesOf(id string) time.Duration {
	if s.Times == nil {
		return 1
	}
	return time.Duration(s.Times(id))
}

// Set changes the state. Dead resets every connection and drops every copy.
func (s *Server) Set(state State) {
	s.mu.Lock()
	reset := s.enter(state)
	s.mu.Unlock()
	for c := range reset {
		_ = c.Close()
	}
}

// Stall makes a server that is alive stall until the returned function is called, or another state
// is set.
func (s *Server) Stall() (end func()) {
	s.enterFrom(Alive, Stalled)
	return func() { s.enterFrom(Stalled, Alive) }
}

func (s *Server) enterFrom(from, to State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == from {
		s.enter(to)
	}
}

// enter changes the state, and returns the connections to reset. It needs s.mu.
func (s *Server) enter(state State) (reset map[net.Conn]bool) {
	s.state = state
	close(s.wake)
	s.wake = make(chan struct{})
	if state != Dead {
		return nil
	}
	reset = s.conns
	s.conns, s.copies = map[net.Conn]bool{}, map[string]string{}
	s.eventsMade, s.active = map[string]int{}, map[string]string{}
	return reset
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
	s.copies = map[string]string{}
}
