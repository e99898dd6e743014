package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// linkBytesPerSecond is the capacity of a 10 Mbit/s link.
const linkBytesPerSecond = 1_250_000

// A VM that starts with 3000 backend servers and five control VMs must receive the whole
// list once, by its own request. After a zone of servers is replaced, it must receive the
// changes from one control VM. Otherwise the replies take longer than heartbeatTimeout, and
// the VM never gets a list.
func TestLongListIsFetchedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		ids := []string{"c1", "c2", "c3", "c4", "c5"}
		hubs := map[string]*testHub{}
		list := rows(3000)
		for _, id := range ids {
			hubs[id] = startHub(ctx, n, id, ids)
		}
		// readFor updates the control VMs' lists for a second, as reads of the platform do.
		readFor := func() {
			for range 5 {
				for _, id := range ids {
					hubs[id].list.Update(list, 0)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		c := peertest.NewMeter(n.VM("r1"))
		replica := NewListReplica(ignoreList)
		m := NewMember("r1", c, ids[:1], replica, Local{}, zerolog.Nop())
		go m.Run(ctx)
		readFor()
		if got, _, _, _ := replica.Current(); len(got) != len(list) {
			t.Fatalf("got %d rows, want 3000", len(got))
		}
		if got := c.ReadAndReset(); got.ByKind[peer.KindBackendList] != 1 || got.Bytes > linkBytesPerSecond/10 {
			t.Errorf("got %d lists and %d bytes at the start, want 1 list and at most 125000 bytes", got.ByKind[peer.KindBackendList], got.Bytes)
		}
		list = slices.Concat(list[600:], rows(3600)[3000:])
		readFor()
		if got, _, _, _ := replica.Current(); len(got) != len(list) {
			t.Errorf("got %d rows after the change, want 3000", len(got))
		}
		if got := c.ReadAndReset(); got.ByKind[peer.KindBackendList] != 0 || got.Bytes > linkBytesPerSecond/10 {
			t.Errorf("got %d lists and %d bytes for a replaced zone, want no list and at most 125000 bytes", got.ByKind[peer.KindBackendList], got.Bytes)
		}
	})
}

// The control VM that announced a list is lost before the fetch. The list must come from
// another one, well before the callers that wait for a restarted VM give up.
func TestListFetchFailover(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls).list.Update(rows(3), 0)
		}
		replica := NewListReplica(ignoreList)
		m := NewMember("r1", n.VM("r1"), controls, replica, Local{}, zerolog.Nop())
		m.requestList("gone", 1)
		go m.Run(ctx)
		time.Sleep(initialHeartbeatInterval + 50*time.Millisecond)
		if got, _, _, _ := replica.Current(); len(got) != 3 {
			t.Errorf("got %d rows, want 3", len(got))
		}
	})
}

// Restarted engines must not stay idle. One control VM reads the list and the others
// receive it with their heartbeats. When an engine restarts under another id, a router
// must learn it with its next heartbeat, which it does only from the VM that reads.
func TestChangesComeFromTheReader(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		ids := []string{"c1", "c2", "c3", "c4", "c5"}
		var reader *testHub
		for _, id := range ids {
			h := startHub(ctx, n, id, ids)
			if id == "c4" {
				reader = h
			}
		}
		replica := NewListReplica(ignoreList)
		m := NewMember("r1", n.VM("r1"), ids, replica, Local{}, zerolog.Nop())
		go m.Run(ctx)
		list := rows(5)
		readFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				reader.list.Update(list, 0)
				time.Sleep(HeartbeatInterval / 4)
			}
		}
		readFor(3 * time.Second)
		for i := range 10 {
			list = slices.Concat(list[1:], rows(6 + i)[5+i:])
			readFor(HeartbeatInterval + HeartbeatInterval/4)
			if got, _, _, _ := replica.Current(); !slices.Contains(got, list[4]) {
				t.Errorf("change %d has not arrived after %v", i, HeartbeatInterval+HeartbeatInterval/4)
			}
			readFor(time.Duration(i) * 70 * time.Millisecond)
		}
	})
}

// Guards against a control VM that sends the list to hundreds of VMs at once and exceeds
// its memory. The bytes waiting for the link are bounded, and all VMs get the list in the
// end.
func TestListRateLimit(t *testing.T) {
	const vms, size, retryInterval = 300, 100 << 10, 100 * time.Millisecond
	var l listLimiter
	now := time.Unix(100, 0)
	began, waiting, sent := now, vms, 0
	for waiting > 0 && now.Sub(began) < time.Minute {
		for range waiting {
			if l.take(size, now) {
				waiting--
				sent += size
			}
		}
		if most := listBurstBytes + size + listBytesPerSecond*now.Sub(began).Seconds(); float64(sent) > most {
			t.Fatalf("sent %d bytes after %v, want at most %.0f", sent, now.Sub(began), most)
		}
		now = now.Add(retryInterval)
	}
	if took := now.Sub(began); took > 6*time.Second {
		t.Errorf("all VMs have the list after %v, want at most 6s", took)
	}
	if !l.take(2*listBurstBytes, now.Add(time.Minute)) {
		t.Error("a list larger than the burst is refused")
	}
}

// Guards against sending the loss of a zone uncompressed to hundreds of VMs.
func TestDifferencesArePacked(t *testing.T) {
	synctest.Test(t, differencesArePacked)
}

func differencesArePacked(t *testing.T) {
	h := NewListReplica(func(upstream.List) {})
	h.KeepHistory()
	rows := make([]upstream.Backend, 3000)
	for i := range rows {
		rows[i] = upstream.Backend{
			ID: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Service: "models", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: "zone1", Slots: 16,
		}
	}
	h.Update(rows, 0)
	_, before, _, _ := h.Current()
	next := slices.Clone(rows)
	for i := range 1000 {
		next[i].ID += "x"
	}
	time.Sleep(time.Millisecond)
	h.Update(next, 0)
	d, _, ok := h.DifferenceSince(before)
	p, digest, found, err := h.PackedDifferenceSince(before)
	if !ok || !found || err != nil {
		t.Fatal(ok, found, err)
	}
	plain, err := codec.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Data) > len(plain)/2 {
		t.Errorf("%d packed bytes of %d, want at most half", len(p.Data), len(plain))
	}
	got, err := p.unpack()
	if err != nil || len(got.Rows) != 1000 || len(got.Removed) != 1000 {
		t.Errorf("got %d rows, %d removed, error %v; want 1000 of each and no error", len(got.Rows), len(got.Removed), err)
	}
	if _, now, _, _ := h.Current(); now != digest {
		t.Error("the packed difference leads to another list")
	}
}
