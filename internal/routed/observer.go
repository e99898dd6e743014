package routed

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

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
// callers by asking the voters, and stores no state itself.
type Observer struct {
	operatorServers
	o               Common
	network         *peer.Network
	member          *cluster.Member
	observer        *cluster.Observer
	client          *control.RemoteClient
	routeListReader *routeListReader
	voters          voterClient
	peerServer      *http.Server
	cancel          context.CancelFunc
}

// StartObserver binds the peer address and starts to follow the control group.
func StartObserver(o Common) (*Observer, error) {
	o.setDefaults()
	v := &Observer{operatorServers: newOperatorServers(o.Log, o.Heads), o: o, network: newNetwork(&o)}
	var ctx context.Context
	ctx, v.cancel = context.WithCancel(context.Background())
	v.member = cluster.NewMember(o.ID, v.network, o.Seeds, cluster.NewListReplica(func(upstream.List) {}), cluster.Local{
		Zone: o.Zone, LearnEndpoints: func(d cluster.Directory) { v.observer.LearnEndpoints(d) },
	}, o.Log)
	v.observer = cluster.NewObserver(v.network, o.ID, v.member.Controls)
	consensus.ServeObserver(v.network, o.ID)
	v.client = control.NewRemoteClient(v.network, o.ID, v.observer.Controls)
	v.routeListReader = &routeListReader{t: v.network, voters: v.observer.Controls, log: o.Log}
	v.voters = voterClient{t: v.network, vms: v.observer.Controls, log: o.Log}
	o.Metrics.NewGauge("shelf_ready_routers", func() float64 { return float64(v.observer.ReadyRouters()) })
	var err error
	if v.peerServer, err = listenPeers(v.network, &o); err != nil {
		v.cancel()
		return nil, err
	}
	go v.member.Run(ctx)
	o.Log.Info().Msg("no data folder: this process observes the control group")
	return v, nil
}

// SetSeeds replaces the seeds: the addresses of control VMs from which this process learns
// the other control VMs.
func (v *Observer) SetSeeds(seeds []string) { v.member.SetSeeds(seeds) }

// Endpoints implements ControlProcess.
func (v *Observer) Endpoints(zone string, limit int) []string {
	return v.observer.Endpoints(zone, limit)
}

// PutRoutes implements ControlProcess.
func (v *Observer) PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error) {
	return proposeRoutes(ctx, v.client, l, v.o.Log)
}

// Routes implements ControlProcess. The voter confirms with a majority after it has
// received the call.
func (v *Observer) Routes(ctx context.Context) ([]byte, error) { return v.routeListReader.read(ctx) }

// PutRollout implements ControlProcess. A voter that did not answer may have committed
// the order. In that case the next voter acknowledges it as a repeated order.
func (v *Observer) PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error) {
	return orderFromVoters[rollout.Record](ctx, &v.voters, peer.KindRollout, rolloutRequest{Order: &o})
}

// Rollout implements ControlProcess.
func (v *Observer) Rollout(ctx context.Context, service string) (rollout.Record, error) {
	return askVoters[rollout.Record](ctx, &v.voters, peer.KindRollout, rolloutRequest{Service: service})
}

// voterRequestTimeout bounds a call to one voter, which may have to commit.
const voterRequestTimeout = 700 * time.Millisecond

// voterClient sends the requests of an Observer to the voters.
type voterClient struct {
	t   peer.Transport
	vms func() []string
	log zerolog.Logger
}

// orderFromVoters gives an order to the voters in turn until one gives a final answer. An error with
// code ControlUnavail guarantees that nothing has changed.
func orderFromVoters[R any](ctx context.Context, c *voterClient, kind peer.Kind, q any) (R, error) {
	return askEach[R](ctx, c, kind, q, result.OutcomeUnknown)
}

// askVoters sends a question to the voters in turn until one gives a final answer.
func askVoters[R any](ctx context.Context, c *voterClient, kind peer.Kind, q any) (R, error) {
	return askEach[R](ctx, c, kind, q, result.ControlUnavail)
}

// askEach does both. unanswered is the code of the error if a voter may have taken the request.
func askEach[R any](ctx context.Context, c *voterClient, kind peer.Kind, q any, unanswered result.Code) (R, error) {
	var none R
	code := result.ControlUnavail
	for _, vm := range c.vms() {
		var out R
		asking, cancel := context.WithTimeout(ctx, voterRequestTimeout)
		err := c.t.Call(asking, vm, kind, q, &out)
		cancel()
		if err == nil {
			return out, nil
		}
		if final := finalOr(err, result.ControlUnavail); final.Code != result.ControlUnavail {
			return none, final
		}
		if mayBeTaken(err) {
			code = unanswered
		}
		c.log.Debug().Err(err).Str("control", vm).Int("kind", int(kind)).Msg("request to a voter failed; asking the next one, if any")
	}
	return none, result.New(code)
}

// mayBeTaken reports whether a voter may have taken a request that failed with err, or takes it later.
func mayBeTaken(err error) bool {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return result.Code(remote.Code) != result.ControlUnavail
	}
	return !errors.Is(err, peer.ErrQueueFull) && !errors.Is(err, peer.ErrClosed)
}

// finalOr returns the error of another VM if every voter would give the same answer, and an
// error with the code otherwise if not.
func finalOr(err error, otherwise result.Code) *result.Error {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return result.New(otherwise)
	}
	switch code := result.Code(remote.Code); code {
	case result.InvalidRollout, result.RolloutUnderWay, result.UnknownService, result.NoRollout, result.InvalidCordon, result.CordonRefused, result.NoCordon:
		return result.Newf(code, "%s", remote.Message)
	}
	return result.New(otherwise)
}

// Failure implements ControlProcess. It returns nil, since an Observer has no disk that
// could fail.
func (v *Observer) Failure() <-chan error { return nil }

// Shutdown implements Process.
func (v *Observer) Shutdown() {
	v.drain()
	v.Close()
}

// Close implements ControlProcess.
func (v *Observer) Close() {
	v.cancel()
	_ = v.peerServer.Close()
	v.network.Close()
}
