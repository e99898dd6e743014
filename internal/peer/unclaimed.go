package peer

import "sync"

// UnclaimedReplies counts replies to calls that had already timed out or were cancelled.
// They are bandwidth that was spent in vain.
type Unclaimed struct {
	Answers uint64
	Bytes   uint64 // sum of the body sizes
}

// unclaimedCounter counts unclaimed replies by message kind. It is safe for concurrent use.
type unclaimedCounter struct {
	mu     sync.Mutex
	byKind map[Kind]Unclaimed
}

func (u *unclaimedCounter) add(kind Kind, size int) {
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

// UnclaimedReplies returns the unclaimed replies of a message kind since the start.
func (n *Network) Unclaimed(kind Kind) Unclaimed {
	n.unclaimed.mu.Lock()
	defer n.unclaimed.mu.Unlock()
	return n.unclaimed.byKind[kind]
}
