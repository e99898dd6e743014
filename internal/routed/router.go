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
	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Router is a process that serves the requests of callers.
type Router struct {
	o               RouterOptions
	network         *peer.Network
	feed            *control.Feed
	member          *cluster.Member
	backendList     *cluster.ListReplica
	fleet           *upstream.Fleet
	handler         *forward.Handler
	entrance        http.Handler // the handler behind the limits of this VM
	suspectContents *forward.SuspectContents
	table           atomic.Pointer[routes.Table]
	rollouts        atomic.Pointer[rollout.State]
	recorder        *rollout.Recorder
	cordons         cordonFeed
	drain           *drain
	handOffs        *handoff.Server // of requests that other VMs hand off
	conns           *callerConns
	load            *vmLoad
	// listsReady is closed once the route list and the list of backend servers are held.
	listsReady     chan struct{}
	listsReadyOnce sync.Once

	peerServer, callerServer *http.Server
	ctx                      context.Context
	cancel                   context.CancelFunc
	ending                   context.Context // ends before the connections are closed
	end                      context.CancelFunc
}

// StartRouter binds the addresses and starts to serve.
func StartRouter(o RouterOptions) (*Router, error) {
	o.setDefaults()
	r := &Router{o: o, suspectContents: forward.NewSuspectContents(o.Log), listsReady: make(chan struct{}), conns: newCallerConns(DefaultLimits), recorder: rollout.NewRecorder(time.Now)}
	r.rollouts.Store(&rollout.State{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.ending, r.end = context.WithCancel(r.ctx)
	r.drain = newDrain(o.Drain)
	r.load = newVMLoad(&o, r.drain.requests)
	if o.Limits.Stated() {
		r.conns.count = r.load.traffic.count
	}
	account := memory.NewAccount(o.Limits.MemoryBytes)
	r.registerMemoryGauges(account)
	pool := r.load.pool()
	pool.SetAccount(account)
	r.fleet = upstream.NewFleet(pool, o.Log)
	r.cordons.apply = r.setCordons
	r.registerGauges(pool)
	r.registerCordonGauges()
	r.backendList = cluster.NewListReplica(r.applyBackends)
	r.network = newNetwork(&o.Common)
	r.member = cluster.NewMember(o.ID, r.network, o.Seeds, r.backendList, cluster.Local{
		Zone: o.Zone, Endpoint: o.Endpoint, Ready: r.Ready, Use: r.fleet.OwnUse, Deaths: r.suspectContents.TakeUnreported,
		Dead: r.fleet.RecentlyDead, Runs: r.resumableRuns, CarriesStream: r.carriesStream, ReaderOf: r.readerOf, Spent: r.retryUsage, Learn: r.applyPeerReports, LearnSpent: r.applyPeerRetryUsage,
		BackendReport: r.fleet.Report, EngineTimings: r.engineTimings, TakeEngineSpeeds: r.takeEngineSpeeds, Rollouts: r.recorder.Reports, Urgent: func() bool { return r.rollouts.Load().Urgent() },
		Withheld: r.fleet.Withheld, Limits: r.fleet.Limits, SentElsewhere: r.fleet.SentElsewhere, LearnLimits: r.fleet.LearnLimits,
		Leaving: r.fleet.Leaving, LearnLeaving: r.fleet.LearnLeaving, Contents: r.suspectContents.Reports, LearnContents: r.suspectContents.Learn, Lost: r.fleet.LostServices, Hears: r.hears,
		Capacity: r.load.size(), Load: r.load.thousandths, LearnBalance: r.load.learn,
	}, o.Log)
	r.suspectContents.Changed = r.member.NotifyNow
	r.feed = control.NewFeed(control.FeedOptions{
		Self: o.ID, Voters: r.member.Controls, Transport: r.network, Lease: Lease, Log: o.Log,
	})
	r.feed.OnChange(control.RoutesStateMachine, r.applyRoutes)
	r.feed.OnChange(control.RolloutsStateMachine, r.applyRollouts)
	r.feed.OnChange(control.CordonsStateMachine, r.applyCordons)
	r.handler = forward.NewHandler(forward.Options{
		Context: r.ctx, Zone: o.Zone, Wire: o.Wire, Pool: pool, Fleet: r.fleet, Routes: r.table.Load, ListsReady: r.listsReady,
		RetryAllowance: o.RetryAllowance, Log: o.Log, RoutineLog: o.RoutineLog, Metrics: o.Metrics, SuspectContents: r.suspectContents, Closing: r.drain.started, Ending: r.ending,
		Placer: r.member, RefusalLevel: r.member.RefusalLevel, Permits: r.member, CallGrants: r.member, ContentTrials: r.member, HandOff: handoff.NewClient(r.network, r.member.Relays, account, o.Log), FindOrphan: r.member.FindOrphan, ReportRetries: r.member.NotifyRetry, CannotFinish: r.drain.cannotFinish, TimeLeft: r.drain.left,
		Rollouts: &forward.Rollouts{State: r.rollouts.Load, Recorder: r.recorder},
		Origins:  r.member, VersionsFresh: r.feed.Fresh, Memory: account,
	})
	r.drain.refuse = r.refuseAfterDrain
	r.entrance = r.drain.countRequests(r.load.limit(r.handler, r.handler.Refuse, r.conns.open))
	r.handOffs = handoff.NewServer(r.ctx, r.network, r.entrance, r.takes, account, o.Log)
	r.drain.unanswered = func() int { return r.conns.unanswered() + r.handOffs.InProgress() }
	if err := r.serve(); err != nil {
		r.cancel()
		return nil, err
	}
	r.feed.Start()
	go r.probeLostServices()
	go r.member.Run(r.ctx)
	go r.member.RunRetryReports(r.ctx)
	go r.member.RunUseReports(r.ctx)
	go r.member.RunRecords(r.ctx)
	go r.load.run(r.ctx)
	go r.member.RunCallReports(r.ctx)
	return r, nil
}

func (r *Router) serve() error {
	var err error
	if r.peerServer, err = listenPeers(r.network, &r.o.Common); err != nil {
		return err
	}
	r.callerServer, err = listenCallers(r.o.Endpoint, r.entrance, r.conns, r.o.Heads, r.o.Log)
	return err
}

// registerMemoryGauges registers the metrics of the memory for data from outside.
func (r *Router) registerMemoryGauges(a *memory.Account) {
	set := r.o.Metrics
	set.NewGauge("shelf_memory_held_bytes", func() float64 { return float64(a.Usage().Bytes) })
	set.NewGauge("shelf_memory_requests_bytes", func() float64 { return float64(a.Usage().RequestBytes) })
	set.NewGauge("shelf_memory_answers_ended_total", func() float64 { return float64(a.Usage().Ended) })
}

// registerGauges registers the metrics that are computed when they are read.
func (r *Router) registerGauges(pool *upstream.Pool) {
	set := r.o.Metrics
	set.NewGauge("shelf_route_list_version", func() float64 {
		if t := r.table.Load(); t != nil {
			return float64(t.List.Version)
		}
		return 0
	})
	set.NewGauge("shelf_backend_list_age_seconds", func() float64 {
		_, _, age, _ := r.backendList.Current()
		return age.Seconds()
	})
	set.NewGauge("shelf_feed_polls_total", func() float64 { return float64(r.feed.Stats().Polls) })
	set.NewGauge("shelf_feed_failures_total", func() float64 { return float64(r.feed.Stats().Failures) })
	set.NewGauge("shelf_feed_bytes_total", func() float64 { return float64(r.feed.Stats().Bytes) })
	set.NewGauge("shelf_feed_unclaimed_answers_total", func() float64 { return float64(r.network.UnclaimedReplies(peer.KindWatch).Count) })
	set.NewGauge("shelf_feed_unclaimed_bytes_total", func() float64 { return float64(r.network.UnclaimedReplies(peer.KindWatch).Bytes) })
	set.NewGauge("shelf_rate_limits", func() float64 { return float64(r.fleet.LimitsInForce()) })
	set.NewGauge("shelf_servers_paused", func() float64 { return float64(r.fleet.Paused()) })
	set.NewGauge("shelf_servers_dead", func() float64 { return float64(r.fleet.DeadServers()) })
	set.NewGauge("shelf_suspect_contents", func() float64 { return float64(r.suspectContents.Count()) })
	set.NewGauge("shelf_services_lost", func() float64 { return float64(len(r.fleet.LostServices())) })
	set.NewGauge("shelf_idle_connections", func() float64 { return float64(pool.Idle()) })
	set.NewGauge("shelf_connections_opened_total", func() float64 { return float64(pool.Dials()) })
}

// applyRoutes applies a route list. The feed calls it with increasing versions only.
func (r *Router) applyRoutes(data []byte) {
	var l routes.List
	if err := codec.Unmarshal(data, &l); err != nil {
		r.o.Log.Error().Err(err).Msg("route list could not be decoded; keeping the list in force")
		return
	}
	wasReady := r.Ready()
	r.table.Store(routes.NewTable(&l))
	r.conns.setLimits(serverLimits(l.Limits))
	if !wasReady {
		r.signalListsReady()
	}
	r.o.Log.Info().Uint64("version", l.Version).Int("routes", len(l.Routes)).Int("workspaces", len(l.Workspaces)).Msg("route list applied")
}

// applyRollouts applies the state of all roll-outs.
func (r *Router) applyRollouts(data []byte) {
	var s rollout.State
	if err := codec.Unmarshal(data, &s); err != nil {
		r.o.Log.Error().Err(err).Msg("state of the roll-outs could not be decoded; keeping the state in force")
		return
	}
	r.rollouts.Store(&s)
	r.recorder.Watch(s.UnderWay())
	for service, record := range s.Records {
		r.o.Log.Info().Str("service", service).Uint64("rollout", record.Number).Str("to", record.To).Stringer("phase", record.Phase).
			Float64("share", record.DefaultShare).Msg("roll-out applied")
	}
}

// applyBackends applies a list of backend servers.
func (r *Router) applyBackends(l upstream.List) {
	first := r.fleet.AsOf().IsZero()
	r.fleet.Apply(l)
	if first {
		r.signalListsReady()
	}
}

// signalListsReady releases the requests that wait for the lists and notifies the
// control processes, if both lists are held.
func (r *Router) signalListsReady() {
	if r.table.Load() == nil || r.fleet.AsOf().IsZero() {
		return
	}
	r.listsReadyOnce.Do(func() { close(r.listsReady) })
	r.member.NotifyNow()
}

func (r *Router) applyPeerReports(reports cluster.PeerReports) {
	r.fleet.SetPeerUse(reports.Use)
	r.fleet.PeerReportedDead(reports.Dead)
	r.suspectContents.AddPeerDeaths(reports.Deaths)
	r.handler.SetVMs(len(reports.Routers))
	r.handler.SetCopiesDisabled(reports.LowMemory)
	r.handler.SetPaces(reports.EngineTimings)
	r.fleet.SetRouters(r.o.ID, reports.Routers)
}

// resumableRuns returns the streams in flight that another router could resume. The
// member, which calls it, starts after the handler is set.
func (r *Router) resumableRuns() []forward.ResumableRun { return r.handler.ResumableRuns() }

// carriesStream reports whether this router carries a stream now.
func (r *Router) carriesStream(id forward.RunID) bool { return r.handler.CarriesStream(id) }

// readerOf returns the VM for which this router serves a stream.
func (r *Router) readerOf(id forward.RunID) (handoff.Reader, bool) { return r.handler.ReaderOf(id) }

func (r *Router) applyPeerRetryUsage(others map[string]forward.RetryUsage) {
	r.handler.SetPeerRetryUsage(others)
}

func (r *Router) engineTimings() map[string]scheduler.EngineTiming { return r.handler.Paces() }

func (r *Router) takeEngineSpeeds() map[string]enginespeed.Observation {
	return r.handler.TakeEngineSpeeds()
}

func (r *Router) retryUsage() map[string]forward.RetryUsage { return r.handler.RetryUsage() }

// Ready reports whether the entry answers may name this router.
func (r *Router) Ready() bool {
	_, _, _, listed := r.backendList.Current()
	return listed && r.table.Load() != nil && !r.drain.started()
}

// SetSeeds replaces the control addresses.
func (r *Router) SetSeeds(seeds []string) { r.member.SetSeeds(seeds) }

// leaveNoticeTimeout bounds the heartbeats that announce a planned shutdown.
const leaveNoticeTimeout = 300 * time.Millisecond

// handBackTimeout bounds the wait until other VMs know that the requests which they handed off have
// ended here. It is part of closeMargin.
const handBackTimeout = 150 * time.Millisecond

// lastAnswersTimeout bounds the wait until the callers of calls that cannot be finished have been
// told so. It is part of closeMargin.
const lastAnswersTimeout = 100 * time.Millisecond

// Shutdown drains the router. It leaves the directory at once and keeps serving callers
// whose entry answers still name it. Shutdown returns when no request runs any more and all
// answers are written, or when the grace period is nearly over.
func (r *Router) Shutdown() {
	r.drain.start()
	ctx, cancel := context.WithTimeout(r.ctx, leaveNoticeTimeout)
	r.member.SendNow(ctx)
	cancel()
	r.drain.wait()
	cutOff := r.handler.LogUnfinished()
	r.o.Log.Info().Dur("time_left", r.drain.left()).Int("requests", r.drain.requests()).Int("cut_off", cutOff).Msg("drain ended")
	r.end()
	r.drain.awaitAnswers(lastAnswersTimeout)
	ctx, cancel = context.WithTimeout(r.ctx, handBackTimeout)
	r.handOffs.EndAll(ctx)
	cancel()
	r.closeCallers()
	r.Close()
}

// refuseAfterDrain answers a request that comes when the process is about to end.
func (r *Router) refuseAfterDrain(w http.ResponseWriter, q *http.Request, err error) {
	caller, _ := r.o.Wire.ReadCaller(q.Header) // a request with odd headers is refused as well
	r.o.RoutineLog.Info().Str("request", caller.RequestID).Int("code", int(result.CodeOf(err))).Msg("request refused by the end of the process")
	r.handler.Refuse(w, q, err)
}

// lastWritesTimeout bounds the wait for answers that are complete and not yet written to their
// connections. It is part of closeMargin.
const lastWritesTimeout = 100 * time.Millisecond

// closeCallers closes the connections of callers, each once its last answer is written.
func (r *Router) closeCallers() {
	ctx, cancel := context.WithTimeout(r.ctx, lastWritesTimeout)
	defer cancel()
	if err := r.callerServer.Shutdown(ctx); err != nil {
		r.o.Log.Info().Err(err).Int("connections", r.conns.open()).Msg("callers' connections are closed with requests or answers on them")
	}
}

// Close stops the router at once, without draining.
func (r *Router) Close() {
	r.cancel()
	_ = r.callerServer.Close()
	_ = r.peerServer.Close()
	r.feed.Close()
	r.cordons.stop()
	r.network.Close()
}
