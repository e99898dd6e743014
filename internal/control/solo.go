package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Solo is a Client over a Machine in the same process, without replication:
// what tests of the parts need, and nothing that survives a restart.
type Solo struct {
	machine *Machine
	now     func() time.Time
}

// NewSolo returns a Solo.
func NewSolo(m *Machine) *Solo { return &Solo{machine: m, now: time.Now} }

// Propose implements Client.
func (s *Solo) Propose(_ context.Context, smID PartID, cmd []byte) ([]byte, error) {
	entry, err := codec.Marshal(Envelope{Part: smID, ID: rand.Text(), AtMS: s.now().UnixMilli(), Body: cmd})
	if err != nil {
		return nil, err
	}
	return s.machine.Apply(entry)
}

// Barrier implements Client.
func (s *Solo) Barrier(context.Context) error { return nil }
