package peer

import "sync"

// Unclaimed counts answers that nobody waited for any more: the call had timed out or
// was cancelled, and the link carried them for nothing.
type UnclaimedReplies struct {
	Count uint64
	Bytes uint64 // of bodies
}

// unclaimed counts by message kind. Safe for concurrent use.
type unclaimed struct {
	mu     sync.Mutex
	byKind map[Kind]UnclaimedReplies
}

func (u *unclaimed) note(kind Kind, size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKind == nil {
		u.byKind = map[Kind]UnclaimedReplies{}
	}
	count := u.byKind[kind]
	count.Count++
	count.Bytes += uint64(size)
	u.byKind[kind] = count
}

// Unclaimed returns what has come too late of one kind of message.
func (n *Network) UnclaimedReplies(kind Kind) UnclaimedReplies {
	n.unclaimed.mu.Lock()
	defer n.unclaimed.mu.Unlock()
	return n.unclaimed.byKind[kind]
}
