package upstream

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
)

// LearnStatement takes what a server states about itself in the answer to a request, which
// was sent at the given time.
func (f *Fleet) LearnStatement(s *Server, st backpressure.Statement, request string, sent time.Time) {
	f.mu.Lock()
	change := s.accepts.Learn(st, sent, f.now())
	rate := s.accepts.Limit().Rate
	f.mu.Unlock()
	if st.Limit.Kind == backpressure.LimitUnreadable {
		f.log.Warn().Str("server", s.ID).Str("request", request).Msg("server states a rate limit that is no number; keeping the former one")
	}
	if change != backpressure.Unchanged {
		f.log.Info().Str("server", s.ID).Str("service", s.Service).Str("request", request).Float64("rate", rate).Msg(change.String())
	}
}

// LimitsInForce returns the number of servers whose rate limit is in force.
func (f *Fleet) LimitsInForce() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.listed {
		if s.accepts.Limit().InForce() {
			n++
		}
	}
	return n
}
