package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// withKnownVMs returns options of control VMs that discover the given VMs and keep three
// voters.
func withKnownVMs(known ...string) func(*GroupOptions) {
	return func(o *GroupOptions) {
		o.KnownVMs, o.TargetVoters = FixedVMs(known), 3
	}
}

// startReplaceable starts three voters that keep the number of voters at three, and one
// follower.
func startReplaceable(t testing.TB) *cluster {
	c := &cluster{fabric: newFabric(), t: t, voters: slices.Clone(testVoters), vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
	for _, id := range testVoters {
		c.fs[id] = waltest.New()
		c.vms[id] = startVMWith(t, c.fabric, id, testVoters, c.fs[id], withKnownVMs("vm4"))
	}
	c.vms["router1"] = startVM(t, c.fabric, "router1", testVoters, nil)
	c.ids = append(slices.Clone(testVoters), "router1")
	return c
}

// add starts a control VM at an address that is not in the others' settings.
func (c *cluster) add(id string) {
	c.fs[id] = waltest.New()
	c.vms[id] = startVMWith(c.t, c.fabric, id, []string{id}, c.fs[id], func(o *GroupOptions) {
		withKnownVMs(testVoters...)(o)
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

// A control VM is lost permanently, and an empty one starts at another address. The new VM
// must get a vote and the silent one must lose its vote. Right after that a second voter is
// lost, and operators' changes must still succeed. With four votes the group would stop.
func TestReplacedAtAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		c.leader()
		c.propose("router1", "before")
		c.vms["vm2"].kill(c.fabric)
		c.add("vm4")
		want := []string{"vm1", "vm3", "vm4"}
		c.waitFor("vm4 has a vote and vm2 has none", 15*time.Second, func() bool { return slices.Equal(c.votersAt("vm4"), want) })
		c.voters = want
		lost := c.leader()
		if lost == "vm4" {
			lost = "vm1"
		}
		c.vms[lost].kill(c.fabric)
		if got := c.propose("router1", "after"); got != 2 {
			t.Errorf("got %d changes, want 2", got)
		}
	})
}

// A fourth control VM joins three others. One of these is paused for longer than a silent
// voter is kept and loses its vote. It resumes with a log in which it still is a voter, and
// must get its vote back.
func TestRemovedWhilePausedComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		c.leader()
		c.add("vm4")
		c.waitFor("four VMs have a vote", 15*time.Second, func() bool { return len(c.votersAt("vm4")) == 4 })
		paused := "vm1"
		if c.leader() == paused {
			paused = "vm2"
		}
		c.isolate(paused, "vm1", "vm2", "vm3", "vm4", "router1")
		c.waitFor("the silent VM has no vote", 15*time.Second, func() bool { return !slices.Contains(c.votersAt("vm4"), paused) })
		c.heal()
		c.waitFor("the resumed VM has its vote again", 15*time.Second, func() bool { return slices.Contains(c.votersAt(paused), paused) && len(c.votersAt("vm4")) == 4 })
	})
}

// Three voters remain three while one of them is silent. The group tolerates the next loss
// only if the silent VM returns, and it must still have its vote then.
func TestSilentVoterOfThreeKeepsItsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		silent := "vm1"
		if c.leader() == silent {
			silent = "vm2"
		}
		c.vms[silent].kill(c.fabric)
		time.Sleep(20 * time.Second)
		c.voters = slices.DeleteFunc(c.voters, func(v string) bool { return v == silent })
		if got := c.votersAt(c.leader()); len(got) != 3 {
			t.Errorf("got voters %v, want three", got)
		}
	})
}

// A control VM with an empty directory and JoinOnly must never form a group, whichever VMs
// it reaches. A second group would give the operators' changes two histories.
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
				t.Errorf("%s formed a group, want none: %+v", id, st)
			}
		}
	})
}

// All control VMs lose power at once and restart together. They must have a leader within
// 0.4 s. To wait for a former leader that no member has heard since the start would only
// prolong the outage.
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
			t.Errorf("leader elected after %v, want at most 400ms", took)
		}
		if got := c.propose("router1", "after"); got != 2 {
			t.Errorf("got %d changes, want 2", got)
		}
	})
}

// Guards against a restarting control VM that deposes the leader.
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
			t.Errorf("term changed from %d to %d or the leader was deposed, want the same term and leader", term.Term, now.Term)
		}
	})
}
