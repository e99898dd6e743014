package cluster

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// All VMs must learn that a server leaves, although it has told only one of them, and the list
// of backend servers does not say so yet. A VM that has just started must learn it too.
func TestAllVMsLearnThatAServerLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		s := startCallSystem(ctx, n, 5)
		defer s.stop()
		s.list[0].StateLeaving()
		s.load(60, time.Second, func(*rand.Rand) *callRouter { return s.routers[0] })
		s.addRouter()
		time.Sleep(time.Second)
		told := len(s.list[0].Arrivals())
		if told == 0 {
			t.Fatal("the server got no request, want it to state that it leaves")
		}
		s.load(60, 5*time.Second, s.any)
		if n := len(s.list[0].Arrivals()) - told; n > 0 {
			t.Errorf("%d requests reached a server after it had told another VM that it leaves, want none", n)
		}
	})
}

// Guards against a control VM that places nothing on a server which has started again under its id:
// its former incarnation said that it leaves.
func TestRestartedServerIsPlacedOn(t *testing.T) {
	row := upstream.Backend{ID: "i1", Service: "m", Address: "10.0.0.1:80", BornMS: 1000}
	inbox := newSchedulerInbox()
	leaving := leavingServers{}
	leaving.learn([]string{row.Incarnation()}, time.Now())
	inbox.setLeaving(leaving)
	for _, want := range []int{0, 1} {
		inbox.setServers(upstream.List{Backends: []upstream.Backend{row}, AsOf: time.Now()})
		if got := len(inbox.usableServers()); got != want {
			t.Errorf("started at %d ms: %d servers may receive streams, want %d", row.BornMS, got, want)
		}
		row.BornMS += 5000
	}
}
