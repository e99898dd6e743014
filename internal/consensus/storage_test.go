package consensus

import (
	"errors"
	"fmt"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// life is what a member wrote before the power went.
type life struct {
	entered bool
	hard    HardState // last saved
	last    uint64    // last entry saved
	snap    uint64    // last checkpoint that returned
}

// live runs a member's disk: it enters a group, appends with a growing term and
// vote, and checkpoints behind a snapshot every eighth entry.
func live(fs wal.FS) (l life) {
	s, _, err := openStorage(fs, "/c", "vm1", "one")
	if err != nil || s.enter("g", record{Hard: HardState{Term: 1}}) != nil {
		return l
	}
	l.entered = true
	var entries []Entry
	for i := uint64(1); i <= 30; i++ {
		e := Entry{Index: i, Term: i/7 + 1, Kind: EntryCommand, Data: fmt.Append(nil, i)}
		hard := HardState{Term: e.Term, Vote: MemberID(fmt.Sprint("vm", e.Term, "/x")), Commit: i}
		if s.append(record{Hard: hard, Entries: []Entry{e}}) != nil {
			return l
		}
		entries = append(entries, e)
		l.hard, l.last = hard, i
		if i%8 != 0 {
			continue
		}
		meta := SnapshotMeta{Index: i, Term: e.Term}
		base := SnapshotMeta{Index: i - 2, Term: entries[len(entries)-3].Term}
		entries = entries[len(entries)-2:]
		if s.writeSnapshot(snapshotFile{Meta: meta, Data: fmt.Append(nil, "state ", i)}) != nil ||
			s.checkpoint(record{Hard: hard, Base: &base, Snap: &meta, Entries: entries}) != nil {
			return l
		}
		l.snap = i
	}
	return l
}

// The power goes at each write, sync, rename and removal of a member's disk in
// turn, also while a snapshot is written and the log compacted. It comes back
// with its identity, its term and vote, every entry that it acknowledged, and a
// whole snapshot for what is compacted; or, before it entered a group, as new.
func TestMemberDiskCrashAtEveryBoundary(t *testing.T) {
	crashes := 0
	for op := 1; ; op++ {
		fs := waltest.New()
		fs.CrashAt(op)
		l := live(fs)
		if !fs.Crashed() {
			break
		}
		crashes++
		fs.Crash(func(n int) int { return n * (op % 3) / 2 })
		s, state, err := openStorage(fs, "/c", "vm1", "two")
		if err != nil {
			t.Fatalf("crash at %d: %v", op, err)
		}
		if l.entered && (s.who != identity{ID: "vm1/one", Group: "g"}) {
			t.Fatalf("crash at %d: came back as %+v", op, s.who)
		}
		last := state.Snapshot.Index + uint64(len(state.Entries))
		if last < l.last || state.Hard.Term < l.hard.Term || state.Hard.Term == l.hard.Term && state.Hard.Vote != l.hard.Vote {
			t.Fatalf("crash at %d: acknowledged %+v, found %+v and entries to %d", op, l, state.Hard, last)
		}
		if s.snap.Index < l.snap || state.Snapshot.Index > s.snap.Index {
			t.Fatalf("crash at %d: snapshot %d of %d, log from %d", op, s.snap.Index, l.snap, state.Snapshot.Index)
		}
		if s.snap.Index > 0 {
			if f, err := s.readSnapshot(s.snap); err != nil || string(f.Data) != fmt.Sprint("state ", s.snap.Index) {
				t.Fatalf("crash at %d: snapshot: %q, %v", op, f.Data, err)
			}
		}
		NewCore(Options{ID: s.who.ID, ElectionTicks: 8, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}, state)
	}
	if crashes < 80 {
		t.Fatalf("only %d boundaries met", crashes)
	}
}

// The log's files are gone but the identity is there, or the other way round: the
// member may have voted and must not go on. It says which file, and stops.
func TestHalfLostFolderIsRefused(t *testing.T) {
	for _, gone := range []string{"identity", "segment-0000000000000001.log"} {
		fs := waltest.New()
		s, _, err := openStorage(fs, "/c", "vm1", "one")
		if err != nil || s.enter("g", record{Hard: HardState{Term: 1}}) != nil {
			t.Fatal("setup", err)
		}
		if err := fs.Remove("/c/" + gone); err != nil {
			t.Fatal(err)
		}
		_, _, err = openStorage(fs, "/c", "vm1", "two")
		var damage *wal.DamageError
		if !errors.As(err, &damage) {
			t.Errorf("without %s: %v", gone, err)
		}
	}
}

// A voter gives its vote, loses power and is asked by another candidate of the
// same term. It refuses: the vote was synced before the answer left.
func TestVoteSurvivesRestart(t *testing.T) {
	s := newSim(t, 9, 3)
	voter := s.members["vm1/a"]
	ask := func(from MemberID) Message {
		return Message{Kind: VoteRequest, From: from, To: voter.id, Term: 5, Index: 9, LogTerm: 4}
	}
	voter.core.Step(ask("vm2/a"))
	s.pump(voter)
	s.crash(voter)
	s.start(voter)
	s.queue = nil
	voter.core.Step(ask("vm3/a"))
	s.pump(voter)
	if len(s.queue) != 1 || !s.queue[0].msg.Reject {
		t.Errorf("second vote in one term: %+v", s.queue)
	}
}

// FuzzPacket: whatever another VM sends is refused or can be stepped by a follower
// and read back from its log.
func FuzzPacket(f *testing.F) {
	config := Config{Voters: []MemberID{"a/1", "b/1"}}.encode()
	good := packet{Group: "g", Messages: []Message{{
		Kind: AppendRequest, From: "b/1", To: "a/1", Term: 2,
		Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: config}, {Index: 2, Term: 2, Kind: EntryNoop}},
	}}}
	seed, err := codec.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var p packet
		if codec.Unmarshal(data, &p) != nil {
			return
		}
		for _, m := range p.Messages {
			if m.validate() != nil {
				continue
			}
			c := NewCore(Options{ID: m.To, ElectionTicks: 8, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}, State{})
			if m.Commit > uint64(len(m.Entries)) {
				continue // a follower that lost acknowledged entries stops, by intent
			}
			c.Step(m)
			c.Ready()
		}
	})
}
