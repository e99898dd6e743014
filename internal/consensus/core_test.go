package consensus

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// faults brings about one random fault, or ends one.
func (s *sim) faults() {
	ids := s.ids()
	m := s.members[ids[s.rng.IntN(len(ids))]]
	other := s.members[ids[s.rng.IntN(len(ids))]]
	switch s.rng.IntN(15) {
	case 0:
		if m.up {
			s.crash(m)
		}
	case 1, 2, 3:
		for _, id := range ids {
			if !s.members[id].up {
				s.start(s.members[id])
				return
			}
		}
	case 4:
		m.paused = s.now + s.rng.IntN(40*stepsPerTick)
	case 5:
		s.cut[[2]MemberID{m.id, other.id}] = true
	case 6:
		s.isolate(m.id)
	case 7, 8, 9:
		clear(s.cut)
	case 10:
		s.drop = []float64{0, 0.05, 0.3}[s.rng.IntN(3)]
	case 11:
		s.powerLoss = []float64{0, 0, 0.02}[s.rng.IntN(3)]
	case 12:
		for _, id := range ids { // a zone's power flickers
			if m := s.members[id]; m.up && s.rng.IntN(2) == 0 {
				s.crash(m)
				s.start(m)
			}
		}
	case 14:
		for _, leader := range s.believers() {
			leader.core.TransferLeadership()
			s.pump(leader)
		}
	case 13:
		s.maxDelay = []int{2, 10, 40}[s.rng.IntN(3)]
	}
}

func (s *sim) isolate(id MemberID) {
	for _, other := range s.ids() {
		s.cut[[2]MemberID{id, other}], s.cut[[2]MemberID{other, id}] = true, true
	}
}

func (s *sim) heal() {
	clear(s.cut)
	s.drop, s.powerLoss, s.maxDelay = 0, 0, 2
	for _, id := range s.ids() {
		m := s.members[id]
		m.paused = 0
		if !m.up {
			s.start(m)
		}
	}
}

// converge heals everything; the group must then finish a join, commit a new
// entry and bring every member to the same state.
func (s *sim) converge() {
	s.t.Helper()
	s.heal()
	s.leader()
	s.traffic(60 * stepsPerTick)
	s.run(20 * stepsPerTick)
	leader := s.leader()
	if s.joining != "" {
		s.fail("%s never took its place: %+v", s.joining, leader.core.Status())
	}
	for _, id := range leader.core.Config().Voters {
		m := s.members[id]
		if m == nil || m.applied != leader.applied || fmt.Sprint(m.state) != fmt.Sprint(leader.state) {
			s.fail("%s did not converge with %s", id, leader.id)
		}
	}
}

func randomRun(t *testing.T, seed uint64, voters, rounds int) *sim {
	s := newSim(t, seed, voters)
	s.leader()
	replaced := 0
	for round := range rounds {
		s.traffic(s.rng.IntN(15 * stepsPerTick))
		s.faults()
		if round%12 == 11 && s.joining == "" && voters > 1 {
			ids := s.ids()
			replaced++
			s.replace(ids[s.rng.IntN(len(ids))], fmt.Sprint("r", replaced))
		}
	}
	s.converge()
	return s
}

// pinnedSeed gives the same runs every time; AMARANTHSHELF_SEED gives others.
func pinnedSeed(t *testing.T) uint64 {
	if v, err := strconv.ParseUint(os.Getenv("AMARANTHSHELF_SEED"), 10, 64); err == nil {
		t.Logf("seed %d", v)
		return v
	}
	return 20261202
}

// Operators read and write while VMs crash, pause, come back, lose their disks
// one at a time, and links drop, delay, repeat and cut one way. At each step:
// one leader a term, logs that match, leaders that hold every committed entry,
// the same entry applied everywhere, no confirmed read behind an acknowledged
// write. At the end the history is linearizable and the group has converged.
func TestRandomRuns(t *testing.T) {
	base := pinnedSeed(t)
	acked, reads := 0, 0
	for i := range 60 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			s := randomRun(t, base+uint64(i), []int{1, 3, 3, 5}[i%4], 60)
			s.checkHistory()
			acked, reads = acked+s.acked, reads+s.readsDone
		})
	}
	t.Logf("%d writes acknowledged, %d reads answered", acked, reads)
	if acked < 5000 || reads < 5000 {
		t.Errorf("the runs hardly made progress: %d writes, %d reads", acked, reads)
	}
}

// The same with schedules drawn by rapid, which shrinks a failing one.
func TestRandomSchedules(t *testing.T) {
	if err := flag.Set("rapid.seed", strconv.FormatUint(pinnedSeed(t), 10)); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, 7, 3)
		for _, act := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "acts") {
			ids := s.ids()
			m := s.members[ids[rapid.IntRange(0, len(ids)-1).Draw(rt, "member")]]
			switch act {
			case 0:
				if m.up {
					s.crash(m)
				}
			case 1:
				if !m.up {
					s.start(m)
				}
			case 2:
				s.isolate(m.id)
			case 3:
				clear(s.cut)
			case 4:
				m.paused = s.now + 100
			case 5:
				s.traffic(rapid.IntRange(1, 100).Draw(rt, "steps"))
			}
		}
		s.converge()
		s.checkHistory()
	})
}

// An operator's change goes to a leader that is cut off and does not know. Its
// old messages say it leads; it confirms no read, commits nothing, steps down
// after an election timeout, and once back takes the others' log: the change
// there is dropped, never acknowledged, and what the others accepted stays.
func TestSilentlyCutLeader(t *testing.T) {
	s := newSim(t, 1, 3)
	old := s.leader()
	s.traffic(50)
	s.isolate(old.id)
	before := s.acked
	s.write(old)
	s.read(old, true)
	waiting, reads := len(old.waiting), len(old.reads)
	s.run(3 * simElection * stepsPerTick)
	if old.core.IsLeader() {
		s.fail("still leads without a majority")
	}
	if s.acked != before || len(old.waiting) != waiting || len(old.reads) != reads {
		s.fail("a cut-off leader answered")
	}
	fresh := s.leader()
	s.traffic(200 * stepsPerTick) // a long time: snapshots and compaction pass
	if fresh.core.log.snap.Index == 0 {
		s.fail("no compaction happened")
	}
	term := s.leader().core.term
	s.heal()
	s.run(20 * stepsPerTick)
	if now := s.leader(); now.core.term != term {
		s.fail("the returning member deposed the leader: term %d to %d", term, now.core.term)
	}
	s.converge()
	s.checkHistory()
}

// A leader is paused while the followers' answers to its heartbeat are on their
// way. The others elect a new one and accept a change. It comes back, is asked
// for a read and finds the old answers: they confirm nothing, since they were
// given before the read came.
func TestPausedLeaderConfirmsNoStaleRead(t *testing.T) {
	s := newSim(t, 8, 3)
	old := s.leader()
	s.traffic(50)
	s.run(20)
	s.read(old, true)
	s.now++ // the heartbeat has left
	old.paused = s.now + 30*simElection
	for range 30*simElection - 2 {
		for _, m := range s.believers() {
			s.write(m)
		}
		s.step()
	}
	acked := s.acked
	old.paused = 0
	s.read(old, true)
	answers := 0
	for _, d := range s.queue { // the sockets hold the old answers before anything newer
		if d.msg.To == old.id && d.msg.Kind == HeartbeatReply {
			answers++
			old.core.Step(d.msg)
			s.pump(old)
		}
	}
	if answers == 0 {
		s.fail("no old answer was waiting")
	}
	s.run(10 * stepsPerTick)
	if acked == 0 || s.leader().id == old.id {
		s.fail("no other leader took over")
	}
	s.converge()
	s.checkHistory()
}

// A link carries one way only. A follower that hears nothing but is heard must
// not depose the leader; a leader that is heard but hears nothing must give way.
func TestOneWayCuts(t *testing.T) {
	s := newSim(t, 2, 3)
	leader := s.leader()
	term := leader.core.term
	var deaf MemberID
	for _, id := range s.ids() {
		if id != leader.id {
			deaf = id
		}
	}
	s.cut[[2]MemberID{leader.id, deaf}] = true
	s.run(10 * simElection * stepsPerTick) // the deaf one's log is as new as any
	s.traffic(20 * simElection * stepsPerTick)
	if now := s.leader(); now.id != leader.id || now.core.term != term {
		s.fail("a deaf follower deposed the leader: term %d to %d", term, now.core.term)
	}
	s.heal()
	for _, id := range s.ids() {
		s.cut[[2]MemberID{id, leader.id}] = true
	}
	s.run(6 * simElection * stepsPerTick)
	if now := s.leader(); now.id == leader.id {
		s.fail("a deaf leader stays in office")
	}
	s.converge()
	s.checkHistory()
}

// Every voter's timeout is the same for one draw after another: candidates split
// the votes. Pre-votes cost no term, and one of them wins in the end.
func TestDuellingCandidates(t *testing.T) {
	s := newSim(t, 3, 5)
	for range 10 {
		for _, id := range s.ids() {
			s.members[id].core.Campaign()
		}
		for _, id := range s.ids() {
			s.pump(s.members[id])
		}
		s.run(2)
	}
	leader := s.leader()
	if leader.core.term > 15 {
		s.fail("term %d", leader.core.term)
	}
	s.converge()
}

// All VMs restart after hundreds of changes, again and again, some of them in
// the middle of an election. Every acknowledged change is in the state.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	s := newSim(t, 4, 3)
	for range 5 {
		s.leader()
		s.traffic(100 * stepsPerTick)
		for _, id := range s.ids() {
			s.crash(s.members[id])
		}
		s.heal()
	}
	s.converge()
	if s.acked < 300 {
		s.fail("only %d changes", s.acked)
	}
	s.checkHistory()
}

// A control VM loses its disk under traffic. It comes back under a new identity,
// learns the log by a snapshot, gets the vote, and the lost one loses it; right
// after the repair a second VM is lost for good and the group goes on.
func TestVoterReplacedThenSecondLost(t *testing.T) {
	s := newSim(t, 5, 3)
	leader := s.leader()
	s.traffic(100 * stepsPerTick)
	ids := s.ids()
	victim := ids[0]
	if victim == leader.id {
		victim = ids[1]
	}
	fresh := s.replace(victim, "b")
	for range 200 * stepsPerTick {
		if s.traffic(1); s.joining == "" {
			break
		}
	}
	leader = s.leader()
	config := leader.core.Config()
	if s.joining != "" || len(config.Voters) != 3 || !config.IsVoter(fresh) || config.IsVoter(victim) {
		s.fail("not replaced: %+v", config)
	}
	s.crash(leader)
	before := s.acked
	s.leader()
	s.traffic(40 * stepsPerTick)
	if s.acked-before < 10 {
		s.fail("the group did not go on after the second loss")
	}
	s.converge()
	s.checkHistory()
}

// Proposals to a leader without followers are refused once the bound is reached.
func TestUncommittedIsBounded(t *testing.T) {
	s := newSim(t, 6, 3)
	leader := s.leader()
	s.isolate(leader.id)
	var err error
	for range maxUncommittedEntries + 1 {
		if _, _, err = leader.core.Propose([]byte("x")); err != nil {
			break
		}
	}
	if err != ErrBusy {
		t.Errorf("got %v, want %v", err, ErrBusy)
	}
}

// A new leader finds an entry of an older term on a majority. It must not count
// it as committed: a voter with a newer last term could still be elected and
// overwrite it. Its own first entry carries the old one along.
func TestOlderTermIsNotCountedIntoCommit(t *testing.T) {
	config := Config{Voters: []MemberID{"a/1", "b/1", "c/1"}}
	c := NewCore(Options{ID: "a/1", ElectionTicks: 8, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}, State{
		Hard: HardState{Term: 2, Commit: 1},
		Entries: []Entry{
			{Index: 1, Term: 1, Kind: EntryConfig, Data: config.encode()},
			{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")},
		},
	})
	step := func(m Message) {
		m.From, m.To, m.Term = "b/1", "a/1", 3
		c.Step(m)
		for c.HasReady() {
			c.Saved(c.Ready())
		}
	}
	c.Campaign()
	step(Message{Kind: PreVoteReply})
	step(Message{Kind: VoteReply})
	step(Message{Kind: AppendReply, Index: 2})
	if !c.IsLeader() || c.Status().Commit != 1 {
		t.Fatalf("%s commits %d after an old entry reached a majority", c.role, c.commit)
	}
	step(Message{Kind: AppendReply, Index: 3})
	if c.Status().Commit != 3 {
		t.Errorf("commit %d, want 3", c.commit)
	}
}

// BenchmarkPacket encodes and decodes a batch of 16 entries of 256 bytes as it
// goes to a follower.
func BenchmarkPacket(b *testing.B) {
	m := Message{Kind: AppendRequest, From: "vm1/aaaaaaaaaa", To: "vm2/bbbbbbbbbb", Term: 9, Index: 1 << 20, LogTerm: 9, Commit: 1 << 20}
	for i := range uint64(16) {
		m.Entries = append(m.Entries, Entry{Index: m.Index + 1 + i, Term: 9, Kind: EntryCommand, Data: make([]byte, 256)})
	}
	b.ReportAllocs()
	for b.Loop() {
		data, err := codec.Marshal(packet{Group: "gggggggg", Messages: []Message{m}})
		if err != nil {
			b.Fatal(err)
		}
		var p packet
		if err := codec.Unmarshal(data, &p); err != nil {
			b.Fatal(err)
		}
	}
}
