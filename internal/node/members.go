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

// members is this VM's copy of the committed list of VMs. Until the system has formed,
// only the list of the settings exists. It serves to address VMs, but no journal is placed
// by it. members is safe for concurrent use.
type members struct {
	self        string
	incarnation string
	vms         []settings.VM
	platform    *inventory.Reader
	log         zerolog.Logger
	cancel      context.CancelFunc
	draining    func() bool
	lease       time.Duration // the freshness lease

	mu           sync.Mutex
	history      membership.History
	views        []generation.Membership // of the history, newest first
	formed       bool
	failingSince map[string]time.Time // by VM: when the probes of this VM to it began to fail
	changed      chan struct{}

	learnedAt         map[uint64]time.Time // by version: when this VM learned of it
	migratedCheckedAt time.Time            // when Migrated of the views was last computed
}

func newMembers(self, incarnation string, vms []settings.VM, p *inventory.Reader, log zerolog.Logger) *members {
	m := &members{
		self: self, incarnation: incarnation, vms: vms, platform: p, log: log,
		failingSince: map[string]time.Time{}, changed: make(chan struct{}, 1), cancel: func() {},
	}
	m.views = []generation.Membership{m.settingsMembership()}
	return m
}

// peerAddr returns a VM's peer address. The address that the VM itself committed has
// precedence, since a replaced VM may have another address than in the settings.
func (m *members) peerAddr(id string) (string, bool) {
	view := m.currentView()
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

func (m *members) currentView() membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.Current()
}

// settingsMembership returns the list of the settings, whose VMs have no incarnation.
func (m *members) settingsMembership() generation.Membership {
	view := generation.Membership{}
	for _, vm := range m.vms {
		view.Candidates = append(view.Candidates, generation.Candidate{VM: vm.ID, Zone: vm.Zone})
	}
	return view
}

// hasFormed reports whether journals can be placed. Before that no request is admitted.
// A journal whose keepers have no incarnation would need their majority at every opening,
// even after some of them were lost.
func (m *members) hasFormed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.formed
}

// Views implements relay.Members.
func (m *members) Views() []generation.Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.migratedCheckedAt) >= migratedCheckInterval {
		m.updateMigrated()
	}
	return m.views
}

// The journals of a version of the list are migrated once every VM that admits requests has
// learned of the next version, which takes at most a freshness lease, and owners have moved
// their journals, which takes a tick of 100 ms and some messages. With a longer time, new
// requests would be refused when a third VM is lost soon after two others were replaced.
const (
	journalMoveTime       = 1 * time.Second
	migratedCheckInterval = 250 * time.Millisecond
)

// updateLearnedAt records when this VM learned of each version. The age of the versions
// that a VM gets at its start follows from the group's timestamps. The caller must hold
// m.mu.
func (m *members) updateLearnedAt() {
	learnedAt := map[uint64]time.Time{}
	newest := m.history.Current()
	for _, v := range m.history.Views() {
		at, ok := m.learnedAt[v.Version]
		if !ok {
			at = time.Now().Add(-time.Duration(newest.AtMS-v.AtMS) * time.Millisecond)
		}
		learnedAt[v.Version] = at
	}
	m.learnedAt = learnedAt
}

// updateMigrated updates Migrated of the views. The caller must hold m.mu.
func (m *members) updateMigrated() {
	m.migratedCheckedAt = time.Now()
	views := slices.Clone(m.views)
	for i := 1; i < len(views); i++ {
		superseded := m.learnedAt[views[i-1].Version]
		views[i].Migrated = time.Since(superseded) >= m.lease+journalMoveTime
	}
	m.views = views
}

// apply applies a change of the committed list.
func (m *members) apply(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.history.Apply(data); err != nil {
		m.log.Error().Err(err).Msg("change of the list of VMs could not be applied; keeping the list in force")
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
	m.updateLearnedAt()
	views := make([]generation.Membership, 0, len(m.history.Views()))
	for _, v := range m.history.Views() {
		views = append(views, candidates(v))
	}
	m.views = views
	m.updateMigrated()
}

// candidates returns the VMs that may hold journals. A dead VM may still hold some. It
// gets no new ones while enough VMs are live. With fewer live VMs, a journal without the
// dead VM among its keepers would have a smaller majority.
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
	since, fails := m.failingSince[id]
	if fails && time.Since(since) >= suspectAfter {
		return false
	}
	view := m.history.Current()
	vm, ok := view.Find(id)
	return !ok || vm.State != membership.Dead
}

// Gone implements service.Incarnations. An incarnation is gone if another one has replaced
// it, or if it is dead because VMs of several zones could not reach it.
func (m *members) Gone(id, incarnation string) bool {
	view := m.currentView()
	vm, ok := view.Find(id)
	return ok && (vm.Incarnation != incarnation || vm.State == membership.Dead)
}

func (n *Node) startMembers() {
	n.members = newMembers(n.s.Self.ID, n.incarnation, n.s.VMs, inventory.NewReader(n.s.PlatformURL, n.log), n.log)
	n.members.draining = n.draining.Load
	n.members.lease = n.s.FreshnessTTL
	n.network = peer.NewNetwork(n.s.Self.ID, n.s.PeerToken, n.members.peerAddr, n.log)
	n.network.Handle(peer.KindProbe, n.answerProbe)
}

// followMembers registers the list of VMs with the replicated state and subscribes to it.
// startControl must have run.
func (n *Node) followMembers() {
	n.state.Register(control.MembersStateMachine, membership.NewStateMachine())
	n.feed.OnChange(control.MembersStateMachine, n.members.apply)
	n.metrics.Set("members", expvar.Func(func() any { return n.members.status() }))
}

// joinMembers makes this VM join the list and starts to probe others. runControl must
// have run.
func (n *Node) joinMembers() {
	ctx, cancel := context.WithCancel(context.Background())
	n.members.cancel = cancel
	go n.members.platform.Run(ctx)
	go n.keepJoined(ctx)
	go n.probeMembers(ctx)
	n.runFleet(ctx)
}

// Timings with which a VM joins the list of VMs that the control group keeps.
// proposeTimeout bounds each proposal to the group. joinRetryDelay is the delay after a
// failed attempt to join. joinCheckInterval is how often a VM checks whether the list
// marks it as dead, besides the check at each change of the list. rejoinDelay is the
// delay before it then joins again.
const (
	proposeTimeout    = 2 * time.Second
	joinRetryDelay    = 200 * time.Millisecond
	joinCheckInterval = 5 * time.Second
	rejoinDelay       = 2 * time.Second // keeps a VM with a bad link from flapping every second
)

// keepJoined makes this incarnation join, and join again after a false eviction.
func (n *Node) keepJoined(ctx context.Context) {
	for n.join(ctx) != nil {
		if timer.Sleep(ctx, joinRetryDelay) != nil {
			return
		}
	}
	for {
		select {
		case <-n.members.changed:
		case <-time.After(joinCheckInterval):
		case <-ctx.Done():
			return
		}
		if n.draining.Load() || !n.members.evicted() {
			continue
		}
		n.log.Warn().Msg("declared dead by other VMs; joining again")
		if timer.Sleep(ctx, rejoinDelay) != nil {
			return
		}
		_ = n.join(ctx)
	}
}

// evicted reports whether the list marks this incarnation as dead.
func (m *members) evicted() bool {
	view := m.currentView()
	vm, ok := view.Find(m.self)
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

// leaveMembers commits that this VM is leaving or, at the end of the shutdown, has left.
func (n *Node) leaveMembers(ctx context.Context, left bool) {
	_, err := n.proposeMember(ctx, &membership.Command{Leave: &membership.Leave{
		VM: n.s.Self.ID, Incarnation: n.incarnation, Left: left,
	}})
	if err != nil {
		n.log.Warn().Err(err).Bool("left", left).Msg("leaving of this VM could not be committed; entry answers of other VMs may still name it")
	}
}

// ids returns the id of every VM that the settings list or that has joined, sorted.
func (m *members) ids() []string {
	seen := map[string]bool{}
	for _, vm := range m.vms {
		seen[vm.ID] = true
	}
	for _, vm := range m.currentView().VMs {
		seen[vm.ID] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// MembersStatus summarizes the list of VMs for operators.
type MembersStatus struct {
	Version uint64   `json:"version"`
	Live    int      `json:"live"`
	Leaving []string `json:"leaving"`
	Dead    []string `json:"dead"`
}

func (m *members) status() MembersStatus {
	view := m.currentView()
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

// Entry implements gateway.Endpoints.
func (m *members) Entry(q membership.EndpointQuery) ([]string, uint64) {
	view := m.currentView()
	if len(view.VMs) == 0 {
		view = m.viewFromSettings()
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

func (m *members) viewFromSettings() membership.View {
	var view membership.View
	for _, vm := range m.vms {
		view.VMs = append(view.VMs, membership.VM{
			ID: vm.ID, Zone: vm.Zone, Router: vm.HasRole(settings.RoleRouter), Endpoint: vm.Endpoint, State: membership.Live,
		})
	}
	return view
}
