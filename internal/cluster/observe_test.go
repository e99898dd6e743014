package cluster

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// testObserver is a control VM without a disk.
type testObserver struct {
	*Observer
	member *Member
}

func startObserver(ctx context.Context, n *peertest.Net, id string, seeds []string) *testObserver {
	o := &testObserver{}
	t := n.VM(id)
	o.member = NewMember(id, t, seeds, NewListReplica(func(upstream.List) {}), Local{
		LearnEndpoints: func(addrs []string) { o.LearnEndpoints(addrs) },
	}, zerolog.Nop())
	o.Observer = NewObserver(t, id, o.member.Controls)
	go o.member.Run(ctx)
	return o
}

// startDiskHub is a control VM with a disk that says so, and starts from other seeds.
func startDiskHub(ctx context.Context, n *peertest.Net, id string, seeds, voters []string) *testHub {
	h := &testHub{held: NewListReplica(func(upstream.List) {})}
	t := n.VM(id)
	h.hub = NewHub(t, h.held, func() []string { return voters }, zerolog.Nop())
	m := NewMember(id, t, seeds, h.held, Local{Control: true}, zerolog.Nop())
	go m.Run(ctx)
	return h
}

// Callers of a zone ask where to connect while its one control VM with a disk is lost.
// In order: an observer follows the directory; the voter that it asked dies; it goes on
// by another; routers that leave are out of its answers as they are out of a voter's.
func TestObserverAnswersCallers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls)
		}
		o := startObserver(ctx, n, "o1", controls)
		startRouter(ctx, n, "r1", controls, 0)
		leaving := startRouter(ctx, n, "r2", controls, 0)
		time.Sleep(2 * time.Second)
		if got := o.Endpoints(64); !slices.Equal(got, []string{"r1:80", "r2:80"}) {
			t.Fatalf("the observer sends callers to %v", got)
		}
		n.Kill(controls[0])
		leaving.gone.Store(true)
		time.Sleep(3 * HeartbeatInterval)
		if got := o.Endpoints(64); !slices.Equal(got, []string{"r1:80"}) {
			t.Errorf("after a voter's loss the observer sends callers to %v", got)
		}
		if got := o.Endpoints(0); len(got) != 0 {
			t.Errorf("%v with a limit of none", got)
		}
		n.Kill(controls[1])
		n.Kill(controls[2])
		time.Sleep(entrancesFor + HeartbeatInterval)
		if got := o.Endpoints(64); len(got) != 0 {
			t.Errorf("the observer goes on sending callers to %v without a voter", got)
		}
	})
}

// Every router takes an observer for a control VM, and nothing decides. In order: all
// seeds in the settings are exchanged for control VMs without a disk; a router and a
// voter start with these alone. The voter makes itself known to them, the router finds
// it through them, and does not count them among those that decide.
func TestSeedsWithoutADisk(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		seeds := []string{"a1", "a2"}
		for _, id := range seeds {
			startObserver(ctx, n, id, seeds)
		}
		h := startDiskHub(ctx, n, "c1", seeds, []string{"c1"})
		r := startRouter(ctx, n, "r1", seeds, 0)
		time.Sleep(2 * time.Second)
		if got := h.hub.Endpoints(64); !slices.Equal(got, []string{"r1:80"}) {
			t.Errorf("the voter knows %v", got)
		}
		if got := r.member.Controls(); !slices.Equal(got, []string{"c1"}) {
			t.Errorf("the router takes %v for voters", got)
		}
		if got := r.member.scheduler(); got != "c1" {
			t.Errorf("%q decides", got)
		}
	})
}
