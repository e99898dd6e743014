package peer

import "sync"

// Unclaimed counts answers that nobody waited for any more: the call had timed out or
// was cancelled, and the link carried them for nothing.
type Unclaimed struct {
	Answers uint64
	Bytes   uint64 // of bodies
}

// unclaimed counts by message kind. Safe for concurrent use.
type unclaimed struct {
	mu     sync.Mutex
	byKind map[Kind]Unclaimed
}

func (u *unclaimed) note(kind Kind, size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKind == nil {
		u.byKind = map[Kind]Unclaimed{}
	}
	count := u.byKind[kind]
	count.Answers++
	count.Bytes += uint64(size)
	u.byKind[kind] = count
}

// Unclaimed returns what has come too late of one kind of message.
func (n *Network) Unclaimed(kind Kind) Unclaimed {
	n.unclaimed.mu.Lock()
	defer n.unclaimed.mu.Unlock()
	return n.unclaimed.byKind[kind]
}
