package fleet

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Served is what an engine was last seen to serve.
type Served struct {
	Engine string `cbor:"1,keyasint"`
	Copies []Copy `cbor:"2,keyasint"`
}

type state struct {
	Version uint64   `cbor:"1,keyasint"`
	Fence   uint64   `cbor:"2,keyasint"`
	Leader  string   `cbor:"3,keyasint"`
	Orders  []Order  `cbor:"4,keyasint"` // under way, one an engine, by engine
	Served  []Served `cbor:"5,keyasint"` // by engine
}

// Part is the orders' state in the control group. It implements control.Part.
type StateMachine struct{ s state }

// NewPart returns an empty Part.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// Version implements control.Part: it grows when what engines serve changes.
func (p *StateMachine) Version() uint64 { return p.s.Version }

// Apply executes an encoded Command.
func (p *StateMachine) Apply(nowMS int64, data []byte) []byte {
	var cmd Command
	var reply Reply
	if err := codec.Unmarshal(data, &cmd); err == nil {
		reply = p.Execute(nowMS, &cmd)
	}
	out, err := codec.Marshal(reply)
	if err != nil {
		panic(err) // a struct of a number and a truth value always encodes
	}
	return out
}

// Execute executes a command at the group's time.
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

// begin refuses the order of a leader that has been followed by another, and a
// second order to one engine.
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

// Orders are those under way.
func (p *StateMachine) Orders() []Order { return slices.Clone(p.s.Orders) }

// Changes implements control.Part: the whole of what engines serve.
func (p *StateMachine) Changes(uint64) []byte {
	out, err := codec.Marshal(p.s.Served)
	if err != nil {
		panic(err) // a list of texts always encodes
	}
	return out
}

// Snapshot implements control.Part.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.s) }

// Restore implements control.Part.
func (p *StateMachine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: snapshot: %w", err)
	}
	p.s = s
	return nil
}

// View answers which engines serve what, for routing. It is immutable.
type View struct{ served []Served }

// NewView decodes a change of the part.
func NewView(data []byte) (*View, error) {
	var v View
	if err := codec.Unmarshal(data, &v.served); err != nil {
		return nil, fmt.Errorf("fleet: change: %w", err)
	}
	return &v, nil
}

// Engines names the engines with a ready copy. Empty version and adapter match
// any.
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

// Same reports whether the view shows these copies on an engine.
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

// Models names the models that an engine has ready.
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
