package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// Guards against a content that crashes its servers and is tried anew after all processes were
// killed at once.
func TestSuspectContentsSurviveARestartOfAll(t *testing.T) {
	const digest, folder = 7, "data"
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		disk := waltest.New()
		running, kill := context.WithCancel(ctx)
		first := startHub(running, n, "c1", controls[:1])
		go first.hub.RunContentsSaver(running, disk, folder)
		now := time.Now()
		first.hub.mu.Lock()
		first.hub.contents.receive([]ContentReport{
			encodeContent(digest, recovery.ContentRecord{Deaths: []recovery.ContentDeath{{Server: "a", At: now}, {Server: "b", At: now}, {Server: "c", At: now, Trial: true}}}, now),
			encodeContent(digest+1, recovery.ContentRecord{Deaths: []recovery.ContentDeath{{Server: "a", At: now}}}, now),
		}, now)
		first.hub.mu.Unlock()
		time.Sleep(2 * contentsSaveInterval)
		kill()
		time.Sleep(time.Second)
		disk.Crash(func(int) int { return 0 })
		second := startHub(ctx, n, "c2", []string{"c2"})
		second.hub.LoadContents(disk, folder)
		for digest, want := range map[uint64]recovery.ContentStanding{digest: recovery.ContentHeld, digest + 1: recovery.ContentFree} {
			if got, _ := second.hub.contents.contents.Standing(digest, time.Now()); got != want {
				t.Errorf("content %d after the restart: got standing %v, want %v", digest, got, want)
			}
		}
	})
}
