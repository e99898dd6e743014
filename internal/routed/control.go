package routed

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// ControlProcess serves operators, and tells callers which routers they may use. It is
// a Control, or an Observer on a VM without a disk.
type ControlProcess interface {
	Process
	// PutRoutes puts a validated list in force. An error with code ControlUnavail
	// guarantees that nothing has changed.
	PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error)
	// Routes returns the text of the newest list as the operator sent it, confirmed by
	// a majority of the group. It is nil while there is no list.
	Routes(ctx context.Context) ([]byte, error)
	// PutRollout orders a roll-out, and returns once the order is committed to the
	// log. A repeated order is acknowledged again.
	PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error)
	// Rollout returns the newest roll-out of a service, confirmed by a majority of the group.
	Rollout(ctx context.Context, service string) (rollout.Record, error)
	CordonService
	RoomService
	// Endpoints returns the addresses of routers that a caller may use, at most limit. zone is
	// the caller's zone, or empty.
	Endpoints(zone string, limit int) []string
	// Serve binds an address for operators or callers and serves h in the background. Shutdown
	// waits for the requests that were taken.
	Serve(addr string, h http.Handler) error
	// Failure delivers the fault that ends the process. It may be nil.
	Failure() <-chan error
	// Close stops the process at once, without draining.
	Close()
}

var _, _ ControlProcess = (*Control)(nil), (*Observer)(nil)

// StartControlProcess starts a Control if the options name a data folder, and an
// Observer if they do not.
func StartControlProcess(o ControlOptions) (ControlProcess, error) {
	if o.Dir == "" {
		return StartObserver(o.Common)
	}
	return StartControl(o)
}

// Control is a control process that is a member of the control group.
type Control struct {
	operatorServers
	o               ControlOptions
	network         *peer.Network
	memberRunner    *memberRunner
	member          *cluster.Member
	hub             *cluster.Hub
	backendList     *cluster.ListReplica
	values          *bulk.Store // values that other VMs fetch from this one
	streamVersions  *streamversion.Store
	routeListServer routeListServer
	cordons         cordonWatch
	peerServer      *http.Server
	failure         chan error
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
}

// streamVersionsFolder is the folder in the data folder that holds the versions of streams.
const streamVersionsFolder = "stream-versions"

// StartControl opens the data folder, binds the peer address and joins or forms
// the group in the background.
func StartControl(o ControlOptions) (*Control, error) {
	o.setDefaults()
	if o.Rollouts == (rollout.Limits{}) {
		o.Rollouts = rollout.DefaultLimits
	}
	c := &Control{operatorServers: newOperatorServers(o.Log, o.Heads), o: o, failure: make(chan error, 1), values: bulk.NewStore()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.network = newNetwork(&o.Common)
	c.backendList = cluster.NewListReplica(func(l upstream.List) { c.hub.SetBackends(l) })
	c.member = cluster.NewMember(o.ID, c.network, o.Seeds, c.backendList, cluster.Local{Zone: o.Zone, Control: true}, o.Log)
	c.hub = cluster.NewHub(c.network, c.backendList, c.controlVMs, o.Log)
	c.hub.Join(c.member)
	c.routeListServer.values = c.values
	c.network.Handle(peer.KindPiece, c.values.Serve)
	c.network.Handle(peer.KindRoutes, func(ctx context.Context, _ string, _ []byte) (any, error) { return c.serveRouteList(ctx) })
	c.network.Handle(peer.KindRollout, func(ctx context.Context, _ string, body []byte) (any, error) { return c.serveRollout(ctx, body) })
	c.network.Handle(peer.KindCordon, func(ctx context.Context, _ string, body []byte) (any, error) { return c.serveCordon(ctx, body) })
	c.network.Handle(peer.KindRoom, func(ctx context.Context, _ string, body []byte) (any, error) { return c.serveRoom(ctx, body) })
	c.hub.HoldDirectory()
	c.memberRunner = &memberRunner{open: c.openSession}
	c.registerGauges()
	var err error
	if c.peerServer, err = listenPeers(c.network, &o.Common); err != nil {
		c.cancel()
		return nil, err
	}
	c.streamVersions = streamversion.NewStore(wal.OS{}, filepath.Join(o.Dir, streamVersionsFolder), o.Log)
	c.hub.ServeStreamVersions(c.network, c.streamVersions)
	c.hub.LoadRuns(wal.OS{}, o.Dir)
	c.hub.LoadContents(wal.OS{}, o.Dir)
	c.wg.Go(func() { c.streamVersions.Run(c.ctx) })
	c.wg.Go(c.runMember)
	c.wg.Go(func() { c.hub.RunSaver(c.ctx, wal.OS{}, o.Dir) })
	c.wg.Go(func() { c.hub.RunContentsSaver(c.ctx, wal.OS{}, o.Dir) })
	go c.member.Run(c.ctx)
	go c.hub.Run(c.ctx)
	go c.readBackends()
	go c.runRollouts()
	go c.runVersions()
	go c.runCordons()
	return c, nil
}

// registerGauges registers the metrics that are computed when they are read.
func (c *Control) registerGauges() {
	set := c.o.Metrics
	set.NewGauge("shelf_control_leads", func() float64 {
		if c.IsLeader() {
			return 1
		}
		return 0
	})
	set.NewGauge("shelf_control_applied", func() float64 {
		if g := c.group(); g != nil {
			return float64(g.Stats().Applied)
		}
		return 0
	})
	set.NewGauge("shelf_streams_waiting", func() float64 { return float64(c.hub.Totals().Waiting) })
	set.NewGauge("shelf_streams_waiting_late", func() float64 { return float64(c.hub.Totals().Late) })
	set.NewGauge("shelf_streams_granted_total", func() float64 { return float64(c.hub.Totals().Granted) })
	set.NewGauge("shelf_streams_refused_total", func() float64 { return float64(c.hub.Totals().Refused) })
	set.NewGauge("shelf_calls_waiting", func() float64 { return float64(c.hub.CallTotals().Waiting) })
	set.NewGauge("shelf_calls_granted_total", func() float64 { return float64(c.hub.CallTotals().Granted) })
	set.NewGauge("shelf_calls_grant_refused_total", func() float64 { return float64(c.hub.CallTotals().Refused) })
	set.NewGauge("shelf_ready_routers", func() float64 { return float64(c.hub.ReadyRouters()) })
	set.NewGauge("shelf_refusal_level", func() float64 { return float64(c.hub.RefusalStep()) })
	set.NewGauge("shelf_decider_term", func() float64 { return float64(c.hub.Decider().Newest.Number) })
	set.NewGauge("shelf_decider_holds", func() float64 {
		if c.hub.Decider().Holds {
			return 1
		}
		return 0
	})
	set.NewGauge("shelf_decider_claims_total", func() float64 { return float64(c.hub.Decider().Claims) })
	set.NewGauge("shelf_decision_rounds_total", func() float64 { return float64(c.hub.Decider().Rounds.Rounds) })
	set.NewGauge("shelf_decision_round_seconds_total", func() float64 { return c.hub.Decider().Rounds.Busy.Seconds() })
	set.NewGauge("shelf_decision_round_longest_seconds", func() float64 { return c.hub.Decider().Rounds.Longest.Seconds() })
	set.NewGauge("shelf_stream_versions", func() float64 { return float64(c.streamVersions.Stats().Records) })
	set.NewGauge("shelf_stream_versions_unsynced_total", func() float64 { return float64(c.streamVersions.Stats().Unsynced) })
	for _, d := range []cluster.Durability{cluster.Synced, cluster.Unsynced, cluster.InMemory} {
		set.NewGauge(fmt.Sprintf("shelf_record_messages_total{durability=%q}", d), func() float64 { return float64(c.hub.RecordMessages(d)) })
	}
	set.NewGauge("shelf_cordons", func() float64 { return float64(len(c.cordons.list(time.Now()))) })
	set.NewGauge("shelf_backend_list_age_seconds", func() float64 {
		_, _, age, _ := c.backendList.Current()
		return age.Seconds()
	})
}

func (c *Control) runMember() {
	err := c.memberRunner.run(c.ctx, func(err error) {
		c.o.Log.Error().Err(err).Msg("member of the control group failed; it is opened again")
	})
	if err != nil {
		c.failure <- err
	}
}

// group returns the group of the member's current session, or nil.
func (c *Control) group() *control.Group {
	if s := c.memberRunner.current(); s != nil {
		return s.group
	}
	return nil
}

// IsLeader reports whether this process leads the group, as far as it knows.
func (c *Control) IsLeader() bool {
	g := c.group()
	return g != nil && g.IsLeader()
}

// Failure implements ControlProcess.
func (c *Control) Failure() <-chan error { return c.failure }

// controlVMs returns the voters and this VM, which answers routers like a voter.
func (c *Control) controlVMs() []string {
	out := []string{c.o.ID}
	if g := c.group(); g != nil {
		if st, ok := g.Status(); ok {
			for _, id := range st.Config.Voters {
				out = append(out, id.VM())
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SetSeeds replaces the control addresses.
func (c *Control) SetSeeds(seeds []string) { c.member.SetSeeds(seeds) }

// Endpoints implements ControlProcess.
func (c *Control) Endpoints(zone string, limit int) []string { return c.hub.Endpoints(zone, limit) }

// PutRoutes implements ControlProcess.
func (c *Control) PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error) {
	s := c.memberRunner.current()
	if s == nil {
		return routes.Reply{}, result.New(result.ControlUnavail)
	}
	return proposeRoutes(ctx, s.client, l, c.o.Log)
}

// proposeRoutes puts a list in force through a client of the group. An operator that
// gets no answer sends the list to several VMs, and the group deduplicates the command.
func proposeRoutes(ctx context.Context, client *control.RemoteClient, l *routes.List, log zerolog.Logger) (routes.Reply, error) {
	reply, err := control.ProposeDeduplicated[routes.Reply](ctx, client, control.RoutesStateMachine, l)
	log.Info().Uint64("version", l.Version).Int("outcome", int(reply.Outcome)).
		Uint64("in_force", reply.Version).AnErr("error", err).Msg("route list proposed")
	switch {
	case err != nil:
		return reply, err
	case reply.Outcome == routes.Conflict:
		return reply, result.New(result.RouteListConflict)
	case reply.Outcome == routes.Unreadable:
		return reply, result.New(result.InvalidRouteList)
	}
	return reply, nil
}

// Routes implements ControlProcess.
func (c *Control) Routes(ctx context.Context) ([]byte, error) {
	s := c.memberRunner.current()
	if s == nil {
		return nil, result.New(result.ControlUnavail)
	}
	if err := s.client.Barrier(ctx); err != nil {
		return nil, err
	}
	var source []byte
	s.machine.Read(control.RoutesStateMachine, func(control.StateMachine) { source = s.routes.List().Source })
	return source, nil
}

// serveRouteList answers another control VM with the text in force.
func (c *Control) serveRouteList(ctx context.Context) (any, error) {
	text, err := c.Routes(ctx)
	if err != nil {
		return nil, err
	}
	return c.routeListServer.answer(text)
}

// Shutdown transfers the leadership to another voter, gives up this one's vote if the group
// has one to spare, answers the requests that were taken, and stops the process.
func (c *Control) Shutdown() {
	c.hub.StopGrantingCalls()
	if g := c.group(); g != nil {
		g.TransferLeadership(c.ctx)
		g.GiveUpVote(c.ctx)
	}
	c.drain()
	c.Close()
}

// Close implements ControlProcess.
func (c *Control) Close() {
	c.cancel()
	_ = c.peerServer.Close()
	c.wg.Wait()
	if g := c.group(); g != nil {
		g.Close()
	}
	c.network.Close()
}

// Timings of reading the list of backend servers.
const (
	readCheckInterval = 100 * time.Millisecond
	// readTimeout bounds one read of all pages, which may have to wait for the
	// platform's rate limit.
	readTimeout = 4 * time.Second
)

// readBackends reads the list of backend servers whenever the schedule is due. The
// schedule makes one control VM read at a time.
func (c *Control) readBackends() {
	tick := time.NewTicker(readCheckInterval)
	defer tick.Stop()
	began := time.Now()
	var last time.Time
	var took time.Duration
	leader := ""
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		leader = c.logLeaderChange(leader)
		rows, _, age, ok := c.backendList.Current()
		r := cluster.ReadSchedule{
			Leader: c.IsLeader(), Rank: slices.Index(c.controlVMs(), c.o.ID), HasList: ok, Rows: len(rows), Age: age,
			Uptime: time.Since(began), SinceLastRead: time.Since(last), LastReadDuration: took,
		}
		if r.Due() {
			last = time.Now()
			c.readOnce()
			took = time.Since(last)
		}
	}
}

// logLeaderChange logs a change of the leader that this VM knows, and returns the
// current one.
func (c *Control) logLeaderChange(before string) string {
	now := ""
	if g := c.group(); g != nil {
		if st, ok := g.Status(); ok {
			now = st.Leader.VM()
		}
	}
	if now != before {
		c.o.Log.Info().Str("leader", now).Str("before", before).Msg("leader of the control group")
	}
	return now
}

func (c *Control) readOnce() {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	began := time.Now()
	rows, err := c.o.ReadBackends(ctx)
	if err != nil {
		c.o.Log.Warn().Err(err).Dur("took", time.Since(began)).Msg("list of backend servers could not be read; keeping the previous list")
		return
	}
	c.backendList.Update(namedFirst(rows, c.services()), time.Since(began))
}
