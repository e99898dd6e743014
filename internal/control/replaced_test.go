package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// learning are the options of control VMs that find one another by what they
// learn, and keep three voters.
func learning(known ...string) func(*GroupOptions) {
	return func(o *GroupOptions) {
		o.KnownVMs, o.TargetVoters = FixedVMs(known), 3
	}
}

// startLearning starts three voters that keep to three, and one follower.
func startLearning(t testing.TB) *cluster {
	c := &cluster{fabric: newFabric(), t: t, voters: slices.Clone(testVoters), vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
	for _, id := range testVoters {
		c.fs[id] = waltest.New()
		c.vms[id] = startVMWith(t, c.fabric, id, testVoters, c.fs[id], learning("vm4"))
	}
	c.vms["router1"] = startVM(t, c.fabric, "router1", testVoters, nil)
	c.ids = append(slices.Clone(testVoters), "router1")
	return c
}

// add starts a control VM at an address that the others were not told.
func (c *cluster) add(id string) {
	c.fs[id] = waltest.New()
	c.vms[id] = startVMWith(c.t, c.fabric, id, []string{id}, c.fs[id], func(o *GroupOptions) {
		learning(testVoters...)(o)
		o.JoinOnly = true
	})
}

func (c *cluster) votersAt(id string) []string {
	st, ok := c.vms[id].group.Status()
	if !ok {
		return nil
	}
	var out []string
	for _, m := range st.Config.Voters {
		out = append(out, m.VM())
	}
	slices.Sort(out)
	return out
}

// Operators' changes go on. In order: a control VM is lost for good and an empty
// one comes at another address; it gets a vote, and the silent one loses its own, so
// that right after it a second one may be lost. With four votes the group would
// stop there.
func TestReplacedAtAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startLearning(t)
		defer c.stop()
		c.leader()
		c.propose("router1", "before")
		c.vms["vm2"].kill(c.fabric)
		c.add("vm4")
		want := []string{"vm1", "vm3", "vm4"}
		c.until("vm4 votes and vm2 does not", 15*time.Second, func() bool { return slices.Equal(c.votersAt("vm4"), want) })
		c.voters = want
		lost := c.leader()
		if lost == "vm4" {
			lost = "vm1"
		}
		c.vms[lost].kill(c.fabric)
		if got := c.propose("router1", "after"); got != 2 {
			t.Errorf("%d changes, want 2", got)
		}
	})
}

// A paused control VM gets its vote back. In order: a fourth joins beside the
// three; one of them is paused for longer than a silent voter is kept, loses its
// vote, and wakes with a log that says it has one.
func TestRemovedWhilePausedComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startLearning(t)
		defer c.stop()
		c.leader()
		c.add("vm4")
		c.until("four vote", 15*time.Second, func() bool { return len(c.votersAt("vm4")) == 4 })
		paused := "vm1"
		if c.leader() == paused {
			paused = "vm2"
		}
		c.isolate(paused, "vm1", "vm2", "vm3", "vm4", "router1")
		c.until("the silent one has no vote", 15*time.Second, func() bool { return !slices.Contains(c.votersAt("vm4"), paused) })
		c.heal()
		c.until("it has its vote again", 15*time.Second, func() bool { return slices.Contains(c.votersAt(paused), paused) && len(c.votersAt("vm4")) == 4 })
	})
}

// Three voters stay three while one is silent: the next loss is borne only if the
// silent one comes back, and its vote must be there then.
func TestSilentVoterOfThreeKeepsItsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startLearning(t)
		defer c.stop()
		silent := "vm1"
		if c.leader() == silent {
			silent = "vm2"
		}
		c.vms[silent].kill(c.fabric)
		time.Sleep(20 * time.Second)
		c.voters = slices.DeleteFunc(c.voters, func(v string) bool { return v == silent })
		if got := c.votersAt(c.leader()); len(got) != 3 {
			t.Errorf("voters %v", got)
		}
	})
}

// A control VM with an empty folder that is told that a group exists never begins
// another, whatever it can reach: the operators' changes would have two histories.
func TestJoinOnlyNeverForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{fabric: newFabric(), t: t, vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
		for _, id := range testVoters {
			c.fs[id] = waltest.New()
			c.vms[id] = startVMWith(t, c.fabric, id, testVoters, c.fs[id], func(o *GroupOptions) { o.JoinOnly = true })
		}
		defer c.stop()
		time.Sleep(30 * time.Second)
		for _, id := range testVoters {
			if st, ok := c.vms[id].group.Status(); ok {
				t.Errorf("%s formed a group: %+v", id, st)
			}
		}
	})
}

// All control VMs lose power at once and are back together. Operators and routers
// have a leader again within 0.4 s: waiting for a leader that nobody has
// heard since the start would only make the outage longer.
func TestRestartOfAllIsQuick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		c.leader()
		c.propose("router1", "before")
		for _, id := range testVoters {
			c.vms[id].kill(c.fabric)
		}
		began := time.Now()
		for _, id := range testVoters {
			c.vms[id] = startVM(t, c.fabric, id, testVoters, c.fs[id])
		}
		c.leader()
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("a leader after %v", took)
		}
		if got := c.propose("router1", "after"); got != 2 {
			t.Errorf("%d changes, want 2", got)
		}
	})
}

// A control VM that restarts alone deposes nobody.
func TestRestartOfOneDeposesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 0)
		defer c.stop()
		leader := c.leader()
		term, _ := c.vms[leader].group.Status()
		restarted := "vm1"
		if leader == restarted {
			restarted = "vm2"
		}
		c.restart(restarted)
		time.Sleep(5 * time.Second)
		if now, _ := c.vms[leader].group.Status(); now.Term != term.Term || !c.vms[leader].group.IsLeader() {
			t.Errorf("term %d became %d", term.Term, now.Term)
		}
	})
}
