// Package fleet is the aggregate of orders to engines: who may give them, which
// are under way, and what each engine was last seen to serve. The package is
// pure; its Part is state of the control group, and Planner decides which lost
// copies of a model are loaded elsewhere.
//
// An order is committed before it is sent, under the fencing number of the
// leader that sends it. The number grows with each leader. An engine that checks
// it refuses the late order of a deposed leader. One that ignores it gets an
// order only once every earlier leader's permission has run out, one order at a
// time, and the order counts as done only when the engine's own state shows it.
package fleet

import "time"

// Copy is a model that an engine holds.
type Copy struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Ready    bool     `cbor:"4,keyasint"`
}

// Op is what an order does. The words are those of the engine protocol.
type Op string

// The operations.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order is one order to one engine.
type Order struct {
	Engine  string `cbor:"1,keyasint"`
	Op      Op     `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	Fence   uint64 `cbor:"5,keyasint"`
	SinceMS int64  `cbor:"6,keyasint"` // the group's clock
}

// Done reports whether an engine's copies show that the order was carried out.
func (o *Order) Done(copies []Copy) bool {
	for _, c := range copies {
		if c.Model == o.Model && c.Version == o.Version {
			return o.Op == Load && c.Ready
		}
	}
	return o.Op == Unload
}

// Timings of orders, all measured on the monotonic clock of the VM that acts.
const (
	// SendWindow ends the permission to send an order, from before it was
	// proposed to the group; the request's own deadline lies within it.
	SendWindow = 3 * time.Second
	// LeaseOver is how long a new leader waits before it orders an engine that
	// ignores fencing numbers: beyond SendWindow with a drift of a tenth, and
	// beyond the time that an order takes on the wire.
	TakeoverDelay = 5 * time.Second
	// ConfirmWithin ends an order that the engine's state does not show: loading
	// takes minutes, and a dead engine must not block its place for ever.
	ConfirmTimeout = 10 * time.Minute
)

// MayOrder reports whether a leader that has led for some time may order an
// engine. Of an engine that ignores fencing numbers, an earlier leader's order
// could otherwise arrive after the new one and undo it.
func MayOrder(fences bool, led time.Duration) bool { return fences || led >= TakeoverDelay }

// Lead asks for a new fencing number; the leader of the group does so once in
// its term.
type AcquireFence struct {
	Leader string `cbor:"1,keyasint"` // VM and incarnation
}

// Begin commits an order before it is sent.
type Begin struct {
	Order Order `cbor:"1,keyasint"`
}

// End commits what the engine was seen to serve after its order ended, either
// way.
type End struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Copies []Copy `cbor:"3,keyasint"`
}

// Record commits what an engine was seen to serve where that has changed.
type Record struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Copies []Copy `cbor:"3,keyasint"`
}

// Command is one command of the part; exactly one field is set.
type Command struct {
	AcquireFence *AcquireFence `cbor:"1,keyasint,omitempty"`
	Begin        *Begin        `cbor:"2,keyasint,omitempty"`
	End          *End          `cbor:"3,keyasint,omitempty"`
	Record       *Record       `cbor:"4,keyasint,omitempty"`
}

// Reply answers a command.
type Reply struct {
	OK    bool   `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"` // the present one
}
