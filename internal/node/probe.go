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

// Timings of probes. Links are a millisecond apart within a deployment and tens
// between regions. A VM that answers nobody for 2.5 s is dead or paused; entry
// answers live for seconds, so that judging sooner gains nothing.
const (
	probeEvery   = 1 * time.Second
	probeTimeout = 500 * time.Millisecond
	helpTimeout  = 1200 * time.Millisecond
	suspectAfter = 2500 * time.Millisecond
	helpers      = 2 // other VMs that probe on this one's behalf
	probeJitter  = 200 * time.Millisecond
)

// probe asks a VM whether it lives or, with Target, to ask another.
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

// watchMembers probes the few VMs that this one watches.
func (n *Node) watchMembers(ctx context.Context) {
	var version uint64
	var watched []membership.VM
	for timer.Sleep(ctx, probeEvery+rand.N(probeJitter)) == nil {
		view := n.members.present()
		if view.Version != version {
			version, watched = view.Version, membership.ProbeTargets(n.s.Self.ID, view.VMs)
			n.members.forgetOthers(watched)
		}
		var round sync.WaitGroup
		for _, vm := range watched {
			round.Go(func() { n.check(ctx, vm, view.VMs) })
		}
		round.Wait()
	}
}

// check probes one VM, first directly and then through others: a broken link of
// this VM's own must not count against the one at its far end.
func (n *Node) check(ctx context.Context, vm membership.VM, all []membership.VM) {
	if n.reaches(ctx, vm.ID, probe{}, probeTimeout) || n.reachesThrough(ctx, vm.ID, all) {
		n.members.answered(vm.ID)
		return
	}
	failing := n.members.failed(vm.ID)
	// An observer that has lost the control group cannot tell whose fault it is.
	if failing < suspectAfter || ctx.Err() != nil || !n.feed.Fresh() {
		return
	}
	listed, known := n.members.platform.IsListed(vm.ID)
	n.metrics.Add("members_suspected", 1)
	_, err := n.proposeMember(ctx, &membership.Command{Suspect: &membership.Suspect{
		VM: vm.ID, Incarnation: vm.Incarnation, Observer: n.s.Self.ID, Absent: known && !listed,
	}})
	if err != nil {
		n.log.Debug().Err(err).Str("suspect", vm.ID).Msg("suspicion not committed")
	}
}

func (n *Node) reaches(ctx context.Context, id string, p probe, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r probeReply
	return n.network.Call(ctx, id, peer.KindProbe, p, &r) == nil
}

func (n *Node) reachesThrough(ctx context.Context, id string, all []membership.VM) bool {
	var able []membership.VM
	for _, vm := range all {
		if vm.ID != id && vm.ID != n.s.Self.ID && vm.State == membership.Live {
			able = append(able, vm)
		}
	}
	found := make(chan bool, helpers)
	asked := membership.ChooseAcrossZones(n.s.Self.ID+"/"+id, able, helpers)
	for _, helper := range asked {
		go func() { found <- n.reaches(ctx, helper.ID, probe{Target: id}, helpTimeout) }()
	}
	for range asked {
		if <-found {
			return true
		}
	}
	return false
}

func (m *members) answered(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failing, id)
}

// failed returns how long the VM has been failing.
func (m *members) failed(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.failing[id]
	if !ok {
		since = time.Now()
		m.failing[id] = since
	}
	return time.Since(since)
}

// forgetOthers drops what was seen of VMs that this one no longer watches.
func (m *members) forgetOthers(watched []membership.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := map[string]time.Time{}
	for _, vm := range watched {
		if since, ok := m.failing[vm.ID]; ok {
			kept[vm.ID] = since
		}
	}
	m.failing = kept
}
