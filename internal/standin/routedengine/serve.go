package routedengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

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
	case r.URL.Path == forward.PlainReportURI && s.InterceptProbe != nil && s.InterceptProbe(s, w, r):
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
	out := forward.Report{Made: map[string]int{}, Complete: true, BornMS: s.BornMS}
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

// RecordRun records that a request runs here, and returns the index of the run. from is the id of its
// first event.
func (s *Server) RecordRun(r *http.Request, from uint64, prefilled bool) (n int) {
	body := make([]byte, max(0, r.ContentLength))
	_, _ = r.Body.Read(body)
	s.mu.Lock()
	n = len(s.runs)
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get(forward.HeaderRequestID), Path: r.RequestURI, Body: string(body),
		Header: r.Header.Clone(), FirstEvent: from, Prefilled: prefilled, At: time.Now(),
	})
	s.mu.Unlock()
	context.AfterFunc(r.Context(), func() { s.endRun(n) })
	return n
}

// endRun records that the work on a request has ended.
func (s *Server) endRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].End = time.Now()
}

// AnswerCall runs a call and answers it with a status.
func (s *Server) AnswerCall(w http.ResponseWriter, r *http.Request, status int) {
	s.RecordRun(r, 0, false)
	s.pause(r, s.timesOf(r.Header.Get(forward.HeaderRequestID))*s.CallTime)
	s.sign(w, r)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.ID, r.Header.Get(forward.HeaderRequestID))
}

// pause waits for d, and while the server is unresponsive or silent. It returns false if the
// caller has left.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	// Sleep starts no timer that is due at once: those of one synctest bubble crash the race
	// detector if several goroutines wait for them.
	if timer.Sleep(r.Context(), d) != nil {
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

// Marks that precede what an event states.
const (
	VersionMark = " by version "     // the server's version
	MemoryMark  = " from memory of " // the request whose prompt the run goes on from
)

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(forward.HeaderRequestID)
	after, _ := strconv.ParseUint(r.Header.Get(forward.HeaderLastEvent), 10, 64)
	prefill, memory, wait := true, id, s.slowed(id, s.PrefillTime)
	if from := r.Header.Get(forward.HeaderCopyFrom); from != "" {
		var ok bool
		if memory, ok = s.consumeCopy(from); !ok {
			s.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		prefill, wait = false, s.ResumeTime
	}
	run := s.RecordRun(r, after+1, prefill)
	defer s.markActive(id, memory)()
	s.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	if s.HeadAtOnce && http.NewResponseController(w).Flush() != nil || !s.pause(r, wait) {
		return
	}
	backup := s.Net.ServerAt(r.Header.Get(forward.HeaderCopyTo))
	of := ""
	if s.NamesPath {
		of = " of " + r.URL.Path
	}
	if s.NamesVersion {
		of += VersionMark + s.Version
	}
	if s.NamesMemory {
		of += MemoryMark + memory
	}
	for n := after + 1; n <= uint64(s.Events); n++ {
		if !s.pause(r, s.slowed(id, s.EventInterval)) || !s.awaitAnswering(r, Unresponsive, Silent, Stalled) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d%s\n\n", n, n, of)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.setProgress(id, run, int(n-after))
		backup.keepCopyOf(id, memory)
	}
	s.dropProgress(id)
}

// markActive marks a stream as running here until end is called.
func (s *Server) markActive(id, memory string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.active
	active[id] = memory
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(active, id)
	}
}

func (s *Server) setProgress(id string, run, made int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsMade[id], s.runs[run].Made = made, made
}

func (s *Server) dropProgress(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.eventsMade, id)
}
