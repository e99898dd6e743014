package node

import (
	"context"
	"errors"
	"expvar"
	"path/filepath"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// startControl creates the VM's control components: the replicated state, the client of
// the control group and the feed of state changes that every VM follows. None of them
// runs yet. The start functions that follow register their state machines on n.machine
// and their callbacks on n.feed, and may start work that waits on n.control. After that
// runControl replays the log into the registered state machines and joins the group.
func (n *Node) startControl() {
	var voters []string
	for _, vm := range n.s.VMs {
		if vm.HasRole(settings.RoleControl) {
			voters = append(voters, vm.ID)
		}
	}
	n.machine = control.NewReplicatedState()
	n.feed = control.NewFeed(control.FeedOptions{
		Self: n.s.Self.ID, Voters: control.FixedVMs(voters), Transport: n.network, Lease: n.s.FreshnessTTL, Log: n.log,
	})
	if n.s.Self.HasRole(settings.RoleControl) {
		n.group = control.NewGroup(control.GroupOptions{
			VM: n.s.Self.ID, Voters: voters, Dir: filepath.Join(n.s.DataDir, "control"), Transport: n.network,
			State: n.machine, Lease: n.s.FreshnessTTL, Log: n.log, OnFailure: n.fail,
		})
	}
	n.remote = n.feed.Client(n.group)
	n.control = n.remote
	n.controlMetrics()
}

// controlMetrics publishes the metrics that docs/operating/control.md describes.
func (n *Node) controlMetrics() {
	n.metrics.Set("control_fresh", expvar.Func(func() any { return n.feed.Fresh() }))
	n.metrics.Set("control_leader", expvar.Func(func() any { return n.leader() }))
	n.metrics.Set("control_feed", expvar.Func(func() any { return n.feed.Stats() }))
	if n.group != nil {
		n.metrics.Set("control_member", expvar.Func(func() any { return n.group.Stats() }))
	}
}

// leader returns the VM that leads the control group as far as this VM knows, or "".
func (n *Node) leader() string {
	if n.group != nil {
		st, _ := n.group.Status()
		return st.Leader.VM()
	}
	return n.remote.Leader()
}

// runControl joins the control group. All state machines must be registered before.
func (n *Node) runControl() {
	if !slices.ContainsFunc(n.s.VMs, func(vm settings.VM) bool { return vm.HasRole(settings.RoleControl) }) {
		n.fail(errors.New("no VM in the settings has the control role, so no request could be admitted"))
		return
	}
	if n.group != nil {
		if err := n.group.Start(); err != nil {
			n.fail(err)
			return
		}
	}
	n.feed.Start()
}

// leaveControl transfers the leadership before a planned shutdown, so the group does
// not have to wait for an election timeout.
func (n *Node) leaveControl(ctx context.Context) {
	if n.group != nil {
		n.group.TransferLeadership(ctx)
	}
}

func (n *Node) stopControl() {
	n.feed.Close()
	if n.group != nil {
		n.group.Close()
	}
}

// fail reports a fault after which the VM must stop: its log is damaged or cannot be
// synced. The process exits, and replays the log when it is started again.
func (n *Node) fail(err error) {
	n.log.Error().Err(err).Msg("fatal fault; this VM stops")
	select {
	case n.failure <- err:
	default:
	}
}

// Failure delivers the fault that ends this VM.
func (n *Node) Failure() <-chan error { return n.failure }
