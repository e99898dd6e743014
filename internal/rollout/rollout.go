// Package rollout moves a service's requests to a new version of its backend servers under
// observation. An operator orders the roll-out. The system sends a small share of the
// requests to the new version, compares the answers of both versions, and completes or
// reverts the roll-out by itself.
//
// The package performs no I/O. StateMachine holds the orders in the control group. State
// decides, on every VM that routes requests, which version a request goes to. Recorder
// holds what such a VM observes, Ledger what a control VM received from the recorders, and
// Judge decides on that evidence.
//
// Safeguards: every step is an entry of the group's log and is decided where the log is
// applied. Two leaders cannot advance a roll-out in different ways, and a state that was
// reached stays. The number of requests that reach a bad version does not depend on
// messages. Each VM draws for each request by a share that the log states, so a VM that is
// cut off sends no more than its share.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Phase is the progress of a roll-out. The numbers are on disk.
type Phase uint8

// Phases.
const (
	// Trial sends a share of the requests to the new version.
	Trial Phase = 1
	// Switching sends nearly all new requests to the new version. Runs that are still in
	// flight on other servers get their copies there.
	Switching Phase = 2
	// Moving sends all new requests to the new version. Runs that are still in flight on
	// other servers are resumed there if they have a copy.
	Moving Phase = 3
	// Completed ends the servers of other versions.
	Completed Phase = 4
	// Reverted sends no more requests to the new version.
	Reverted Phase = 5
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	switch p {
	case Trial:
		return "trial"
	case Switching:
		return "switching"
	case Moving:
		return "moving"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	}
	return "none"
}

// Over reports whether the phase is an outcome.
func (p Phase) Over() bool { return p == Completed || p == Reverted }

// switched reports whether requests normally go to the new version.
func (p Phase) switched() bool { return p == Switching || p == Moving || p == Completed }

// switchedShare is the share of the requests that goes to the new version while requests
// are switched. The rest shows how the former version would do, so that load that comes at
// the same time is not attributed to the new one.
const switchedShare = 0.9

// Order is an operator's order of a roll-out.
type Order struct {
	Service  string        `cbor:"1,keyasint"`
	To       string        `cbor:"2,keyasint"` // the new version
	Duration time.Duration `cbor:"3,keyasint"` // within which an outcome is wanted
}

// Bounds of an order.
const (
	maxVersionBytes = 128
	maxDuration     = 24 * time.Hour
)

// Validate rejects an order that cannot be carried out. The error names the field.
func (o *Order) Validate() error {
	switch {
	case o.Service == "":
		return result.Newf(result.InvalidRollout, "service is missing")
	case o.To == "":
		return result.Newf(result.InvalidRollout, "the version to roll out is missing")
	case len(o.To) > maxVersionBytes:
		return result.Newf(result.InvalidRollout, "the version has %d bytes; allowed: %d", len(o.To), maxVersionBytes)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return result.Newf(result.InvalidRollout, "duration %v; allowed: above zero, at most %v", o.Duration, maxDuration)
	}
	return nil
}

// Record is the newest roll-out of a service.
type Record struct {
	Order
	Number uint64 `cbor:"4,keyasint"` // of the order; grows over all services
	Phase  Phase  `cbor:"5,keyasint"`
	// Shares of the requests that go to the new version during the trial, by route.
	// DefaultShare applies to routes that are not listed.
	Shares       map[string]float64 `cbor:"6,keyasint,omitempty"`
	DefaultShare float64            `cbor:"7,keyasint,omitempty"`
	// From is the version that was rolled out before; empty: there was none.
	From string `cbor:"8,keyasint,omitempty"`
	// Barred lists versions that were reverted and not ordered since.
	Barred []string `cbor:"9,keyasint,omitempty"`
	// OrderedMS and StepMS are the group's clock at the order and at the last step.
	OrderedMS int64  `cbor:"10,keyasint"`
	StepMS    int64  `cbor:"11,keyasint"`
	Reason    string `cbor:"12,keyasint,omitempty"` // of the last step
}

// share returns the share of a route's requests that goes to the new version.
func (r *Record) share(route string) float64 {
	switch r.Phase {
	case Switching:
		return switchedShare
	case Moving, Completed:
		return 1
	case Reverted:
		return 0
	case Trial:
	}
	if s, ok := r.Shares[route]; ok {
		return s
	}
	return r.DefaultShare
}

// Versions restricts which backend servers of a service may run a request.
type Versions struct {
	// Only is the one version that may run the request. If it is empty and Fixed is not set,
	// every version of Among may, or the one with the most listed servers if Among is nil,
	// provided that it is none of Except. Fallback applies if a service has no servers of another
	// version.
	Only     string
	Fixed    bool
	Among    []string
	Except   []string
	Fallback string
	// ServerShare is the share of the servers that take all the requests; 0: all of them. A
	// small share of the requests, spread over all servers, would not show how a version
	// performs under load.
	ServerShare float64
}

// FixedVersion restricts a request to one version, which may be the one without a name.
func FixedVersion(version string) Versions { return Versions{Only: version, Fixed: true} }

// Of returns the versions that may run the request, sorted, given the number of listed servers of
// each version.
func (v *Versions) Of(listed map[string]int) []string {
	if v.Fixed || v.Only != "" {
		return []string{v.Only}
	}
	out := slices.DeleteFunc(slices.Sorted(maps.Keys(listed)), func(version string) bool {
		return v.Among != nil && !slices.Contains(v.Among, version) || slices.Contains(v.Except, version)
	})
	switch {
	case len(out) == 0 && v.Fallback != "":
		return []string{v.Fallback}
	case len(out) > 1 && v.Among == nil:
		return []string{slices.MaxFunc(out, func(a, b string) int { return cmp.Compare(listed[a], listed[b]) })}
	}
	return out
}

// minTrialServers is the least number of servers that take the requests of a trial. A
// single faulty server is recognised only beside others.
const minTrialServers = 3

// TrialServers returns how many servers take the requests of a trial. Each of them gets as
// much load as a server of the former version.
func TrialServers(share float64, others int) int {
	return max(minTrialServers, int(math.Ceil(share*float64(others))))
}

// Choice is the destination of one request.
type Choice struct {
	Versions
	// Number of the roll-out that the request is counted for; 0: none is under way.
	Number uint64
	// Target is set if the request goes to the new version.
	Target bool
}

// State holds all roll-outs and the known versions, by service. It is immutable once built.
type State struct {
	Records map[string]Record        `cbor:"1,keyasint,omitempty"`
	Known   map[string]KnownVersions `cbor:"2,keyasint,omitempty"`
}

func newState() State {
	return State{Records: map[string]Record{}, Known: map[string]KnownVersions{}}
}

// Choose decides on the destination of a new request. draw is uniform in [0, 1).
func (s *State) Choose(service, route string, draw float64) Choice {
	r, ok := s.Records[service]
	switch {
	case !ok:
		return Choice{Versions: Versions{Among: s.admitted(service)}}
	case r.Phase == Completed:
		return Choice{Versions: Versions{Only: r.To}}
	case r.Phase == Reverted:
		return Choice{Versions: s.formerVersions(&r)}
	case draw < r.share(route) && s.mayBeTried(service, r.To):
		return Choice{Versions: r.targetVersions(), Number: r.Number, Target: true}
	}
	return Choice{Versions: s.formerVersions(&r), Number: r.Number}
}

// targetVersions returns the restriction to the new version, and during the trial to a share
// of its servers.
func (r *Record) targetVersions() Versions {
	v := Versions{Only: r.To}
	if r.Phase == Trial {
		v.ServerShare = r.DefaultShare
	}
	return v
}

// formerVersions returns the restriction to the version that ran before the order, From. If
// From is empty, it allows the admitted versions except the new one and the barred ones. During
// the roll-out the new version is then the fallback for a service without other servers.
func (s *State) formerVersions(r *Record) Versions {
	if r.From != "" {
		return Versions{Only: r.From}
	}
	fallback := ""
	if !r.Phase.Over() {
		fallback = r.To
	}
	except := slices.Clone(r.Barred)
	if !slices.Contains(except, r.To) {
		except = append(except, r.To)
	}
	return Versions{Among: s.admitted(r.Service), Except: except, Fallback: fallback}
}

// Former returns the restriction for a request that must not run on the new version, for
// example because it failed there.
func (s *State) Former(service string) Versions {
	r, ok := s.Records[service]
	if !ok {
		return Versions{Among: s.admitted(service)}
	}
	if r.Phase == Moving || r.Phase == Completed {
		return Versions{Only: r.To}
	}
	return s.formerVersions(&r)
}

// Fallback returns the choice for a request that must no longer run on the new version.
func (s *State) Fallback(service string, c Choice) Choice {
	return Choice{Versions: s.Former(service), Number: c.Number}
}

// Allows reports whether a request that was chosen before may still begin at its version.
func (s *State) Allows(service string, c Choice) bool {
	r, ok := s.Records[service]
	switch {
	case !ok:
		return true
	case r.Phase == Moving, r.Phase == Completed:
		return c.Only == r.To
	case r.Phase == Reverted:
		return c.Only != r.To && c.Fallback != r.To
	}
	return c.Only != "" || slices.Contains(c.Except, r.To)
}

// MayContinue reports whether a stream that a version began may go on at its servers. Those
// of former versions serve their streams until the roll-out is completed.
func (s *State) MayContinue(service, version string) bool {
	r, ok := s.Records[service]
	switch {
	case !ok:
		return true
	case r.Phase == Completed:
		return version == r.To
	case r.Phase == Reverted && version == r.To:
		return false
	}
	return !slices.Contains(r.Barred, version)
}

// Urgent reports whether a new version that may still turn out bad gets nearly all
// requests.
func (s *State) Urgent() bool {
	for _, r := range s.Records {
		if r.Phase == Switching || r.Phase == Moving {
			return true
		}
	}
	return false
}

// UnderWay returns the numbers of the roll-outs under way by service.
func (s *State) UnderWay() map[string]uint64 {
	out := map[string]uint64{}
	for service, r := range s.Records {
		if !r.Phase.Over() {
			out[service] = r.Number
		}
	}
	return out
}
