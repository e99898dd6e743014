package upstream

import "time"

// Unreachable notes that the server took no connection, or broke one: it is
// avoided for a while, longer each time in a row.
func (f *Fleet) Unreachable(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strike(s)
}

// strike needs f.mu.
func (f *Fleet) strike(s *Server) {
	d := min(avoidFirst<<min(s.strikes, 8), avoidMost)
	s.strikes++
	s.avoid = f.now().Add(d)
}

// Dead judges a silent server dead: all that runs there for this VM moves on at
// once, since one silent stream is a witness for its neighbours.
func (f *Fleet) Dead(s *Server) {
	f.mu.Lock()
	f.strike(s)
	close(s.died)
	s.died = make(chan struct{})
	f.mu.Unlock()
	f.pool.Forget(s.ID)
}

// Full notes that the server refused a request because it is full.
func (f *Fleet) Full(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := f.now().Add(fullFor); until.After(s.avoid) {
		s.avoid = until
	}
}

// Stale notes that another incarnation holds the server's address: nothing is
// sent there until the list names it. Each send would be refused, and count.
func (f *Fleet) Stale(s *Server) {
	f.mu.Lock()
	s.stale = true
	f.mu.Unlock()
	f.pool.Forget(s.ID)
}

// Failed notes an answer that is the server's own failure.
func (f *Fleet) Failed(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failures++
	if s.failures >= failuresToAvoid {
		f.strike(s)
	}
}

// Succeeded notes a good answer and how long it took; zero: not measured.
func (f *Fleet) Succeeded(s *Server, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failures, s.strikes = 0, 0
	s.heard = f.now()
	ms := float64(took) / float64(time.Millisecond)
	switch {
	case took <= 0:
	case s.latency == 0:
		s.latency = ms
	default:
		s.latency += slowShare * (ms - s.latency)
	}
}

// Reported takes the load that a server states: requests that run and wait there
// from all VMs.
func (f *Fleet) Reported(s *Server, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reported, s.told = max(0, requests-s.use.Requests), f.now()
}
