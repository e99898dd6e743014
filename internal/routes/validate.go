package routes

import (
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Validate returns an error if any entry of the list is invalid. The error names the entry
// and carries result.InvalidRouteList.
func (l *List) Validate() error {
	if l.Version == 0 {
		return invalidList("the version is 0")
	}
	services := map[string]bool{}
	for _, s := range l.Services {
		if s.Name == "" || services[s.Name] {
			return invalidList("service %q is unnamed or listed twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := l.validateRoutes(services); err != nil {
		return err
	}
	return l.validateKeys()
}

func (l *List) validateRoutes(services map[string]bool) error {
	routeByPlace := map[[2]string]string{}
	for i := range l.Routes {
		r := &l.Routes[i]
		place := [2]string{r.Host, r.Prefix}
		if other, taken := routeByPlace[place]; taken {
			return invalidList("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		routeByPlace[place] = r.Name
		if err := r.validate(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalidList("route %q has no timeout", r.Name)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return invalidList("route %q names the unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return invalidList("route %q has a negative weight for %q", r.Name, t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return invalidList("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

// validateKeys rejects a key of two workspaces, which would charge one for the requests of
// the other.
func (l *List) validateKeys() error {
	workspaceByKey := map[string]string{}
	for _, w := range l.Workspaces {
		for _, key := range w.Keys {
			if other, taken := workspaceByKey[key]; taken && other != w.Name {
				return invalidList("workspaces %q and %q share a key", other, w.Name)
			}
			workspaceByKey[key] = w.Name
		}
	}
	return nil
}

func invalidList(format string, args ...any) error {
	return result.Newf(result.InvalidRouteList, format, args...)
}
