package consensus

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

const (
	identityFile   = "identity"
	snapshotPrefix = "snapshot-"
)

// identity says who this VM is within which group. It lies beside the log: both
// are lost together.
type identity struct {
	ID    MemberID `cbor:"1,keyasint"`
	Group string   `cbor:"2,keyasint,omitempty"` // empty until the VM is in a group
}

// record is one entry of the write-ahead log.
type record struct {
	Hard    HardState     `cbor:"1,keyasint"`
	Entries []Entry       `cbor:"2,keyasint,omitempty"`
	Base    *SnapshotMeta `cbor:"3,keyasint,omitempty"` // checkpoint: Entries follow it
	Snap    *SnapshotMeta `cbor:"4,keyasint,omitempty"` // checkpoint: the file with the state
}

// snapshotFile is the content of a snapshot's file.
type snapshotFile struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint"`
}

// storage is one member's folder.
type storage struct {
	fs   wal.FS
	dir  string
	log  *wal.Log
	who  identity
	snap SnapshotMeta // the state that the log builds on; Index 0: none
}

// openStorage reads the folder. A folder without identity is a new member's.
func openStorage(fsys wal.FS, dir, vm, fresh string) (*storage, State, error) {
	log, frames, err := wal.Open(fsys, dir)
	if err != nil {
		return nil, State{}, err
	}
	s := &storage{fs: fsys, dir: dir, log: log}
	if err := s.loadIdentity(vm, fresh, len(frames)); err != nil {
		return nil, State{}, errors.Join(err, log.Close())
	}
	state, err := s.replay(frames)
	if err != nil {
		return nil, State{}, errors.Join(err, log.Close())
	}
	return s, state, nil
}

func (s *storage) loadIdentity(vm, fresh string, frames int) error {
	name := filepath.Join(s.dir, identityFile)
	data, err := wal.ReadFile(s.fs, name)
	if errors.Is(err, fs.ErrNotExist) {
		if frames > 0 {
			return &wal.DamageError{File: name, Reason: "missing beside a log that is not empty"}
		}
		s.who = identity{ID: NewMemberID(vm, fresh)}
		return s.saveIdentity()
	}
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, &s.who); err != nil {
		return &wal.DamageError{File: name, Reason: err.Error()}
	}
	if s.who.ID.VM() != vm {
		return fmt.Errorf("consensus: %s belongs to VM %s, this is %s", s.dir, s.who.ID.VM(), vm)
	}
	if s.who.Group != "" && frames == 0 {
		// The member may have voted; without its log it must not go on.
		return &wal.DamageError{File: name, Reason: "the log beside it is gone; remove the folder to join as a new member"}
	}
	return nil
}

func (s *storage) saveIdentity() error {
	data, err := cbor.Marshal(s.who)
	if err != nil {
		return err
	}
	return wal.WriteFile(s.fs, filepath.Join(s.dir, identityFile), data)
}

// enter records the group. The log gets its first record before, so that a
// member without one is known to have lost it; the record voids what an entry
// into a group that a crash cut short may have left.
func (s *storage) enter(group string, first record) error {
	first.Base = &SnapshotMeta{}
	if err := s.append(first); err != nil {
		return err
	}
	s.who.Group = group
	return s.saveIdentity()
}

func (s *storage) replay(frames [][]byte) (State, error) {
	var st State
	for _, frame := range frames {
		var r record
		if err := cbor.Unmarshal(frame, &r); err != nil {
			return State{}, &wal.DamageError{File: s.dir, Reason: "record: " + err.Error()}
		}
		if r.Base != nil {
			st.Snapshot, st.Entries = *r.Base, nil
		}
		if r.Snap != nil {
			s.snap = *r.Snap
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - st.Snapshot.Index - 1
			st.Entries = append(st.Entries[:keep:keep], r.Entries...)
		}
		st.Hard = r.Hard
	}
	st.Applied = s.snap.Index
	return st, nil
}

func (s *storage) append(r record) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	return s.log.Append(data)
}

// errTooLarge: what follows a snapshot does not fit in one record.
var errTooLarge = errors.New("consensus: checkpoint too large")

// checkpoint replaces the log and removes what it makes useless.
func (s *storage) checkpoint(r record) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	if len(data) > wal.MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", errTooLarge, len(data))
	}
	if err := s.log.Checkpoint(data); err != nil {
		return err
	}
	s.snap = *r.Snap
	return wal.RemoveBefore(s.fs, s.dir, snapshotPrefix, snapshotName(s.snap))
}

func snapshotName(m SnapshotMeta) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.Index, m.Term)
}

func (s *storage) writeSnapshot(f snapshotFile) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(data) > wal.MaxFrameBytes {
		return fmt.Errorf("consensus: state of %d bytes exceeds %d", len(data), wal.MaxFrameBytes)
	}
	return wal.WriteFile(s.fs, filepath.Join(s.dir, snapshotName(f.Meta)), data)
}

func (s *storage) readSnapshot(m SnapshotMeta) (snapshotFile, error) {
	var f snapshotFile
	name := filepath.Join(s.dir, snapshotName(m))
	data, err := wal.ReadFile(s.fs, name)
	if err != nil {
		return f, err
	}
	if err := cbor.Unmarshal(data, &f); err != nil {
		return f, &wal.DamageError{File: name, Reason: err.Error()}
	}
	return f, nil
}
