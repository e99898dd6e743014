package consensus

import "fmt"

// raftLog is the log after the last snapshot, in memory.
type raftLog struct {
	snap      SnapshotMeta
	entries   []Entry // from snap.Index+1 on
	persisted uint64  // last index that is synced on this VM's disk
	configs   []configAt
}

// configAt is the membership from an entry on.
type configAt struct {
	index  uint64
	config Config
}

func newRaftLog(snap SnapshotMeta, entries []Entry) *raftLog {
	l := &raftLog{}
	l.reset(snap)
	l.append(entries)
	l.persisted = l.last()
	return l
}

func (l *raftLog) reset(snap SnapshotMeta) {
	l.snap, l.entries, l.persisted = snap, nil, snap.Index
	l.configs = []configAt{{snap.Index, snap.Config}}
}

func (l *raftLog) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry; false where it is compacted or not there.
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

// append adds entries that follow the last one.
func (l *raftLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("consensus: entry %d appended after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryConfig {
			l.configs = append(l.configs, configAt{e.Index, decodeConfig(e.Data)})
		}
	}
}

// truncate drops the entries from index on. The slice is copied on the next
// append: messages on their way share the old one.
func (l *raftLog) truncate(index uint64) {
	keep := index - l.snap.Index - 1
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// config is the latest membership in the log, committed or not.
func (l *raftLog) config() configAt { return l.configs[len(l.configs)-1] }

// configUpTo is the membership after the entry index.
func (l *raftLog) configUpTo(index uint64) Config {
	out := l.configs[0].config
	for _, c := range l.configs {
		if c.index <= index {
			out = c.config
		}
	}
	return out
}

// slice returns entries from index from on, at least one if there is one and
// then up to maxBytes.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
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

// entryOverhead is what an entry takes beside its data, in bytes, about.
const entryOverhead = 24

// size is about what an entry takes, in bytes.
func (e *Entry) size() int { return len(e.Data) + entryOverhead }

func entryBytes(entries []Entry) int {
	size := 0
	for i := range entries {
		size += entries[i].size()
	}
	return size
}

// compact drops the entries up to index, which a snapshot holds. The rest is
// copied, so that the dropped ones are freed.
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

// trailing returns the index up to which the log may be dropped so that the last
// entries before index stay, bounded in count and bytes.
func (l *raftLog) trailing(index uint64) uint64 {
	kept := 0
	for i := index; i > l.snap.Index; i-- {
		kept += l.entries[i-l.snap.Index-1].size()
		if kept > trailingBytes || index-i >= trailingEntries {
			return i
		}
	}
	return l.snap.Index
}

// agreeing returns the largest index up to from whose term is at most term: the
// logs cannot agree on an entry between it and from.
func (l *raftLog) agreeing(from, term uint64) (uint64, uint64) {
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
