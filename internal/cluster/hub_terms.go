package cluster

import "github.com/amaranthshelf/amaranthshelf/internal/decider"

// Join connects the Hub with the Member of the same control VM, which announces terms to the
// other control VMs and hears theirs. A Hub without a Member states no terms and decides
// about every stream that it is asked for.
func (h *Hub) Join(m *Member) {
	terms := newTermState(m.self, h.log, h.scheduling.loop.wake, m.NotifyNow)
	h.scheduling.terms.Store(terms)
	m.terms.Store(terms)
}

// hearTerm takes the term that a heartbeat states, and returns the newest one that this VM
// knows.
func (h *Hub) hearTerm(from string, heartbeat *Heartbeat) *decider.Term {
	terms := h.scheduling.terms.Load()
	if terms == nil {
		return nil
	}
	if heartbeat.Term != nil {
		terms.hear(from, heartbeat.Term)
	} else {
		terms.follows(heartbeat.UseReport.Term, "")
	}
	return terms.newest()
}

// DeciderStats describes a control VM's part in deciding about streams.
type DeciderStats struct {
	Newest decider.Term // the newest term that the VM knows
	Holds  bool         // the VM claimed it
	Claims uint64       // since the process started
	Rounds RoundStats
}

// Decider returns the state of the VM's term and decisions.
func (h *Hub) Decider() DeciderStats {
	out := DeciderStats{Rounds: h.scheduling.loop.readStats()}
	if terms := h.scheduling.terms.Load(); terms != nil {
		out.Newest, out.Holds, out.Claims = *terms.newest(), terms.held().Number > 0, terms.claims()
	}
	return out
}
