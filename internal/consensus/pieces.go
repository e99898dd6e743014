package consensus

// The load pattern. An operator sends a list of megabytes. As one entry it goes to each
// follower in one message; heartbeats wait behind it until the followers elect another
// leader, which begins anew, and the command is never committed.
//
// So a command stands in the log as pieces that follow one another, each small enough
// that a heartbeat behind it is in time. Members answer piece by piece, and one that was
// lost is sent again by itself.

const (
	// maxEntryBytes bounds the data of one entry.
	maxEntryBytes = 32 << 10
	// maxBatchBytes bounds the entries of one message: with five followers a link of
	// 10 Mbit/s carries them in half of the shortest election timeout.
	maxBatchBytes = 2*maxEntryBytes + 4*entryOverhead
)

// split cuts a command into the data of its entries, at least one.
func split(command []byte, size int) [][]byte {
	var out [][]byte
	for len(command) > size {
		out = append(out, command[:size:size])
		command = command[size:]
	}
	return append(out, command)
}

// pieces joins committed entries into commands.
//
// Invariant: a leader appends all pieces of a command one behind another in one term.
// Pieces that an entry of another term follows are of a leader that was deposed before
// the rest was stored; their command was never executed, and never will be.
type pieces struct {
	term uint64
	data []byte
}

// add takes the next committed entry. It returns the command that the entry completes.
func (p *pieces) add(e Entry) (command []byte, ok bool) {
	if e.Term != p.term {
		p.term, p.data = e.Term, nil
	}
	switch e.Kind {
	case EntryPiece:
		p.data = append(p.data, e.Data...)
		return nil, false
	case EntryCommand:
		command = e.Data
		if len(p.data) > 0 {
			command = append(p.data, e.Data...)
		}
		p.data = nil
		return command, true
	}
	p.data = nil
	return nil, false
}

// pending reports whether a command is incomplete. A snapshot taken now would lose it.
func (p *pieces) pending() bool { return len(p.data) > 0 }
