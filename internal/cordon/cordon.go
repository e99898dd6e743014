// Package cordon takes backend servers and VMs out of service for a limited time, by order of
// an operator. It performs no I/O. StateMachine holds the cordons in the control group,
// Tracker tells a VM which of them are in force, and CheckEngine and CheckVM refuse orders
// that would leave nothing to serve requests with.
//
// The overload. An operator who repairs a server at peak load has to stop it while it runs
// dozens of streams. All of them are interrupted at once and resumed elsewhere, ahead of the
// streams that wait. A cordon keeps new work away instead, and the running work ends in its
// own time. A cordon that its operator forgets would keep capacity away for good, so each one
// has an end.
package cordon

import (
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Kind is what a cordon takes out of service.
type Kind string

// Kinds.
const (
	// Engine is a backend server, named by its id or its address. A cordon of an id ends with
	// that incarnation of the server. A cordon of an address also covers the next one.
	Engine Kind = "engine"
	// VM is a VM that serves callers, named by its id or its address for callers.
	VM Kind = "vm"
)

// Bounds of an order.
const (
	MinDuration    = 1 * time.Second
	MaxDuration    = 7 * 24 * time.Hour
	MaxReasonBytes = 200
	maxIDBytes     = 200
)

// Order is an operator's order of a cordon. It replaces the one of the same kind and id.
type Order struct {
	Kind   Kind   `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	ForMS  int64  `cbor:"3,keyasint"` // from the order to the end of the cordon, milliseconds
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Validate rejects an order that cannot be carried out. Its errors have the code
// InvalidCordon.
func (o *Order) Validate() error {
	if err := validateName(o.Kind, o.ID); err != nil {
		return err
	}
	switch {
	case o.ForMS < MinDuration.Milliseconds() || o.ForMS > MaxDuration.Milliseconds():
		return result.Newf(result.InvalidCordon, "duration %d ms; allowed: %v to %v", o.ForMS, MinDuration, MaxDuration)
	case len(o.Reason) > MaxReasonBytes:
		return result.Newf(result.InvalidCordon, "the reason has %d bytes; allowed: %d", len(o.Reason), MaxReasonBytes)
	}
	return nil
}

// Removal ends a cordon before its time. If Number is not 0, it applies to that order only.
type Removal struct {
	Kind   Kind   `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// Validate rejects a removal that names nothing. Its errors have the code InvalidCordon.
func (r *Removal) Validate() error { return validateName(r.Kind, r.ID) }

func validateName(kind Kind, id string) error {
	switch {
	case kind != Engine && kind != VM:
		return result.Newf(result.InvalidCordon, "unknown kind %q; allowed: %s, %s", kind, Engine, VM)
	case strings.TrimSpace(id) == "":
		return result.Newf(result.InvalidCordon, "the id is missing")
	case len(id) > maxIDBytes:
		return result.Newf(result.InvalidCordon, "the id has %d bytes; allowed: %d", len(id), maxIDBytes)
	}
	return nil
}

// Cordon is a cordon as the log holds it.
type Cordon struct {
	Kind   Kind   `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`
	EndMS  int64  `cbor:"4,keyasint"` // on the group's clock, Unix milliseconds
	Number uint64 `cbor:"5,keyasint"` // of the order; grows over all cordons
}

// Names is a set of ids and addresses.
type Names map[string]bool

// Has reports whether one of the names of a server or VM is in the set.
func (n Names) Has(names ...string) bool {
	for _, name := range names {
		if n[name] {
			return true
		}
	}
	return false
}

// InForce holds what is out of service now.
type InForce struct{ Engines, VMs Names }
