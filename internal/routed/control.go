package routed

import (
	"context"
	"net/http"
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
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Operable is what serves operators, and callers who ask where to connect: a Control,
// or an Observer where the VM has no disk.
type ControlProcess interface {
	Process
	// PutRoutes puts a list that has been validated in force. An error with code
	// ControlUnavail is a promise that nothing changed.
	PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error)
	// Routes returns the operator's text of the newest list, confirmed by a majority
	// of the group. nil: there is none yet.
	Routes(ctx context.Context) ([]byte, error)
	// PutRollout orders a roll-out that is in the log once it returns. The same order again
	// is acknowledged again.
	PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error)
	// Rollout returns the newest roll-out of a service, confirmed by a majority of the group.
	Rollout(ctx context.Context, service string) (rollout.Record, error)
	// Entrances are the addresses of routers that callers may use, at most limit.
	Endpoints(limit int) []string
	// Failure carries the fault that ends the process, if one comes.
	Failure() <-chan error
	// Close ends everything at once.
	Close()
}

var _, _ ControlProcess = (*Control)(nil), (*Observer)(nil)

// StartOperable starts a Control where there is a data folder, and an Observer where
// there is none.
func StartControlProcess(o ControlOptions) (ControlProcess, error) {
	if o.Dir == "" {
		return StartObserver(o.Common)
	}
	return StartControl(o)
}

// Control is a process of the control group.
type Control struct {
	o       ControlOptions
	network *peer.Network
	members *members
	member  *cluster.Member
	hub     *cluster.Hub
	held    *cluster.ListReplica
	values  *bulk.Store // what other VMs fetch here
	text    sharedText
	peers   *http.Server
	failure chan error
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

// StartControl opens the data folder, binds the peer address and joins or forms
// the group in the background.
func StartControl(o ControlOptions) (*Control, error) {
	if o.Rollouts == (rollout.Limits{}) {
		o.Rollouts = rollout.DefaultLimits
	}
	c := &Control{o: o, failure: make(chan error, 1), values: bulk.NewStore()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.network = newNetwork(&o.Common)
	c.held = cluster.NewListReplica(func(l upstream.List) { c.hub.SetBackends(l) })
	c.member = cluster.NewMember(o.ID, c.network, o.Seeds, c.held, cluster.Local{Zone: o.Zone, Control: true}, o.Log)
	c.hub = cluster.NewHub(c.network, c.held, c.controls, o.Log)
	c.text.values = c.values
	c.network.Handle(peer.KindPiece, c.values.Serve)
	c.network.Handle(peer.KindRoutes, func(ctx context.Context, _ string, _ []byte) (any, error) { return c.serveText(ctx) })
	c.network.Handle(peer.KindRollout, func(ctx context.Context, _ string, body []byte) (any, error) { return c.serveRollout(ctx, body) })
	c.members = &members{open: c.openMember}
	c.gauges()
	var err error
	if c.peers, err = listenPeers(c.network, &o.Common); err != nil {
		c.cancel()
		return nil, err
	}
	c.hub.LoadRuns(wal.OS{}, o.Dir)
	c.work.Go(c.runMember)
	c.work.Go(func() { c.hub.RunSaver(c.ctx, wal.OS{}, o.Dir) })
	go c.member.Run(c.ctx)
	go c.hub.Run(c.ctx)
	go c.readBackends()
	go c.runRollouts()
	return c, nil
}

// gauges registers what is read when the metrics are.
func (c *Control) gauges() {
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
	set.NewGauge("shelf_ready_routers", func() float64 { return float64(len(c.hub.Endpoints(maxRouters))) })
	set.NewGauge("shelf_backend_list_age_seconds", func() float64 {
		_, _, age, _ := c.held.Current()
		return age.Seconds()
	})
}

// maxRouters is more than any deployment has.
const maxRouters = 1 << 16

func (c *Control) runMember() {
	err := c.members.run(c.ctx, func(err error) {
		c.o.Log.Error().Err(err).Msg("member of the control group failed; it is opened again")
	})
	if err != nil {
		c.failure <- err
	}
}

// group is the member's present opening, or nil.
func (c *Control) group() *control.Group {
	if s := c.members.current(); s != nil {
		return s.group
	}
	return nil
}

// Leads reports whether this process leads the group, as far as it knows.
func (c *Control) IsLeader() bool {
	g := c.group()
	return g != nil && g.IsLeader()
}

// Failure carries the fault that ends this process, if one comes.
func (c *Control) Failure() <-chan error { return c.failure }

// controls are the voters, and this VM, which answers as one.
func (c *Control) controls() []string {
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

// SetSeeds takes other control addresses.
func (c *Control) SetSeeds(seeds []string) { c.member.SetSeeds(seeds) }

// Entrances are the addresses of routers that callers may use, at most limit.
func (c *Control) Endpoints(limit int) []string { return c.hub.Endpoints(limit) }

// PutRoutes implements Operable.
func (c *Control) PutRoutes(ctx context.Context, l *routes.List) (routes.Reply, error) {
	s := c.members.current()
	if s == nil {
		return routes.Reply{}, result.New(result.ControlUnavail)
	}
	return propose(ctx, s.client, l, c.o.Log)
}

// propose puts a list in force through a client of the group. An operator without an
// answer sends the list to several VMs: it is the same command from each.
func propose(ctx context.Context, client *control.RemoteClient, l *routes.List, log zerolog.Logger) (routes.Reply, error) {
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

// Routes implements Operable.
func (c *Control) Routes(ctx context.Context) ([]byte, error) {
	s := c.members.current()
	if s == nil {
		return nil, result.New(result.ControlUnavail)
	}
	if err := s.client.Barrier(ctx); err != nil {
		return nil, err
	}
	var source []byte
	s.machine.Read(control.RoutesStateMachine, func(control.StateMachine) { source = s.part.List().Source })
	return source, nil
}

// serveText tells another control VM which text is in force.
func (c *Control) serveText(ctx context.Context) (any, error) {
	text, err := c.Routes(ctx)
	if err != nil {
		return nil, err
	}
	return c.text.answer(text)
}

// Shutdown hands the leadership over and ends.
func (c *Control) Shutdown() {
	if g := c.group(); g != nil {
		g.HandOver(c.ctx)
	}
	c.Close()
}

// Close ends everything at once.
func (c *Control) Close() {
	c.cancel()
	_ = c.peers.Close()
	c.work.Wait()
	if g := c.group(); g != nil {
		g.Close()
	}
	c.network.Close()
}

// Timings of the reader of backend servers.
const (
	readLook = 100 * time.Millisecond
	// readTimeout bounds one reading of all pages, which may have to wait for the
	// platform's rate.
	readTimeout = 4 * time.Second
)

// readBackends reads the list on one control VM at a time.
func (c *Control) readBackends() {
	tick := time.NewTicker(readLook)
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
		leader = c.noteLeader(leader)
		rows, _, age, ok := c.held.Current()
		r := cluster.ReadSchedule{
			Leader: c.IsLeader(), Rank: slices.Index(c.controls(), c.o.ID), HasList: ok, Rows: len(rows), Age: age,
			Uptime: time.Since(began), SinceLastRead: time.Since(last), LastReadDuration: took,
		}
		if r.Due() {
			last = time.Now()
			c.readOnce()
			took = time.Since(last)
		}
	}
}

// noteLeader logs a change of the group's leader as this VM knows it.
func (c *Control) noteLeader(before string) string {
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
		c.o.Log.Warn().Err(err).Dur("took", time.Since(began)).Msg("list of backend servers not read")
		return
	}
	c.held.Update(rows, time.Since(began))
}
