// Package rollout moves a service's requests to a new version of its backend servers,
// under watch. An operator orders it; the system sends a small part of the requests to
// the new version, compares the answers of both, and completes the roll-out or reverts
// it by itself.
//
// The package is pure. Part is the orders' state in the control group. State says, on
// every VM that routes requests, which version a request goes to. Book is what such a VM
// observes, Ledger what a control VM was told of it, and Judge decides from that.
//
// Safeguards. Every step is an entry of the group's log, decided where the log is
// applied: two leaders cannot take a roll-out different ways, and a state that was
// reached stays. How many requests reach a version that may be bad does not hang on
// messages: each VM draws for each request by a share that the log states, so that a VM
// that is cut off sends no more than its share either.
package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Phase is how far a roll-out is. The numbers are on disk.
type Phase uint8

// The phases.
const (
	// Trial: a share of the requests goes to the new version.
	Trial Phase = 1
	// Switching: nearly all new requests go there, and what still runs elsewhere gets its
	// copies there.
	Switching Phase = 2
	// Moving: all new requests go there, and what still runs elsewhere goes on there, if
	// it has a copy.
	Moving Phase = 3
	// Completed: the servers of other versions end.
	Completed Phase = 4
	// Reverted: nothing goes to the new version any more.
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

// Over reports whether the outcome is reached.
func (p Phase) Over() bool { return p == Completed || p == Reverted }

// switched reports whether requests go to the new version as a rule.
func (p Phase) switched() bool { return p == Switching || p == Moving || p == Completed }

// switchedShare of the requests goes to the new version while they are switched. The rest
// goes on to show how the other version would do: load that comes just then is no fault
// of the new one.
const switchedShare = 0.9

// Order asks for a roll-out.
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

// Validate refuses an order that cannot be carried out. The error names the field.
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
	// Shares of the requests that go to the new version during the trial, by route;
	// DefaultShare is for routes that are not named.
	Shares       map[string]float64 `cbor:"6,keyasint,omitempty"`
	DefaultShare float64            `cbor:"7,keyasint,omitempty"`
	// From is the version that was rolled out before; empty: none was.
	From string `cbor:"8,keyasint,omitempty"`
	// Barred are versions that were reverted and not ordered since.
	Barred []string `cbor:"9,keyasint,omitempty"`
	// OrderedMS and StepMS are the group's clock at the order and at the last step.
	OrderedMS int64  `cbor:"10,keyasint"`
	StepMS    int64  `cbor:"11,keyasint"`
	Reason    string `cbor:"12,keyasint,omitempty"` // of the last step
}

// share is the part of a route's requests that goes to the new version.
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

// Versions says which backend servers of a service may run a request.
type Versions struct {
	// Only is the one version that may; empty: the version in use, which is none of
	// Except. Else is for a service that has servers of no other version.
	Only     string
	Except   []string
	Fallback string
	// Part of the servers takes all the requests; 0: all of them do. A small share of the
	// requests, spread over all servers, would not show how a version does under load.
	ServerShare float64
}

// fewest servers have the requests of a trial: one that is faulty by itself shows beside
// the others.
const fewest = 3

// Few is how many servers have the requests of a trial, such that each has as much to do
// as one of the other version's.
func TrialServers(part float64, others int) int {
	return max(fewest, int(math.Ceil(part*float64(others))))
}

// Choice is where one request goes.
type Choice struct {
	Versions
	// Number of the roll-out that the request is counted for; 0: none is under way.
	Number uint64
	// Target: it goes to the new version.
	Target bool
}

// State is all roll-outs, by service. It never changes once it is built.
type State struct {
	Records map[string]Record `cbor:"1,keyasint,omitempty"`
}

// Choose decides where a request goes. draw is uniform in [0, 1).
func (s *State) Choose(service, route string, draw float64) Choice {
	r, ok := s.Records[service]
	if !ok {
		return Choice{}
	}
	if r.Phase == Completed {
		return Choice{Versions: Versions{Only: r.To}}
	}
	if r.Phase == Reverted {
		return Choice{Versions: r.former()}
	}
	if draw < r.share(route) {
		return Choice{Versions: r.target(), Number: r.Number, Target: true}
	}
	return Choice{Versions: r.former(), Number: r.Number}
}

// target is the new version.
func (r *Record) target() Versions {
	v := Versions{Only: r.To}
	if r.Phase == Trial {
		v.ServerShare = r.DefaultShare
	}
	return v
}

// former is the version that the service had before the order.
func (r *Record) former() Versions {
	if r.From != "" {
		return Versions{Only: r.From}
	}
	orElse := ""
	if !r.Phase.Over() {
		orElse = r.To
	}
	except := slices.Clone(r.Barred)
	if !slices.Contains(except, r.To) {
		except = append(except, r.To)
	}
	return Versions{Except: except, Fallback: orElse}
}

// Former is where a request goes that is not to run on the new version, as one that
// failed there.
func (s *State) Former(service string) Versions {
	r, ok := s.Records[service]
	if !ok {
		return Versions{}
	}
	if r.Phase == Moving || r.Phase == Completed {
		return Versions{Only: r.To}
	}
	return r.former()
}

// Back is the choice for a request that is not to run on the new version any more.
func (s *State) Fallback(service string, c Choice) Choice {
	return Choice{Versions: s.Former(service), Number: c.Number}
}

// Keep says where the copies of a run may lie that was chosen before: they follow the
// requests once these are switched.
func (s *State) CopyVersions(service string, c Choice) Versions {
	if r, ok := s.Records[service]; ok && r.Phase.switched() {
		return Versions{Only: r.To}
	}
	return c.Versions
}

// Leaves reports whether a run that was chosen before is to go on elsewhere, as soon as
// it has a copy there.
func (s *State) MustMove(service string, c Choice) bool {
	r, ok := s.Records[service]
	return ok && (r.Phase == Moving || r.Phase == Completed) && c.Only != r.To
}

// Allows reports whether a request that was chosen before may still begin at its
// version.
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

// Permits reports whether a version may run requests of a service at all.
func (s *State) Permits(service, version string) bool {
	r, ok := s.Records[service]
	switch {
	case !ok:
		return true
	case r.Phase == Moving, r.Phase == Completed:
		return version == r.To
	case r.Phase == Reverted && version == r.To:
		return false
	}
	return !slices.Contains(r.Barred, version)
}

// Urgent reports whether a new version has nearly all requests and may turn out bad.
func (s *State) Urgent() bool {
	for _, r := range s.Records {
		if r.Phase == Switching || r.Phase == Moving {
			return true
		}
	}
	return false
}

// UnderWay lists the numbers of the roll-outs under way, by service.
func (s *State) UnderWay() map[string]uint64 {
	out := map[string]uint64{}
	for service, r := range s.Records {
		if !r.Phase.Over() {
			out[service] = r.Number
		}
	}
	return out
}
