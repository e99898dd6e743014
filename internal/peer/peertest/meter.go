package peertest

import (
	"context"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Meter is a peer.Transport that counts the calls made over it and the sizes of their replies.
// It is safe for concurrent use.
type Meter struct {
	peer.Transport
	mu     sync.Mutex
	counts ReplyCounts
}

// ReplyCounts holds the number and the sizes of the replies to calls. Failed calls count as
// well.
type ReplyCounts struct {
	ByKind  map[peer.Kind]int
	Replies int
	Bytes   int // sum of the encoded sizes
	Largest int // size of the largest reply, in bytes
}

// NewMeter returns a Meter that makes its calls over t.
func NewMeter(t peer.Transport) *Meter {
	return &Meter{Transport: t, counts: ReplyCounts{ByKind: map[peer.Kind]int{}}}
}

// Call implements peer.Transport.
func (m *Meter) Call(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
	err := m.Transport.Call(ctx, vm, kind, body, reply)
	data, encoding := codec.Marshal(reply)
	if encoding != nil {
		return encoding
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.ByKind[kind]++
	m.counts.Replies++
	m.counts.Bytes += len(data)
	m.counts.Largest = max(m.counts.Largest, len(data))
	return err
}

// ReadAndReset returns the counts since the previous ReadAndReset and resets them to zero.
func (m *Meter) ReadAndReset() ReplyCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.counts
	m.counts = ReplyCounts{ByKind: map[peer.Kind]int{}}
	return out
}
