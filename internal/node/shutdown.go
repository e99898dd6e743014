package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// closeMargin is the time left of DrainTimeout when a call must have its answer at the latest.
	closeMargin = 100 * time.Millisecond
	// reconnectMargin is the same for a streaming caller, which is then asked to reconnect.
	reconnectMargin = 300 * time.Millisecond
	// listenMargin is the same for the end of listening. Leaving the other VMs needs the rest.
	listenMargin = 300 * time.Millisecond
)

// stopWindow is a shutdown in progress.
type stopWindow struct {
	began  time.Time
	window shutdown.Window
}

// cannotFinish reports that this VM shuts down before it could finish a call.
func (n *Node) cannotFinish(w shutdown.Work) bool {
	s := n.stopping.Load()
	return s != nil && s.window.CannotFinish(time.Since(s.began), w)
}

// Shutdown stops the VM within DrainTimeout without cutting off an answer. First the entry
// answers omit this VM, which still serves all requests until no caller holds an answer
// that names it, or half of its time is over. Then it hands the running generations over to
// other VMs and tells their callers to reconnect. Finally it waits for the requests that must
// finish here, such as an answer that its caller wants in one piece, and refuses new ones.
func (n *Node) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.s.DrainTimeout)
	defer cancel()
	end, _ := ctx.Deadline()
	grace := time.Until(end)
	n.stopping.Store(&stopWindow{time.Now(), shutdown.Window{Grace: grace, Margin: closeMargin, Early: n.s.EntryTTL}})
	defer time.AfterFunc(grace-closeMargin, n.endAnswers).Stop()
	n.ready.Store(false)
	n.draining.Store(true)
	n.leaveMembers(ctx, false)
	n.log.Info().Dur("entry_ttl", n.s.EntryTTL).Msg("shutting down: entry answers no longer name this VM")
	if len(n.s.VMs) > 1 {
		_ = timer.Sleep(ctx, min(n.s.EntryTTL, grace/2))
	}
	listening, stopListening := context.WithDeadline(ctx, end.Add(-listenMargin))
	defer stopListening()
	errs := []error{n.handOver(ctx, end)}
	for _, s := range n.servers {
		errs = append(errs, s.stop(ctx, listening))
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

// handOver hands the running generations over to other VMs. It asks their callers to reconnect, also
// those of generations that no other VM takes, while there is time to tell them.
func (n *Node) handOver(ctx context.Context, end time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, end.Add(-reconnectMargin))
	defer cancel()
	err := n.hub.Drain(ctx)
	n.askToReconnect()
	n.log.Info().AnErr("error", err).Msg("handover of running generations ended; callers are asked to reconnect")
	return err
}

// endKeptConnections asks callers to use no connection again once this VM shuts down. A request that
// crosses the close of its connection would get no answer.
func (n *Node) endKeptConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
