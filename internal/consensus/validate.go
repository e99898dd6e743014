package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var errMalformed = errors.New("consensus: malformed message")

// validate refuses what no member of this version sends, before it reaches the
// log: an entry that cannot be applied would stop every member that stores it.
func (m *Message) validate() error {
	if m.Kind < PreVoteRequest || m.Kind > TimeoutNow {
		return fmt.Errorf("%w: kind %d", errMalformed, m.Kind)
	}
	if len(m.Entries) > 0 && m.Kind != AppendRequest {
		return fmt.Errorf("%w: entries in kind %d", errMalformed, m.Kind)
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
		return fmt.Errorf("%w: entry %d of term %d where %d belongs", errMalformed, e.Index, e.Term, index)
	case e.Kind == EntryConfig:
		var c Config
		if err := cbor.Unmarshal(e.Data, &c); err != nil || len(c.Voters) == 0 {
			return fmt.Errorf("%w: configuration at %d", errMalformed, index)
		}
	case e.Kind != EntryCommand && e.Kind != EntryNoop && e.Kind != EntryPiece:
		return fmt.Errorf("%w: entry kind %d", errMalformed, e.Kind)
	}
	return nil
}
