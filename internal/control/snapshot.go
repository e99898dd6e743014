package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// machineState is the content of a snapshot. The replies are part of it: a
// member restored from it must answer a retry as the others do, or the state
// machines would differ from there on.
type machineState struct {
	NowMS   int64         `cbor:"1,keyasint"`
	Parts   []partState   `cbor:"2,keyasint"`
	Replies []cachedReply `cbor:"3,keyasint"`
}

type partState struct {
	ID   StateMachineID `cbor:"1,keyasint"`
	Data []byte         `cbor:"2,keyasint"`
}

type cachedReply struct {
	ID    string `cbor:"1,keyasint"`
	Reply []byte `cbor:"2,keyasint"`
}

// Snapshot returns the whole state.
func (m *ReplicatedState) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := machineState{NowMS: m.nowMS, Replies: make([]cachedReply, 0, len(m.order))}
	for _, id := range slices.Sorted(maps.Keys(m.parts)) {
		data, err := m.parts[id].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("control: snapshot of part %d: %w", id, err)
		}
		s.Parts = append(s.Parts, partState{ID: id, Data: data})
	}
	for _, id := range m.order {
		s.Replies = append(s.Replies, cachedReply{ID: id, Reply: m.replies[id]})
	}
	return cbor.Marshal(s)
}

// Restore replaces the whole state.
func (m *ReplicatedState) Restore(data []byte) error {
	var s machineState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("control: snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ps := range s.Parts {
		p := m.parts[ps.ID]
		if p == nil {
			return fmt.Errorf("control: snapshot holds part %d, which is not registered", ps.ID)
		}
		if err := p.Restore(ps.Data); err != nil {
			return fmt.Errorf("control: restore of part %d: %w", ps.ID, err)
		}
	}
	m.nowMS, m.replies, m.order, m.held = s.NowMS, map[string][]byte{}, nil, 0
	for _, r := range s.Replies {
		m.remember(r.ID, r.Reply)
	}
	m.announce()
	return nil
}

// NowMS is the group's clock, in milliseconds of the Unix epoch.
func (m *ReplicatedState) NowMS() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nowMS
}

// Versions returns the version of each part asked for that is registered.
func (m *ReplicatedState) Versions(ids []StateMachineID) map[StateMachineID]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[StateMachineID]uint64, len(ids))
	for _, id := range ids {
		if p := m.parts[id]; p != nil {
			out[id] = p.Version()
		}
	}
	return out
}
