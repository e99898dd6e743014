package scheduler

import (
	"slices"
	"time"
)

// Which engines may be used.
//
// The failure. The engines of a zone fail together. Each VM that sees two of them fail
// therefore suspects the whole zone, since the remaining engines would draw every prompt
// for as long as they are listed. If a quarter of all engines fails, two in each zone,
// the same rule makes VMs suspect all zones: seven of 24 engines are used for three
// seconds while eleven more are idle, just when all are needed.
//
// A suspicion by neighbourhood therefore holds only until some VM has heard from the
// engine after it. What a VM found itself (a refused connection or an unanswered query)
// applies to its own streams. It applies to all streams once a second VM has found the
// same, since one VM alone may have lost its own link.

const (
	// suspicionQuorum is how many VMs must avoid or suspect an engine before it counts as
	// lost for all.
	suspicionQuorum = 2
	// reportTTL is how long a VM's suspicions count: until the list of backend servers
	// has been updated.
	reportTTL = 1200 * time.Millisecond
	// staleCheckInterval is how often reports older than reportTTL are looked for.
	staleCheckInterval = 20 * time.Millisecond
	// maxAliveDelay is how old the observation behind an Alive entry may be.
	maxAliveDelay = 300 * time.Millisecond
)

// suspicionCounts counts the VMs whose current reports avoid or suspect an engine. The
// counts are updated with each report. Summing the reports of hundreds of VMs about a
// zone's engines at each message would take longer than the interval between messages,
// just when a zone is lost.
type suspicionCounts struct {
	avoiding, suspecting int // number of VMs
	// suspectedAt is when the number of suspecting VMs last rose from zero.
	suspectedAt time.Time
}

// suspicionsOf returns the counts of an engine. If there are none yet, it creates them at
// zero. It does so for an engine outside the list of backend servers too, since VMs may
// report an engine before SetServers lists it, or after it has left the list. Its counts
// are then right as soon as it is listed.
func (s *Scheduler) suspicionsOf(id string) *suspicionCounts {
	o := s.suspicions[id]
	if o == nil {
		o = &suspicionCounts{}
		s.suspicions[id] = o
	}
	return o
}

// countSuspicions adds a report to the counts (by = 1) or removes it (by = -1).
func (s *Scheduler) countSuspicions(r *Report, by int, now time.Time) {
	for _, id := range r.Avoid {
		s.suspicionsOf(id).avoiding += by
		s.updateLost(id)
	}
	for _, id := range r.Suspected {
		o := s.suspicionsOf(id)
		if o.suspecting == 0 {
			o.suspectedAt = now
		}
		o.suspecting += by
		s.updateLost(id)
	}
}

// uncountReport removes the report of a VM from the counts if it is included.
func (s *Scheduler) uncountReport(v *vm, now time.Time) {
	if v.counted {
		s.countSuspicions(&v.report, -1, now)
		v.counted = false
	}
}

// health combines the reports of all VMs into a verdict on each engine. quorum is
// suspicionQuorum, bounded by the number of VMs.
type health struct{ quorum int }

func (s *Scheduler) health(now time.Time) health {
	if now.Sub(s.staleCheckedAt) >= staleCheckInterval {
		s.staleCheckedAt = now
		for _, v := range s.vms {
			if now.Sub(v.at) > reportTTL {
				s.uncountReport(v, now)
			}
		}
	}
	if h := (health{quorum: max(1, min(suspicionQuorum, len(s.vms)))}); h.quorum != s.quorum {
		s.quorum = h.quorum
		for _, e := range s.servers {
			e.setLost(h.lost(e))
		}
	}
	return health{s.quorum}
}

// updateLost judges an engine after a change of what VMs report about it.
func (s *Scheduler) updateLost(id string) {
	if e := s.servers[id]; e != nil {
		e.setLost(health{s.quorum}.lost(e))
	}
}

// recordAlive records that a VM heard from these engines just now.
func (s *Scheduler) recordAlive(ids []string, now time.Time) {
	for _, id := range ids {
		if e := s.servers[id]; e != nil {
			e.aliveAt = now
			s.updateLost(id)
		}
	}
}

// lost reports whether no stream may use an engine.
func (h health) lost(e *server) bool {
	o := e.suspicions
	cleared := e.aliveAt.After(o.suspectedAt.Add(maxAliveDelay))
	return o.avoiding >= h.quorum || o.avoiding+o.suspecting >= h.quorum && !cleared
}

// avoids reports whether the stream that is decided should not use an engine while other engines are
// usable.
func (r *round) avoids(e *server) bool {
	if r.usable == 0 {
		return false
	}
	return e.lost || r.vm != nil && slices.Contains(r.vm.report.Avoid, e.ID)
}

// withholds reports whether the VM of the stream that is decided must not send to an engine. Unlike an engine
// that is avoided, it is not used even if there is no other.
func (r *round) withholds(e *server) bool {
	return r.vm != nil && slices.Contains(r.vm.report.Withheld, e.ID)
}
