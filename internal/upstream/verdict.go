package upstream

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Suspect avoids a server for a while, longer each time in a row.
func (f *Fleet) Avoid(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strike(s)
}

// strike needs f.mu.
func (f *Fleet) strike(s *Server) {
	d := min(avoidFirst<<min(s.strikes, 8), avoidMost)
	s.strikes++
	f.avoidFor(s, d)
}

// avoidFor needs f.mu.
func (f *Fleet) avoidFor(s *Server, d time.Duration) {
	if until := f.now().Add(d); until.After(s.avoid) {
		s.avoid = until
	}
}

// Unreachable notes that the server took no connection.
func (f *Fleet) Unreachable(s *Server) {
	f.mu.Lock()
	f.strike(s)
	f.noteDeath(s)
	f.mu.Unlock()
	f.pool.Forget(s.ID)
}

// Dead judges a server dead: all that runs there for this VM moves on at once,
// since one silent stream is a witness for its neighbours.
func (f *Fleet) MarkDead(s *Server) {
	f.mu.Lock()
	f.avoidFor(s, deadFor)
	f.dead[s.ID] = f.now()
	s.diedAt = f.now()
	f.noteDeath(s)
	close(s.died)
	s.died = make(chan struct{})
	silent := f.now().Sub(s.heard)
	f.mu.Unlock()
	f.log.Warn().Str("server", s.ID).Str("zone", s.Zone).Dur("silent", silent).Msg("server judged dead")
	f.pool.Forget(s.ID)
}

// noteDeath needs f.mu. Where the whole place counts as lost, every server there
// that has not been heard since is avoided, and those that run something for this
// VM are asked. Servers of another version are not: all of one version's end when a
// roll-out is completed, and the others are to carry on.
func (f *Fleet) noteDeath(s *Server) {
	now := f.now()
	if !f.outage.Note(s.Service+"/"+s.Zone+"/"+s.Version, s.ID, f.beside(s), now) {
		return
	}
	avoided := 0
	for _, o := range f.order {
		if !o.isBeside(s) || now.Sub(o.heard) < heardLately {
			continue
		}
		avoided++
		o.doubted = now.Add(recovery.OutageAvoidDuration)
		f.raiseDoubt(o)
	}
	f.log.Warn().Str("service", s.Service).Str("zone", s.Zone).Int("avoided", avoided).Msg("zone taken for lost")
}

// isBeside reports whether a server shares another's service, zone and version.
func (s *Server) isBeside(o *Server) bool {
	return s.Service == o.Service && s.Zone == o.Zone && s.Version == o.Version
}

// beside counts the servers beside one, itself included. It needs f.mu.
func (f *Fleet) beside(s *Server) int {
	n := 0
	for _, o := range f.order {
		if o.isBeside(s) {
			n++
		}
	}
	return n
}

// raiseDoubt needs f.mu.
func (f *Fleet) raiseDoubt(s *Server) {
	close(s.doubt)
	s.doubt = make(chan struct{})
}

// Dying are the servers that this VM judged dead lately, to tell the others.
func (f *Fleet) RecentlyDead() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, at := range f.dead {
		if f.now().Sub(at) > tellFor {
			delete(f.dead, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// HearsayDead takes what other VMs judged dead. It moves nothing by itself: the
// other VM's link may be at fault.
func (f *Fleet) PeerReportedDead(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		s := f.servers[id]
		if s == nil || f.now().Sub(s.heard) < heardLately {
			continue
		}
		s.diedAt = f.now()
		if s.avoided(f.now()) {
			continue
		}
		s.doubted = f.now().Add(recovery.OutageAvoidDuration)
		f.raiseDoubt(s)
		f.noteDeath(s)
	}
}

// Full notes that the server refused a request because it is full.
func (f *Fleet) MarkFull(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidFor(s, fullFor)
}

// Stale notes that another incarnation holds the server's address: nothing is
// sent there until the list names it. Each send would be refused, and count.
func (f *Fleet) MarkStale(s *Server) {
	f.mu.Lock()
	s.stale = true
	f.mu.Unlock()
	f.log.Info().Str("server", s.ID).Str("address", s.Address).Msg("another incarnation answers")
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
	s.heard, s.doubted = f.now(), time.Time{}
	if took <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	s.latency = average(s.latency, ms)
	// A call that found all slots taken waited for as many calls as were before it.
	there := float64(max(1, s.use.Requests+s.reported)) / float64(max(1, s.Slots))
	s.work = average(s.work, ms/max(1, there))
}

func average(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + slowShare*(next-old)
}

// Reported takes the load that a server states: requests that run and wait there
// from all VMs.
func (f *Fleet) SetReportedLoad(s *Server, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reported, s.told = max(0, requests-s.use.Requests), f.now()
}
