package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// snapshotData is the content of a snapshot. It includes the cached replies. A member
// restored from it must answer a retry as the other members do, otherwise the replicated
// states would diverge.
type snapshotData struct {
	NowMS         int64              `cbor:"1,keyasint"`
	StateMachines []stateMachineData `cbor:"2,keyasint"`
	Replies       []cachedReply      `cbor:"3,keyasint"`
}

type stateMachineData struct {
	ID   StateMachineID `cbor:"1,keyasint"`
	Data []byte         `cbor:"2,keyasint"`
}

type cachedReply struct {
	ID    string `cbor:"1,keyasint"`
	Reply []byte `cbor:"2,keyasint"`
}

// Snapshot encodes the complete state.
func (rs *ReplicatedState) Snapshot() ([]byte, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	s := snapshotData{NowMS: rs.nowMS, Replies: make([]cachedReply, 0, len(rs.replyOrder))}
	for _, id := range slices.Sorted(maps.Keys(rs.stateMachines)) {
		if id == CordonsStateMachine && rs.stateMachines[id].Version() == 0 {
			continue // an older process, which does not know this one, could not restore the snapshot
		}
		data, err := rs.stateMachines[id].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("control: snapshot of state machine %d: %w", id, err)
		}
		s.StateMachines = append(s.StateMachines, stateMachineData{ID: id, Data: data})
	}
	for _, id := range rs.replyOrder {
		s.Replies = append(s.Replies, cachedReply{ID: id, Reply: rs.replies[id]})
	}
	return cbor.Marshal(s)
}

// Restore replaces the complete state. An error may leave some state machines restored.
func (rs *ReplicatedState) Restore(data []byte) error {
	var s snapshotData
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("control: snapshot: %w", err)
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, smData := range s.StateMachines {
		sm := rs.stateMachines[smData.ID]
		if sm == nil {
			return fmt.Errorf("control: snapshot contains state machine %d, which is not registered", smData.ID)
		}
		if err := sm.Restore(smData.Data); err != nil {
			return fmt.Errorf("control: restore of state machine %d: %w", smData.ID, err)
		}
	}
	rs.nowMS, rs.replies, rs.replyOrder, rs.replyBytes = s.NowMS, map[string][]byte{}, nil, 0
	for _, r := range s.Replies {
		rs.cacheReply(r.ID, r.Reply)
	}
	rs.notifyChanged()
	return nil
}

// NowMS returns the group's clock, in Unix milliseconds.
func (rs *ReplicatedState) NowMS() int64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.nowMS
}

// Versions returns the versions of the given state machines. It omits those that are not
// registered.
func (rs *ReplicatedState) Versions(ids []StateMachineID) map[StateMachineID]uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make(map[StateMachineID]uint64, len(ids))
	for _, id := range ids {
		if sm := rs.stateMachines[id]; sm != nil {
			out[id] = sm.Version()
		}
	}
	return out
}
