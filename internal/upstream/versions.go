package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// inUse is what the list says of the versions of each service's servers.
//
// A roll-out's order and the list of backend servers come to a VM by different ways. The
// new version's servers may be on the list first, and must get nothing before the order
// is known: the version in use stays the one that it was for as long as it has servers.
type inUse struct {
	versions map[string]string         // in use, by service
	listed   map[string]map[string]int // servers that are not leaving, by service and version
}

// next is the same after another list.
func (u inUse) next(list []Backend) inUse {
	out := inUse{versions: map[string]string{}, listed: map[string]map[string]int{}}
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
			out.versions[service] = mostOf(listed, nil)
		}
	}
	return out
}

// version is the one version that may run a request.
func (u inUse) version(service string, v rollout.Versions) string {
	if v.Only != "" {
		return v.Only
	}
	version := u.versions[service]
	if !slices.Contains(v.Except, version) {
		return version
	}
	if other := mostOf(u.listed[service], v.Except); other != "" {
		return other
	}
	return v.Fallback
}

// mostOf is the version with the most servers that is not excepted; "": there is none.
func mostOf(listed map[string]int, except []string) string {
	versions := slices.DeleteFunc(slices.Sorted(maps.Keys(listed)), func(v string) bool { return slices.Contains(except, v) })
	if len(versions) == 0 {
		return ""
	}
	return slices.MaxFunc(versions, func(a, b string) int { return cmp.Compare(listed[a], listed[b]) })
}

// few are the first servers by id that are not avoided, or the first ones if all are.
func few(servers []*Server, n int, now time.Time) []*Server {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	good := slices.DeleteFunc(slices.Clone(out), func(s *Server) bool { return s.avoided(now) })
	if len(good) > 0 {
		out = good
	}
	return out[:min(n, len(out))]
}

// Cold reports whether the server has just started and is slow for that reason.
func (f *Fleet) Cold(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Cold
}

// Version is the version that a request would run on by the present list; "": the list
// states none.
func (f *Fleet) Version(service string, v rollout.Versions) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inUse.version(service, v)
}
