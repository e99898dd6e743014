package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// BreakPoint states where a service breaks the connection of its next call.
type BreakPoint int

// The break points.
const (
	BreakNever  BreakPoint = iota
	BreakBefore            // before the call runs
	BreakAfter             // after it ran, before any byte of the answer
	BreakWithin            // after it ran, in the middle of the answer
)

// Service is a stand-in for a plain service such as a dispatch desk. It counts the runs
// of each idempotency key. It is safe for concurrent use.
type Service struct {
	Addr string

	server      *http.Server
	mu          sync.Mutex
	runs        map[string]int
	nextBreak   BreakPoint
	answerDelay time.Duration
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

// BreakNextCall sets where the connection of the next call breaks.
func (s *Service) BreakNextCall(at BreakPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextBreak = at
}

// DelayAnswers makes each call run at once and answer after d.
func (s *Service) DelayAnswers(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay = d
}

// Runs returns how often calls with an idempotency key ran.
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

// ServeHTTP implements http.Handler. It runs a call and returns a serviceAnswer.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	at, hold := s.nextBreak, s.answerDelay
	s.nextBreak = BreakNever
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
