package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// BreakPoint says where a service breaks the connection of its next call.
type BreakPoint int

// Break points.
const (
	BreakNever  BreakPoint = iota
	BreakBefore            // before the call runs
	BreakAfter             // after it ran, before any byte of the answer
	BreakWithin            // after it ran, in the middle of the answer
)

// Service is a stand-in for a plain service such as a dispatch desk. It counts
// how often each key ran. Safe for concurrent use.
type Service struct {
	Addr string

	server *http.Server
	mu     sync.Mutex
	runs   map[string]int
	next   BreakPoint
	hold   time.Duration
}

// ServeService starts a service on addr.
func ServeService(addr string) (*Service, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Service{Addr: l.Addr().String(), runs: map[string]int{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Break sets where the next call's connection breaks.
func (s *Service) BreakNextCall(at BreakPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = at
}

// HoldAnswers makes each call run at once and answer this much later.
func (s *Service) DelayAnswers(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = d
}

// Runs is how often calls with a key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Close stops the service.
func (s *Service) Close() { _ = s.server.Close() }

type serviceAnswer struct {
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	at, hold := s.next, s.hold
	s.next = BreakNever
	s.mu.Unlock()
	if at == BreakBefore {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	answer := serviceAnswer{Key: key, Run: s.runs[key], Method: r.Method, Path: r.URL.Path, Bytes: len(body)}
	s.mu.Unlock()
	time.Sleep(hold)
	if at == BreakAfter {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	if at == BreakWithin {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
