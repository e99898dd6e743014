package node

import (
	"context"
	"errors"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Shutdown ends the VM without cutting an answer off, within DrainTimeout:
// first it leaves the entry answers, and refuses nothing until no caller holds
// one that still names it; then it hands the running generations to other VMs
// and tells their callers to reconnect; last it waits for what must end here,
// such as an answer that its caller wants in one piece.
func (n *Node) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.s.DrainTimeout)
	defer cancel()
	n.ready.Store(false)
	n.draining.Store(true)
	n.leaveMembers(ctx, false)
	n.log.Info().Dur("entry_ttl", n.s.EntryTTL).Msg("shutting down: no longer handed out")
	if len(n.s.VMs) > 1 {
		_ = timer.Sleep(ctx, n.s.EntryTTL)
	}
	errs := []error{n.hub.Drain(ctx)}
	close(n.leaving)
	n.log.Info().Msg("generations handed over")
	for _, s := range n.servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	n.leaveMembers(ctx, true)
	n.plans.cancel()
	n.members.cancel()
	n.stopPolling()
	n.leaveControl(ctx)
	n.stopControl()
	n.network.Close()
	n.hub.Close()
	return errors.Join(append(errs, n.tracer.Close(context.WithoutCancel(ctx)))...)
}
