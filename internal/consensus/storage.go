package consensus

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

const (
	identityFile   = "identity"
	snapshotPrefix = "snapshot-"
)

// identity is this VM's member id and its group. It is stored beside the log, so both
// are lost together.
type identity struct {
	ID    MemberID `cbor:"1,keyasint"`
	Group string   `cbor:"2,keyasint,omitempty"` // empty until the VM is a member of a group
	// Founders are the VMs that form the group, as the settings of the first start list
	// them. A process that dies before the group exists is told at its next start that
	// it is not the first one, and perhaps of other VMs. Empty if the VM is no founder.
	Founders []string `cbor:"3,keyasint,omitempty"`
}

// record is one record of the write-ahead log.
type record struct {
	Hard    HardState     `cbor:"1,keyasint"`
	Entries []Entry       `cbor:"2,keyasint,omitempty"`
	Base    *SnapshotMeta `cbor:"3,keyasint,omitempty"` // checkpoint: the state before Entries
	Snap    *SnapshotMeta `cbor:"4,keyasint,omitempty"` // checkpoint: identifies the snapshot file
}

// snapshotFile is the content of a snapshot file.
type snapshotFile struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint"`
}

// storage is the directory of one member.
type storage struct {
	fs       wal.FS
	dir      string
	log      *wal.Log
	identity identity
	snap     SnapshotMeta // the latest snapshot; Index 0 means none
}

// openStorage opens the directory and returns the persisted state. A directory without
// an identity file and with an empty log becomes that of a new member with the
// identity newIdentity. founders is set at the first start of the whole system.
func openStorage(fsys wal.FS, dir, vm, newIdentity string, founders []string) (*storage, State, error) {
	log, frames, err := wal.Open(fsys, dir)
	if err != nil {
		return nil, State{}, err
	}
	s := &storage{fs: fsys, dir: dir, log: log}
	if err := s.loadIdentity(vm, newIdentity, founders, len(frames)); err != nil {
		return nil, State{}, errors.Join(err, log.Close())
	}
	state, err := s.replay(frames)
	if err != nil {
		return nil, State{}, errors.Join(err, log.Close())
	}
	return s, state, nil
}

func (s *storage) loadIdentity(vm, newIdentity string, founders []string, frames int) error {
	name := filepath.Join(s.dir, identityFile)
	data, err := wal.ReadFile(s.fs, name)
	if errors.Is(err, fs.ErrNotExist) {
		if frames > 0 {
			return &wal.DamageError{File: name, Reason: "file is missing, but the log beside it is not empty"}
		}
		s.identity = identity{ID: NewMemberID(vm, newIdentity), Founders: slices.Clone(founders)}
		return s.saveIdentity()
	}
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, &s.identity); err != nil {
		return &wal.DamageError{File: name, Reason: err.Error()}
	}
	if s.identity.ID.VM() != vm {
		return fmt.Errorf("consensus: folder %s belongs to VM %s, but this is VM %s", s.dir, s.identity.ID.VM(), vm)
	}
	if s.identity.Group != "" && frames == 0 {
		// The member may have voted. It must not continue without its log.
		return &wal.DamageError{File: name, Reason: "the log beside the file is missing; remove the folder to join as a new member"}
	}
	return s.saveFounders(founders)
}

// saveFounders saves the list of founders of a first start. Without one, a member that is
// in no group keeps the list that it has.
func (s *storage) saveFounders(founders []string) error {
	if s.identity.Group != "" || len(founders) == 0 || slices.Equal(founders, s.identity.Founders) {
		return nil
	}
	s.identity.Founders = slices.Clone(founders)
	return s.saveIdentity()
}

func (s *storage) saveIdentity() error {
	data, err := cbor.Marshal(s.identity)
	if err != nil {
		return err
	}
	return wal.WriteFile(s.fs, filepath.Join(s.dir, identityFile), data)
}

// saveGroup records that this member belongs to the group. It appends the first log
// record before it saves the identity. A member of a group whose log is empty has
// therefore lost its log. The Base of that record discards the records of an earlier
// saveGroup that was interrupted by a crash.
func (s *storage) saveGroup(group string, first record) error {
	first.Base = &SnapshotMeta{}
	if err := s.append(first); err != nil {
		return err
	}
	s.identity.Group, s.identity.Founders = group, nil
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

// errCheckpointTooLarge reports that the entries after a snapshot exceed the size of
// one record.
var errCheckpointTooLarge = errors.New("consensus: checkpoint too large")

// checkpoint replaces the log by one record and removes older snapshot files.
func (s *storage) checkpoint(r record) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	if len(data) > wal.MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", errCheckpointTooLarge, len(data))
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
		return fmt.Errorf("consensus: snapshot of %d bytes exceeds the limit of %d bytes", len(data), wal.MaxFrameBytes)
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
