package routed

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Router is a process that takes callers' requests.
type Router struct {
	o       RouterOptions
	network *peer.Network
	feed    *control.Feed
	member  *cluster.Member
	held    *cluster.ListReplica
	fleet   *upstream.Fleet
	handler *forward.Handler
	blame   *forward.SuspectContents
	table   atomic.Pointer[routes.Table]
	state   atomic.Pointer[rollout.State]
	book    *rollout.Recorder
	drain   *drain
	conns   *callerConns
	// prepared is closed once both lists are held.
	prepared chan struct{}
	prepare  sync.Once

	peers, front *http.Server
	ctx          context.Context
	cancel       context.CancelFunc
}

// StartRouter binds the addresses and serves.
func StartRouter(o RouterOptions) (*Router, error) {
	r := &Router{o: o, blame: forward.NewSuspectContents(), prepared: make(chan struct{}), conns: newCallerConns(DefaultLimits), book: rollout.NewRecorder(time.Now)}
	r.state.Store(&rollout.State{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.drain = newDrain(o.Drain)
	pool := upstream.NewPool()
	r.fleet = upstream.NewFleet(pool, o.Log)
	r.gauges(pool)
	r.held = cluster.NewListReplica(r.takeList)
	r.network = newNetwork(&o.Common)
	r.member = cluster.NewMember(o.ID, r.network, o.Seeds, r.held, cluster.Local{
		Zone: o.Zone, Endpoint: o.Endpoint, Ready: r.Ready, Use: r.fleet.OwnUse, Deaths: r.blame.TakeNewDeaths,
		Dead: r.fleet.RecentlyDead, Runs: r.kept, Spent: r.spent, Learn: r.learn, LearnSpent: r.learnSpent,
		Opinion: r.fleet.Report, Paces: r.paces, Rollouts: r.book.Reports, Urgent: func() bool { return r.state.Load().Urgent() },
	}, o.Log)
	r.feed = control.NewFeed(control.FeedOptions{
		Self: o.ID, Voters: r.member.Controls, Transport: r.network, Lease: Lease, Log: o.Log,
	})
	r.feed.OnChange(control.RoutesStateMachine, r.take)
	r.feed.OnChange(control.RolloutsStateMachine, r.takeRollouts)
	r.handler = forward.NewHandler(forward.Options{
		Zone: o.Zone, Wire: o.Wire, Pool: pool, Fleet: r.fleet, Routes: r.table.Load, ListsReady: r.prepared,
		RetryAllowance: o.RetryAllowance, Log: o.Log, RoutineLog: o.RoutineLog, Metrics: o.Metrics, SuspectContents: r.blame, Closing: r.drain.started,
		Placer: r.member, FindOrphan: r.member.FindOrphan, ReportRetries: r.member.NotifyRetry, CannotFinish: r.drain.tooLate,
		Rollouts: &forward.Rollouts{State: r.state.Load, Book: r.book},
	})
	if err := r.serve(); err != nil {
		r.cancel()
		return nil, err
	}
	r.feed.Start()
	go r.member.Run(r.ctx)
	go r.member.RunRetryReports(r.ctx)
	go r.member.RunUseReports(r.ctx)
	return r, nil
}

func (r *Router) serve() error {
	var err error
	if r.peers, err = listenPeers(r.network, &r.o.Common); err != nil {
		return err
	}
	r.front, err = listenCallers(r.o.Endpoint, r.drain.wrap(r.handler), r.conns, r.o.Log)
	return err
}

// gauges registers what is read when the metrics are.
func (r *Router) gauges(pool *upstream.Pool) {
	set := r.o.Metrics
	set.NewGauge("shelf_route_list_version", func() float64 {
		if t := r.table.Load(); t != nil {
			return float64(t.List.Version)
		}
		return 0
	})
	set.NewGauge("shelf_backend_list_age_seconds", func() float64 {
		_, _, age, _ := r.held.Current()
		return age.Seconds()
	})
	set.NewGauge("shelf_feed_polls_total", func() float64 { return float64(r.feed.Stats().Polls) })
	set.NewGauge("shelf_feed_failures_total", func() float64 { return float64(r.feed.Stats().Failures) })
	set.NewGauge("shelf_feed_bytes_total", func() float64 { return float64(r.feed.Stats().Bytes) })
	set.NewGauge("shelf_feed_unclaimed_answers_total", func() float64 { return float64(r.network.UnclaimedReplies(peer.KindWatch).Count) })
	set.NewGauge("shelf_feed_unclaimed_bytes_total", func() float64 { return float64(r.network.UnclaimedReplies(peer.KindWatch).Bytes) })
	set.NewGauge("shelf_idle_connections", func() float64 { return float64(pool.Idle()) })
	set.NewGauge("shelf_connections_opened_total", func() float64 { return float64(pool.Dials()) })
}

// take applies a route list. The feed calls it with growing versions only.
func (r *Router) take(data []byte) {
	var l routes.List
	if err := codec.Unmarshal(data, &l); err != nil {
		r.o.Log.Error().Err(err).Msg("route list not readable")
		return
	}
	wasReady := r.Ready()
	r.table.Store(routes.NewTable(&l))
	r.conns.set(limitsOf(l.Limits))
	if !wasReady {
		r.notePrepared()
	}
	r.o.Log.Info().Uint64("version", l.Version).Int("routes", len(l.Routes)).Int("workspaces", len(l.Workspaces)).Msg("route list applied")
}

// takeRollouts applies the state of all roll-outs.
func (r *Router) takeRollouts(data []byte) {
	var s rollout.State
	if err := codec.Unmarshal(data, &s); err != nil {
		r.o.Log.Error().Err(err).Msg("roll-outs not readable")
		return
	}
	r.state.Store(&s)
	r.book.Watch(s.UnderWay())
	for service, record := range s.Records {
		r.o.Log.Info().Str("service", service).Uint64("rollout", record.Number).Str("to", record.To).Stringer("phase", record.Phase).
			Float64("share", record.DefaultShare).Msg("roll-out applied")
	}
}

// takeList applies a list of backend servers.
func (r *Router) takeList(l upstream.List) {
	first := r.fleet.AsOf().IsZero()
	r.fleet.Apply(l)
	if first {
		r.notePrepared()
	}
}

// notePrepared lets held requests go, and tells the control processes, once both
// lists are there.
func (r *Router) notePrepared() {
	if r.table.Load() == nil || r.fleet.AsOf().IsZero() {
		return
	}
	r.prepare.Do(func() { close(r.prepared) })
	r.member.NotifyNow()
}

func (r *Router) learn(k cluster.PeerReports) {
	r.fleet.SetPeerUse(k.Use)
	r.fleet.PeerReportedDead(k.Dead)
	r.blame.AddPeerDeaths(k.Deaths)
	r.handler.SetVMs(len(k.Routers))
	r.handler.SetCopiesDisabled(k.LowMemory)
	r.handler.SetPaces(k.Paces)
	r.fleet.SetRouters(r.o.ID, k.Routers)
}

// kept are the streams here with a copy. The member starts after the handler.
func (r *Router) kept() []forward.ResumableRun { return r.handler.ResumableRuns() }

func (r *Router) learnSpent(others map[string]forward.RetryUsage) {
	r.handler.SetPeerRetryUsage(others)
}

func (r *Router) paces() map[string]scheduler.EngineTiming { return r.handler.Paces() }

func (r *Router) spent() map[string]forward.RetryUsage { return r.handler.RetryUsage() }

// Ready reports whether callers may be sent here.
func (r *Router) Ready() bool {
	_, _, _, listed := r.held.Current()
	return listed && r.table.Load() != nil && !r.drain.started()
}

// SetSeeds takes other control addresses.
func (r *Router) SetSeeds(seeds []string) { r.member.SetSeeds(seeds) }

// tellTimeout bounds the notices at the begin of a planned end.
const tellTimeout = 300 * time.Millisecond

// Shutdown ends the router as planned: it is out of the directory at once, goes
// on serving callers whose entry answers still name it, and returns when nothing
// runs any more or the grace is nearly over.
func (r *Router) Shutdown() {
	r.drain.start()
	ctx, cancel := context.WithTimeout(r.ctx, tellTimeout)
	r.member.SendNow(ctx)
	cancel()
	r.drain.wait()
	r.Close()
}

// Close ends everything at once.
func (r *Router) Close() {
	r.cancel()
	_ = r.front.Close()
	_ = r.peers.Close()
	r.feed.Close()
	r.network.Close()
}
