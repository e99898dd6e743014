package upstream

import (
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// AllowedVersions returns the versions at which a request may run, sorted; empty: there are none.
func (f *Fleet) AllowedVersions(service string, v rollout.Versions) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return v.Of(f.list.versions[service])
}

// AllowsVersion reports whether a request may run at a version, by the current list.
func (f *Fleet) AllowsVersion(service string, v rollout.Versions, version string) bool {
	return slices.Contains(f.AllowedVersions(service, v), version)
}

// HasVersion reports whether a server of a version is listed that is not draining.
func (f *Fleet) HasVersion(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.versions[service][version] > 0
}

// SlowForNow reports whether the server has just started, or has just stated that work takes
// longer than usual on its machine. The duration of its answers then tells nothing about its
// version.
func (f *Fleet) SlowForNow(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Cold || s.disturbed(f.now())
}
