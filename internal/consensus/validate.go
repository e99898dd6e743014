package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var errMalformed = errors.New("consensus: malformed message")

// validate rejects messages that no member of this version sends, before their entries
// reach the log. An entry that cannot be applied would stop every member that stores it.
func (m *Message) validate() error {
	if m.Kind < PreVoteRequest || m.Kind > TimeoutNow {
		return fmt.Errorf("%w: unknown message kind %d", errMalformed, m.Kind)
	}
	if len(m.Entries) > 0 && m.Kind != AppendRequest {
		return fmt.Errorf("%w: message kind %d carries entries", errMalformed, m.Kind)
	}
	for i := range m.Entries {
		if err := m.Entries[i].validate(m.Index+uint64(i)+1, m.Term); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) validate(index, maxTerm uint64) error {
	switch {
	case e.Index != index, e.Term == 0, e.Term > maxTerm:
		return fmt.Errorf("%w: got entry %d of term %d, want entry %d", errMalformed, e.Index, e.Term, index)
	case e.Kind == EntryConfig:
		var c Config
		if err := cbor.Unmarshal(e.Data, &c); err != nil || len(c.Voters) == 0 {
			return fmt.Errorf("%w: invalid configuration in entry %d", errMalformed, index)
		}
	case e.Kind != EntryCommand && e.Kind != EntryNoop && e.Kind != EntryPiece:
		return fmt.Errorf("%w: unknown entry kind %d", errMalformed, e.Kind)
	}
	return nil
}
