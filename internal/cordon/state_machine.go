package cordon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Outcome is the result of a command.
type Outcome uint8

// Outcomes.
const (
	Accepted   Outcome = 1
	NotFound   Outcome = 2 // there is no such cordon to remove
	Full       Outcome = 3 // maxCordons are held
	Invalid    Outcome = 4 // the command is out of bounds
	Unreadable Outcome = 5 // the command could not be decoded
)

// maxCordons bounds the cordons held at a time. All of them are sent to every VM with each
// change: at 500 bytes each, 128 KB at most.
const maxCordons = 256

// Reply holds the outcome of a command and, after an order, the cordon.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Cordon  Cordon  `cbor:"2,keyasint"`
}

// Command is an entry of the group's log. Either Order or Removal is set.
type Command struct {
	Order   *Order   `cbor:"1,keyasint,omitempty"`
	Removal *Removal `cbor:"2,keyasint,omitempty"`
	// Key identifies the operator's request. Without it, a request that is made again later
	// would be taken for a resend.
	Key string `cbor:"3,keyasint,omitempty"`
}

// State holds all cordons, sorted by kind and id.
type State struct {
	Cordons []Cordon `cbor:"1,keyasint,omitempty"`
	// AsOfMS is the group's clock at the last change, Unix milliseconds.
	AsOfMS int64 `cbor:"2,keyasint"`
}

type name struct {
	kind Kind
	id   string
}

// StateMachine holds the cordons in the control group's replicated state. It implements
// control.StateMachine. Whether the group's clock has passed the end of a cordon changes
// nothing here: a leader whose clock is set forward must not end cordons early. The leader
// removes them by Removal, when their time has passed on its monotonic clock.
type StateMachine struct {
	version uint64
	number  uint64
	asOfMS  int64
	cordons map[name]Cordon
}

// NewStateMachine returns a StateMachine without cordons.
func NewStateMachine() *StateMachine { return &StateMachine{cordons: map[name]Cordon{}} }

// Version implements control.StateMachine.
func (m *StateMachine) Version() uint64 { return m.version }

// State returns the cordons.
func (m *StateMachine) State() State {
	out := State{AsOfMS: m.asOfMS, Cordons: slices.Collect(maps.Values(m.cordons))}
	slices.SortFunc(out.Cordons, func(a, b Cordon) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Apply executes an encoded Command.
func (m *StateMachine) Apply(nowMS int64, cmd []byte) []byte {
	var c Command
	reply := Reply{Outcome: Unreadable}
	if err := codec.Unmarshal(cmd, &c); err == nil {
		switch {
		case c.Order != nil:
			reply = m.order(nowMS, c.Order)
		case c.Removal != nil:
			reply.Outcome = m.remove(nowMS, c.Removal)
		}
	}
	return encode(&reply)
}

func (m *StateMachine) order(nowMS int64, o *Order) Reply {
	if o.Validate() != nil {
		return Reply{Outcome: Invalid}
	}
	key := name{o.Kind, o.ID}
	if _, replaces := m.cordons[key]; !replaces && len(m.cordons) >= maxCordons {
		return Reply{Outcome: Full}
	}
	m.number++
	c := Cordon{Kind: o.Kind, ID: o.ID, Reason: o.Reason, EndMS: nowMS + o.ForMS, Number: m.number}
	m.cordons[key] = c
	m.changed(nowMS)
	return Reply{Accepted, c}
}

func (m *StateMachine) remove(nowMS int64, r *Removal) Outcome {
	key := name{r.Kind, r.ID}
	c, ok := m.cordons[key]
	if !ok || r.Number != 0 && r.Number != c.Number {
		return NotFound
	}
	delete(m.cordons, key)
	m.changed(nowMS)
	return Accepted
}

func (m *StateMachine) changed(nowMS int64) {
	m.version++
	m.asOfMS = nowMS
}

// Changes implements control.StateMachine. It returns the encoded State.
func (m *StateMachine) Changes(uint64) []byte {
	s := m.State()
	return encode(&s)
}

// snapshot is the content of a snapshot.
type snapshot struct {
	Version uint64 `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	State   State  `cbor:"3,keyasint"`
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	return codec.Marshal(&snapshot{m.version, m.number, m.State()})
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("cordon: decode snapshot: %w", err)
	}
	*m = StateMachine{version: s.Version, number: s.Number, asOfMS: s.State.AsOfMS, cordons: map[name]Cordon{}}
	for _, c := range s.State.Cordons {
		m.cordons[name{c.Kind, c.ID}] = c
	}
	return nil
}

// encode encodes a value whose encoding cannot fail: numbers, strings and lists of them.
func encode(v any) []byte {
	out, err := codec.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}
