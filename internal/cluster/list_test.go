package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
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

func noList(upstream.List) {}

// A VM that missed any number of lists holds the control VM's after one answer,
// whatever started, left or changed meanwhile.
func TestDifferencesLeadToTheList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	control, vm := NewListReplica(noList), NewListReplica(noList)
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
		_, held, _, _ := vm.Current()
		want, _, age, _ := control.Current()
		d, digest, ok := control.DifferenceSince(held)
		if !ok {
			d, digest = Difference{Rows: want}, digestOf(want)
		}
		if !vm.Patch(d, digest, age) {
			t.Fatalf("step %d: the difference leads elsewhere", step)
		}
		if got, _, _, _ := vm.Current(); !slices.Equal(got, want) {
			t.Fatalf("step %d: %d rows, want %d", step, len(got), len(want))
		}
	}
}

// The load of a large deployment: one of 710 engines starts. What each of 330 VMs is
// sent for it is some hundred bytes, not the list.
func TestOneChangeIsSmall(t *testing.T) {
	control := NewListReplica(noList)
	control.KeepHistory()
	control.Update(rows(710), 2*time.Second)
	_, before, _, _ := control.Current()
	control.Update(rows(711), time.Second)
	size := func(since uint64) int {
		d, _, ok := control.DifferenceSince(since)
		if !ok {
			t.Fatal("no difference")
		}
		data, err := codec.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	if one := size(before); one > 200 {
		t.Errorf("one change takes %d bytes", one)
	}
	if _, _, ok := control.DifferenceSince(0); ok {
		t.Error("a VM without a list is told of changes")
	}
}

func TestPatch(t *testing.T) {
	base := digestOf(rows(3))
	tests := []struct {
		name   string
		d      Difference
		digest uint64
		ok     bool
		want   int // rows held then
	}{
		{"one more", Difference{Base: base, Rows: []upstream.Backend{row(3)}}, digestOf(rows(4)), true, 4},
		{"whole", Difference{Rows: rows(2)}, digestOf(rows(2)), true, 2},
		{"all gone", Difference{Base: base, Removed: []string{row(0).ID, row(1).ID, row(2).ID}}, digestOf(nil), true, 0},
		{"from a list that was held before", Difference{Base: 7, Removed: []string{row(0).ID}}, digestOf(rows(1)), true, 3},
		{"not what it says", Difference{Base: base, Removed: []string{row(0).ID}}, digestOf(rows(9)), false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewListReplica(noList)
			h.Update(rows(3), time.Minute)
			if ok := h.Patch(tt.d, tt.digest, time.Second); ok != tt.ok {
				t.Errorf("ok %t", ok)
			}
			if got, _, _, _ := h.Current(); len(got) != tt.want {
				t.Errorf("%d rows held, want %d", len(got), tt.want)
			}
		})
	}
}

// A list with a row twice, and one with none, are held everywhere as at the control
// VM. Before its first list a VM holds none, which is not the same as an empty one.
func TestOddListsReachEveryVM(t *testing.T) {
	tests := []struct {
		name string
		rows []upstream.Backend
		want int
	}{
		{"none", nil, 0},
		{"a row twice", append(rows(2), row(1)), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				h := startHub(ctx, n, "c1", controls[:1])
				h.held.Update(tt.rows, 0)
				held := NewListReplica(noList)
				m := NewMember("r1", n.VM("r1"), controls[:1], held, Local{}, zerolog.Nop())
				go m.Run(ctx)
				time.Sleep(time.Second)
				if got, _, _, ok := held.Current(); !ok || len(got) != tt.want {
					t.Errorf("%d rows, held %t", len(got), ok)
				}
			})
		})
	}
}

// A VM whose list is not the one that it was taken for asks for all of it, and holds
// it with the next answer.
func TestListIsAskedForWhole(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		h.held.Update(rows(5), 0)
		held := NewListReplica(noList)
		m := NewMember("r1", n.VM("r1"), controls[:1], held, Local{}, zerolog.Nop())
		go m.Run(ctx)
		time.Sleep(time.Second)
		held.mu.Lock()
		held.list.Backends = held.list.Backends[1:] // a fault: the digest stays
		held.mu.Unlock()
		h.held.Update(rows(6), 0)
		time.Sleep(2 * HeartbeatInterval)
		if got, _, _, _ := held.Current(); len(got) != 6 {
			t.Errorf("%d rows", len(got))
		}
	})
}

// All processes were killed and start together. In order: routers reach the control VMs,
// which have not read the list of backend servers yet; it is read a moment later. The
// callers who came back are kept for some tenths of a second, so the routers must not
// wait for their next usual notice.
func TestFirstListIsAskedForSoon(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(HeartbeatInterval/2 + 10*time.Millisecond)
		h.held.Update([]upstream.Backend{{ID: "e1"}}, 0)
		time.Sleep(searchEvery + 10*time.Millisecond)
		if _, _, _, listed := v.held.Current(); !listed {
			t.Error("the router does not hold the list")
		}
	})
}
