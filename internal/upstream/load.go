package upstream

import (
	"slices"
	"time"
)

// Load is the load that a server states in an answer.
type Load struct {
	Requests int // of all VMs, that run or wait there
	// Slowdown is how many times longer than usual work takes on the server's machine at
	// the moment; 0: not stated.
	Slowdown float64
}

const (
	// disturbedSlowdown is the stated slowdown from which the duration of an answer tells
	// nothing about the server's software. Statements count for disturbedFor.
	disturbedSlowdown = 1.25
	disturbedFor      = 300 * time.Millisecond
	// slowdownStatedFor is how long a service counts as one whose servers state slowdowns.
	slowdownStatedFor = time.Minute
)

// SetReportedLoad takes the load that a server reports: the requests of all VMs that run
// and wait there.
func (f *Fleet) SetReportedLoad(s *Server, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reportedRequests, s.reportedAt = max(0, l.Requests-s.use.Requests), f.now()
	s.reportedSlowdown = l.Slowdown
	if l.Slowdown > 0 {
		f.slowdownStated[s.Service] = f.now()
	}
}

// StatesSlowdown reports whether a server of a service has stated within slowdownStatedFor how
// many times longer than usual its work takes, whatever the figure.
func (f *Fleet) StatesSlowdown(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.slowdownStated[service]
	return ok && f.now().Sub(at) <= slowdownStatedFor
}

// FaultyServers returns the ids of a service's servers that are to be avoided now, sorted.
// Those that only refused a request as full are not among them.
func (f *Fleet) FaultyServers(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out []string
	for id, s := range f.servers {
		if s.Service == service && (s.stale || s.dead != nil || s.avoidUntil.Sub(now) > fullAvoid || now.Before(s.unreachedUntil) || now.Before(s.suspectedUntil)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// NoteUnreadableLoad records that a server states its load in an unknown format. It returns
// true once for each server.
func (f *Fleet) NoteUnreadableLoad(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !s.unreadableLoad
	s.unreadableLoad = true
	return first
}

// disturbed reports whether the server has just stated that work takes longer than usual on
// its machine.
func (s *Server) disturbed(now time.Time) bool {
	return s.reportedSlowdown >= disturbedSlowdown && now.Sub(s.reportedAt) < disturbedFor
}
