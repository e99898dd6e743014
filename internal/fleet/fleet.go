// Package fleet holds the orders to engines: which leader may send them, which are pending,
// and which models each engine was last seen to serve. The package does no I/O. Its
// StateMachine is part of the control group's replicated state, and Planner decides which
// lost copies of a model are loaded on other engines.
//
// An order is committed before it is sent, with the fencing number of the leader that sends
// it. The number increases with each leader. An engine that checks it refuses a delayed
// order of a deposed leader. An engine that ignores it gets an order only once the
// permission of every earlier leader has expired, and only one order at a time. The order
// counts as done only when the engine's own state shows it.
package fleet

import "time"

// Copy is a copy of a model on an engine. Ready is false while the copy is loading.
type Copy struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Ready    bool     `cbor:"4,keyasint"`
}

// Op is the operation of an order. Its values are those of the engine protocol.
type Op string

// The operations.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order is an order to one engine.
type Order struct {
	Engine  string `cbor:"1,keyasint"`
	Op      Op     `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	Fence   uint64 `cbor:"5,keyasint"`
	SinceMS int64  `cbor:"6,keyasint"` // when it was committed, by the group's clock
}

// Done reports whether the engine's copies show that it has carried out the order.
func (o *Order) Done(copies []Copy) bool {
	for _, c := range copies {
		if c.Model == o.Model && c.Version == o.Version {
			return o.Op == Load && c.Ready
		}
	}
	return o.Op == Unload
}

// Time limits of orders, measured on the monotonic clock of the VM that acts.
const (
	// SendWindow is how long an order may be sent, counted from before it is proposed to the
	// group. The deadline of the request to the engine lies within it.
	SendWindow = 3 * time.Second
	// TakeoverDelay is how long a new leader waits before it sends an order to an engine
	// that ignores fencing numbers. It exceeds SendWindow with a clock drift of a tenth plus
	// the time that an order takes on the network.
	TakeoverDelay = 5 * time.Second
	// ConfirmTimeout is how long an order that is being carried out may stay unconfirmed by
	// the engine's state. Loading takes minutes, and a dead engine must not keep its order
	// pending for ever.
	ConfirmTimeout = 10 * time.Minute
)

// MayOrder reports whether a leader may send an order to an engine. fences is whether the
// engine checks fencing numbers, and led is how long the leader has led. An engine that
// checks them refuses delayed orders of earlier leaders, so it may get an order at once. An
// engine that ignores them gets none before TakeoverDelay has passed. Until then an order of
// an earlier leader could arrive after the new one and undo it.
func MayOrder(fences bool, led time.Duration) bool { return fences || led >= TakeoverDelay }

// AcquireFence requests a new fencing number. The leader of the group does so when its term
// begins, and again to revoke an order that has its own number.
type AcquireFence struct {
	Leader string `cbor:"1,keyasint"` // VM and incarnation
}

// Begin commits an order before it is sent.
type Begin struct {
	Order Order `cbor:"1,keyasint"`
}

// End ends the engine's order, whether it was carried out or not, and commits the copies
// that the engine was then seen to serve.
type End struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Copies []Copy `cbor:"3,keyasint"`
}

// Record commits the copies that an engine is seen to serve if they have changed without an
// order.
type Record struct {
	Fence  uint64 `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Copies []Copy `cbor:"3,keyasint"`
}

// Command is one command of the state machine; exactly one field is set.
type Command struct {
	AcquireFence *AcquireFence `cbor:"1,keyasint,omitempty"`
	Begin        *Begin        `cbor:"2,keyasint,omitempty"`
	End          *End          `cbor:"3,keyasint,omitempty"`
	Record       *Record       `cbor:"4,keyasint,omitempty"`
}

// Reply is the reply to a command. OK is false if the command was refused.
type Reply struct {
	OK    bool   `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"` // the newest fencing number
}
