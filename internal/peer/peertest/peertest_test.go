package peertest_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// Each simulated fault must look to a caller as it does on a real network. A call to a dead VM
// fails at once, and a call over a cut link times out. If only the reply is lost, the handler
// has run although the call fails.
func TestFaultsShowAsOnANetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New(1)
		a, b := n.VM("a"), n.VM("b")
		var served atomic.Int32 // atomic, because a duplicated message is handled twice concurrently
		b.Handle(peer.KindFollow, func(context.Context, string, []byte) (any, error) {
			return int(served.Add(1)), nil
		})
		call := func() (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			var reply int
			err := a.Call(ctx, "b", peer.KindFollow, 1, &reply)
			return time.Since(start), err
		}
		for _, c := range []struct {
			name   string
			set    func()
			took   time.Duration
			fails  bool
			served int
		}{
			{"no fault", func() {}, 0, false, 1},
			{"delayed", func() { n.SetDelay(time.Millisecond, time.Millisecond) }, 2 * time.Millisecond, false, 2},
			{"caller without inbound messages", func() { n.CutInbound("a") }, time.Second, true, 3},
			{"cut", func() { n.HealAll(); n.Isolate("a") }, time.Second, true, 3},
			{"paused", func() { n.HealAll(); n.Pause("b") }, time.Second, true, 3},
			{"resumed", func() { n.Resume("b") }, 2 * time.Millisecond, false, 4},
			{"repeated", func() { n.SetLoss(0, 1) }, 2 * time.Millisecond, false, 6},
			{"killed", func() { n.SetLoss(0, 0); n.SetDelay(0, 0); n.Kill("b") }, 0, true, 6},
		} {
			c.set()
			took, err := call()
			synctest.Wait()
			if took != c.took || (err != nil) != c.fails || int(served.Load()) != c.served {
				t.Errorf("%s: call took %v, error %v, %d calls served; want %v, failure %v, %d served", c.name, took, err, served.Load(), c.took, c.fails, c.served)
			}
			if err != nil && !errors.Is(err, peer.ErrUnreachable) {
				t.Errorf("%s: got error %v, want ErrUnreachable", c.name, err)
			}
		}
	})
}
