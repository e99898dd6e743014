package routed

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// placer has the control VMs decide where streams go.
type placer struct{ *cluster.Member }

// Place implements forward.Placer.
func (p placer) Place(ctx context.Context, a *forward.Ask) (forward.Placed, bool) {
	d, ok := p.Member.Place(ctx, cluster.PlaceAsk{
		ID: a.RequestID, Service: a.Service, Workspace: a.Workspace, Need: a.Need, KVTokens: a.KVTokens, Priority: a.Priority,
		Interrupted: a.Interrupted, Skip: a.Skip, WantsCopy: a.WantsCopy, Cached: a.Cached,
	}, a.Due, a.Deadline, a.Abandon)
	return forward.Placed{
		Outcome: d.Outcome, Number: d.Number, Server: d.Server, Keeper: d.Keeper,
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}, ok
}
