package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/consensus"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// Guards against a group that never forms on the first start. The settings name three
// control VMs, and the first by ID has no disk and is an observer. The other two must not
// wait for its vote.
func TestObserverAmongTheFounders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{fabric: newFabric(), t: t, voters: []string{"vm2", "vm3"}, vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
		defer c.stop()
		consensus.ServeObserver(endpoint{c.fabric, "vm1"}, "vm1")
		for _, id := range c.voters {
			c.fs[id] = waltest.New()
			c.vms[id] = startVM(t, c.fabric, id, testVoters, c.fs[id])
		}
		c.leader()
		if got := c.propose("vm3", "first"); got != 1 {
			t.Errorf("got %d changes, want 1", got)
		}
		<-time.After(time.Second)
		for _, id := range c.voters {
			if got := c.votersAt(id); !slices.Equal(got, c.voters) {
				t.Errorf("%s: got voters %v, want vm2 and vm3", id, got)
			}
		}
	})
}
