package upstream

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Suspect avoids a server for a while, longer each time in a row.
func (f *Fleet) Suspect(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backOff(s)
}

// strike needs f.mu.
func (f *Fleet) backOff(s *Server) {
	d := min(minAvoid<<min(s.faultsInRow, 8), maxAvoid)
	s.faultsInRow++
	f.avoidFor(s, d)
}

// avoidFor needs f.mu.
func (f *Fleet) avoidFor(s *Server, d time.Duration) {
	if until := f.now().Add(d); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// Unreachable notes that the server took no connection.
func (f *Fleet) Unreachable(s *Server) {
	f.mu.Lock()
	f.backOff(s)
	f.noteDeath(s)
	f.mu.Unlock()
	f.pool.Forget(s.ID)
}

// Dead judges a server dead: all that runs there for this VM moves on at once,
// since one silent stream is a witness for its neighbours.
func (f *Fleet) Dead(s *Server) {
	f.mu.Lock()
	f.avoidFor(s, deadAvoid)
	f.deadSince[s.ID] = f.now()
	s.diedAt = f.now()
	f.noteDeath(s)
	close(s.died)
	s.died = make(chan struct{})
	silent := f.now().Sub(s.lastHeard)
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
	if !f.outage.Note(s.Service+"/"+s.Zone+"/"+s.Version, s.ID, f.countNeighbours(s), now) {
		return
	}
	avoided := 0
	for _, o := range f.listed {
		if !o.isNeighbour(s) || now.Sub(o.lastHeard) < livenessWindow {
			continue
		}
		avoided++
		o.suspectedUntil = now.Add(recovery.OutageFor)
		f.signalSuspicion(o)
	}
	f.log.Warn().Str("service", s.Service).Str("zone", s.Zone).Int("avoided", avoided).Msg("zone taken for lost")
}

// isBeside reports whether a server shares another's service, zone and version.
func (s *Server) isNeighbour(o *Server) bool {
	return s.Service == o.Service && s.Zone == o.Zone && s.Version == o.Version
}

// beside counts the servers beside one, itself included. It needs f.mu.
func (f *Fleet) countNeighbours(s *Server) int {
	n := 0
	for _, o := range f.listed {
		if o.isNeighbour(s) {
			n++
		}
	}
	return n
}

// raiseDoubt needs f.mu.
func (f *Fleet) signalSuspicion(s *Server) {
	close(s.suspicion)
	s.suspicion = make(chan struct{})
}

// Dying are the servers that this VM judged dead lately, to tell the others.
func (f *Fleet) Dying() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, at := range f.deadSince {
		if f.now().Sub(at) > deathReportWindow {
			delete(f.deadSince, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// HearsayDead takes what other VMs judged dead. It moves nothing by itself: the
// other VM's link may be at fault.
func (f *Fleet) HearsayDead(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		s := f.servers[id]
		if s == nil || f.now().Sub(s.lastHeard) < livenessWindow {
			continue
		}
		s.diedAt = f.now()
		if s.avoided(f.now()) {
			continue
		}
		s.suspectedUntil = f.now().Add(recovery.OutageFor)
		f.signalSuspicion(s)
		f.noteDeath(s)
	}
}

// Full notes that the server refused a request because it is full.
func (f *Fleet) Full(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidFor(s, fullAvoid)
}

// Stale notes that another incarnation holds the server's address: nothing is
// sent there until the list names it. Each send would be refused, and count.
func (f *Fleet) Stale(s *Server) {
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
	s.failuresInRow++
	if s.failuresInRow >= failuresToAvoid {
		f.backOff(s)
	}
}

// Succeeded notes a good answer and how long it took; zero: not measured.
func (f *Fleet) Succeeded(s *Server, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failuresInRow, s.faultsInRow = 0, 0
	s.lastHeard, s.suspectedUntil = f.now(), time.Time{}
	if took <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	s.latencyMS = movingAverage(s.latencyMS, ms)
	// A call that found all slots taken waited for as many calls as were before it.
	there := float64(max(1, s.use.Requests+s.reportedRequests)) / float64(max(1, s.Slots))
	s.serviceTimeMS = movingAverage(s.serviceTimeMS, ms/max(1, there))
}

func movingAverage(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + latencyWeight*(next-old)
}

// Reported takes the load that a server states: requests that run and wait there
// from all VMs.
func (f *Fleet) Reported(s *Server, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reportedRequests, s.reportedAt = max(0, requests-s.use.Requests), f.now()
}
