package node

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
)

// Timings of generations. A caller reconnects about three seconds after its VM
// fell silent, and the opening that follows takes a second at worst: an engine
// that goes on for six seconds on its own is found still running.
const (
	openTimeout = 4 * time.Second

	detachKeep = 6 * time.Second
)

func (n *Node) startGenerations() {
	n.hub = relay.NewHub(relay.Config{
		VM: n.s.Self.ID, EpochVM: n.s.Self.ID + "#" + n.incarnation, Incarnation: n.incarnation,
		OpenTimeout: openTimeout, Objective: objectiveOf(n.s.Objective), CallerKeep: n.s.CallerKeep, DetachKeep: detachKeep,
		Limits: generation.DefaultLimits(n.s.CallerKeep),
	}, relay.Deps{
		Transport: n.network, Members: n.members, Engines: n.engines, Router: n.router,
		Log: n.log, Metrics: n.metrics, Admission: n.admission, Quota: n.plans, Note: n.note, Tracer: n.tracer,
	})
}
