package upstream

import "time"

// The load pattern. A server that accepts connections and breaks them answers each request
// within a millisecond, so it looks idle, and it draws most requests of callers that wait for
// one answer before they send the next. Each call that may run once ends there with an unknown
// outcome, the worst of answers, where "not run" is true. To avoid the server is not enough: an
// avoided server is used when no other has room.
//
// A server that was judged dead therefore takes no new work until it has answered something. It
// is probed for that. If it was judged dead by mistake, it is back after the first probe.

// Intervals of the probes of a dead server. They double from the first to the longest.
const (
	firstDeadProbe   = 100 * time.Millisecond
	longestDeadProbe = 500 * time.Millisecond
	// deadProbeTime is about how long the result of a probe takes.
	deadProbeTime = 50 * time.Millisecond
	// maxDeadProbes bounds the probes that are due at a time. A VM that is cut off may judge
	// hundreds of servers dead.
	maxDeadProbes = 8
)

// death is what a VM knows of a server that it judged dead and has not heard since.
type death struct {
	at        time.Time
	nextProbe time.Time
	probes    int
	silent    bool // it did not answer a probe, and may go on
}

// takeDead records that a server was judged dead, and reports whether it was not before. It
// needs f.mu.
func (f *Fleet) takeDead(s *Server, e Evidence) bool {
	if s.dead != nil {
		s.dead.silent = s.dead.silent && e == Silence
		return false
	}
	s.dead = &death{at: f.now(), nextProbe: f.now().Add(firstDeadProbe), silent: e == Silence}
	return true
}

// revive ends a death. It needs f.mu.
func (f *Fleet) revive(s *Server) {
	if s.dead == nil {
		return
	}
	f.log.Info().Str("server", s.ID).Str("zone", s.Zone).Dur("dead_for", f.now().Sub(s.dead.at)).Int("probes", s.dead.probes).Msg("server judged dead answers again")
	if s.dead.silent {
		delete(f.deadSince, s.ID)
	}
	s.dead = nil
	signal(&s.revived)
}

// Revived returns a channel that is closed once the server is not judged dead any more. It is
// closed already if the server is not.
func (f *Fleet) Revived(s *Server) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.dead == nil {
		revived := make(chan struct{})
		close(revived)
		return revived
	}
	if s.revived == nil {
		s.revived = make(chan struct{})
	}
	return s.revived
}

// IsGone reports whether a server has left the list, or was judged dead by more than its silence and
// has not been heard since.
func (f *Fleet) IsGone(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[s.ID] != s || s.dead != nil && !s.dead.silent
}

// isDead reports whether a listed server was judged dead and has not been heard since. It counts
// as asked for. It needs f.mu.
func (f *Fleet) isDead(id string, now time.Time) bool {
	s := f.servers[id]
	if s == nil || s.dead == nil {
		return false
	}
	s.requestedAt = now
	return true
}

// DeadProbesDue returns the dead servers that are to be probed now. Those that nobody asks for are
// not probed.
func (f *Fleet) DeadProbesDue() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var due []*Server
	for _, s := range f.servers {
		asked := s.inService() && now.Sub(s.requestedAt) <= idleServerTTL
		if s.dead == nil || !asked || now.Before(s.dead.nextProbe) || len(due) >= maxDeadProbes {
			continue
		}
		s.dead.nextProbe = now.Add(min(firstDeadProbe<<min(s.dead.probes, 8), longestDeadProbe))
		s.dead.probes++
		due = append(due, s)
	}
	return due
}

// DeadServers returns the number of listed servers that were judged dead and not heard since.
func (f *Fleet) DeadServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.servers {
		if s.dead != nil {
			n++
		}
	}
	return n
}
