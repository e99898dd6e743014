package routes

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Table is a list prepared for lookups. It never changes, so that a request
// keeps the version that it began with.
type Table struct {
	List     *List
	byHost   map[string][]*Route // longest prefix first
	holders  map[string]*Workspace
	services map[string]*Service
}

// NewTable prepares a list that has been validated.
func NewTable(l *List) *Table {
	t := &Table{
		List: l, byHost: map[string][]*Route{}, holders: map[string]*Workspace{}, services: map[string]*Service{},
	}
	for i := range l.Routes {
		r := &l.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range l.Workspaces {
		for _, key := range l.Workspaces[i].Keys {
			t.holders[key] = &l.Workspaces[i]
		}
	}
	for i := range l.Services {
		t.services[l.Services[i].Name] = &l.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix of the raw path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":") // callers may name the port
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.holders[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick draws one of a route's services by weight.
func (r *Route) Pick(rng func(n int) int) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	n := rng(total)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Draw is Pick with the process's own randomness.
func (r *Route) PickRandom() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return r.Pick(rand.IntN)
}
