package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// versionRetention is how long a version is remembered after it was last listed. Streams that it
// began may be resumed until then.
const versionRetention = 15 * time.Minute

// DefaultVersionHold is the time in which the order of a roll-out comes after the first server of
// its version was listed.
const DefaultVersionHold = 10 * time.Second

// VersionWatch decides which versions of the services are announced, admitted and forgotten, by
// the list of backend servers. Every control VM observes the list, since a new leader must know
// how long each version is listed. It is not safe for concurrent use.
type VersionWatch struct {
	hold     time.Duration // for versions that may be rolled out
	began    time.Time
	services map[string]map[string]*listing
}

// listing is when a version was first and last listed, and how many servers it had then.
type listing struct {
	first, last time.Time
	servers     int
}

// NewVersionWatch returns a VersionWatch. A version that nobody ordered is admitted hold after it
// was first listed, or with hold 0 as soon as every VM knows it.
func NewVersionWatch(hold time.Duration, now time.Time) *VersionWatch {
	return &VersionWatch{hold: hold, began: now, services: map[string]map[string]*listing{}}
}

// Observe takes the number of listed servers by service and version.
func (w *VersionWatch) Observe(listed map[string]map[string]int, now time.Time) {
	for service, versions := range listed {
		if w.services[service] == nil {
			w.services[service] = map[string]*listing{}
		}
		for version, servers := range versions {
			if w.services[service][version] == nil {
				w.services[service][version] = &listing{first: now}
			}
			l := w.services[service][version]
			l.last, l.servers = now, servers
		}
	}
	for service, versions := range w.services {
		maps.DeleteFunc(versions, func(_ string, l *listing) bool { return now.Sub(l.last) > versionRetention })
		if len(versions) == 0 {
			delete(w.services, service)
		}
	}
}

// Next returns the changes that are due, but for those to InForce, which the VMs' answers decide.
func (w *VersionWatch) Next(s *State, now time.Time) []StandingChange {
	var out []StandingChange
	for _, service := range slices.Sorted(maps.Keys(w.services)) {
		out = append(out, w.nextOf(s, service, now)...)
	}
	for _, service := range slices.Sorted(maps.Keys(s.Known)) {
		out = appendChange(out, service, Forgotten, w.expired(service, s.Known[service], now))
	}
	return out
}

func appendChange(out []StandingChange, service string, to Standing, versions []string) []StandingChange {
	if len(versions) == 0 {
		return out
	}
	return append(out, StandingChange{Service: service, Versions: versions, Standing: to})
}

func (w *VersionWatch) nextOf(s *State, service string, now time.Time) []StandingChange {
	known := s.Known[service]
	listed := slices.Sorted(maps.Keys(w.services[service]))
	if len(known) == 0 {
		return appendChange(nil, service, Admitted, w.firstVersions(service, listed))
	}
	var unknown, due []string
	for _, version := range listed {
		switch {
		case known[version] == Forgotten:
			unknown = append(unknown, version)
		case known[version] == InForce && w.mayAdmit(s, service, version, now):
			due = append(due, version)
		}
	}
	return appendChange(appendChange(nil, service, Announced, unknown), service, Admitted, due)
}

// firstVersions returns the versions of a new service that are admitted at once: all, or the one
// with the most servers where another one may be about to be rolled out.
func (w *VersionWatch) firstVersions(service string, listed []string) []string {
	if w.hold == 0 {
		return listed
	}
	servers := func(a, b string) int {
		return cmp.Compare(w.services[service][a].servers, w.services[service][b].servers)
	}
	return []string{slices.MaxFunc(listed, servers)}
}

// mayAdmit reports whether a version that every VM knows may get all new work.
func (w *VersionWatch) mayAdmit(s *State, service, version string, now time.Time) bool {
	if r, ok := s.Records[service]; ok && !r.Phase.Over() && r.To == version {
		return false
	}
	return now.Sub(w.services[service][version].first) >= w.hold || !w.anyAdmittedListed(s, service, now)
}

// goneAfter is how long a version is missing in the list before it counts as gone.
const goneAfter = time.Second

// anyAdmittedListed reports whether an admitted version of a service has a server.
func (w *VersionWatch) anyAdmittedListed(s *State, service string, now time.Time) bool {
	for version, l := range w.services[service] {
		if s.Known[service][version] == Admitted && now.Sub(l.last) < goneAfter {
			return true
		}
	}
	return false
}

// expired returns the known versions of a service that were not listed for versionRetention.
func (w *VersionWatch) expired(service string, known KnownVersions, now time.Time) []string {
	if now.Sub(w.began) <= versionRetention {
		return nil
	}
	var out []string
	for version := range known {
		if w.services[service][version] == nil {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// AnnouncedVersions returns the changes to InForce that are due once a copy of the state that is
// as new as s is in force on every VM.
func (s *State) AnnouncedVersions() []StandingChange {
	var out []StandingChange
	for _, service := range slices.Sorted(maps.Keys(s.Known)) {
		var versions []string
		for version, standing := range s.Known[service] {
			if standing == Announced {
				versions = append(versions, version)
			}
		}
		slices.Sort(versions)
		out = appendChange(out, service, InForce, versions)
	}
	return out
}
