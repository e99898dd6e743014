package backpressure

import "time"

// Server is what a VM knows of the requests that one incarnation of a server accepts. It is
// not safe for concurrent use.
type Server struct {
	limit Limit
}

// Change tells how a statement changed what is known of a server.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	LimitLearned
	LimitChanged
	LimitEnded
)

// String implements fmt.Stringer.
func (c Change) String() string {
	return [...]string{"unchanged", "rate limit learned", "rate limit changed", "rate limit ended"}[c]
}

// Learn takes what an answer states. sent is when its request was sent.
func (s *Server) Learn(st Statement, sent, now time.Time) Change {
	return s.setLimit(s.limit.learn(st.Limit, sent, now))
}

// Limit returns what is known of the server's rate limit.
func (s *Server) Limit() Limit { return s.limit }

func (s *Server) setLimit(l Limit) Change {
	former := s.limit
	s.limit = l
	switch {
	case !former.InForce() && l.InForce():
		return LimitLearned
	case former.InForce() && !l.InForce():
		return LimitEnded
	case l.InForce() && former.Rate != l.Rate:
		return LimitChanged
	}
	return Unchanged
}
