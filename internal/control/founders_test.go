package control

import (
	"fmt"
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

// inGroups returns the VMs that are in a group.
func (f *founding) inGroups() []string {
	var out []string
	for id, v := range f.vms {
		if v.group != nil && v.group.node.Group() != "" {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a second group. A founder was killed before it was in the group, and comes
// back together with the two others, which have lost their disks. The three may be the rest
// of a group whose other members it does not reach, so it must not form another one.
func TestFounderAmongEmptyDisksFormsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFounding(t)
		defer f.stop()
		f.start("vm1", true, testVoters)
		time.Sleep(100 * time.Millisecond)
		f.kill("vm1", false)
		for _, id := range testVoters {
			f.start(id, false, testVoters)
		}
		time.Sleep(30 * time.Second)
		if got := f.inGroups(); len(got) > 0 {
			t.Errorf("got %v in a group, want none", got)
		}
	})
}

// Guards against two groups that are formed at the first start. A founder is killed and comes
// back with settings that list other VMs, which wait for a group. The group of its first
// list may exist already, so that it must not form another one with them.
func TestFounderKeepsItsFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFounding(t, "vm4", "vm5")
		defer f.stop()
		f.start("vm2", true, testVoters)
		time.Sleep(100 * time.Millisecond)
		f.kill("vm2", false)
		for _, id := range []string{"vm4", "vm5"} {
			f.start(id, true, testVoters)
		}
		f.start("vm2", false, []string{"vm2", "vm4", "vm5"})
		time.Sleep(30 * time.Second)
		if got := f.inGroups(); len(got) > 0 {
			t.Errorf("got %v in a group without vm1 and vm3, want none", got)
		}
		f.start("vm1", true, testVoters)
		f.start("vm3", true, testVoters)
		f.check(nil)
	})
}

// Guards against a second group where settings tell of a first start for good. A VM loses its
// disk, and is cut off from the others or starts before they have opened their disks. It
// must join their group, not form one.
func TestFirstStartLeftInTheSettings(t *testing.T) {
	for _, apart := range []bool{false, true} {
		t.Run(fmt.Sprint("cut off ", apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFounding(t)
				defer f.stop()
				for _, id := range testVoters {
					f.start(id, true, testVoters)
				}
				if err := f.propose("vm2", "kept", 5*time.Second); err != nil {
					t.Fatal(err)
				}
				for _, id := range testVoters {
					f.kill(id, true)
				}
				f.vms["vm1"].fs = waltest.New()
				if apart {
					f.isolate("vm1", testVoters...)
				}
				for _, id := range testVoters {
					f.start(id, true, testVoters)
					f.vms[id].fs.DelaySync(300 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				if got := f.running("vm1").node.Group(); apart && got != "" {
					t.Errorf("vm1 is in group %q without the others, want none", got)
				}
				f.heal()
				f.check([]string{"kept"})
			})
		})
	}
}
