package cluster

import (
	"slices"
	"time"
)

// leavingTTL is how long a server is reported as leaving after a VM last reported it. The
// server ends long before.
const leavingTTL = 10 * time.Minute

// leavingServers holds when a VM last reported that a server leaves, by the name of its incarnation.
type leavingServers map[string]time.Time

// learn takes the servers of a report, and reports whether one is new.
func (l leavingServers) learn(ids []string, now time.Time) bool {
	added := false
	for _, id := range ids {
		_, known := l[id]
		added = added || !known
		l[id] = now
	}
	for id, at := range l {
		if now.Sub(at) > leavingTTL {
			delete(l, id)
		}
	}
	return added
}

func (l leavingServers) ids() []string {
	out := make([]string, 0, len(l))
	for id := range l {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// newLeaving returns the servers that leave and that the last Summary did not name.
func (m *Member) newLeaving() []string {
	if m.local.Leaving == nil {
		return nil
	}
	m.statements.mu.Lock()
	defer m.statements.mu.Unlock()
	return slices.DeleteFunc(m.local.Leaving(), func(id string) bool { return slices.Contains(m.statements.toldLeaving, id) })
}

// learnLeaving takes the leaving servers of a Summary.
func (m *Member) learnLeaving(ids []string) {
	m.statements.mu.Lock()
	m.statements.toldLeaving = ids
	m.statements.mu.Unlock()
	if m.local.LearnLeaving != nil {
		m.local.LearnLeaving(ids)
	}
}
