package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. The control role runs on a share of a zone's VMs, of which only
// the first have a disk: with forty VMs in a zone, two of its three control processes
// have none and can hold no vote. A process that tried for one all the same would fail
// each second, answer no caller who asks where to connect, and hide the voters from
// each VM whose settings name it as a seed.
//
// So such a process observes: it follows the directory of one voter, hands operators'
// calls on, and names the voters to whoever asks it as a control VM.

// entrancesFor is how long a directory that was told holds: some notices, and less than
// callers keep an answer anyway. Older, it may name VMs that are gone.
const entrancesFor = 3 * time.Second

// Observer is the side of a control VM without a disk towards the others. Safe for
// concurrent use.
type Observer struct {
	self     string
	controls func() []string // known to this VM's Member

	mu        sync.Mutex
	voters    map[string]time.Time // control VMs that sent a notice, when
	entrances []string
	toldAt    time.Time
}

// NewObserver registers the handler of notices. controls names the control VMs that
// this VM's own Member knows.
func NewObserver(t peer.Transport, self string, controls func() []string) *Observer {
	o := &Observer{self: self, controls: controls, voters: map[string]time.Time{}}
	t.Handle(peer.KindNotice, o.serve)
	return o
}

// serve answers a notice with the control VMs that can make use of it. Those with a
// disk may know this VM alone, when the seeds in their settings were exchanged: their
// own notices name them.
func (o *Observer) serve(_ context.Context, from string, body []byte) (any, error) {
	var n Heartbeat
	if err := codec.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	if n.Control {
		o.noteVoter(from)
	}
	return HeartbeatReply{Observer: true, Controls: o.Controls()}, nil
}

func (o *Observer) noteVoter(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.voters[vm] = time.Now()
}

// Controls are the control VMs known here, without this one.
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

// LearnEntrances takes the directory as a voter told it.
func (o *Observer) LearnEndpoints(addrs []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entrances, o.toldAt = addrs, time.Now()
}

// Entrances are the addresses that callers may use, in order, at most limit.
func (o *Observer) Endpoints(limit int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.toldAt) > entrancesFor {
		return nil
	}
	return pick(slices.Clone(o.entrances), limit)
}
