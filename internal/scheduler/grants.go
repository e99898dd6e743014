package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// grantTTL is how long a grant counts without a confirmation by its VM. A VM confirms
// at once, and the grants of a VM that has died must not occupy engines.
const grantTTL = 700 * time.Millisecond

type grant struct {
	vm     string
	number uint64
	at     time.Time
	usages []serverUsage
}

type serverUsage struct {
	server string
	usage  placement.Usage
}

// grant assigns an engine to a stream and, if memory allows, a backup engine to its copy.
func (s *Scheduler) grant(w *waiter, r *round, e *server, d *Decision) {
	s.number++
	run := placement.Usage{Requests: 1, Tokens: w.Need.Tokens(), PendingPrompt: w.Need.Prompt}
	g := grant{vm: w.VM, number: s.number, at: r.now, usages: []serverUsage{{e.ID, run}}}
	d.Outcome, d.Number, d.Server, d.PauseMS = Granted, s.number, e.ID, r.expectedPauseMS(e)
	if w.WantsCopy {
		if k := r.backupEngine(w, e, s.rng); k != nil {
			d.BackupEngine = k.ID
			g.usages = append(g.usages, serverUsage{k.ID, placement.CopyUsage(w.Need)})
		}
	}
	e.beginPrefill(w.Need.Prompt, r.now)
	former := e.usage.PendingPrompt
	for _, u := range g.usages {
		s.addUsage(u.server, u.usage)
	}
	e.notePending(former, r.now)
	s.grants = append(s.grants, g)
	s.unconfirmed[w.VM]++
	r.usageChanged(e)
	r.service.grantTimes.add(r.now, 1)
	r.service.newStreamNext = w.Interrupted
	if r.ranked != nil {
		r.ranked.granted(w)
	}
}

// expireGrants drops the grants that no VM has confirmed. They are in order of their times.
func (s *Scheduler) expireGrants(now time.Time) {
	if expired := func(g *grant) bool { return now.Sub(g.at) > grantTTL }; len(s.grants) > 0 && expired(&s.grants[0]) {
		s.dropGrants(expired)
	}
}

func (s *Scheduler) dropGrants(gone func(*grant) bool) {
	kept := s.grants[:0]
	for i := range s.grants {
		g := s.grants[i]
		if !gone(&g) {
			kept = append(kept, g)
			continue
		}
		if s.unconfirmed[g.vm]--; s.unconfirmed[g.vm] == 0 {
			delete(s.unconfirmed, g.vm)
		}
		for _, u := range g.usages {
			s.addUsage(u.server, u.usage.Negated())
		}
	}
	s.grants = kept
}
