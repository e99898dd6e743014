package rollout

import (
	"maps"
	"slices"
)

// The failure pattern. Engines of several versions serve side by side, without any order. If
// each VM chooses from the list that it happens to hold, VMs use different versions, a
// restart changes the version that a VM uses, and none can tell which versions can have begun a
// stream. And a version that is about to be rolled out is listed before its order is known.
//
// The versions of a service are therefore kept in the control group's log. A version is used
// only after every VM knows of it, and one that may be rolled out only after a time in which
// the order would have come.

// Standing is what the group has agreed on about a version of a service. It only rises, until the
// version is forgotten.
type Standing uint8

// Standings.
const (
	Forgotten Standing = iota // not known, or not listed for a long time
	Announced                 // listed; not every VM knows of it yet
	InForce                   // every VM knows of it; only a roll-out may use it
	Admitted                  // all new work may use it
)

// String implements fmt.Stringer.
func (s Standing) String() string {
	switch s {
	case Announced:
		return "announced"
	case InForce:
		return "in force"
	case Admitted:
		return "admitted"
	case Forgotten:
	}
	return "forgotten"
}

// KnownVersions holds the versions of a service that are not forgotten.
type KnownVersions map[string]Standing

// StandingChange raises versions of a service to a standing, or forgets them.
type StandingChange struct {
	Service  string   `cbor:"1,keyasint"`
	Versions []string `cbor:"2,keyasint"`
	Standing Standing `cbor:"3,keyasint"`
}

// maxKnownVersions bounds the versions of a service in the log.
const maxKnownVersions = 256

// changeStanding executes a StandingChange.
func (m *StateMachine) changeStanding(c *StandingChange) Outcome {
	if c.Standing > Admitted {
		return Unreadable
	}
	next := maps.Clone(m.state.Known[c.Service])
	if next == nil {
		next = KnownVersions{}
	}
	for _, version := range c.Versions {
		next.raise(version, c.Standing)
	}
	if maps.Equal(next, m.state.Known[c.Service]) {
		return Repeated
	}
	m.state.Known[c.Service] = next
	if len(next) == 0 {
		delete(m.state.Known, c.Service)
	}
	m.version++
	return Accepted
}

func (k KnownVersions) raise(version string, to Standing) {
	switch now := k[version]; {
	case to == Forgotten:
		delete(k, version)
	case to > now && (now != Forgotten || len(k) < maxKnownVersions):
		k[version] = to
	}
}

// State returns a copy of the roll-outs and the known versions.
func (m *StateMachine) State() State {
	out := newState()
	maps.Copy(out.Records, m.state.Records)
	maps.Copy(out.Known, m.state.Known) // a service's versions are replaced, never changed
	return out
}

// admitted returns the versions of a service that all new work may use, sorted; nil: nothing is
// known of the service.
func (s *State) admitted(service string) []string {
	known := s.Known[service]
	if len(known) == 0 {
		return nil
	}
	out := []string{}
	for version, standing := range known {
		if standing == Admitted {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// OnlyVersion returns the one version of a service that can have begun any stream in progress. It
// returns false if there are several, or if nothing is known of the service. The state must be
// one that contains everything committed up to a moment within the lease.
func (s *State) OnlyVersion(service string) (string, bool) {
	known := s.Known[service]
	if len(known) != 1 {
		return "", false
	}
	for version := range known {
		return version, true
	}
	return "", false
}

// HasSeveralVersions reports whether streams of a service may begin at different versions, as far
// as is known.
func (s *State) HasSeveralVersions(service string) bool { return len(s.Known[service]) != 1 }

// mayBeTried reports whether a roll-out may send requests to a version.
func (s *State) mayBeTried(service, version string) bool {
	known := s.Known[service]
	return len(known) == 0 || known[version] >= InForce
}
