package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// A VM is cut off silently. It stops being fresh within its lease, while all
// others stay fresh; an operator who waits for a change to be in force is told
// so only after that; with every VM in reach the wait takes milliseconds.
func TestFreshnessAndInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 8)
		defer c.stop()
		c.until("all fresh", 3*time.Second, func() bool { return c.fresh() == len(c.ids) })
		<-time.After(2 * testLease) // the leader's view of the leases is complete
		if took := c.waitInForce("fast"); took > 100*time.Millisecond {
			t.Errorf("in force after %v with all VMs in reach", took)
		}
		c.isolate("router3", c.ids...)
		took := c.waitInForce("slow")
		if c.vms["router3"].feed.Fresh() {
			t.Error("in force, but a VM that was cut off still counts as fresh")
		}
		if c.fresh() != len(c.ids)-1 || took > outlived(testLease)+100*time.Millisecond {
			t.Errorf("%d fresh VMs, in force after %v", c.fresh(), took)
		}
		c.heal()
		c.until("fresh again, with the change", 3*time.Second, func() bool {
			v := c.vms["router3"]
			return v.feed.Fresh() && slices.Equal(v.plans(), []string{"fast", "slow"})
		})
	})
}

func (c *cluster) fresh() int {
	n := 0
	for _, v := range c.vms {
		if v.feed.Fresh() {
			n++
		}
	}
	return n
}

func (c *cluster) waitInForce(item string) time.Duration {
	c.t.Helper()
	version := c.propose("router1", item)
	began := time.Now()
	if err := WaitInForce(c.t.Context(), c.vms["router1"].client, PlansStateMachine, uint64(version)); err != nil {
		c.t.Fatal(err)
	}
	return time.Since(began)
}

// Two of three control VMs are cut off: no VM may stay fresh for longer than its
// lease, since a majority may be accepting changes on the far side.
func TestMinorityGivesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 2)
		defer c.stop()
		c.until("all fresh", 3*time.Second, func() bool { return c.fresh() == len(c.ids) })
		leader := c.leader()
		var others []string
		for _, id := range testVoters {
			if id != leader {
				others = append(others, id)
			}
		}
		for _, id := range others {
			c.isolate(id, "router1", "router2", leader)
		}
		<-time.After(testLease)
		for _, id := range []string{"router1", "router2", leader} {
			if c.vms[id].feed.Fresh() {
				t.Errorf("%s is fresh on the side of the minority", id)
			}
		}
		c.until("the others lead and are fresh", 3*time.Second, func() bool {
			return c.vms[others[0]].feed.Fresh() && c.vms[others[1]].feed.Fresh()
		})
	})
}

// idleBudget is what a VM may spend on control, in bytes a second.
const idleBudget = 11_000

// Nothing changes for twenty seconds. Bytes are counted in both directions, with
// frame, TCP and IP headers. Every VM of today's deployments must stay within the
// budget, and at 330 VMs every VM that is no voter.
func TestIdleTraffic(t *testing.T) {
	voters := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"}
	for _, size := range []struct{ voters, all int }{{3, 11}, {5, 11}, {5, 110}, {7, 330}} {
		all := size.all
		t.Run(fmt.Sprintf("%d of %d", size.voters, all), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startClusterOf(t, voters[:size.voters], all-size.voters)
				defer c.stop()
				c.until("all fresh", 3*time.Second, func() bool { return c.fresh() == all })
				c.mu.Lock()
				clear(c.bytes)
				c.mu.Unlock()
				const span = 20
				<-time.After(span * time.Second)
				leader := c.leader()
				c.mu.Lock()
				defer c.mu.Unlock()
				most := map[string]int{}
				for _, id := range c.ids {
					role := "other"
					if id == leader {
						role = "leader"
					} else if slices.Contains(c.voters, id) {
						role = "voter"
					}
					most[role] = max(most[role], c.bytes[id]/span)
				}
				t.Logf("%d voters of %d VMs, bytes/s: leader %d, other voters %d, others %d", size.voters, all, most["leader"], most["voter"], most["other"])
				if most["other"] > idleBudget || all == 11 && max(most["leader"], most["voter"]) > idleBudget {
					t.Errorf("over the budget of %d bytes/s", idleBudget)
				}
			})
		})
	}
}

// The leader is shut down, dies, or is cut off silently; a proposer on another VM
// gets its answer from the next leader. A leader that is shut down hands over. A
// dead VM's connections break, so that the wait is the election; a silent one
// costs the proposer an attempt's timeout besides.
func TestLeaderChangeIsQuick(t *testing.T) {
	for _, how := range []struct {
		loss  string
		limit time.Duration
	}{{"handed over", 200 * time.Millisecond}, {"dead", 2500 * time.Millisecond}, {"silent", 2500 * time.Millisecond}} {
		var waits []time.Duration
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 1)
				defer c.stop()
				leader := c.leader()
				c.propose("router1", "a")
				began := time.Now()
				switch how.loss {
				case "handed over":
					c.vms[leader].group.HandOver(t.Context())
					c.vms[leader].kill(c.fabric)
				case "dead":
					c.vms[leader].kill(c.fabric)
				case "silent":
					c.isolate(leader, c.ids...)
				}
				c.propose("router1", "b")
				waits = append(waits, time.Since(began))
			})
		}
		slices.Sort(waits)
		t.Logf("leader %s: until the next answer median %v, longest %v", how.loss, waits[10], waits[19])
		if waits[19] > how.limit {
			t.Errorf("leader %s: %v", how.loss, waits[19])
		}
	}
}

// One control VM goes silent: it leads, or it does not. The VMs that polled there
// ask another before their lease ends, so that no VM in reach of the majority
// refuses a request for it.
func TestNoLeaseLapsesWithOneControlVM(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for range 10 {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 12)
				defer c.stop()
				c.until("all fresh", 3*time.Second, func() bool { return c.fresh() == len(c.ids) })
				victim := c.leader()
				if !leads {
					victim = testVoters[(slices.Index(testVoters, victim)+1)%3]
				}
				c.isolate(victim, c.ids...)
				least := testLease
				for range 1000 {
					<-time.After(10 * time.Millisecond)
					for id, v := range c.vms {
						if id != victim {
							least = min(least, time.Duration(v.feed.Stats().LeaseMS)*time.Millisecond)
						}
					}
				}
				if least <= 0 {
					t.Errorf("leader %v silent: a lease lapsed by %v", leads, -least)
				}
			})
		}
	}
}

// The operators lose all control VMs and form the group anew, with empty folders.
// A VM that ran on holds a higher version than the new group: it must not count as
// fresh with the old lists, whatever the new group confirms.
func TestRebuiltGroupGivesNoLeaseToOldVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		c.propose("router1", "a")
		c.propose("router1", "b")
		c.until("router1 holds both", time.Second, func() bool { return len(c.vms["router1"].plans()) == 2 })
		for _, id := range testVoters {
			c.vms[id].kill(c.fabric)
		}
		for _, id := range testVoters {
			c.vms[id] = startVM(t, c.fabric, id, testVoters, waltest.New())
		}
		c.until("the new group is fresh", 5*time.Second, func() bool { return c.vms["vm1"].feed.Fresh() })
		<-time.After(testLease)
		if c.vms["router1"].feed.Fresh() {
			t.Error("fresh by the lists of a group that is gone")
		}
	})
}
