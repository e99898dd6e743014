package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/endpoints"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. The control role runs on a share of a zone's VMs, and only the first
// of these have a disk. With forty VMs in a zone, two of its three control processes have
// no disk and cannot vote. A process that tried to vote anyway would fail every second,
// would not answer callers that ask for an address, and would hide the voters from every
// VM whose settings name it as a seed.
//
// Therefore such a process only observes. It follows the directory of one voter, forwards
// operators' calls, and names the voters to every VM that sends it a heartbeat.

// endpointsTTL is how long a received directory is valid: several heartbeats, and less
// than callers cache an answer. An older directory may name VMs that are gone.
const endpointsTTL = 3 * time.Second

// Observer serves heartbeats and the directory on a control VM without a disk. Safe for
// concurrent use.
type Observer struct {
	self     string
	controls func() []string // of this VM's Member

	mu          sync.Mutex
	voters      map[string]time.Time // control VMs with a disk, and when they last sent a heartbeat
	directory   Directory
	directoryAt time.Time
	addresses   *endpoints.Sequence
}

// NewObserver returns an Observer and registers its handler of heartbeats with t.
// controls returns the ids of the control VMs known to this VM's own Member.
func NewObserver(t peer.Transport, self string, controls func() []string) *Observer {
	o := &Observer{self: self, controls: controls, voters: map[string]time.Time{}, addresses: newSequence()}
	t.Handle(peer.KindHeartbeat, o.serveHeartbeat)
	return o
}

// serveHeartbeat replies to a heartbeat with the ids of the known control VMs, and records
// the sender if it is a voter. A voter whose seeds have all been replaced may know only this
// VM, and be unknown to the others. Once its heartbeat has been recorded here, the replies to
// other VMs name it, and they can reach it again.
func (o *Observer) serveHeartbeat(_ context.Context, from string, body []byte) (any, error) {
	var heartbeat Heartbeat
	if err := codec.Unmarshal(body, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Control {
		o.recordVoter(from)
	}
	reply := HeartbeatReply{Observer: true}
	reply.setControls(o.Controls(), &heartbeat)
	return reply, nil
}

func (o *Observer) recordVoter(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.voters[vm] = time.Now()
}

// Controls returns the ids of the known control VMs except this one, sorted.
func (o *Observer) Controls() []string {
	out := o.controls()
	o.mu.Lock()
	defer o.mu.Unlock()
	for vm, at := range o.voters {
		if time.Since(at) > forgetAfter {
			delete(o.voters, vm)
			continue
		}
		out = append(out, vm)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(vm string) bool { return vm == o.self })
}

// LearnEndpoints stores the directory as received from a voter.
func (o *Observer) LearnEndpoints(d Directory) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.directory, o.directoryAt = d, time.Now()
}

// Endpoints returns at most limit addresses of VMs that accept callers, sorted. zone is the
// caller's zone, or empty. It returns none if the directory has expired.
func (o *Observer) Endpoints(zone string, limit int) []string {
	d := o.currentDirectory()
	return d.choose(zone, limit, o.addresses.Next)
}

// ReadyRouters returns the number of VMs that accept callers.
func (o *Observer) ReadyRouters() int { return len(o.currentDirectory().Endpoints) }

func (o *Observer) currentDirectory() Directory {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.directoryAt) > endpointsTTL {
		return Directory{}
	}
	return o.directory
}
