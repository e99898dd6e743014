package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/membership"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Timings of probes. The latency between VMs is a millisecond within a deployment and
// tens of milliseconds between regions. A VM that answers no probe for 2.5 s is dead or
// paused. Callers keep entry answers for seconds, so an earlier suspicion gains nothing.
const (
	probeInterval        = 1 * time.Second
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = 1200 * time.Millisecond
	suspectAfter         = 2500 * time.Millisecond
	indirectProbers      = 2 // number of other VMs that probe on behalf of this one
	probeJitter          = 200 * time.Millisecond
)

// probe asks a VM whether it is alive. With a Target it asks the VM to probe that one.
type probe struct {
	Target string `cbor:"1,keyasint,omitempty"`
}

type probeReply struct {
	Incarnation string `cbor:"1,keyasint"`
}

func (n *Node) answerProbe(ctx context.Context, _ string, body []byte) (any, error) {
	var p probe
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if p.Target == "" || p.Target == n.s.Self.ID {
		return probeReply{n.incarnation}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var r probeReply
	err := n.network.Call(ctx, p.Target, peer.KindProbe, probe{}, &r)
	return r, err
}

// probeMembers probes the VMs that membership.ProbeTargets assigns to this one.
func (n *Node) probeMembers(ctx context.Context) {
	var version uint64
	var targets []membership.VM
	for timer.Sleep(ctx, probeInterval+rand.N(probeJitter)) == nil {
		view := n.members.currentView()
		if view.Version != version {
			version, targets = view.Version, membership.ProbeTargets(n.s.Self.ID, view.VMs)
			n.members.retainFailing(targets)
		}
		var wg sync.WaitGroup
		for _, vm := range targets {
			wg.Go(func() { n.check(ctx, vm, view.VMs) })
		}
		wg.Wait()
	}
}

// check probes one VM, first directly and then through other VMs. A broken link of this
// VM must not lead to a suspicion of the VM at the other end.
func (n *Node) check(ctx context.Context, vm membership.VM, all []membership.VM) {
	if n.reaches(ctx, vm.ID, probe{}, probeTimeout) || n.reachesIndirectly(ctx, vm.ID, all) {
		n.members.answered(vm.ID)
		return
	}
	failing := n.members.failingFor(vm.ID)
	// A VM that has lost the control group may itself be the one that is cut off.
	if failing < suspectAfter || ctx.Err() != nil || !n.feed.Fresh() {
		return
	}
	listed, known := n.members.platform.IsListed(vm.ID)
	n.metrics.Add("members_suspected", 1)
	_, err := n.proposeMember(ctx, &membership.Command{Suspect: &membership.Suspect{
		VM: vm.ID, Incarnation: vm.Incarnation, Observer: n.s.Self.ID, Absent: known && !listed,
	}})
	if err != nil {
		n.log.Debug().Err(err).Str("suspect", vm.ID).Msg("suspicion could not be committed; it is proposed again if the next probe fails")
	}
}

func (n *Node) reaches(ctx context.Context, id string, p probe, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r probeReply
	return n.network.Call(ctx, id, peer.KindProbe, p, &r) == nil
}

func (n *Node) reachesIndirectly(ctx context.Context, id string, all []membership.VM) bool {
	var candidates []membership.VM
	for _, vm := range all {
		if vm.ID != id && vm.ID != n.s.Self.ID && vm.State == membership.Live {
			candidates = append(candidates, vm)
		}
	}
	reached := make(chan bool, indirectProbers)
	asked := membership.ChooseAcrossZones(n.s.Self.ID+"/"+id, candidates, indirectProbers)
	for _, helper := range asked {
		go func() { reached <- n.reaches(ctx, helper.ID, probe{Target: id}, indirectProbeTimeout) }()
	}
	for range asked {
		if <-reached {
			return true
		}
	}
	return false
}

func (m *members) answered(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failingSince, id)
}

// failingFor records a failed probe, and returns how long the VM's probes have failed.
func (m *members) failingFor(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.failingSince[id]
	if !ok {
		since = time.Now()
		m.failingSince[id] = since
	}
	return time.Since(since)
}

// retainFailing drops the failures of VMs that this one no longer probes.
func (m *members) retainFailing(targets []membership.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := map[string]time.Time{}
	for _, vm := range targets {
		if since, ok := m.failingSince[vm.ID]; ok {
			kept[vm.ID] = since
		}
	}
	m.failingSince = kept
}
