package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// LocalClient is a Client of a ReplicatedState in the same process, without replication
// or persistence. It serves tests of the state machines.
type LocalClient struct {
	state *ReplicatedState
	now   func() time.Time
}

// NewLocalClient returns a LocalClient of the given state.
func NewLocalClient(rs *ReplicatedState) *LocalClient { return &LocalClient{state: rs, now: time.Now} }

// Propose implements Client.
func (s *LocalClient) Propose(_ context.Context, smID StateMachineID, cmd []byte) ([]byte, error) {
	entry, err := codec.Marshal(Envelope{StateMachine: smID, ID: rand.Text(), AtMS: s.now().UnixMilli(), Body: cmd})
	if err != nil {
		return nil, err
	}
	return s.state.Apply(entry)
}

// Barrier implements Client.
func (s *LocalClient) Barrier(context.Context) error { return nil }
