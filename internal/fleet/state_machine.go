package fleet

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Served holds the copies that an engine was last seen to serve.
type Served struct {
	Engine string `cbor:"1,keyasint"`
	Copies []Copy `cbor:"2,keyasint"`
}

type state struct {
	Version uint64   `cbor:"1,keyasint"`
	Fence   uint64   `cbor:"2,keyasint"`
	Leader  string   `cbor:"3,keyasint"`
	Orders  []Order  `cbor:"4,keyasint"` // pending, at most one per engine, sorted by engine
	Served  []Served `cbor:"5,keyasint"` // sorted by engine
}

// StateMachine holds the orders in the control group's replicated state. It implements
// control.StateMachine.
type StateMachine struct{ s state }

// NewStateMachine returns an empty StateMachine.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// Version returns a number that increases when the committed copies of an engine change.
func (p *StateMachine) Version() uint64 { return p.s.Version }

// Apply executes an encoded Command and returns an encoded Reply. It refuses a command that
// cannot be decoded.
func (p *StateMachine) Apply(nowMS int64, data []byte) []byte {
	var cmd Command
	var reply Reply
	if err := codec.Unmarshal(data, &cmd); err == nil {
		reply = p.Execute(nowMS, &cmd)
	}
	out, err := codec.Marshal(reply)
	if err != nil {
		panic(err) // cannot happen: a struct of a number and a bool always encodes
	}
	return out
}

// Execute executes a command at a time of the group's clock, in Unix milliseconds.
func (p *StateMachine) Execute(nowMS int64, cmd *Command) Reply {
	ok := false
	switch {
	case cmd.AcquireFence != nil:
		p.s.Fence++
		p.s.Leader = cmd.AcquireFence.Leader
		ok = true
	case cmd.Begin != nil:
		ok = p.begin(nowMS, cmd.Begin.Order)
	case cmd.End != nil:
		ok = p.end(cmd.End)
	case cmd.Record != nil:
		ok = cmd.Record.Fence == p.s.Fence
		if ok {
			p.record(cmd.Record.Engine, cmd.Record.Copies)
		}
	}
	return Reply{OK: ok, Fence: p.s.Fence}
}

// begin adds a pending order. It refuses the order of a deposed leader, and a second order
// to one engine.
func (p *StateMachine) begin(nowMS int64, o Order) bool {
	if o.Fence != p.s.Fence || p.order(o.Engine) >= 0 {
		return false
	}
	o.SinceMS = nowMS
	p.s.Orders = append(p.s.Orders, o)
	slices.SortFunc(p.s.Orders, func(a, b Order) int { return strings.Compare(a.Engine, b.Engine) })
	return true
}

func (p *StateMachine) order(engine string) int {
	return slices.IndexFunc(p.s.Orders, func(o Order) bool { return o.Engine == engine })
}

func (p *StateMachine) end(e *End) bool {
	i := p.order(e.Engine)
	if e.Fence != p.s.Fence || i < 0 {
		return false
	}
	p.s.Orders = slices.Delete(p.s.Orders, i, i+1)
	p.record(e.Engine, e.Copies)
	return true
}

func (p *StateMachine) record(engine string, copies []Copy) {
	i := slices.IndexFunc(p.s.Served, func(s Served) bool { return s.Engine == engine })
	if i < 0 {
		p.s.Served = append(p.s.Served, Served{engine, copies})
		slices.SortFunc(p.s.Served, func(a, b Served) int { return strings.Compare(a.Engine, b.Engine) })
		p.s.Version++
		return
	}
	if !reflect.DeepEqual(p.s.Served[i].Copies, copies) {
		p.s.Served[i].Copies = copies
		p.s.Version++
	}
}

// Orders returns a copy of the pending orders.
func (p *StateMachine) Orders() []Order { return slices.Clone(p.s.Orders) }

// Changes returns the encoded copies of all engines. It ignores the version that the
// receiving VM has.
func (p *StateMachine) Changes(uint64) []byte {
	out, err := codec.Marshal(p.s.Served)
	if err != nil {
		panic(err) // cannot happen: a list of strings and bools always encodes
	}
	return out
}

// Snapshot returns the encoded state.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.s) }

// Restore replaces the state by a snapshot.
func (p *StateMachine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: snapshot: %w", err)
	}
	p.s = s
	return nil
}

// View holds the committed copies of all engines, for routing. It is immutable.
type View struct{ served []Served }

// NewView decodes a change of the StateMachine.
func NewView(data []byte) (*View, error) {
	var v View
	if err := codec.Unmarshal(data, &v.served); err != nil {
		return nil, fmt.Errorf("fleet: change: %w", err)
	}
	return &v, nil
}

// Engines returns the names of the engines with a ready copy. An empty version or adapter
// matches any.
func (v *View) Engines(model, version, adapter string) []string {
	var out []string
	for _, s := range v.served {
		if slices.ContainsFunc(s.Copies, func(c Copy) bool {
			return c.Ready && c.Model == model && (version == "" || c.Version == version) &&
				(adapter == "" || slices.Contains(c.Adapters, adapter))
		}) {
			out = append(out, s.Engine)
		}
	}
	return out
}

// Matches reports whether the view has exactly these copies for the engine. A nil view
// matches nothing.
func (v *View) Matches(engine string, copies []Copy) bool {
	if v == nil {
		return false
	}
	for _, s := range v.served {
		if s.Engine == engine {
			return reflect.DeepEqual(s.Copies, copies)
		}
	}
	return false
}

// Models returns the names of the models of which the engine has a ready copy.
func (v *View) Models(engine string) []string {
	var out []string
	for _, s := range v.served {
		if s.Engine != engine {
			continue
		}
		for _, c := range s.Copies {
			if c.Ready {
				out = append(out, c.Model)
			}
		}
	}
	return out
}
