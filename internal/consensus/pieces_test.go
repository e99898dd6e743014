package consensus

import (
	"slices"
	"testing"
)

// Guards against a command that is joined from the pieces of two leaders.
func TestPiecesOfAnEarlierTermAreDropped(t *testing.T) {
	entry := func(term uint64, kind EntryKind, data string) Entry {
		return Entry{Term: term, Kind: kind, Data: []byte(data)}
	}
	for _, test := range []struct {
		name    string
		entries []Entry
		want    []string
		pending bool
	}{
		{"one entry", []Entry{entry(1, EntryCommand, "a")}, []string{"a"}, false},
		{"two pieces", []Entry{entry(1, EntryPiece, "a"), entry(1, EntryCommand, "b")}, []string{"ab"}, false},
		{"nothing carried over", []Entry{entry(1, EntryPiece, "a"), entry(1, EntryCommand, "b"), entry(1, EntryCommand, "c")}, []string{"ab", "c"}, false},
		{"incomplete", []Entry{entry(1, EntryPiece, "a")}, nil, true},
		{"another leader's first entry", []Entry{entry(1, EntryPiece, "a"), entry(2, EntryNoop, ""), entry(2, EntryCommand, "c")}, []string{"c"}, false},
		{"another leader's command", []Entry{entry(1, EntryPiece, "a"), entry(2, EntryCommand, "c")}, []string{"c"}, false},
		{"another leader's pieces", []Entry{entry(1, EntryPiece, "a"), entry(2, EntryPiece, "b"), entry(2, EntryCommand, "c")}, []string{"bc"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p reassembler
			var got []string
			for _, e := range test.entries {
				if command, ok := p.add(e); ok {
					got = append(got, string(command))
				}
			}
			if !slices.Equal(got, test.want) || p.pending() != test.pending {
				t.Errorf("got commands %q, pending %v; want %q, %v", got, p.pending(), test.want, test.pending)
			}
		})
	}
}

// Guards against entries that overwrite each other's data: an append to one part must not
// grow into the next.
func TestSplitCommandIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, 7, 8, 9, 16, 17} {
		command := make([]byte, size)
		for i := range command {
			command[i] = byte(i)
		}
		parts := splitCommand(command, 8)
		if got := slices.Concat(parts...); !slices.Equal(got, command) {
			t.Errorf("command of %d bytes: got %v from the parts, want the command", size, got)
		}
		for _, part := range parts {
			if len(part) > 8 || len(part) == 0 && size > 0 {
				t.Errorf("command of %d bytes: got a part of %d bytes, want 1 to 8", size, len(part))
			}
			_ = append(part, 0xFF)
		}
		if got := slices.Concat(parts...); !slices.Equal(got, command) {
			t.Errorf("command of %d bytes: an append to a part overwrote the next part", size)
		}
	}
}

// lastCommand is a state machine whose state is the last command.
type lastCommand struct{ data []byte }

func (l *lastCommand) Apply(entry []byte) ([]byte, error) { l.data = entry; return nil, nil }
func (l *lastCommand) Snapshot() ([]byte, error)          { return l.data, nil }
func (l *lastCommand) Restore(data []byte) error          { l.data = data; return nil }

// Guards against a snapshot between the pieces of a command, which would lose the command.
func TestNoSnapshotWithinACommand(t *testing.T) {
	a := newApplier(&lastCommand{}, nil, 0, Config{})
	var taken []uint64
	a.saveSnapshot = func(meta SnapshotMeta, _ []byte) { taken = append(taken, meta.Index) }
	for index, kind := range []EntryKind{EntryPiece, EntryPiece, EntryCommand} {
		a.applyOne(applyItem{entry: Entry{Index: uint64(index + 1), Term: 1, Kind: kind, Data: make([]byte, snapshotBytes)}})
		a.maybeSnapshot()
	}
	if !slices.Equal(taken, []uint64{3}) {
		t.Errorf("got snapshots at %v, want one at 3", taken)
	}
}
