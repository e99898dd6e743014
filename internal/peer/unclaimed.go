package peer

import "sync"

// UnclaimedReplies counts replies to calls that had already timed out or were cancelled.
// Their bandwidth is wasted.
type UnclaimedReplies struct {
	Count uint64
	Bytes uint64 // sum of the body sizes
}

// unclaimedCounter counts unclaimed replies by message kind. It is safe for concurrent use.
type unclaimedCounter struct {
	mu     sync.Mutex
	byKind map[Kind]UnclaimedReplies
}

func (u *unclaimedCounter) add(kind Kind, size int) {
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

// UnclaimedReplies returns the unclaimed replies of a message kind since the start.
func (n *Network) UnclaimedReplies(kind Kind) UnclaimedReplies {
	n.unclaimed.mu.Lock()
	defer n.unclaimed.mu.Unlock()
	return n.unclaimed.byKind[kind]
}
