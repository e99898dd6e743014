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

// health is what all VMs together think of the engines.
type health struct {
	of        map[string]opinions // by engine
	witnesses int
}

type opinions struct{ avoid, doubt int }

func (s *Scheduler) health(now time.Time) health {
	h := health{of: map[string]opinions{}, witnesses: max(1, min(witnesses, len(s.vms)))}
	for _, v := range s.vms {
		if now.Sub(v.at) > opinionFor {
			continue
		}
		for _, id := range v.report.Avoid {
			o := h.of[id]
			o.avoid++
			h.of[id] = o
		}
		for _, id := range v.report.Doubt {
			o := h.of[id]
			o.doubt++
			h.of[id] = o
		}
	}
	for id, e := range s.servers {
		switch doubted := h.of[id].doubt > 0; {
		case !doubted:
			e.doubtedAt = time.Time{}
		case e.doubtedAt.IsZero():
			e.doubtedAt = now
		}
	}
	return h
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
	o := h.of[e.ID]
	cleared := e.aliveAt.After(e.doubtedAt.Add(aliveDelay))
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
