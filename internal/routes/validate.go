package routes

import (
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Validate refuses a list that could not be in force as a whole. The error
// names the entry at fault.
func (l *List) Validate() error {
	if l.Version == 0 {
		return invalid("the version is 0")
	}
	services := map[string]bool{}
	for _, s := range l.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q is unnamed or listed twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := l.validateRoutes(services); err != nil {
		return err
	}
	return l.validateKeys()
}

func (l *List) validateRoutes(services map[string]bool) error {
	places := map[[2]string]string{}
	for i := range l.Routes {
		r := &l.Routes[i]
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			return invalid("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		places[place] = r.Name
		if err := r.validate(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return invalid("route %q names the unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return invalid("route %q has a negative weight for %q", r.Name, t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

// validateKeys: a key of two workspaces would charge one for the other.
func (l *List) validateKeys() error {
	holders := map[string]string{}
	for _, w := range l.Workspaces {
		for _, key := range w.Keys {
			if other, taken := holders[key]; taken && other != w.Name {
				return invalid("workspaces %q and %q share a key", other, w.Name)
			}
			holders[key] = w.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.Newf(result.InvalidRouteList, format, args...)
}
