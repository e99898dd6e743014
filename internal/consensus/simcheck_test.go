package consensus

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkInvariants checks the safety properties of Raft, which must hold at each step.
func (s *sim) checkInvariants() {
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
				s.checkLeaderCompleteness(c)
			}
		}
		if c.commit > c.log.last() {
			s.fail("member %s has commit index %d beyond its last entry %d", id, c.commit, c.log.last())
		}
	}
	if s.now%25 == 0 {
		s.checkLogMatching()
	}
}

// checkLeaderCompleteness checks that a leader has all entries that were committed in
// earlier terms. A leader may be elected after the leader of a later term has committed
// further entries, because votes for it were in flight.
func (s *sim) checkLeaderCompleteness(c *Core) {
	for index := c.log.snap.Index + 1; index <= s.maxCommit; index++ {
		if s.appliedInTerm[index] < c.term && !c.log.matches(index, s.committed[index].Term) {
			s.fail("leader completeness: %s leads term %d without entry %d", c.options.ID, c.term, index)
		}
	}
}

func (s *sim) checkLogMatching() {
	seen := map[[2]uint64]string{}
	for _, id := range s.ids() {
		m := s.members[id]
		if !m.up {
			continue
		}
		for _, e := range m.core.log.entries {
			key := [2]uint64{e.Index, e.Term}
			if data, ok := seen[key]; ok && data != string(e.Data) {
				s.fail("log matching: two different entries %d of term %d", e.Index, e.Term)
			}
			seen[key] = string(e.Data)
		}
	}
}

// claimedLeaders returns the running members that believe they are the leader.
func (s *sim) claimedLeaders() []*member {
	var out []*member
	for _, id := range s.ids() {
		if m := s.members[id]; s.active(m) && m.core.IsLeader() {
			out = append(out, m)
		}
	}
	return out
}

// waitForLeader runs until exactly one member leads and has committed an entry in its
// term.
func (s *sim) waitForLeader() *member {
	s.t.Helper()
	for range 400 * stepsPerTick {
		if b := s.claimedLeaders(); len(b) == 1 && b[0].core.committedInTerm() {
			return b[0]
		}
		s.step()
	}
	s.fail("no single leader within 400 ticks")
	return nil
}

// driveJoin performs the steps of a voter's replacement as the leader's Node does.
func (s *sim) driveJoin() {
	for _, m := range s.claimedLeaders() {
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

// replace removes a member and its disk and starts a new member on the same VM.
func (s *sim) replace(id MemberID, identity string) MemberID {
	delete(s.members, id)
	replacement := NewMemberID(id.VM(), identity)
	s.add(replacement, &disk{})
	s.joining = replacement
	return replacement
}

// runTraffic writes and reads on every claimed leader and drives a pending join.
func (s *sim) runTraffic(steps int) {
	for range steps {
		for _, m := range s.claimedLeaders() {
			if s.tooManyOutstanding() {
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
			s.driveJoin()
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

// checkHistory checks that the register's history is linearizable. Reads without an
// answer are ignored. A write without an answer took effect when it was first applied,
// or never.
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
		s.fail("linearizability check of %d operations: got %v, want Ok", len(ops), res)
	}
}
