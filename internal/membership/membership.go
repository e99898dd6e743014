// Package membership holds the versioned list of the system's VMs: the incarnation of each
// VM, its zone, and whether it is live, leaving or dead. Versions only grow. The package does
// no I/O. Its StateMachine is part of the control group's replicated state, and ProbeTargets
// decides which VMs a VM probes.
//
// The state Dead is a suspicion that may be wrong. It removes a VM from the endpoints that
// callers get and tells other VMs not to wait for it, and no safety property depends on it.
// A VM that was paused or partitioned joins again under its own incarnation. It stays a
// candidate for journals until its memory is known to be lost: because a newer incarnation
// has joined, because the VM itself has left, or because the platform does not list it
// either.
package membership

import "time"

// State is the state of a VM in its lifecycle.
type State uint8

// The states. The numbers are stored on disk.
const (
	Live    State = 1
	Leaving State = 2 // shutting down: no new callers and no new journals
	Dead    State = 3 // unreachable from several zones
)

// VM is one VM in the list.
type VM struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Router      bool   `cbor:"4,keyasint"`
	Control     bool   `cbor:"5,keyasint"`
	PeerAddr    string `cbor:"6,keyasint"` // ip:port that other VMs use
	Endpoint    string `cbor:"7,keyasint"` // ip:port that callers use; empty: none
	State       State  `cbor:"8,keyasint"`
	SinceMS     int64  `cbor:"9,keyasint"` // when the state began, by the group's clock
}

// Join adds a VM to the list or makes it live again. A new incarnation replaces the old one.
// Expected is the number of VMs that the joining VM knows of from its settings or the
// platform.
type Join struct {
	VM       VM  `cbor:"1,keyasint"`
	Expected int `cbor:"2,keyasint"`
}

// Leave reports that a VM is leaving or, with Left, that it has left and holds no journals
// any more.
type Leave struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Left        bool   `cbor:"3,keyasint"`
}

// Suspect is one observer's evidence that a VM cannot be reached, neither directly nor
// through other VMs. Absent adds that the platform no longer lists the VM.
type Suspect struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Observer    string `cbor:"3,keyasint"`
	Absent      bool   `cbor:"4,keyasint"`
}

// Command is one command of the state machine; exactly one field is set.
type Command struct {
	Join    *Join    `cbor:"1,keyasint,omitempty"`
	Leave   *Leave   `cbor:"2,keyasint,omitempty"`
	Suspect *Suspect `cbor:"3,keyasint,omitempty"`
}

// Reply holds the version of the list after the command.
type Reply struct {
	Version uint64 `cbor:"1,keyasint"`
}

// View is one version of the list. AtMS is when it was committed, by the group's clock. VMs
// are sorted by ID.
type View struct {
	Version uint64 `cbor:"1,keyasint"`
	AtMS    int64  `cbor:"2,keyasint"`
	VMs     []VM   `cbor:"3,keyasint"`
}

// Find returns the VM with the ID, and false if the view has none.
func (v *View) Find(id string) (VM, bool) {
	for _, vm := range v.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// Bounds of evictions. They answer a network partition that cuts off a zone or a region: its
// VMs look dead all at once to every VM on the side of the control group. Without the bounds,
// a partition between two regions evicts half of a healthy system and sends all callers to
// the other half, which fails under the load.
const (
	// evidenceValidity is how long a suspicion counts. Observers repeat it each second.
	evidenceValidity = 6 * time.Second
	// minSuspectingZones is the number of zones with evidence that make a VM dead. A fault
	// near one observer is not enough. Where other VMs are in fewer zones, fewer suffice.
	minSuspectingZones = 2
	// evictionShare is the share of all VMs that may be evicted within a minute: one zone
	// of three.
	evictionShare = 1.0 / 3
	// minEvictionLimit is the least number of evictions allowed within a minute. In the
	// smallest systems the false eviction of a paused VM must not delay the eviction of a
	// VM that dies right after it. maxDeadShare still prevents two VMs of three from
	// being dead at once.
	minEvictionLimit = 2
	// maxDeadShare is the share of all VMs that may be dead at once. Beyond it, further
	// evictions only move load onto the remaining VMs.
	maxDeadShare = 2.0 / 5
)

// Bounds of the retained versions. A journal is found by the version by which its owner
// placed it, and owners move their journals within seconds of a new version.
const (
	versionRetention = 10 * time.Minute
	minVersions      = 16
	maxVersions      = 256
)
