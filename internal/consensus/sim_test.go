package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
)

// The simulation: members over a network that drops, delays, duplicates and
// cuts, on disks that keep what was saved. One step is a fifth of a tick.
const (
	stepsPerTick = 5
	simElection  = 8
	snapEvery    = 12
	snapTrailing = 3
	// simEntryBytes has values of three and four digits stand in two entries.
	simEntryBytes = 2
)

type disk struct {
	hard    HardState
	base    SnapshotMeta
	entries []Entry
	snap    SnapshotMeta
	state   []string
}

type member struct {
	id       MemberID
	core     *Core
	disk     *disk
	up       bool
	paused   int // until this step
	applied  uint64
	state    []string
	pieces   pieces
	received []string // state of a snapshot that no checkpoint names yet
	waiting  map[uint64]*simOp
	reads    map[uint64]*simOp
}

type simOp struct {
	op    int // index in the history
	term  uint64
	value string
	index uint64
	floor uint64 // a read must reach at least this
}

type delivery struct {
	at  int
	msg Message
	do  func()
}

type sim struct {
	t         *testing.T
	rng       *rand.Rand
	now       int
	members   map[MemberID]*member
	queue     []delivery
	cut       map[[2]MemberID]bool
	drop      float64
	powerLoss float64 // probability at each save
	maxDelay  int

	leaders   map[uint64]MemberID
	committed map[uint64]Entry
	inTerm    map[uint64]uint64 // by index: the term of the member that first applied it, then
	maxCommit uint64
	ackFloor  uint64
	history   []porcupine.Operation
	nextValue int
	joining   MemberID
	acked     int
	readsDone int
	appliedAt map[string]int // when a value was first applied anywhere
}

func newSim(t *testing.T, seed uint64, voters int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: map[MemberID]*member{}, cut: map[[2]MemberID]bool{},
		leaders: map[uint64]MemberID{}, committed: map[uint64]Entry{}, inTerm: map[uint64]uint64{}, maxDelay: 2, appliedAt: map[string]int{},
	}
	var config Config
	for i := range voters {
		config.Voters = append(config.Voters, NewMemberID(fmt.Sprintf("vm%d", i+1), "a"))
	}
	first := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: config.encode()}
	for _, id := range config.Voters {
		s.add(id, &disk{hard: HardState{Term: 1, Commit: 1}, entries: []Entry{first}})
	}
	s.committed[1], s.maxCommit = first, 1
	return s
}

func (s *sim) add(id MemberID, d *disk) {
	s.members[id] = &member{id: id, disk: d}
	s.start(s.members[id])
}

func (s *sim) ids() []MemberID { return slices.Sorted(maps.Keys(s.members)) }

func (s *sim) start(m *member) {
	d := m.disk
	m.core = NewCore(Options{ID: m.id, ElectionTicks: simElection, HeartbeatTicks: 2, MaxEntryBytes: simEntryBytes, Rand: s.rng.IntN},
		State{Hard: d.hard, Snapshot: d.base, Entries: slices.Clone(d.entries), Applied: d.snap.Index})
	m.up, m.applied, m.state, m.pieces = true, d.snap.Index, slices.Clone(d.state), pieces{}
	m.waiting, m.reads = map[uint64]*simOp{}, map[uint64]*simOp{}
}

func (s *sim) crash(m *member) { m.up, m.core = false, nil }

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("step %d: %s", s.now, fmt.Sprintf(format, args...))
}

func (s *sim) active(m *member) bool { return m != nil && m.up && m.paused <= s.now }

func (s *sim) step() {
	s.now++
	for i, id := range s.ids() {
		m := s.members[id]
		if s.active(m) && (s.now+i)%stepsPerTick == 0 {
			m.core.Tick()
			s.pump(m)
		}
	}
	due := []delivery{}
	rest := s.queue[:0]
	for _, d := range s.queue {
		if d.at <= s.now {
			due = append(due, d)
		} else {
			rest = append(rest, d)
		}
	}
	s.queue = rest
	for _, d := range due {
		s.deliver(d)
	}
	s.check()
}

func (s *sim) run(steps int) {
	for range steps {
		s.step()
	}
}

func (s *sim) deliver(d delivery) {
	if d.do != nil {
		d.do()
		return
	}
	to := s.members[d.msg.To]
	if to == nil || !to.up || s.cut[[2]MemberID{d.msg.From, d.msg.To}] {
		return
	}
	if !s.active(to) { // a paused process reads its sockets once it is back
		s.queue = append(s.queue, delivery{at: to.paused + 1, msg: d.msg})
		return
	}
	to.core.Step(d.msg)
	s.pump(to)
}

func (s *sim) send(messages []Message) {
	for _, m := range messages {
		copies := 1
		if s.drop > 0 && s.rng.Float64() < s.drop {
			copies = 0
		} else if s.drop > 0 && s.rng.Float64() < s.drop {
			copies = 2
		}
		for range copies {
			s.queue = append(s.queue, delivery{at: s.now + 1 + s.rng.IntN(s.maxDelay), msg: m})
		}
	}
}

// pump does what a Node does with a Ready.
func (s *sim) pump(m *member) {
	for m.up && m.core.HasReady() {
		rd := m.core.Ready()
		s.send(rd.SendBeforeSync)
		if s.powerLoss > 0 && s.rng.Float64() < s.powerLoss {
			s.crash(m) // nothing of rd reached the disk
			return
		}
		if rd.Snapshot != nil {
			m.disk.base, m.disk.entries = *rd.Snapshot, nil
			m.disk.snap, m.disk.state = *rd.Snapshot, m.received
			m.applied, m.state, m.pieces = m.disk.snap.Index, slices.Clone(m.disk.state), pieces{}
		}
		if rd.MustSync {
			m.disk.save(rd)
		}
		m.core.Saved(rd)
		s.send(rd.SendAfterSync)
		for _, e := range rd.Committed {
			s.apply(m, e)
		}
		for _, r := range rd.Reads {
			s.finishRead(m, r)
		}
		for _, to := range rd.SnapshotTargets {
			s.transfer(m, to)
		}
		if m.applied-m.disk.snap.Index > snapEvery && !m.pieces.pending() {
			s.snapshot(m)
		}
	}
}

func (d *disk) save(rd Ready) {
	d.hard = rd.Hard
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.base.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), rd.Entries...)
	}
}

func (s *sim) snapshot(m *member) {
	config := m.core.log.configUpTo(m.applied)
	term, _ := m.core.log.term(m.applied)
	m.disk.snap = SnapshotMeta{Index: m.applied, Term: term, Config: config}
	m.disk.state = slices.Clone(m.state)
	m.core.Compact(m.applied - snapTrailing)
	m.disk.base = m.core.log.snap
	m.disk.entries = slices.Clone(m.core.log.entries[:m.core.log.persisted-m.core.log.snap.Index])
	m.disk.hard.Commit = max(m.disk.hard.Commit, m.applied)
}

// transfer carries a snapshot, or loses it.
func (s *sim) transfer(from *member, id MemberID) {
	meta, state := from.disk.snap, slices.Clone(from.disk.state)
	term, core := from.core.term, from.core
	s.queue = append(s.queue, delivery{at: s.now + 10, do: func() {
		to := s.members[id]
		ok := s.active(to) && s.active(from) && from.core == core &&
			!s.cut[[2]MemberID{from.id, id}] && (s.drop == 0 || s.rng.Float64() > s.drop)
		if ok {
			to.received = state
			to.core.Step(Message{Kind: SnapshotInstalled, From: from.id, To: id, Term: term, Meta: &meta})
			s.pump(to)
		}
		s.report(from, core, id, meta.Index, ok)
	}})
}

// report tells a sender how its transfer ended, once it runs again.
func (s *sim) report(from *member, core *Core, to MemberID, index uint64, ok bool) {
	if from.core != core {
		return
	}
	if !s.active(from) {
		s.queue = append(s.queue, delivery{at: from.paused + 1, do: func() { s.report(from, core, to, index, ok) }})
		return
	}
	core.SnapshotSent(to, index, ok)
	s.pump(from)
}

func (s *sim) apply(m *member, e Entry) {
	if e.Index != m.applied+1 {
		s.fail("%s applies %d after %d", m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	if known, ok := s.committed[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		s.fail("%s applies another entry %d than was applied elsewhere", m.id, e.Index)
	}
	if _, ok := s.committed[e.Index]; !ok {
		s.inTerm[e.Index] = m.core.term
	}
	s.committed[e.Index] = e
	s.maxCommit = max(s.maxCommit, e.Index)
	if command, ok := m.pieces.add(e); ok {
		m.state = append(m.state, string(command))
		if _, ok := s.appliedAt[string(command)]; !ok {
			s.appliedAt[string(command)] = s.now
		}
	}
	if op := m.waiting[e.Index]; op != nil {
		delete(m.waiting, e.Index)
		if op.term == e.Term {
			s.history[op.op].Return = int64(s.now)
			s.ackFloor = max(s.ackFloor, e.Index)
			s.acked++
		}
	}
	for id, op := range m.reads {
		if op.index > 0 && op.index <= m.applied {
			s.answerRead(m, id, op)
		}
	}
}

// write proposes the next value on a member that believes it leads.
func (s *sim) write(m *member) {
	s.nextValue++
	value := fmt.Sprint(s.nextValue)
	index, term, err := m.core.Propose([]byte(value))
	if err != nil {
		return
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Input: value, Output: "", Call: int64(s.now), Return: endOfTime,
	})
	m.waiting[index] = &simOp{op: len(s.history) - 1, term: term, value: value}
	s.pump(m)
}

const endOfTime = int64(1) << 40

// The history's clients: so many wait at a time, and each gives up some time
// after a fault; more only makes the check of the history longer.
const (
	maxOutstanding = 4
	giveUpAfter    = 250
)

func (s *sim) busy() bool {
	outstanding := 0
	for _, op := range s.history[max(0, len(s.history)-giveUpAfter):] {
		if op.Return == endOfTime && int64(s.now)-op.Call < giveUpAfter {
			outstanding++
		}
	}
	return outstanding >= maxOutstanding
}

func (s *sim) read(m *member, urgent bool) {
	s.nextValue++
	id := uint64(s.nextValue)
	if m.core.ReadIndex(id, urgent) != nil {
		return
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Input: "", Output: nil, Call: int64(s.now), Return: endOfTime,
	})
	m.reads[id] = &simOp{op: len(s.history) - 1, floor: s.ackFloor}
	s.pump(m)
}

func (s *sim) finishRead(m *member, r Read) {
	op := m.reads[r.ID]
	if r.Index < op.floor {
		s.fail("%s confirms a read at %d, but %d was acknowledged before it", m.id, r.Index, op.floor)
	}
	op.index = r.Index
	if m.applied >= r.Index {
		s.answerRead(m, r.ID, op)
	}
}

func (s *sim) answerRead(m *member, id uint64, op *simOp) {
	delete(m.reads, id)
	s.history[op.op].Return = int64(s.now)
	value := ""
	if len(m.state) > 0 {
		value = m.state[len(m.state)-1]
	}
	s.history[op.op].Output = value
	s.readsDone++
}
