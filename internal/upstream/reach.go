package upstream

import (
	"math/rand/v2"
	"slices"
	"time"
)

// hear records that bytes came from a server. It needs f.mu.
func (f *Fleet) hear(s *Server) {
	s.lastHeard = f.now()
	f.revive(s)
	f.heardService[s.Service] = s.lastHeard
	f.reach.Heard(s.Service)
	f.endLoss(s.Service)
}

// Answered records that the server answered on a new connection. It is as usable as before it
// fell silent, and need not be avoided any longer.
func (f *Fleet) Answered(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hear(s)
	s.unreachedUntil, s.suspectedUntil = time.Time{}, time.Time{}
}

// failReach records that a server accepted no connection, or did not answer a probe. It needs
// f.mu.
func (f *Fleet) failReach(s *Server) {
	f.reach.Failed(s.Service, s.ID)
	if _, known := f.lostSince[s.Service]; known || !f.isLost(s.Service) {
		return
	}
	f.lostSince[s.Service] = f.now()
	f.log.Warn().Str("service", s.Service).Int("servers", len(f.list.byService[s.Service])).Msg("no backend server of the service can be reached")
}

func (f *Fleet) isLost(service string) bool {
	return f.reach.Lost(service, len(f.list.byService[service]))
}

// endLoss needs f.mu.
func (f *Fleet) endLoss(service string) {
	since, lost := f.lostSince[service]
	if !lost {
		return
	}
	delete(f.lostSince, service)
	f.log.Info().Str("service", service).Dur("lost_for", f.now().Sub(since)).Msg("backend servers of the service can be reached again")
}

// hearNewServers makes the services that are lost count as reached if the list has new
// servers, which nobody has tried. It needs f.mu.
func (f *Fleet) hearNewServers(next *listIndex, added int) {
	if added == 0 {
		return
	}
	for service := range f.lostSince {
		isNew := func(i int32) bool { return f.servers[next.rows[i].ID] == nil }
		if slices.ContainsFunc(next.byService[service], isNew) {
			f.reach.Heard(service)
			f.endLoss(service)
		}
	}
}

// Reaches reports whether this VM reaches the servers of a service, as far as it knows.
func (f *Fleet) Reaches(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, lost := f.lostSince[service]
	return !lost
}

// LostServices returns the services of which this VM reaches no server, sorted.
func (f *Fleet) LostServices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for service := range f.lostSince {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// HeardWithin reports whether bytes came from some server of a service within d.
func (f *Fleet) HeardWithin(service string, d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, heard := f.heardService[service]
	return heard && f.now().Sub(at) <= d
}

// AnyServer returns a random server of a service that is in service; nil: there is none.
func (f *Fleet) AnyServer(service string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := f.list.byService[service]
	for _, n := range rand.Perm(len(rows)) {
		if s := f.server(&f.list.rows[rows[n]]); s.inService() {
			return s
		}
	}
	return nil
}

// Unanswered records that a server did not answer a probe that nothing but its reach asked
// for.
func (f *Fleet) Unanswered(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failReach(s)
}
