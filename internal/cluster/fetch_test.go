package cluster

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
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
					hubs[id].held.Take(list, 0)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		c := peertest.NewMeter(n.VM("r1"))
		held := NewHeld(noList)
		m := NewMember("r1", c, ids[:1], held, Local{}, zerolog.Nop())
		go m.Run(ctx)
		readFor()
		if got, _, _, _ := held.Now(); len(got) != len(list) {
			t.Fatalf("%d rows", len(got))
		}
		if got := c.Take(); got.ByKind[peer.KindList] != 1 || got.Bytes > linkBytes/10 {
			t.Errorf("%d lists, %d bytes for a start", got.ByKind[peer.KindList], got.Bytes)
		}
		list = slices.Concat(list[600:], rows(3600)[3000:])
		readFor()
		if got, _, _, _ := held.Now(); len(got) != len(list) {
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
			startHub(ctx, n, id, controls).held.Take(rows(3), 0)
		}
		held := NewHeld(noList)
		m := NewMember("r1", n.VM("r1"), controls, held, Local{}, zerolog.Nop())
		m.wantList("gone", 1)
		go m.Run(ctx)
		time.Sleep(searchEvery + 50*time.Millisecond)
		if got, _, _, _ := held.Now(); len(got) != 3 {
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
		held := NewHeld(noList)
		m := NewMember("r1", n.VM("r1"), ids, held, Local{}, zerolog.Nop())
		go m.Run(ctx)
		list := rows(5)
		readFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				reader.held.Take(list, 0)
				time.Sleep(NoticeEvery / 4)
			}
		}
		readFor(3 * time.Second)
		for i := range 10 {
			list = slices.Concat(list[1:], rows(6 + i)[5+i:])
			readFor(NoticeEvery + NoticeEvery/4)
			if got, _, _, _ := held.Now(); !slices.Contains(got, list[4]) {
				t.Errorf("change %d is not known after %v", i, NoticeEvery+NoticeEvery/4)
			}
			readFor(time.Duration(i) * 70 * time.Millisecond)
		}
	})
}
