package node

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
	"github.com/amaranthshelf/amaranthshelf/internal/membership"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// members is this VM's copy of the committed list of VMs. Until the system has
// formed there is only the list of the settings, by which VMs are addressed and
// no journal is placed. Safe for concurrent use.
type members struct {
	self        string
	incarnation string
	vms         []settings.VM
	platform    *inventory.Reader
	log         zerolog.Logger
	cancel      context.CancelFunc
	draining    func() bool
	lease       time.Duration // of freshness

	mu      sync.Mutex
	history membership.History
	views   []generation.Membership // of the history, newest first
	formed  bool
	failing map[string]time.Time // VMs that this one watches, since when they fail
	changed chan struct{}

	learnt   map[uint64]time.Time // versions, when this VM learnt of them
	markedAt time.Time            // when Settled was last computed
}

func newMembers(self, incarnation string, vms []settings.VM, p *inventory.Reader, log zerolog.Logger) *members {
	m := &members{
		self: self, incarnation: incarnation, vms: vms, platform: p, log: log,
		failing: map[string]time.Time{}, changed: make(chan struct{}, 1), cancel: func() {},
	}
	m.views = []generation.Membership{m.static()}
	return m
}

// peerAddr prefers what the VM itself committed: a replaced VM may be elsewhere
// than the settings say.
func (m *members) peerAddr(id string) (string, bool) {
	view := m.present()
	if vm, ok := view.Find(id); ok && vm.PeerAddr != "" {
		return vm.PeerAddr, true
	}
	for _, vm := range m.vms {
		if vm.ID == id {
			return vm.Peer, true
		}
	}
	if vm, ok := m.platform.VM(id); ok {
		return vm.Peer, true
	}
	return "", false
}

func (m *members) present() membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.Current()
}

// static is the settings' list, whose VMs carry no incarnation.
func (m *members) static() generation.Membership {
	view := generation.Membership{}
	for _, vm := range m.vms {
		view.Candidates = append(view.Candidates, generation.Candidate{VM: vm.ID, Zone: vm.Zone})
	}
	return view
}

// hasFormed reports whether journals can be placed. Before that nothing is
// admitted: a journal that keepers without incarnation hold would need their
// majority at every opening, also after some of them were lost.
func (m *members) hasFormed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.formed
}

// Views implements relay.Members.
func (m *members) Views() []generation.Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.markedAt) >= markEvery {
		m.markSettled()
	}
	return m.views
}

// A version is settled once every VM that admits has heard of the next one,
// which is a freshness lease, and owners have moved their journals: a tick of
// 100 ms and some messages. Longer would refuse new requests when a third VM is
// lost soon after two others were replaced.
const (
	moveTime  = 1 * time.Second
	markEvery = 250 * time.Millisecond
)

// learn notes when versions were learnt; those of a start are as old as the
// group says. It needs m.mu.
func (m *members) learn() {
	learnt := map[uint64]time.Time{}
	newest := m.history.Current()
	for _, v := range m.history.Views() {
		at, ok := m.learnt[v.Version]
		if !ok {
			at = time.Now().Add(-time.Duration(newest.AtMS-v.AtMS) * time.Millisecond)
		}
		learnt[v.Version] = at
	}
	m.learnt = learnt
}

// markSettled needs m.mu.
func (m *members) markSettled() {
	m.markedAt = time.Now()
	views := slices.Clone(m.views)
	for i := 1; i < len(views); i++ {
		superseded := m.learnt[views[i-1].Version]
		views[i].Migrated = time.Since(superseded) >= m.lease+moveTime
	}
	m.views = views
}

// take applies a change of the committed list.
func (m *members) take(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.history.Apply(data); err != nil {
		m.log.Error().Err(err).Msg("list of VMs")
		return
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
	if !m.history.Formed() {
		return
	}
	m.formed = true
	m.learn()
	views := make([]generation.Membership, 0, len(m.history.Views()))
	for _, v := range m.history.Views() {
		views = append(views, candidates(v))
	}
	m.views = views
	m.markSettled()
}

// candidates are the VMs that may hold journals. A dead one may hold them yet,
// and gets no new ones where enough others are left: with fewer, a journal
// would have a smaller majority than with the dead VM counted in.
func candidates(v membership.View) generation.Membership {
	live := 0
	for _, vm := range v.VMs {
		if vm.State == membership.Live {
			live++
		}
	}
	out := generation.Membership{Version: v.Version}
	for _, vm := range v.VMs {
		out.Candidates = append(out.Candidates, generation.Candidate{
			VM: vm.ID, Zone: vm.Zone, Incarnation: vm.Incarnation,
			Dead:    vm.State == membership.Dead,
			Leaving: vm.State == membership.Leaving || vm.State == membership.Dead && live >= generation.MaxKeepers,
		})
	}
	return out
}

// Reachable implements relay.Members.
func (m *members) Reachable(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, fails := m.failing[id]
	if fails && time.Since(since) >= suspectAfter {
		return false
	}
	present := m.history.Current()
	vm, ok := present.Find(id)
	return !ok || vm.State != membership.Dead
}

// Gone implements service.Incarnations: another incarnation has replaced it, or
// several zones cannot reach it.
func (m *members) Gone(id, incarnation string) bool {
	present := m.present()
	vm, ok := present.Find(id)
	return ok && (vm.Incarnation != incarnation || vm.State == membership.Dead)
}

func (n *Node) startMembers() {
	n.members = newMembers(n.s.Self.ID, n.incarnation, n.s.VMs, inventory.NewReader(n.s.PlatformURL, n.log), n.log)
	n.members.draining = n.draining.Load
	n.members.lease = n.s.FreshnessTTL
	n.network = peer.NewNetwork(n.s.Self.ID, n.s.PeerToken, n.members.peerAddr, n.log)
	n.network.Handle(peer.KindProbe, n.answerProbe)
}

// followMembers registers the list with the control group's state and follows
// it, once the control parts are made.
func (n *Node) followMembers() {
	n.machine.Register(control.MembersStateMachine, membership.NewStateMachine())
	n.feed.OnChange(control.MembersStateMachine, n.members.take)
	n.metrics.Set("members", expvar.Func(func() any { return n.members.status() }))
}

// joinMembers brings this VM in and watches others, once control runs.
func (n *Node) joinMembers() {
	ctx, cancel := context.WithCancel(context.Background())
	n.members.cancel = cancel
	go n.members.platform.Run(ctx)
	go n.keepJoined(ctx)
	go n.watchMembers(ctx)
	n.runFleet(ctx)
}

// Timings of joining.
const (
	proposeTimeout = 2 * time.Second
	joinPause      = 200 * time.Millisecond
	joinCheck      = 5 * time.Second
	rejoinPause    = 2 * time.Second // a VM with a bad link must not flap each second
)

// keepJoined joins under this incarnation, and again after a false eviction.
func (n *Node) keepJoined(ctx context.Context) {
	for n.join(ctx) != nil {
		if timer.Sleep(ctx, joinPause) != nil {
			return
		}
	}
	for {
		select {
		case <-n.members.changed:
		case <-time.After(joinCheck):
		case <-ctx.Done():
			return
		}
		if n.draining.Load() || !n.members.evicted() {
			continue
		}
		n.log.Warn().Msg("taken for dead by others; joining again")
		if timer.Sleep(ctx, rejoinPause) != nil {
			return
		}
		_ = n.join(ctx)
	}
}

// evicted reports whether the list has this incarnation as dead.
func (m *members) evicted() bool {
	present := m.present()
	vm, ok := present.Find(m.self)
	return ok && vm.Incarnation == m.incarnation && vm.State == membership.Dead
}

func (n *Node) join(ctx context.Context) error {
	self := n.s.Self
	_, err := n.proposeMember(ctx, &membership.Command{Join: &membership.Join{
		VM: membership.VM{
			ID: self.ID, Incarnation: n.incarnation, Zone: self.Zone, PeerAddr: self.Peer, Endpoint: self.Endpoint,
			Router: self.HasRole(settings.RoleRouter), Control: self.HasRole(settings.RoleControl),
		},
		Expected: len(n.s.VMs),
	}})
	return err
}

func (n *Node) proposeMember(ctx context.Context, cmd *membership.Command) (membership.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return control.Propose[membership.Reply](ctx, n.control, control.MembersStateMachine, cmd)
}

// leaveMembers tells the others that this VM is leaving or, at the end, has left.
func (n *Node) leaveMembers(ctx context.Context, left bool) {
	_, err := n.proposeMember(ctx, &membership.Command{Leave: &membership.Leave{
		VM: n.s.Self.ID, Incarnation: n.incarnation, Left: left,
	}})
	if err != nil {
		n.log.Warn().Err(err).Bool("left", left).Msg("could not tell the control group")
	}
}

// ids names every VM that is listed, by the settings or by having joined.
func (m *members) ids() []string {
	seen := map[string]bool{}
	for _, vm := range m.vms {
		seen[vm.ID] = true
	}
	for _, vm := range m.present().VMs {
		seen[vm.ID] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// MembersStatus is the list of VMs for operators.
type MembersStatus struct {
	Version uint64   `json:"version"`
	Live    int      `json:"live"`
	Leaving []string `json:"leaving"`
	Dead    []string `json:"dead"`
}

func (m *members) status() MembersStatus {
	view := m.present()
	out := MembersStatus{Version: view.Version, Leaving: []string{}, Dead: []string{}}
	for _, vm := range view.VMs {
		switch vm.State {
		case membership.Live:
			out.Live++
		case membership.Leaving:
			out.Leaving = append(out.Leaving, vm.ID)
		case membership.Dead:
			out.Dead = append(out.Dead, vm.ID)
		}
	}
	return out
}

// Entry implements gateway.Entrances.
func (m *members) Entry(q membership.EndpointQuery) ([]string, uint64) {
	view := m.present()
	if len(view.VMs) == 0 {
		view = m.fromSettings()
	}
	avoid := func(id string) bool {
		vm, listed := m.platform.VM(id)
		return listed && vm.Leaving || id == m.self && m.draining()
	}
	var out []string
	for _, vm := range membership.EndpointsFor(view.VMs, avoid, q) {
		out = append(out, vm.Endpoint)
	}
	return out, view.Version
}

func (m *members) fromSettings() membership.View {
	var view membership.View
	for _, vm := range m.vms {
		view.VMs = append(view.VMs, membership.VM{
			ID: vm.ID, Zone: vm.Zone, Router: vm.HasRole(settings.RoleRouter), Endpoint: vm.Endpoint, State: membership.Live,
		})
	}
	return view
}
