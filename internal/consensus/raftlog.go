package consensus

import "fmt"

// raftLog holds the entries after the last snapshot in memory.
type raftLog struct {
	snap      SnapshotMeta
	entries   []Entry // from snap.Index+1 on
	persisted uint64  // last entry that is synced to this VM's disk
	configs   []configAt
}

// configAt is the membership that takes effect with the entry at index.
type configAt struct {
	index  uint64
	config Config
}

func newRaftLog(snap SnapshotMeta, entries []Entry) *raftLog {
	l := &raftLog{}
	l.resetToSnapshot(snap)
	l.append(entries)
	l.persisted = l.last()
	return l
}

func (l *raftLog) resetToSnapshot(snap SnapshotMeta) {
	l.snap, l.entries, l.persisted = snap, nil, snap.Index
	l.configs = []configAt{{snap.Index, snap.Config}}
}

func (l *raftLog) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry; false if the entry is compacted or does not exist.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.snap.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.snap.Index-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// append adds entries. The first one must follow the last entry of the log.
func (l *raftLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("consensus: entry %d appended after entry %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryConfig {
			l.configs = append(l.configs, configAt{e.Index, decodeConfig(e.Data)})
		}
	}
}

// truncate drops the entries from index on. The capacity is cut too: the next append
// copies the slice, because messages in flight share the old one.
func (l *raftLog) truncate(index uint64) {
	keep := index - l.snap.Index - 1
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// config returns the latest membership in the log, committed or not.
func (l *raftLog) config() configAt { return l.configs[len(l.configs)-1] }

// configUpTo returns the membership after the entry at index.
func (l *raftLog) configUpTo(index uint64) Config {
	out := l.configs[0].config
	for _, c := range l.configs {
		if c.index <= index {
			out = c.config
		}
	}
	return out
}

// entriesBetween returns the entries with the indices from to to, cut off at about
// maxBytes. It returns at least one entry if the range is not empty.
func (l *raftLog) entriesBetween(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.snap.Index-1 : to-l.snap.Index]
	size := 0
	for i, e := range all {
		size += e.size()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// entryOverhead is the approximate encoded size of an entry without its data, in bytes.
const entryOverhead = 24

// size returns the approximate encoded size of an entry, in bytes.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

func entryBytes(entries []Entry) int {
	size := 0
	for i := range entries {
		size += entries[i].size()
	}
	return size
}

// compact drops the entries up to index, which a snapshot covers. The other entries
// are copied to a new slice, which frees the memory of the dropped ones.
func (l *raftLog) compact(index uint64) {
	if index <= l.snap.Index {
		return
	}
	t, _ := l.term(index)
	config := l.configUpTo(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snap.Index:]...)
	l.snap = SnapshotMeta{Index: index, Term: t, Config: config}
	kept := []configAt{{index, config}}
	for _, c := range l.configs {
		if c.index > index {
			kept = append(kept, c)
		}
	}
	l.configs = kept
}

// compactionIndex returns the index up to which the log may be dropped when a snapshot
// exists at index. The last entries before the snapshot stay, at most about
// trailingEntries and trailingBytes of them.
func (l *raftLog) compactionIndex(index uint64) uint64 {
	kept := 0
	for i := index; i > l.snap.Index; i-- {
		kept += l.entries[i-l.snap.Index-1].size()
		if kept > trailingBytes || index-i >= trailingEntries {
			return i
		}
	}
	return l.snap.Index
}

// findConflictByTerm returns index and term of the last entry up to from whose term is
// at most term. The logs cannot agree on an entry between it and from.
func (l *raftLog) findConflictByTerm(from, term uint64) (uint64, uint64) {
	for index := min(from, l.last()); ; index-- {
		t, ok := l.term(index)
		if !ok {
			return l.snap.Index, l.snap.Term
		}
		if t <= term || index == 0 {
			return index, t
		}
	}
}
