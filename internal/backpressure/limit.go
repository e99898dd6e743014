package backpressure

import "time"

// Limit is what a VM knows of the rate limit of one incarnation of a server. Statements of
// several answers and VMs are merged in any order: the latest one that names a limit holds
// until a request that was sent after it is answered without one.
type Limit struct {
	Rate    float64   // requests per second that the server accepts from all VMs together
	NamedAt time.Time // when the latest answer that names a limit was received; zero: none was
	EndedAt time.Time // when the latest request was sent that was answered without a limit
}

// InForce reports whether the limit holds.
func (l Limit) InForce() bool { return !l.NamedAt.IsZero() && !l.EndedAt.After(l.NamedAt) }

// Merge returns the limit that follows from both.
func (l Limit) Merge(other Limit) Limit {
	if other.NamedAt.After(l.NamedAt) {
		l.Rate, l.NamedAt = other.Rate, other.NamedAt
	}
	if other.EndedAt.After(l.EndedAt) {
		l.EndedAt = other.EndedAt
	}
	return l
}

// learn merges what an answer states. sent is when its request was sent.
func (l Limit) learn(s LimitStatement, sent, now time.Time) Limit {
	switch s.Kind {
	case LimitStated:
		return l.Merge(Limit{Rate: s.Rate, NamedAt: now})
	case LimitAbsent:
		return l.Merge(Limit{EndedAt: sent})
	case LimitUnreadable, LimitUnknown:
	}
	return l
}
