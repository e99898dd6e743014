package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Solo is a Client over a Machine in the same process, without replication:
// what tests of the parts need, and nothing that survives a restart.
type LocalClient struct {
	machine *ReplicatedState
	now     func() time.Time
}

// NewSolo returns a Solo.
func NewLocalClient(m *ReplicatedState) *LocalClient { return &LocalClient{machine: m, now: time.Now} }

// Propose implements Client.
func (s *LocalClient) Propose(_ context.Context, part StateMachineID, cmd []byte) ([]byte, error) {
	entry, err := codec.Marshal(Envelope{StateMachine: part, ID: rand.Text(), AtMS: s.now().UnixMilli(), Body: cmd})
	if err != nil {
		return nil, err
	}
	return s.machine.Apply(entry)
}

// Barrier implements Client.
func (s *LocalClient) Barrier(context.Context) error { return nil }
