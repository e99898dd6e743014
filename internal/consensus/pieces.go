package consensus

// This file answers overload by large commands. An operator may send a list of several
// megabytes. As a single entry it goes to each follower in one message, and heartbeats
// queue behind that message until the followers elect another leader. The new leader
// starts over, and the command is never committed.
//
// A command is therefore stored in the log as consecutive pieces. Each piece is small
// enough that a heartbeat queued behind it arrives in time. Members acknowledge pieces
// separately, and a lost piece is sent again on its own.

const (
	// maxEntryBytes bounds the data of one entry.
	maxEntryBytes = 32 << 10
	// maxBatchBytes bounds the entries of one message. With five followers a link of
	// 10 Mbit/s carries them in half of the shortest election timeout.
	maxBatchBytes = 2*maxEntryBytes + 4*entryOverhead
)

// splitCommand splits a command into the data of its entries, of at most size bytes
// each. It returns at least one part.
func splitCommand(command []byte, size int) [][]byte {
	var out [][]byte
	for len(command) > size {
		out = append(out, command[:size:size])
		command = command[size:]
	}
	return append(out, command)
}

// reassembler joins the pieces in committed entries into commands.
//
// Invariant: a leader appends all pieces of a command consecutively in one term. If an
// entry of another term follows a piece, the leader was deposed before the rest of the
// command was stored. That command is never executed.
type reassembler struct {
	term uint64
	data []byte
}

// add adds the next committed entry. It returns the command that the entry completes;
// ok is false if it completes none.
func (p *reassembler) add(e Entry) (command []byte, ok bool) {
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

// pending reports whether a command is incomplete. A snapshot taken now would lose its
// first pieces.
func (p *reassembler) pending() bool { return len(p.data) > 0 }
