package forward

import (
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// deadProbeTimeout bounds the probe of a dead server, for which nobody waits. A server that was
// judged dead by mistake may be busy with the requests of other VMs.
const deadProbeTimeout = time.Second

// deadProbeTick is how often the handler looks for dead servers that are due for a probe.
const deadProbeTick = 50 * time.Millisecond

// deadServers probes the servers that were judged dead until they answer or leave the list.
type deadServers struct {
	h       *Handler
	probing atomic.Bool
}

// probe begins the probes unless they are in progress.
func (d *deadServers) probe() {
	if d.probing.CompareAndSwap(false, true) {
		go d.run()
	}
}

// probeRevived probes a server that goes on after a silence. Until it answers on a new connection
// it is avoided, since only its link may be at fault.
func (h *Handler) probeRevived(s *upstream.Server) {
	h.Stats.Probes.Inc()
	h.prober.start(s)
}

func (d *deadServers) run() {
	fleet, ctx := d.h.opts.Fleet, d.h.opts.Context
	for fleet.DeadServers() > 0 && ctx.Err() == nil {
		for _, s := range fleet.DeadProbesDue() {
			d.h.Stats.Probes.Inc()
			go d.h.noteProbe(s, d.h.prober.startWithin(s, deadProbeTimeout))
		}
		_ = timer.Sleep(ctx, deadProbeTick) // the loop ends with ctx
	}
	d.probing.Store(false)
	if fleet.DeadServers() > 0 && ctx.Err() == nil {
		d.probe() // a server died after the last look
	}
}
