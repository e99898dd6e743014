package scheduler

import (
	"slices"
	"time"
)

// Which engines may be used.
//
// The load pattern. A zone's engines die together, and each VM that sees two of them
// go takes the zone for lost, since the others would draw every prompt for as long as
// the list names them. Where a quarter of all engines goes dark, two in each zone, the
// same rule takes all zones for lost: seven of 24 engines are used for three seconds
// while eleven more stand idle, just when all are needed.
//
// So a doubt by neighbourhood holds only until some VM has heard the engine after it.
// What a VM found itself, a connection refused or a question without an answer, holds
// for its own streams, and for all once a second VM found the same: one VM alone may
// have lost its own link.

const (
	// witnesses are how many VMs must find or doubt an engine before that counts for all.
	witnesses = 2
	// opinionFor is how long a VM's word counts: until the list of backend servers has
	// caught up.
	opinionFor = 1200 * time.Millisecond
	// aliveDelay is how old news of an engine may be that a VM says it heard just now.
	aliveDelay = 300 * time.Millisecond
)

// opinions are what the VMs whose word counts think of an engine. They are kept as VMs
// tell them: to go through the words of hundreds of VMs about a zone's engines at each
// message would take the VM that decides longer than messages are apart, just when a
// zone is lost.
type opinions struct {
	avoid, doubt int // VMs
	// doubtedAt is when it was first doubted by VMs that still do.
	doubtedAt time.Time
}

// opinionsOf returns what is thought of an engine, listed or not.
func (s *Scheduler) opinionsOf(id string) *opinions {
	o := s.opinions[id]
	if o == nil {
		o = &opinions{}
		s.opinions[id] = o
	}
	return o
}

// countOpinions adds a VM's word, or takes it off again.
func (s *Scheduler) countOpinions(r *Report, by int, now time.Time) {
	for _, id := range r.Avoid {
		s.opinionsOf(id).avoid += by
	}
	for _, id := range r.Suspected {
		o := s.opinionsOf(id)
		if o.doubt == 0 {
			o.doubtedAt = now
		}
		o.doubt += by
	}
}

// dropWord takes a VM's word off, if it counts.
func (s *Scheduler) dropWord(v *vm, now time.Time) {
	if v.counts {
		s.countOpinions(&v.report, -1, now)
		v.counts = false
	}
}

// health is what all VMs together think of the engines.
type health struct{ witnesses int }

func (s *Scheduler) health(now time.Time) health {
	for _, v := range s.vms {
		if now.Sub(v.at) > opinionFor {
			s.dropWord(v, now)
		}
	}
	return health{witnesses: max(1, min(witnesses, len(s.vms)))}
}

// noteAlive takes a VM's word that it heard engines just now.
func (s *Scheduler) noteAlive(ids []string, now time.Time) {
	for _, id := range ids {
		if e := s.servers[id]; e != nil {
			e.aliveAt = now
		}
	}
}

// lost reports whether an engine is not to be used by anybody.
func (h health) lost(e *server) bool {
	o := e.opinions
	cleared := e.aliveAt.After(o.doubtedAt.Add(aliveDelay))
	return o.avoid >= h.witnesses || o.avoid+o.doubt >= h.witnesses && !cleared
}

// avoids reports whether a stream should not go to an engine, while there are others.
func (r *round) avoids(w *waiter, e *server) bool {
	if r.usable == 0 {
		return false
	}
	if r.health.lost(e) {
		return true
	}
	v := r.vms[w.VM]
	return v != nil && slices.Contains(v.report.Avoid, e.ID)
}
