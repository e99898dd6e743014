package peertest

import (
	"context"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Meter is a Transport that counts the answers to its calls. Safe for concurrent use.
type Meter struct {
	peer.Transport
	mu     sync.Mutex
	counts ReplyCounts
}

// Counts are answers to calls.
type ReplyCounts struct {
	ByKind  map[peer.Kind]int
	Replies int
	Bytes   int // of bodies
	Largest int // bytes
}

// NewMeter counts the answers to calls over t.
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

// Take returns what was counted, and begins anew.
func (m *Meter) ReadAndReset() ReplyCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.counts
	m.counts = ReplyCounts{ByKind: map[peer.Kind]int{}}
	return out
}
