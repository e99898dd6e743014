package consensus

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// diskProgress is the state that a member saved before the crash.
type diskProgress struct {
	entered bool
	hard    HardState // last saved hard state
	last    uint64    // index of the last saved entry
	snap    uint64    // snapshot index of the last checkpoint that succeeded
}

// runDisk writes a member's disk until an error occurs. It saves the group, appends
// entries with growing terms and votes, and writes a snapshot and a checkpoint after
// every eighth entry.
func runDisk(fs wal.FS) (l diskProgress) {
	s, _, err := openStorage(fs, "/c", "vm1", "one", nil)
	if err != nil || s.saveGroup("g", record{Hard: HardState{Term: 1}}) != nil {
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

// Guards against losing acknowledged state when a member loses power. The crash occurs at
// every write, sync, rename and removal in turn, also during snapshots and compaction.
// The member must find its identity, term, vote, every acknowledged entry and a complete
// snapshot of the compacted ones. A member that was in no group may start as a new one.
func TestMemberDiskCrashAtEveryBoundary(t *testing.T) {
	crashes := 0
	for op := 1; ; op++ {
		fs := waltest.New()
		fs.CrashAt(op)
		l := runDisk(fs)
		if !fs.Crashed() {
			break
		}
		crashes++
		fs.Crash(func(n int) int { return n * (op % 3) / 2 })
		s, state, err := openStorage(fs, "/c", "vm1", "two", nil)
		if err != nil {
			t.Fatalf("crash at operation %d: reopening failed: %v", op, err)
		}
		if l.entered && !reflect.DeepEqual(s.identity, identity{ID: "vm1/one", Group: "g"}) {
			t.Fatalf("crash at operation %d: got identity %+v, want vm1/one in group g", op, s.identity)
		}
		last := state.Snapshot.Index + uint64(len(state.Entries))
		if last < l.last || state.Hard.Term < l.hard.Term || state.Hard.Term == l.hard.Term && state.Hard.Vote != l.hard.Vote {
			t.Fatalf("crash at operation %d: want at least %+v, got %+v and entries up to %d", op, l, state.Hard, last)
		}
		if s.snap.Index < l.snap || state.Snapshot.Index > s.snap.Index {
			t.Fatalf("crash at operation %d: got snapshot %d, want at least %d and at least the log base %d", op, s.snap.Index, l.snap, state.Snapshot.Index)
		}
		if s.snap.Index > 0 {
			if f, err := s.readSnapshot(s.snap); err != nil || string(f.Data) != fmt.Sprint("state ", s.snap.Index) {
				t.Fatalf("crash at operation %d: got snapshot content %q, %v; want the state at its index", op, f.Data, err)
			}
		}
		NewCore(Options{ID: s.identity.ID, ElectionTicks: 8, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}, state)
	}
	if crashes < 80 {
		t.Fatalf("got %d crashes, want at least 80", crashes)
	}
}

// Guards against a second vote in one term. Either the log or the identity file is lost.
// The member may have voted, so opening its directory must fail and name the file.
func TestIncompleteMemberDirectoryIsRefused(t *testing.T) {
	for _, gone := range []string{"identity", "segment-0000000000000001.log"} {
		fs := waltest.New()
		s, _, err := openStorage(fs, "/c", "vm1", "one", nil)
		if err != nil || s.saveGroup("g", record{Hard: HardState{Term: 1}}) != nil {
			t.Fatal("writing the directory failed:", err)
		}
		if err := fs.Remove("/c/" + gone); err != nil {
			t.Fatal(err)
		}
		_, _, err = openStorage(fs, "/c", "vm1", "two", nil)
		var damage *wal.DamageError
		if !errors.As(err, &damage) {
			t.Errorf("without %s: got %v, want a DamageError", gone, err)
		}
	}
}

// Guards against a second vote in one term after a restart. A voter grants its vote, loses
// power and gets the request of another candidate of the same term. It must reject it,
// because the vote was synced before the reply was sent.
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
		t.Errorf("got %+v, want one rejection of the second vote in a term", s.queue)
	}
}

// FuzzPacket checks that arbitrary input from another VM is either rejected or can be
// processed by a follower without a panic.
func FuzzPacket(f *testing.F) {
	config := Config{Voters: []MemberID{"a/1", "b/1"}}.encode()
	good := messageBatch{Group: "g", Messages: []Message{{
		Kind: AppendRequest, From: "b/1", To: "a/1", Term: 2,
		Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: config}, {Index: 2, Term: 2, Kind: EntryNoop}},
	}}}
	seed, err := codec.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var p messageBatch
		if codec.Unmarshal(data, &p) != nil {
			return
		}
		for _, m := range p.Messages {
			if m.validate() != nil {
				continue
			}
			c := NewCore(Options{ID: m.To, ElectionTicks: 8, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}, State{})
			if m.Commit > uint64(len(m.Entries)) {
				continue // a follower that lost acknowledged entries panics intentionally
			}
			c.Step(m)
			c.Ready()
		}
	})
}

// formerIdentity is the content of an identity file of the versions without founders.
type formerIdentity struct {
	ID    MemberID `cbor:"1,keyasint"`
	Group string   `cbor:"2,keyasint,omitempty"`
}

// Guards upgrades and downgrades before the group is formed: a directory of a version without
// founders opens as that of the same member, which is no founder unless the settings make it
// one, and such a version reads a directory with founders.
func TestIdentityOfAFormerVersion(t *testing.T) {
	for _, founders := range [][]string{nil, {"vm1", "vm2"}} {
		fs := waltest.New()
		data, err := cbor.Marshal(formerIdentity{ID: "vm1/one"})
		if err != nil {
			t.Fatal(err)
		}
		if err := wal.WriteFile(fs, "/c/identity", data); err != nil {
			t.Fatal(err)
		}
		s, _, err := openStorage(fs, "/c", "vm1", "two", founders)
		if err != nil {
			t.Fatal(err)
		}
		if want := (identity{ID: "vm1/one", Founders: founders}); !reflect.DeepEqual(s.identity, want) {
			t.Errorf("got identity %+v, want %+v", s.identity, want)
		}
		var former formerIdentity
		if data, err = wal.ReadFile(fs, "/c/identity"); err == nil {
			err = cbor.Unmarshal(data, &former)
		}
		if want := (formerIdentity{ID: "vm1/one"}); err != nil || former != want {
			t.Errorf("the former version reads %+v, %v, want %+v", former, err, want)
		}
	}
}
