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

// injectFault injects or ends one random fault.
func (s *sim) injectFault() {
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
		for _, id := range ids { // a short power failure of a zone
			if m := s.members[id]; m.up && s.rng.IntN(2) == 0 {
				s.crash(m)
				s.start(m)
			}
		}
	case 14:
		for _, leader := range s.claimedLeaders() {
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

// converge ends all faults. The group must then finish a pending join, commit new
// entries and bring every voter to the same state.
func (s *sim) converge() {
	s.t.Helper()
	s.heal()
	s.waitForLeader()
	s.runTraffic(60 * stepsPerTick)
	s.run(20 * stepsPerTick)
	leader := s.waitForLeader()
	if s.joining != "" {
		s.fail("member %s did not finish its join: %+v", s.joining, leader.core.Status())
	}
	for _, id := range leader.core.Config().Voters {
		m := s.members[id]
		if m == nil || m.applied != leader.applied || fmt.Sprint(m.state) != fmt.Sprint(leader.state) {
			s.fail("member %s has not the same state as leader %s", id, leader.id)
		}
	}
}

func randomRun(t *testing.T, seed uint64, voters, rounds int) *sim {
	s := newSim(t, seed, voters)
	s.waitForLeader()
	replaced := 0
	for round := range rounds {
		s.runTraffic(s.rng.IntN(15 * stepsPerTick))
		s.injectFault()
		if round%12 == 11 && s.joining == "" && voters > 1 {
			ids := s.ids()
			replaced++
			s.replace(ids[s.rng.IntN(len(ids))], fmt.Sprint("r", replaced))
		}
	}
	s.converge()
	return s
}

// pinnedSeed returns the seed in AMARANTHSHELF_SEED, or a fixed one if it is not set.
func pinnedSeed(t *testing.T) uint64 {
	if v, err := strconv.ParseUint(os.Getenv("AMARANTHSHELF_SEED"), 10, 64); err == nil {
		t.Logf("seed %d", v)
		return v
	}
	return 20261202
}

// Guards the safety properties of Raft under random faults. Members crash, pause,
// restart and lose their disks one at a time, while links drop, delay, duplicate and
// block messages in one direction. At each step there is at most one leader per term,
// logs match, a leader has every committed entry, all members apply the same entries,
// and a confirmed read includes every write acknowledged before it. At the end the
// history is linearizable and the group has converged.
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
		t.Errorf("got %d writes and %d reads, want at least 5000 each", acked, reads)
	}
}

// Checks the same properties with fault schedules drawn by rapid, which shrinks a failing
// schedule.
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
				s.runTraffic(rapid.IntRange(1, 100).Draw(rt, "steps"))
			}
		}
		s.converge()
		s.checkHistory()
	})
}

// Guards against a partitioned leader that still serves requests. It does not know of
// the partition, confirms no read, commits nothing and steps down after an election
// timeout. When the partition heals it adopts the log of the others: its own
// uncommitted entries are dropped, and the entries that the others accepted stay.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	s := newSim(t, 1, 3)
	oldLeader := s.waitForLeader()
	s.runTraffic(50)
	s.isolate(oldLeader.id)
	before := s.acked
	s.write(oldLeader)
	s.read(oldLeader, true)
	waiting, reads := len(oldLeader.waiting), len(oldLeader.reads)
	s.run(3 * simElectionTicks * stepsPerTick)
	if oldLeader.core.IsLeader() {
		s.fail("the partitioned leader has not stepped down")
	}
	if s.acked != before || len(oldLeader.waiting) != waiting || len(oldLeader.reads) != reads {
		s.fail("the partitioned leader answered a write or a read")
	}
	newLeader := s.waitForLeader()
	s.runTraffic(200 * stepsPerTick) // long enough for snapshots and compaction
	if newLeader.core.log.snap.Index == 0 {
		s.fail("the new leader has not compacted its log")
	}
	term := s.waitForLeader().core.term
	s.heal()
	s.run(20 * stepsPerTick)
	if now := s.waitForLeader(); now.core.term != term {
		s.fail("the returning member deposed the leader: want term %d, got %d", term, now.core.term)
	}
	s.converge()
	s.checkHistory()
}

// Guards against a stale read on a leader that was paused. The followers' replies to its
// heartbeat are in flight while it is paused, and the others elect a new leader and
// commit entries. After the pause the old leader gets a read and then the old replies.
// They must not confirm the read, because they were sent before it was requested.
func TestPausedLeaderConfirmsNoStaleRead(t *testing.T) {
	s := newSim(t, 8, 3)
	oldLeader := s.waitForLeader()
	s.runTraffic(50)
	s.run(20)
	s.read(oldLeader, true)
	s.now++ // the heartbeat has been sent
	oldLeader.paused = s.now + 30*simElectionTicks
	for range 30*simElectionTicks - 2 {
		for _, m := range s.claimedLeaders() {
			s.write(m)
		}
		s.step()
	}
	acked := s.acked
	oldLeader.paused = 0
	s.read(oldLeader, true)
	answers := 0
	for _, d := range s.queue { // the sockets deliver the old replies before newer messages
		if d.msg.To == oldLeader.id && d.msg.Kind == HeartbeatReply {
			answers++
			oldLeader.core.Step(d.msg)
			s.pump(oldLeader)
		}
	}
	if answers == 0 {
		s.fail("got no old heartbeat reply, want at least one in flight")
	}
	s.run(10 * stepsPerTick)
	if acked == 0 || s.waitForLeader().id == oldLeader.id {
		s.fail("no other leader was elected and committed entries")
	}
	s.converge()
	s.checkHistory()
}

// Guards against links that fail in one direction. A follower that can send but not
// receive must not depose the leader. A leader that can send but not receive must step
// down.
func TestOneWayCuts(t *testing.T) {
	s := newSim(t, 2, 3)
	leader := s.waitForLeader()
	term := leader.core.term
	var unreachable MemberID
	for _, id := range s.ids() {
		if id != leader.id {
			unreachable = id
		}
	}
	s.cut[[2]MemberID{leader.id, unreachable}] = true
	s.run(10 * simElectionTicks * stepsPerTick) // the unreachable follower's log is up to date
	s.runTraffic(20 * simElectionTicks * stepsPerTick)
	if now := s.waitForLeader(); now.id != leader.id || now.core.term != term {
		s.fail("a follower that cannot receive deposed the leader: want term %d, got %d", term, now.core.term)
	}
	s.heal()
	for _, id := range s.ids() {
		s.cut[[2]MemberID{id, leader.id}] = true
	}
	s.run(6 * simElectionTicks * stepsPerTick)
	if now := s.waitForLeader(); now.id == leader.id {
		s.fail("a leader that cannot receive has not stepped down")
	}
	s.converge()
	s.checkHistory()
}

// Guards against terms that grow with split votes. All voters campaign at the same time
// ten times in a row. Pre-votes do not raise the term, and one candidate wins in the end.
func TestSplitVotes(t *testing.T) {
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
	leader := s.waitForLeader()
	if leader.core.term > 15 {
		s.fail("got term %d, want at most 15", leader.core.term)
	}
	s.converge()
}

// Guards against losing acknowledged entries when all members restart repeatedly, some of
// them during an election, with hundreds of entries in the log.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	s := newSim(t, 4, 3)
	for range 5 {
		s.waitForLeader()
		s.runTraffic(100 * stepsPerTick)
		for _, id := range s.ids() {
			s.crash(s.members[id])
		}
		s.heal()
	}
	s.converge()
	if s.acked < 300 {
		s.fail("got %d acknowledged writes, want at least 300", s.acked)
	}
	s.checkHistory()
}

// Guards against a group that cannot survive a second loss after a replacement. A VM
// loses its disk under traffic and returns with a new identity. The new member gets the
// log by a snapshot and then a vote, and the old member is removed. Right afterwards
// another member is lost for good, and the group must continue to commit entries.
func TestVoterReplacedBeforeSecondFailure(t *testing.T) {
	s := newSim(t, 5, 3)
	leader := s.waitForLeader()
	s.runTraffic(100 * stepsPerTick)
	ids := s.ids()
	victim := ids[0]
	if victim == leader.id {
		victim = ids[1]
	}
	replacement := s.replace(victim, "b")
	for range 200 * stepsPerTick {
		if s.runTraffic(1); s.joining == "" {
			break
		}
	}
	leader = s.waitForLeader()
	config := leader.core.Config()
	if s.joining != "" || len(config.Voters) != 3 || !config.IsVoter(replacement) || config.IsVoter(victim) {
		s.fail("member was not replaced: %+v", config)
	}
	s.crash(leader)
	before := s.acked
	s.waitForLeader()
	s.runTraffic(40 * stepsPerTick)
	if s.acked-before < 10 {
		s.fail("the group committed fewer than 10 writes after the second loss")
	}
	s.converge()
	s.checkHistory()
}

// Guards against a leader without followers that exhausts its memory: it must refuse
// proposals once the bound on uncommitted entries is reached.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	s := newSim(t, 6, 3)
	leader := s.waitForLeader()
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

// Guards against committing an entry of an older term because a majority has stored it: a
// voter with a newer last term could still be elected and overwrite that entry. The
// leader's own first entry commits the older one.
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
		t.Fatalf("got a %s with commit index %d after a majority stored an older entry, want a leader with 1", c.role, c.commit)
	}
	step(Message{Kind: AppendReply, Index: 3})
	if c.Status().Commit != 3 {
		t.Errorf("got commit index %d, want 3", c.commit)
	}
}

// BenchmarkPacket encodes and decodes a message to a follower with 16 entries of 256
// bytes.
func BenchmarkMessageBatch(b *testing.B) {
	m := Message{Kind: AppendRequest, From: "vm1/aaaaaaaaaa", To: "vm2/bbbbbbbbbb", Term: 9, Index: 1 << 20, LogTerm: 9, Commit: 1 << 20}
	for i := range uint64(16) {
		m.Entries = append(m.Entries, Entry{Index: m.Index + 1 + i, Term: 9, Kind: EntryCommand, Data: make([]byte, 256)})
	}
	b.ReportAllocs()
	for b.Loop() {
		data, err := codec.Marshal(messageBatch{Group: "gggggggg", Messages: []Message{m}})
		if err != nil {
			b.Fatal(err)
		}
		var p messageBatch
		if err := codec.Unmarshal(data, &p); err != nil {
			b.Fatal(err)
		}
	}
}
