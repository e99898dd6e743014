package rollout

import (
	"fmt"
	"maps"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Outcome is what became of a command.
type Outcome uint8

// The outcomes.
const (
	Accepted   Outcome = 1
	Repeated   Outcome = 2 // the same order was accepted before
	Busy       Outcome = 3 // another roll-out of the service is under way
	Outdated   Outcome = 4 // a step of a roll-out that has gone on since
	Unreadable Outcome = 5
)

// Reply tells the outcome and the record after it.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Record  Record  `cbor:"2,keyasint"`
}

// Step takes a roll-out on.
type Step struct {
	Service      string             `cbor:"1,keyasint"`
	Number       uint64             `cbor:"2,keyasint"`
	Phase        Phase              `cbor:"3,keyasint"`
	Shares       map[string]float64 `cbor:"4,keyasint,omitempty"`
	DefaultShare float64            `cbor:"5,keyasint,omitempty"`
	Reason       string             `cbor:"6,keyasint,omitempty"`
}

// Command is an entry of the group's log: one of its fields is set.
type Command struct {
	Order *Order `cbor:"1,keyasint,omitempty"`
	Step  *Step  `cbor:"2,keyasint,omitempty"`
}

const (
	// firstShare of the requests goes to a new version until its rates are known.
	firstShare = 0.05
	// repeatedFor is how long after an order the same one is a resend, and not a new
	// attempt at a version that was reverted meanwhile. An operator whose answers are
	// lost sends again for some seconds; clocks of two leaders may differ by as many.
	repeatedFor = 10_000 // ms
	// maxBarred versions are remembered by service; older ones have long ended.
	maxBarred = 64
)

// Part is the roll-outs in the control group's state. It implements control.Part.
type StateMachine struct {
	version uint64
	number  uint64
	state   State
}

// NewPart returns a Part without roll-outs.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{Records: map[string]Record{}}}
}

// Version implements control.Part.
func (p *StateMachine) Version() uint64 { return p.version }

// Record returns a service's newest roll-out.
func (p *StateMachine) Record(service string) (Record, bool) {
	r, ok := p.state.Records[service]
	return r, ok
}

// UnderWay returns the roll-outs without an outcome.
func (p *StateMachine) UnderWay() []Record {
	var out []Record
	for _, r := range p.state.Records {
		if !r.Phase.Over() {
			out = append(out, r)
		}
	}
	return out
}

// Apply executes an encoded Command.
func (p *StateMachine) Apply(nowMS int64, cmd []byte) []byte {
	var c Command
	reply := Reply{Outcome: Unreadable}
	if err := codec.Unmarshal(cmd, &c); err == nil {
		reply = p.execute(nowMS, &c)
	}
	return mustMarshal(&reply)
}

func (p *StateMachine) execute(nowMS int64, c *Command) Reply {
	switch {
	case c.Order != nil:
		outcome := p.order(nowMS, c.Order)
		return Reply{outcome, p.state.Records[c.Order.Service]}
	case c.Step != nil:
		outcome := p.step(nowMS, c.Step)
		return Reply{outcome, p.state.Records[c.Step.Service]}
	}
	return Reply{Outcome: Unreadable}
}

// order begins a roll-out. A resend of the order in force changes nothing, whatever
// became of it.
func (p *StateMachine) order(nowMS int64, o *Order) Outcome {
	last, known := p.state.Records[o.Service]
	same := known && last.Order == *o
	switch {
	case known && !last.Phase.Over() && !same:
		return Busy
	case known && !last.Phase.Over(), known && last.Phase == Completed && last.To == o.To:
		return Repeated
	case same && nowMS-last.OrderedMS <= repeatedFor:
		return Repeated
	}
	p.number++
	next := Record{
		Order: *o, Number: p.number, Phase: Trial, DefaultShare: firstShare, OrderedMS: nowMS, StepMS: nowMS,
		From: last.From, Barred: barred(&last, o.To),
	}
	if last.Phase == Completed {
		next.From = last.To
	}
	p.put(next)
	return Accepted
}

// barred are the versions that were reverted before an order, without the one ordered.
func barred(last *Record, to string) []string {
	out := slices.Clone(last.Barred)
	if last.Phase == Reverted && !slices.Contains(out, last.To) {
		out = append(out, last.To)
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == to })
	return out[max(0, len(out)-maxBarred):]
}

// step takes a roll-out on, never back, and never past its outcome.
func (p *StateMachine) step(nowMS int64, s *Step) Outcome {
	r, ok := p.state.Records[s.Service]
	if !ok || r.Number != s.Number || r.Phase.Over() || !mayFollow(r.Phase, s.Phase) {
		return Outdated
	}
	r.Phase, r.StepMS, r.Reason = s.Phase, nowMS, s.Reason
	r.Shares, r.DefaultShare = s.Shares, s.DefaultShare
	p.put(r)
	return Accepted
}

// mayFollow: requests are switched before the other versions' servers end.
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

func (p *StateMachine) put(r Record) {
	p.state.Records[r.Service] = r
	p.version++
}

// Changes implements control.Part: all roll-outs.
func (p *StateMachine) Changes(uint64) []byte { return mustMarshal(&p.state) }

// snapshot is the content of a snapshot.
type snapshot struct {
	Version uint64            `cbor:"1,keyasint"`
	Number  uint64            `cbor:"2,keyasint"`
	Records map[string]Record `cbor:"3,keyasint,omitempty"`
}

// Snapshot implements control.Part.
func (p *StateMachine) Snapshot() ([]byte, error) {
	return codec.Marshal(&snapshot{p.version, p.number, p.state.Records})
}

// Restore implements control.Part.
func (p *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("rollout: snapshot: %w", err)
	}
	p.version, p.number = s.Version, s.Number
	p.state = State{Records: map[string]Record{}}
	maps.Copy(p.state.Records, s.Records)
	return nil
}

func mustMarshal(v any) []byte {
	out, err := codec.Marshal(v)
	if err != nil {
		panic(err) // numbers, texts and maps of them always encode
	}
	return out
}
