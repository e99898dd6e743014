package rollout

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Outcome is the result of a command.
type Outcome uint8

// Outcomes.
const (
	Accepted   Outcome = 1
	Repeated   Outcome = 2 // the same order was accepted before
	Busy       Outcome = 3 // another roll-out of the service is under way
	Outdated   Outcome = 4 // a step of a roll-out that has advanced since
	Unreadable Outcome = 5 // the command could not be decoded
)

// Reply holds the outcome of a command and the record after it.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Record  Record  `cbor:"2,keyasint"`
}

// Step advances a roll-out.
type Step struct {
	Service      string             `cbor:"1,keyasint"`
	Number       uint64             `cbor:"2,keyasint"`
	Phase        Phase              `cbor:"3,keyasint"`
	Shares       map[string]float64 `cbor:"4,keyasint,omitempty"`
	DefaultShare float64            `cbor:"5,keyasint,omitempty"`
	Reason       string             `cbor:"6,keyasint,omitempty"`
}

// Command is an entry of the group's log. One of its fields is set.
type Command struct {
	Order    *Order          `cbor:"1,keyasint,omitempty"`
	Step     *Step           `cbor:"2,keyasint,omitempty"`
	Standing *StandingChange `cbor:"3,keyasint,omitempty"`
}

const (
	// initialShare is the share of the requests that goes to a new version until the
	// request rates are known.
	initialShare = 0.05
	// resendWindowMS is how long after an order the same order counts as a resend and not
	// as a new attempt at a version that was reverted meanwhile. An operator whose replies
	// are lost sends again for several seconds, and the clocks of two leaders may differ by
	// as much.
	resendWindowMS = 10_000
	// maxBarred bounds the reverted versions that are recorded per service. The servers of
	// older ones have long ended.
	maxBarred = 64
)

// StateMachine holds the roll-outs and the known versions in the control group's replicated
// state. It implements control.StateMachine.
type StateMachine struct {
	version uint64
	number  uint64
	state   State
}

// NewStateMachine returns a StateMachine without roll-outs.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: newState()}
}

// Version implements control.StateMachine.
func (m *StateMachine) Version() uint64 { return m.version }

// Record returns the newest roll-out of a service.
func (m *StateMachine) Record(service string) (Record, bool) {
	r, ok := m.state.Records[service]
	return r, ok
}

// UnderWay returns the roll-outs without an outcome.
func (m *StateMachine) UnderWay() []Record {
	var out []Record
	for _, r := range m.state.Records {
		if !r.Phase.Over() {
			out = append(out, r)
		}
	}
	return out
}

// Apply executes an encoded Command.
func (m *StateMachine) Apply(nowMS int64, cmd []byte) []byte {
	var c Command
	reply := Reply{Outcome: Unreadable}
	if err := codec.Unmarshal(cmd, &c); err == nil {
		reply = m.execute(nowMS, &c)
	}
	return mustMarshal(&reply)
}

func (m *StateMachine) execute(nowMS int64, c *Command) Reply {
	switch {
	case c.Order != nil:
		outcome := m.order(nowMS, c.Order)
		return Reply{outcome, m.state.Records[c.Order.Service]}
	case c.Step != nil:
		outcome := m.step(nowMS, c.Step)
		return Reply{outcome, m.state.Records[c.Step.Service]}
	case c.Standing != nil:
		return Reply{m.changeStanding(c.Standing), m.state.Records[c.Standing.Service]}
	}
	return Reply{Outcome: Unreadable}
}

// order begins a roll-out. A resend of the order in force changes nothing, whatever its
// outcome was.
func (m *StateMachine) order(nowMS int64, o *Order) Outcome {
	last, known := m.state.Records[o.Service]
	same := known && last.Order == *o
	switch {
	case known && !last.Phase.Over() && !same:
		return Busy
	case known && !last.Phase.Over(), known && last.Phase == Completed && last.To == o.To:
		return Repeated
	case same && nowMS-last.OrderedMS <= resendWindowMS:
		return Repeated
	}
	m.number++
	next := Record{
		Order: *o, Number: m.number, Phase: Trial, DefaultShare: initialShare, OrderedMS: nowMS, StepMS: nowMS,
		From: last.From, Barred: barred(&last, o.To),
	}
	if last.Phase == Completed {
		next.From = last.To
	}
	m.put(next)
	return Accepted
}

// barred returns the versions that were reverted before an order, except the ordered one.
func barred(last *Record, to string) []string {
	out := slices.Clone(last.Barred)
	if last.Phase == Reverted && !slices.Contains(out, last.To) {
		out = append(out, last.To)
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == to })
	return out[max(0, len(out)-maxBarred):]
}

// step advances a roll-out. It never goes back, and never past an outcome.
func (m *StateMachine) step(nowMS int64, s *Step) Outcome {
	r, ok := m.state.Records[s.Service]
	if !ok || r.Number != s.Number || r.Phase.Over() || !mayFollow(r.Phase, s.Phase) {
		return Outdated
	}
	next := r
	next.Phase, next.StepMS, next.Reason = s.Phase, nowMS, s.Reason
	next.Shares, next.DefaultShare = s.Shares, s.DefaultShare
	if !reflect.DeepEqual(next, r) {
		m.put(next)
	}
	return Accepted
}

// mayFollow reports whether a phase may follow another. Requests are switched before the
// servers of other versions end.
func mayFollow(now, next Phase) bool {
	switch next {
	case Trial:
		return now == Trial
	case Switching:
		return now == Trial
	case Moving:
		return now == Switching
	case Completed:
		return now == Moving
	case Reverted:
		return true
	}
	return false
}

func (m *StateMachine) put(r Record) {
	m.state.Records[r.Service] = r
	m.version++
}

// Changes implements control.StateMachine. It returns all roll-outs and known versions.
func (m *StateMachine) Changes(uint64) []byte { return mustMarshal(&m.state) }

// snapshot is the content of a snapshot.
type snapshot struct {
	Version uint64                   `cbor:"1,keyasint"`
	Number  uint64                   `cbor:"2,keyasint"`
	Records map[string]Record        `cbor:"3,keyasint,omitempty"`
	Known   map[string]KnownVersions `cbor:"4,keyasint,omitempty"`
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	return codec.Marshal(&snapshot{m.version, m.number, m.state.Records, m.state.Known})
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	m.version, m.number = s.Version, s.Number
	m.state = newState()
	maps.Copy(m.state.Records, s.Records)
	maps.Copy(m.state.Known, s.Known)
	return nil
}

func mustMarshal(v any) []byte {
	out, err := codec.Marshal(v)
	if err != nil {
		panic(err) // numbers, strings and maps of them always encode
	}
	return out
}
