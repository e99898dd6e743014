package routed

import (
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// services returns the services of the route list; none while this VM does not know it.
func (c *Control) services() (out []routes.Service) {
	s := c.memberRunner.current()
	if s == nil {
		return nil
	}
	s.machine.Read(control.RoutesStateMachine, func(control.StateMachine) { out = s.routes.List().Services })
	return out
}

// namedFirst puts the rows of the given services before all others. Of rows with the same id
// the first one counts, and an entry of another writer may name a service that does not exist.
func namedFirst(rows []upstream.Backend, services []routes.Service) []upstream.Backend {
	names := make(map[string]bool, len(services))
	for i := range services {
		names[services[i].Name] = true
	}
	unnamed := func(b upstream.Backend) bool { return !names[b.Service] }
	if len(services) == 0 || !slices.ContainsFunc(rows, unnamed) {
		return rows
	}
	named := slices.DeleteFunc(slices.Clone(rows), unnamed)
	others := slices.DeleteFunc(slices.Clone(rows), func(b upstream.Backend) bool { return !unnamed(b) })
	return append(named, others...)
}
