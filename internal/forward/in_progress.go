package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
)

// requestsInProgress holds the requests that were admitted and have no whole answer yet. The zero
// value is empty. It is safe for concurrent use.
type requestsInProgress struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (p *requestsInProgress) add(q *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*request]struct{}{}
	}
	p.requests[q] = struct{}{}
}

func (p *requestsInProgress) remove(q *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, q)
}

// longestWait returns how long a stream of a service that no server has received has waited.
func (p *requestsInProgress) longestWait(service string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for q := range p.requests {
		if q.isStream() && q.service.Name == service && q.status.sentAt.Load() == 0 {
			longest = max(longest, q.waited(now))
		}
	}
	return longest
}

func (p *requestsInProgress) all() []*request {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*request, 0, len(p.requests))
	for q := range p.requests {
		out = append(out, q)
	}
	return out
}

// requestStatus is what is logged of a request that the end of the process cuts off. Its fields
// are set while the request is served.
type requestStatus struct {
	admitted shutdown.Work // what was expected of it; zero: it was admitted before the shutdown
	server   atomic.Pointer[string]
	sentAt   atomic.Int64                  // Unix nanoseconds of the first send; 0: it was not sent
	events   atomic.Int64                  // that the caller was sent
	refused  atomic.Pointer[shutdown.Work] // what was expected of it when it could not be finished; nil: it could
}

// waited returns how long a request has waited since its body was read.
func (q *request) waited(now time.Time) time.Duration {
	if q.readAt.IsZero() {
		return 0
	}
	return now.Sub(q.readAt)
}

// noteSent records that the request goes to a server.
func (s *requestStatus) noteSent(server string) {
	s.server.Store(&server)
	s.sentAt.CompareAndSwap(0, time.Now().UnixNano())
}

// logRefusedForShutdown logs that a request is refused since this VM shuts down.
func (h *Handler) logRefusedForShutdown(q *request) {
	w := q.status.refused.Load()
	if w == nil {
		work := h.pendingWork(q)
		w = &work
	}
	h.opts.RoutineLog.Info().Str("request", q.RequestID).Str("route", q.route.Name).Bool("stream", q.isStream()).
		Object("work", loggedWork(*w)).Dur("held", time.Since(q.arrived)).Dur("time_left", h.opts.TimeLeft()).
		Msg("request refused by the shutdown")
}

// LogUnfinished logs the requests that are cut off when the process ends now, and returns their
// number.
func (h *Handler) LogUnfinished() int {
	requests := h.inProgress.all()
	for _, q := range requests {
		s := &q.status
		server, working := "", time.Duration(0)
		if name := s.server.Load(); name != nil {
			server = *name
		}
		if at := s.sentAt.Load(); at > 0 {
			working = time.Since(time.Unix(0, at))
		}
		h.Stats.ShutdownCutOffs.Inc()
		h.opts.Log.Warn().Str("request", q.RequestID).Str("route", q.route.Name).Bool("stream", q.isStream()).
			Str("server", server).Dur("sent_ago", working).Int64("events", s.events.Load()).
			Object("admitted_with", loggedWork(s.admitted)).Dur("left", q.left()).Dur("held", time.Since(q.arrived)).
			Msg("request cut off by the shutdown")
	}
	return len(requests)
}

type loggedWork shutdown.Work

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (w loggedWork) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("wait", w.Wait).Dur("expected", w.Expected).Dur("left", w.Left).Str("basis", w.Basis)
}
