package consensus

import (
	"strconv"
	"testing"
)

// simTarget is the number of voters that a simulated group keeps.
const simTarget = 3

// driveLeave performs the steps of a leave as the leader's Node does. It reports whether the
// member may end.
func (s *sim) driveLeave(id MemberID) bool {
	for _, m := range s.claimedLeaders() {
		change, state := m.core.PlanLeave(id, simTarget)
		if state == LeaveChange {
			_, _, _ = m.core.ProposeChange(change)
			s.pump(m)
		}
		if state == LeaveDone || state == LeaveKeeps {
			return true
		}
	}
	return false
}

// Guards against a group that is stopped by a leave: the removal of a vote is in force before
// it is committed. Two of five voters are silent, and without the leaving one the others
// would be no majority.
func TestLeaveNeedsAMajorityOfTheRest(t *testing.T) {
	s := newSim(t, 3, 5)
	leader := s.waitForLeader()
	var others []MemberID
	for _, id := range s.ids() {
		if id != leader.id {
			others = append(others, id)
		}
	}
	for _, id := range []MemberID{others[0], leader.id} {
		if change, state := leader.core.PlanLeave(id, simTarget); state != LeaveChange || change != (Change{Remove, id}) {
			t.Errorf("all answer, %s leaves: got %+v, state %d, want the removal", id, change, state)
		}
	}
	s.crash(s.members[others[2]])
	s.crash(s.members[others[3]])
	s.run(3 * simElectionTicks * stepsPerTick)
	if !leader.core.IsLeader() {
		t.Fatal("the leader of three answering voters stepped down")
	}
	for _, id := range []MemberID{others[0], leader.id} {
		if _, state := leader.core.PlanLeave(id, simTarget); state != LeaveWaiting {
			t.Errorf("two are silent, %s leaves: got state %d, want to wait", id, state)
		}
	}
	if _, state := leader.core.PlanLeave(others[2], simTarget); state != LeaveChange {
		t.Errorf("two are silent, one of them leaves: got state %d, want the removal", state)
	}
}

// Checks the properties of TestRandomRuns while voters give up their votes, end, and come
// back with their logs to join again.
func TestRandomLeaves(t *testing.T) {
	base, left := pinnedSeed(t), 0
	for i := range 60 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			s := newSim(t, base+uint64(i), 4+i%2)
			s.waitForLeader()
			for range 6 {
				left += s.leaveOnce(8)
			}
			s.converge()
			s.checkHistory()
		})
	}
	t.Logf("%d leaves", left)
	if left < 200 {
		t.Errorf("got %d leaves, want at least 200", left)
	}
}

// leaveOnce lets one member leave amid faults and starts it again. It returns the number of
// leaves.
func (s *sim) leaveOnce(rounds int) int {
	ids := s.ids()
	leaving := ids[s.rng.IntN(len(ids))]
	ended := false
	for range rounds {
		for range s.rng.IntN(15) {
			s.runTraffic(stepsPerTick)
			if !ended && s.driveLeave(leaving) {
				s.crash(s.members[leaving])
				ended = true
			}
		}
		s.injectFault()
	}
	if !s.members[leaving].up {
		s.start(s.members[leaving])
	}
	s.joining = leaving
	s.runTraffic(s.rng.IntN(15 * stepsPerTick))
	if ended {
		return 1
	}
	return 0
}
