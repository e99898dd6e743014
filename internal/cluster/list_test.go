package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

func row(i int) upstream.Backend {
	return upstream.Backend{ID: fmt.Sprintf("i-%08x", i), Service: "m", Address: fmt.Sprint("10.1.2.", i, ":8562"), Zone: "a", Slots: 24}
}

func rows(n int) []upstream.Backend {
	var out []upstream.Backend
	for i := range n {
		out = append(out, row(i))
	}
	return out
}

func ignoreList(upstream.List) {}

// A VM that missed any number of lists must hold the control VM's list after one reply,
// whichever servers started, stopped or changed in the meantime.
func TestDifferencesLeadToTheList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	control, vm := NewListReplica(ignoreList), NewListReplica(ignoreList)
	control.KeepHistory()
	now, next := rows(40), 40
	for step := range 400 {
		for range rng.IntN(4) {
			switch i := rng.IntN(len(now) + 1); {
			case i == len(now) || len(now) < 5:
				now = append(now, row(next))
				next++
			case rng.IntN(2) == 0:
				now = slices.Delete(now, i, i+1)
			default:
				now[i].Draining = !now[i].Draining
			}
		}
		rng.Shuffle(len(now), func(i, k int) { now[i], now[k] = now[k], now[i] })
		control.Update(now, time.Duration(400-step)*time.Second)
		if rng.IntN(3) > 0 {
			continue
		}
		_, heldDigest, _, _ := vm.Current()
		want, _, age, _ := control.Current()
		d, digest, ok := control.DifferenceSince(heldDigest)
		if !ok {
			d, digest = Difference{Rows: want}, digestOf(want)
		}
		if !vm.Patch(d, digest, age) {
			t.Fatalf("step %d: the difference leads to another list", step)
		}
		if got, _, _, _ := vm.Current(); !slices.Equal(got, want) {
			t.Fatalf("step %d: got %d rows, want the control VM's %d", step, len(got), len(want))
		}
	}
}

// In a large deployment one of 710 engines starts. Each of 330 VMs must be sent at most 200
// bytes for it, not the whole list.
func TestDifferenceSize(t *testing.T) {
	control := NewListReplica(ignoreList)
	control.KeepHistory()
	control.Update(rows(710), 2*time.Second)
	_, before, _, _ := control.Current()
	control.Update(rows(711), time.Second)
	size := func(since uint64) int {
		d, _, ok := control.DifferenceSince(since)
		if !ok {
			t.Fatal("got no difference, want one")
		}
		data, err := codec.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	if one := size(before); one > 200 {
		t.Errorf("one change takes %d bytes, want at most 200", one)
	}
	if _, _, ok := control.DifferenceSince(0); ok {
		t.Error("got a difference for a VM without a list, want none")
	}
}

func TestPatch(t *testing.T) {
	base := digestOf(rows(3))
	tests := []struct {
		name   string
		d      Difference
		digest uint64
		ok     bool
		want   int // rows afterwards
	}{
		{"one more", Difference{Base: base, Rows: []upstream.Backend{row(3)}}, digestOf(rows(4)), true, 4},
		{"complete list", Difference{Rows: rows(2)}, digestOf(rows(2)), true, 2},
		{"all gone", Difference{Base: base, Removed: []string{row(0).ID, row(1).ID, row(2).ID}}, digestOf(nil), true, 0},
		{"base is a former list", Difference{Base: 7, Removed: []string{row(0).ID}}, digestOf(rows(1)), true, 3},
		{"digest does not match", Difference{Base: base, Removed: []string{row(0).ID}}, digestOf(rows(9)), false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewListReplica(ignoreList)
			h.Update(rows(3), time.Minute)
			if ok := h.Patch(tt.d, tt.digest, time.Second); ok != tt.ok {
				t.Errorf("Patch returned %t, want the opposite", ok)
			}
			if got, _, _, _ := h.Current(); len(got) != tt.want {
				t.Errorf("got %d rows, want %d", len(got), tt.want)
			}
		})
	}
}

// A list with a duplicate row and an empty list must reach every VM as they are on the
// control VM. A VM without any list is distinct from one with an empty list.
func TestEmptyAndDuplicateRows(t *testing.T) {
	tests := []struct {
		name string
		rows []upstream.Backend
		want int
	}{
		{"empty", nil, 0},
		{"duplicate row", append(rows(2), row(1)), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				h := startHub(ctx, n, "c1", controls[:1])
				h.list.Update(tt.rows, 0)
				replica := NewListReplica(ignoreList)
				m := NewMember("r1", n.VM("r1"), controls[:1], replica, Local{}, zerolog.Nop())
				go m.Run(ctx)
				time.Sleep(time.Second)
				if got, _, _, ok := replica.Current(); !ok || len(got) != tt.want {
					t.Errorf("got %d rows, has a list: %t; want a list with the distinct rows of the control VM", len(got), ok)
				}
			})
		})
	}
}

// A VM whose rows don't match its digest must fetch the whole list after the next reply.
func TestFullFetchAfterBadDifference(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		h.list.Update(rows(5), 0)
		replica := NewListReplica(ignoreList)
		m := NewMember("r1", n.VM("r1"), controls[:1], replica, Local{}, zerolog.Nop())
		go m.Run(ctx)
		time.Sleep(time.Second)
		replica.mu.Lock()
		replica.list.Backends = replica.list.Backends[1:] // simulated fault: the digest stays
		replica.mu.Unlock()
		h.list.Update(rows(6), 0)
		time.Sleep(2 * HeartbeatInterval)
		if got, _, _, _ := replica.Current(); len(got) != 6 {
			t.Errorf("got %d rows, want 6", len(got))
		}
	})
}

// All processes were killed and start together. The routers reach the control VMs shortly
// before those have read the list of backend servers. Routers keep the returning callers
// waiting for a few tenths of a second only, and therefore must not wait for a regular
// heartbeat interval.
func TestFirstListArrivesSoon(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(HeartbeatInterval/2 + 10*time.Millisecond)
		h.list.Update([]upstream.Backend{{ID: "e1"}}, 0)
		time.Sleep(initialHeartbeatInterval + 10*time.Millisecond)
		if _, _, _, listed := v.list.Current(); !listed {
			t.Error("the router has no list after the initial interval")
		}
	})
}

// Guards against heartbeats that take all the time of the control VMs after a start of all
// VMs, when these have to hand out the list: each VM without a list sent ten a second to each
// of them. However many control VMs there are, a VM sends few more than it does later.
func TestHeartbeatsWithoutAList(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		var received atomic.Int64
		var all []string
		for i := range 10 {
			all = append(all, fmt.Sprint("c", i))
		}
		for _, id := range all {
			n.VM(id).Handle(peer.KindHeartbeat, func(context.Context, string, []byte) (any, error) {
				received.Add(1)
				return HeartbeatReply{Controls: all}, nil
			})
		}
		m := NewMember("r1", n.VM("r1"), all, NewListReplica(ignoreList), Local{}, zerolog.Nop())
		go m.Run(ctx)
		const seconds = 4
		time.Sleep(seconds * time.Second)
		regular := float64(len(all)) * seconds / HeartbeatInterval.Seconds()
		few := float64(targetsWithoutList) * seconds / initialHeartbeatInterval.Seconds()
		if got := float64(received.Load()); got > regular+few+10 {
			t.Errorf("got %.0f heartbeats in %d s, want at most %.0f as a VM with a list sends and %.0f more", got, seconds, regular, few)
		}
	})
}
