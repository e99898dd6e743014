package routes

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Table is an index of a list for lookups. It is immutable: a request uses the same
// version from start to end.
type Table struct {
	List            *List
	byHost          map[string][]*Route // longest prefix first
	workspacesByKey map[string]*Workspace
	services        map[string]*Service
	ranked          map[string]bool // services whose streams have different priorities
}

// NewTable indexes a list. The list must be valid and must not be changed afterwards.
func NewTable(l *List) *Table {
	t := &Table{
		List: l, byHost: map[string][]*Route{}, workspacesByKey: map[string]*Workspace{}, services: map[string]*Service{},
		ranked: l.rankedServices(),
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
			t.workspacesByKey[key] = &l.Workspaces[i]
		}
	}
	for i := range l.Services {
		t.services[l.Services[i].Name] = &l.Services[i]
	}
	return t
}

// Match returns the host's route with the longest prefix of the raw path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":") // the Host header may contain a port
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspacesByKey[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns one of the route's services at random by weight. rng returns a random
// number in [0, n).
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

// LeadsTo reports whether the route leads to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickRandom is Pick with the random source of math/rand/v2.
func (r *Route) PickRandom() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return r.Pick(rand.IntN)
}
