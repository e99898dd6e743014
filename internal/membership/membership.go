// Package membership is the aggregate of the system's VMs: which incarnation of
// each is in, in which zone, and whether it is live, leaving or dead. The list is
// versioned, and versions only grow. The package is pure; its Part is state of
// the control group, and Prober decides whom a VM watches.
//
// "Dead" is a judgement that may be wrong: it takes a VM out of the entry answers
// and tells others not to wait for it, and nothing that must be safe rests on it.
// A VM that was paused or cut off joins again under its own incarnation, and
// stays in the list's candidates for journals until its memory is known to be
// lost: by a newer incarnation, by its own leaving, or because the platform no
// longer lists it as well.
package membership

import "time"

// State is where a VM stands.
type State uint8

// The states. The numbers are on disk.
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
	PeerAddr    string `cbor:"6,keyasint"` // ip:port
	Endpoint    string `cbor:"7,keyasint"` // ip:port
	State       State  `cbor:"8,keyasint"`
	SinceMS     int64  `cbor:"9,keyasint"` // the group's clock, of the state
}

// Join brings a VM in, or back. A new incarnation replaces the old one. Expected
// is how many VMs the joiner knows of from its settings or the platform.
type Join struct {
	VM       VM  `cbor:"1,keyasint"`
	Expected int `cbor:"2,keyasint"`
}

// Leave says that a VM is leaving or, with Left, that it is gone: it keeps
// nothing any more.
type Leave struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Left        bool   `cbor:"3,keyasint"`
}

// Suspect is one observer's evidence that a VM cannot be reached, directly or
// through others. Absent adds that the platform no longer lists it.
type Suspect struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Observer    string `cbor:"3,keyasint"`
	Absent      bool   `cbor:"4,keyasint"`
}

// Command is one command of the part; exactly one field is set.
type Command struct {
	Join    *Join    `cbor:"1,keyasint,omitempty"`
	Leave   *Leave   `cbor:"2,keyasint,omitempty"`
	Suspect *Suspect `cbor:"3,keyasint,omitempty"`
}

// Reply tells the version after the command.
type Reply struct {
	Version uint64 `cbor:"1,keyasint"`
}

// View is one version of the list, in order of id.
type View struct {
	Version uint64 `cbor:"1,keyasint"`
	AtMS    int64  `cbor:"2,keyasint"`
	VMs     []VM   `cbor:"3,keyasint"`
}

// Find returns a VM of the view.
func (v *View) Find(id string) (VM, bool) {
	for _, vm := range v.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// Limits of evictions. The load pattern: a zone or a region is cut off, and its
// VMs look dead all at once to everybody on the side of the control group.
// Without limits a cut between two regions evicts half of a healthy system and
// sends every caller to the other half, which then falls by the load.
const (
	// evidenceFor is how long a suspicion counts: observers repeat it each second.
	evidenceFor = 6 * time.Second
	// zonesNeeded agree before a VM is dead; a fault near one observer is not
	// enough. Fewer where the system has fewer zones.
	zonesNeeded = 2
	// minuteShare: one zone of three may go within a minute.
	minuteShare = 1.0 / 3
	// minuteLeast: in the smallest systems one false eviction, by a VM that was
	// paused, must not use up what a VM that dies right after it needs. deadShare
	// still keeps two of three from being dead at once.
	minuteLeast = 2
	// deadShare: beyond it more eviction only moves load onto the rest.
	deadShare = 2.0 / 5
)

// Bounds of the kept versions: journals are found by the versions that their
// owners placed them by, and owners move them within seconds of a new version.
const (
	keepFor     = 10 * time.Minute
	keepAtLeast = 16
	keepAtMost  = 256
)
