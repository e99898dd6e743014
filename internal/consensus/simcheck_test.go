package consensus

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// check asserts what must hold at each step.
func (s *sim) check() {
	for _, id := range s.ids() {
		m := s.members[id]
		if !m.up {
			continue
		}
		c := m.core
		if c.role == Leader {
			if other, ok := s.leaders[c.term]; ok && other != id {
				s.fail("election safety: %s and %s lead in term %d", id, other, c.term)
			}
			if _, ok := s.leaders[c.term]; !ok {
				s.leaders[c.term] = id
				s.checkComplete(c)
			}
		}
		if c.commit > c.log.last() {
			s.fail("%s commits %d of %d", id, c.commit, c.log.last())
		}
	}
	if s.now%25 == 0 {
		s.checkMatching()
	}
}

// checkComplete: a leader holds what was committed in the terms before its own. It
// may be elected after a later term's leader has committed more: votes for it were
// on their way.
func (s *sim) checkComplete(c *Core) {
	for index := c.log.snap.Index + 1; index <= s.maxCommit; index++ {
		if s.inTerm[index] < c.term && !c.log.matches(index, s.committed[index].Term) {
			s.fail("leader completeness: %s leads term %d without entry %d", c.o.ID, c.term, index)
		}
	}
}

func (s *sim) checkMatching() {
	seen := map[[2]uint64]string{}
	for _, id := range s.ids() {
		m := s.members[id]
		if !m.up {
			continue
		}
		for _, e := range m.core.log.entries {
			key := [2]uint64{e.Index, e.Term}
			if data, ok := seen[key]; ok && data != string(e.Data) {
				s.fail("log matching: two entries %d of term %d", e.Index, e.Term)
			}
			seen[key] = string(e.Data)
		}
	}
}

// believers are members that think they lead.
func (s *sim) believers() []*member {
	var out []*member
	for _, id := range s.ids() {
		if m := s.members[id]; s.active(m) && m.core.IsLeader() {
			out = append(out, m)
		}
	}
	return out
}

// leader runs until one member leads and has committed in its term.
func (s *sim) leader() *member {
	s.t.Helper()
	for range 400 * stepsPerTick {
		if b := s.believers(); len(b) == 1 && b[0].core.committedInTerm() {
			return b[0]
		}
		s.step()
	}
	s.fail("no leader")
	return nil
}

// join drives the replacement of a voter as a Node's leader does.
func (s *sim) join() {
	for _, m := range s.believers() {
		change, state := m.core.PlanJoin(s.joining)
		if state == JoinChange {
			_, _, _ = m.core.ProposeChange(change)
			s.pump(m)
		}
		if state == JoinDone && s.maxCommit >= m.core.commit {
			s.joining = ""
			return
		}
	}
}

// replace takes a VM's disk away and starts it under a new identity.
func (s *sim) replace(id MemberID, identity string) MemberID {
	delete(s.members, id)
	fresh := NewMemberID(id.VM(), identity)
	s.add(fresh, &disk{})
	s.joining = fresh
	return fresh
}

// traffic writes and reads on every believer, and drives a join.
func (s *sim) traffic(steps int) {
	for range steps {
		for _, m := range s.believers() {
			if s.busy() {
				continue
			}
			switch s.rng.IntN(6) {
			case 0, 1:
				s.write(m)
			case 2:
				s.read(m, true)
			case 3:
				s.read(m, false)
			}
		}
		if s.joining != "" && s.now%3 == 0 {
			s.join()
		}
		s.step()
	}
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if v := input.(string); v != "" {
			return true, v
		}
		return output == nil || output == state, state
	},
}

// checkHistory checks the register's history. Reads without an answer say
// nothing. A write without one took effect when it was first applied, or never.
func (s *sim) checkHistory() {
	s.t.Helper()
	var ops []porcupine.Operation
	for _, op := range s.history {
		at, applied := s.appliedAt[op.Input.(string)]
		if op.Return == endOfTime && applied {
			op.Return = int64(at)
		}
		if op.Return != endOfTime {
			ops = append(ops, op)
		}
	}
	if res := porcupine.CheckOperationsTimeout(register, ops, 10*time.Second); res != porcupine.Ok {
		s.fail("history of %d operations: %v", len(ops), res)
	}
}
