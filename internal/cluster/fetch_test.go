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

// linkBytes is what a link of 10 Mbit/s carries in a second.
const linkBytes = 1_250_000

// A VM never gets its list, and serves nobody. In order: it starts before three
// thousand backend servers, and five control VMs hold the list; a zone of them is
// replaced. The list must come once, by itself, and what changes from one control VM,
// or the answers of all of them take longer than a notice waits.
func TestLongListComesOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		ids := []string{"c1", "c2", "c3", "c4", "c5"}
		hubs := map[string]*testHub{}
		list := rows(3000)
		for _, id := range ids {
			hubs[id] = startHub(ctx, n, id, ids)
		}
		// readFor has the platform's list read for a second, as it is each 0.4 s.
		readFor := func() {
			for range 5 {
				for _, id := range ids {
					hubs[id].held.Update(list, 0)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		c := peertest.NewMeter(n.VM("r1"))
		held := NewListReplica(noList)
		m := NewMember("r1", c, ids[:1], held, Local{}, zerolog.Nop())
		go m.Run(ctx)
		readFor()
		if got, _, _, _ := held.Current(); len(got) != len(list) {
			t.Fatalf("%d rows", len(got))
		}
		if got := c.Take(); got.ByKind[peer.KindList] != 1 || got.Bytes > linkBytes/10 {
			t.Errorf("%d lists, %d bytes for a start", got.ByKind[peer.KindList], got.Bytes)
		}
		list = slices.Concat(list[600:], rows(3600)[3000:])
		readFor()
		if got, _, _, _ := held.Current(); len(got) != len(list) {
			t.Errorf("%d rows after the change", len(got))
		}
		if got := c.Take(); got.ByKind[peer.KindList] != 0 || got.Bytes > linkBytes/10 {
			t.Errorf("%d lists, %d bytes for a zone that is replaced", got.ByKind[peer.KindList], got.Bytes)
		}
	})
}

// The control VM that told of the list is lost before it sends it: another one does,
// well before callers who are kept for a restarted VM leave.
func TestListComesFromAnother(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		for _, id := range controls {
			startHub(ctx, n, id, controls).held.Update(rows(3), 0)
		}
		held := NewListReplica(noList)
		m := NewMember("r1", n.VM("r1"), controls, held, Local{}, zerolog.Nop())
		m.wantList("gone", 1)
		go m.Run(ctx)
		time.Sleep(searchEvery + 50*time.Millisecond)
		if got, _, _, _ := held.Current(); len(got) != 3 {
			t.Errorf("%d rows", len(got))
		}
	})
}

// Engines that restart stand idle. In order: one control VM reads the list, the others
// hear of it with their notices; an engine starts again under another id. A router must
// hear of it with its next notice, as it does from the VM that reads.
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
		held := NewListReplica(noList)
		m := NewMember("r1", n.VM("r1"), ids, held, Local{}, zerolog.Nop())
		go m.Run(ctx)
		list := rows(5)
		readFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				reader.held.Update(list, 0)
				time.Sleep(HeartbeatInterval / 4)
			}
		}
		readFor(3 * time.Second)
		for i := range 10 {
			list = slices.Concat(list[1:], rows(6 + i)[5+i:])
			readFor(HeartbeatInterval + HeartbeatInterval/4)
			if got, _, _, _ := held.Current(); !slices.Contains(got, list[4]) {
				t.Errorf("change %d is not known after %v", i, HeartbeatInterval+HeartbeatInterval/4)
			}
			readFor(time.Duration(i) * 70 * time.Millisecond)
		}
	})
}

// Guards against a control VM that gives the list to hundreds of VMs at once and ends over
// its memory: what waits for the link is bounded, and everybody is served in the end.
func TestListsAreGivenOutAtARate(t *testing.T) {
	const vms, size, again = 300, 100 << 10, 100 * time.Millisecond
	var l listPace
	now := time.Unix(100, 0)
	began, waiting, given := now, vms, 0
	for waiting > 0 && now.Sub(began) < time.Minute {
		for range waiting {
			if l.take(size, now) {
				waiting--
				given += size
			}
		}
		if most := listBurst + size + listRate*now.Sub(began).Seconds(); float64(given) > most {
			t.Fatalf("%d bytes after %v, want %.0f at most", given, now.Sub(began), most)
		}
		now = now.Add(again)
	}
	if took := now.Sub(began); took > 6*time.Second {
		t.Errorf("all served after %v", took)
	}
	if !l.take(2*listBurst, now.Add(time.Minute)) {
		t.Error("a list larger than the burst is never given out")
	}
}

// Guards against a zone's loss that is told to each of hundreds of VMs at its full length.
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
	p, digest, told, err := h.PackedDifferenceSince(before)
	if !ok || !told || err != nil {
		t.Fatal(ok, told, err)
	}
	plain, err := codec.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Data) > len(plain)/2 {
		t.Errorf("%d bytes packed of %d", len(p.Data), len(plain))
	}
	got, err := p.unpack()
	if err != nil || len(got.Rows) != 1000 || len(got.Removed) != 1000 {
		t.Errorf("%d rows, %d gone, %v", len(got.Rows), len(got.Removed), err)
	}
	if _, now, _, _ := h.Current(); now != digest {
		t.Error("leads to another list")
	}
}
