package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Guards against new work for servers that are about to leave. The platform lists, a second
// late, an engine and a VM as leaving. Within seconds the entry answers must omit the VM,
// and the engine must get none of a hundred requests in a row, although its own load
// reports do not show that it leaves. All answers must be complete.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	t.Parallel()
	p, err := standin.ServePlatform("127.0.0.1:0", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.Set(inventory.List{})
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	setEntryTTL := o.Settings
	o.Settings = func(i int, s *settings.Settings) {
		setEntryTTL(i, s)
		s.PlatformURL = p.URL
	}
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	complete := func(key string) {
		t.Helper()
		req := client.Completion{Model: "m", Prompt: key, MaxTokens: 5}
		if _, err := client.New(s.Addresses()[:1], testKey).Complete(ctx, key, req, nil); err != nil {
			t.Fatal(err)
		}
	}
	complete("before")
	leavingEngine, leavingVM := s.Engines[0], s.Nodes[2].Self()
	p.Set(inventory.List{
		VMs:      []inventory.VM{{ID: leavingVM.ID, Zone: leavingVM.Zone, Endpoint: leavingVM.Endpoint, Leaving: true}},
		Backends: []inventory.Backend{{Name: "engine1", Leaving: true}},
	})
	began := time.Now()
	entryUntil(ctx, t, s.Nodes[0].Self().Endpoint, func(e *client.Entry) bool { return len(e.Addresses) == 2 })
	idle, last := 0, leavingEngine.Stats().RunsStarted
	for i := 0; idle < 100; i++ {
		complete(fmt.Sprint("after", i))
		idle++
		if now := leavingEngine.Stats().RunsStarted; now != last {
			idle, last = 0, now
		}
	}
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the leaving engine got its last work up to %s after the platform listed it, want at most 8s", took)
	}
}
