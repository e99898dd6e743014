package node

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
)

// Timings of generations. A caller reconnects about three seconds after its VM became
// silent, and opening the journal then takes a second at worst. An engine that continues
// for six seconds without a router is therefore still running when the new router finds it.
const (
	openTimeout = 4 * time.Second

	detachedEngineLifetime = 6 * time.Second
)

func (n *Node) startGenerations() {
	n.hub = relay.NewHub(relay.Config{
		VM: n.s.Self.ID, EpochVM: n.s.Self.ID + "#" + n.incarnation, Incarnation: n.incarnation,
		OpenTimeout: openTimeout, Objective: objectiveOf(n.s.Objective), CallerKeep: n.s.CallerKeep, DetachKeep: detachedEngineLifetime,
		Limits: generation.DefaultLimits(n.s.CallerKeep),
	}, relay.Deps{
		Transport: n.network, Members: n.members, Engines: n.engines, Router: n.router,
		Log: n.log, Metrics: n.metrics, Admission: n.admission, Quota: n.plans, Note: n.note, Tracer: n.tracer,
	})
}
