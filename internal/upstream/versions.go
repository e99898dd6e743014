package upstream

import (
	"cmp"
	"maps"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// versionsInUse holds, per service, the version in use and the versions on the list.
//
// A roll-out's order and the list of backend servers reach a VM on different paths. Servers
// of the new version may be listed first and must get no requests before the order is
// known. The version in use therefore stays the same for as long as it has servers.
type versionsInUse struct {
	versions map[string]string         // in use, by service
	listed   map[string]map[string]int // servers that are not draining, by service and version
}

// next returns the versions after another list.
func (u versionsInUse) next(list []Backend) versionsInUse {
	out := versionsInUse{versions: map[string]string{}, listed: map[string]map[string]int{}}
	for i := range list {
		b := &list[i]
		if out.listed[b.Service] == nil {
			out.listed[b.Service] = map[string]int{}
		}
		if !b.Draining {
			out.listed[b.Service][b.Version]++
		}
	}
	for service, listed := range out.listed {
		former, known := u.versions[service]
		switch {
		case known && (listed[former] > 0 || len(listed) == 0):
			out.versions[service] = former
		default:
			out.versions[service] = mostCommon(listed, nil)
		}
	}
	return out
}

// version returns the one version that may run a request.
func (u versionsInUse) version(service string, v rollout.Versions) string {
	if v.Only != "" {
		return v.Only
	}
	version := u.versions[service]
	if !slices.Contains(v.Except, version) {
		return version
	}
	if other := mostCommon(u.listed[service], v.Except); other != "" {
		return other
	}
	return v.Fallback
}

// mostCommon returns the version with the most servers that is not excluded; "": there is
// none.
func mostCommon(listed map[string]int, except []string) string {
	versions := slices.DeleteFunc(slices.Sorted(maps.Keys(listed)), func(v string) bool { return slices.Contains(except, v) })
	if len(versions) == 0 {
		return ""
	}
	return slices.MaxFunc(versions, func(a, b string) int { return cmp.Compare(listed[a], listed[b]) })
}

// SlowForNow reports whether the server has just started, or has just stated that work takes
// longer than usual on its machine. The duration of its answers then tells nothing about its
// version.
func (f *Fleet) SlowForNow(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Cold || s.disturbed(f.now())
}

// Version returns the version on which a request would run by the current list; "": the
// list states none.
func (f *Fleet) Version(service string, v rollout.Versions) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inUse.version(service, v)
}
