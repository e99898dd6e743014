package upstream

import (
	"errors"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Avoid makes a server avoided for a while, longer with each fault in a row.
func (f *Fleet) Avoid(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backOff(s)
}

// backOff makes a server avoided for a time that doubles with each fault in a row. It
// needs f.mu.
func (f *Fleet) backOff(s *Server) { f.avoidFor(s, s.nextBackOff()) }

// nextBackOff returns the time for the next fault in a row.
func (s *Server) nextBackOff() time.Duration {
	d := min(minAvoid<<min(s.faultsInRow, 8), maxAvoid)
	s.faultsInRow++
	return d
}

// avoidFor makes a server avoided for at least d. It needs f.mu.
func (f *Fleet) avoidFor(s *Server, d time.Duration) {
	s.avoidUntil = later(s.avoidUntil, f.now().Add(d))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Evidence is how certain it is that a server has died.
type Evidence uint8

// Evidence of a death.
const (
	// Refusal is a refused connection. Open connections of this VM may live on if only a link is
	// at fault.
	Refusal Evidence = iota
	// PeerReport is the report of another VM, which may be wrong or have a link at fault.
	PeerReport
	// Silence means that the server did not answer a probe. It may go on.
	Silence
	// Confirmed means that the server broke or refused a connection and answers no probe, or that
	// another incarnation holds its address.
	Confirmed
)

// OnDeath sets the function that is called with each sign that a server has died. It must be
// set before the Fleet is used.
func (f *Fleet) OnDeath(seen func(server string, e Evidence)) { f.onDeath = seen }

// Unreachable records that the server accepted no connection, for the reason cause.
func (f *Fleet) Unreachable(s *Server, cause error) {
	f.mu.Lock()
	s.unreachedUntil = later(s.unreachedUntil, f.now().Add(s.nextBackOff()))
	f.noteDeath(s)
	f.failReach(s)
	f.mu.Unlock()
	f.pool.Forget(s.ID)
	// A host that refuses connections has no process at the address. One that is silent
	// may be cut off.
	if errors.Is(cause, syscall.ECONNREFUSED) {
		f.onDeath(s.ID, Refusal)
	}
}

// MarkDead judges a server dead that broke or refused a connection and answers no probe.
func (f *Fleet) MarkDead(s *Server) { f.judgeDead(s, Confirmed) }

// MarkSilent judges a server dead that did not answer a probe.
func (f *Fleet) MarkSilent(s *Server) { f.judgeDead(s, Silence) }

// judgeDead judges a server dead. Everything that runs there for this VM is moved at once,
// since one silent stream is evidence for the others on the same server.
func (f *Fleet) judgeDead(s *Server, e Evidence) {
	f.mu.Lock()
	s.unreachedUntil = later(s.unreachedUntil, f.now().Add(deadAvoid))
	isNew := f.takeDead(s, e)
	f.deadSince[s.ID] = f.now()
	s.diedAt = f.now()
	f.noteDeath(s)
	f.failReach(s)
	silent := f.now().Sub(s.lastHeard)
	f.mu.Unlock()
	if isNew {
		f.log.Warn().Str("server", s.ID).Str("zone", s.Zone).Dur("silent", silent).Msg("server judged dead")
	}
	f.pool.Forget(s.ID)
	f.onDeath(s.ID, e)
	f.mu.Lock()
	defer f.mu.Unlock()
	signal(&s.died) // after the contents are blamed: the runs that this moves may be of one that crashes servers
}

// noteDeath records a death and needs f.mu. If the whole failure domain counts as lost,
// every server in it that was not heard within livenessWindow is avoided, and those that
// run requests for this VM are probed.
func (f *Fleet) noteDeath(s *Server) {
	now, lost := f.now(), s.domain()
	if !f.outage.Note(s.Service+"/"+s.Zone+"/"+s.Version, s.ID, f.list.domainSizes[lost], now) {
		return
	}
	avoided := 0
	for _, i := range f.list.byService[s.Service] {
		row := &f.list.rows[i]
		if row.domain() != lost {
			continue
		}
		o := f.server(row)
		if now.Sub(o.lastHeard) < livenessWindow {
			continue
		}
		avoided++
		o.suspectedUntil = now.Add(recovery.OutageAvoidDuration)
		signal(&o.suspicion)
	}
	f.log.Warn().Str("service", s.Service).Str("zone", s.Zone).Int("avoided", avoided).Msg("zone suspected lost; avoiding its silent servers")
}

// signal closes a channel that may be nil. Whoever waits afterwards gets another one.
func signal(ch *chan struct{}) {
	if *ch != nil {
		close(*ch)
		*ch = nil
	}
}

// RecentlyDead returns the ids of the servers that this VM judged dead within
// deathReportWindow, for its reports to other VMs.
func (f *Fleet) RecentlyDead() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, at := range f.deadSince {
		if f.now().Sub(at) > deathReportWindow {
			delete(f.deadSince, id)
			continue
		}
		if row := f.list.lookup(id); row != nil && f.lostSince[row.Service] != (time.Time{}) {
			continue // this VM may be cut off, and the server alive
		}
		out = append(out, id)
	}
	return out
}

// PeerReportedDead takes the ids of servers that other VMs judged dead. It moves no run by
// itself, since the other VM's link may be at fault.
func (f *Fleet) PeerReportedDead(ids []string) {
	for _, id := range f.learnPeerDeaths(ids) {
		f.onDeath(id, PeerReport)
	}
}

// learnPeerDeaths returns the servers of a report that this VM has not just heard.
func (f *Fleet) learnPeerDeaths(ids []string) (silent []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		s := f.listedServer(id)
		if s == nil || f.now().Sub(s.lastHeard) < livenessWindow {
			continue
		}
		silent = append(silent, id)
		s.diedAt = f.now()
		if s.avoided(f.now()) {
			continue
		}
		s.suspectedUntil = f.now().Add(recovery.OutageAvoidDuration)
		signal(&s.suspicion)
		f.noteDeath(s)
	}
	return silent
}

// MarkFull records that the server refused a request because it is full.
func (f *Fleet) MarkFull(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidFor(s, fullAvoid)
	s.accepts.Rejected(f.routerCount.most(), f.now())
}

// MarkStale records that another incarnation holds the server's address. Nothing is sent
// there until the list names the new one, since each send would be refused and count as an
// attempt.
func (f *Fleet) MarkStale(s *Server) {
	f.mu.Lock()
	s.stale = true
	f.mu.Unlock()
	f.log.Info().Str("server", s.ID).Str("address", s.Address).Msg("another incarnation answers at the address of a listed server; sending nothing to the listed one")
	f.pool.Forget(s.ID)
	f.onDeath(s.ID, Confirmed)
}

// MarkRestarted records that the server has started again under its id since the list was made,
// maybe with another version. Nothing is sent there until the list names the new start. It is no
// sign of a death: the former process is known to have ended by its connections, and what was sent
// since then runs.
func (f *Fleet) MarkRestarted(s *Server) {
	f.mu.Lock()
	known := s.stale
	s.stale = true
	f.mu.Unlock()
	if !known {
		f.log.Info().Str("server", s.ID).Str("listed_version", s.Version).Int64("listed_start_ms", s.BornMS).Msg("server has started again since the list was made; sending nothing to it until it is listed anew")
	}
}

// Failed records a response that is the server's own failure.
func (f *Fleet) Failed(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failuresInRow++
	if s.failuresInRow >= failuresToAvoid {
		f.backOff(s)
	}
}

// Succeeded records a good response and its latency; zero: not measured.
func (f *Fleet) Succeeded(s *Server, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failuresInRow, s.faultsInRow = 0, 0
	s.suspectedUntil = time.Time{}
	f.hear(s)
	f.noteLatency(s, took)
}

// Late records that a server has not answered within a time. Nothing was heard of it.
func (f *Fleet) Late(s *Server, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLatency(s, after)
}

// noteLatency records the latency of a response; zero: not measured. It needs f.mu.
func (f *Fleet) noteLatency(s *Server, took time.Duration) {
	if took <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	s.latencyMS = movingAverage(s.latencyMS, ms)
	// A call that found all slots taken waited for as many calls as were queued before it.
	occupancy := float64(max(1, s.use.Requests+s.reportedRequests)) / float64(max(1, s.Slots))
	s.serviceTimeMS = movingAverage(s.serviceTimeMS, ms/max(1, occupancy))
}

func movingAverage(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + latencyWeight*(next-old)
}
