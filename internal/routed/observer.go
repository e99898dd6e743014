package routed

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/consensus"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Observer is a control process on a VM without a disk. It answers operators and
// callers by what the voters tell it, and holds nothing itself.
type Observer struct {
	o        Common
	network  *peer.Network
	member   *cluster.Member
	observer *cluster.Observer
	client   *control.RemoteClient
	text     *textReader
	peers    *http.Server
	cancel   context.CancelFunc
}

// StartObserver binds the peer address and begins to follow.
func StartObserver(o Common) (*Observer, error) {
	v := &Observer{o: o, network: newNetwork(&o)}
	var ctx context.Context
	ctx, v.cancel = context.WithCancel(context.Background())
	v.member = cluster.NewMember(o.ID, v.network, o.Seeds, cluster.NewListReplica(func(upstream.List) {}), cluster.Local{
		Zone: o.Zone, LearnEndpoints: func(addrs []string) { v.observer.LearnEndpoints(addrs) },
	}, o.Log)
	v.observer = cluster.NewObserver(v.network, o.ID, v.member.Controls)
	consensus.ServeObserver(v.network, o.ID)
	v.client = control.NewRemoteClient(v.network, o.ID, v.observer.Controls)
	v.text = &textReader{t: v.network, voters: v.observer.Controls, log: o.Log}
	o.Metrics.NewGauge("shelf_ready_routers", func() float64 { return float64(len(v.Endpoints(maxRouters))) })
	var err error
	if v.peers, err = listenPeers(v.network, &o); err != nil {
		v.cancel()
		return nil, err
	}
	go v.member.Run(ctx)
	o.Log.Info().Msg("no data folder: this process observes the control group")
	return v, nil
}

// SetSeeds takes other control addresses.
func (v *Observer) SetSeeds(seeds []string) { v.member.SetSeeds(seeds) }

// Entrances implements Operable.
func (v *Observer) Endpoints(limit int) []string { return v.observer.Endpoints(limit) }

// PutRoutes implements Operable.
func (v *Observer) PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error) {
	return propose(ctx, v.client, l, v.o.Log)
}

// Routes implements Operable. The voter that is asked confirms with a majority after
// it was asked.
func (v *Observer) Routes(ctx context.Context) ([]byte, error) { return v.text.read(ctx) }

// PutRollout implements Operable. A voter that did not answer may have taken the order:
// the next one then acknowledges it as the same.
func (v *Observer) PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error) {
	return v.askRollout(ctx, rolloutAsk{Order: &o})
}

// Rollout implements Operable.
func (v *Observer) Rollout(ctx context.Context, service string) (rollout.Record, error) {
	return v.askRollout(ctx, rolloutAsk{Service: service})
}

// askRolloutTimeout covers a commit at a voter.
const askRolloutTimeout = 700 * time.Millisecond

// askRollout asks the voters in turn until one decides.
func (v *Observer) askRollout(ctx context.Context, q rolloutAsk) (rollout.Record, error) {
	for _, vm := range v.observer.Controls() {
		var out rollout.Record
		asking, cancel := context.WithTimeout(ctx, askRolloutTimeout)
		err := v.network.Call(asking, vm, peer.KindRollout, q, &out)
		cancel()
		if err == nil {
			return out, nil
		}
		var remote *peer.RemoteError
		if errors.As(err, &remote) && isFinal(result.Code(remote.Code)) {
			return out, result.New(result.Code(remote.Code))
		}
		v.o.Log.Debug().Err(err).Str("control", vm).Msg("voter not asked about a roll-out")
	}
	return rollout.Record{}, result.New(result.ControlUnavail)
}

// isFinal reports whether another voter would say the same.
func isFinal(c result.Code) bool {
	switch c {
	case result.InvalidRollout, result.RolloutUnderWay, result.UnknownService, result.NoRollout:
		return true
	}
	return false
}

// Failure implements Operable: an Observer has nothing that could fail it.
func (v *Observer) Failure() <-chan error { return nil }

// Shutdown ends the process as planned.
func (v *Observer) Shutdown() { v.Close() }

// Close ends everything at once.
func (v *Observer) Close() {
	v.cancel()
	_ = v.peers.Close()
	v.network.Close()
}
