package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// inForceBound is how long after its acknowledgement a change may be unknown to a VM
// that reaches a majority of the voters.
const inForceBound = 2 * time.Second

// A caller is served by a change that was acknowledged long ago. In order: three of
// seven voters are lost, the three that one router would ask first; a change is
// acknowledged by the others; the router's poll is held by a voter that will not
// answer it, and so would be the next two. It must not wait for one after the other.
func TestFollowerPassesLostVoters(t *testing.T) {
	voters := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"}
	for _, test := range []struct {
		name   string
		silent bool // towards the router too
	}{{"cut off from the majority", false}, {"silent", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startClusterOf(t, voters, 12)
				defer c.stop()
				c.waitFor("all fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
				router, lost, other := c.routerAwayFrom(c.leader())
				c.propose(other, "before")
				c.waitFor("known", inForceBound, func() bool { return len(c.vms[router].plans()) == 1 })
				for _, vm := range lost {
					for _, v := range voters {
						if !slices.Contains(lost, v) {
							c.isolate(vm, v)
						}
					}
					if test.silent {
						c.isolate(vm, router)
					}
				}
				c.propose(other, "after")
				began := time.Now()
				c.waitFor("in force", 10*time.Second, func() bool { return len(c.vms[router].plans()) == 2 })
				if took := time.Since(began); took > inForceBound {
					t.Errorf("in force after %v, at most %v", took, inForceBound)
				}
			})
		})
	}
}

// routerAwayFrom returns a router that prefers three voters to the leader, these
// voters, and another router.
func (c *cluster) routerAwayFrom(leader string) (router string, preferred []string, other string) {
	for i := 1; i <= len(c.ids)-len(c.voters); i++ {
		id := fmt.Sprintf("router%d", i)
		first := rendezvousOrder(id, c.voters)[:3]
		if router == "" && !slices.Contains(first, leader) {
			router, preferred = id, first
		} else {
			other = id
		}
	}
	if router == "" {
		c.t.Fatal("every router prefers the leader")
	}
	return router, preferred, other
}

// A caller is refused by a list that one living voter could have replaced. In order: a
// router is cut off from all voters; a change is acknowledged and reaches every voter;
// the majority of them is lost, and the router reaches the one that is left. It must
// apply the change, which is committed, and must not take itself for fresh.
func TestCommittedChangeComesWithoutAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 2)
		defer c.stop()
		c.waitFor("all fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
		c.propose("router2", "before")
		c.waitFor("known", inForceBound, func() bool { return len(c.vms["router1"].plans()) == 1 })
		c.isolate("router1", testVoters...)
		c.propose("router2", "after")
		<-time.After(testLease)
		c.vms["vm1"].kill(c.fabric)
		c.vms["vm2"].kill(c.fabric)
		c.heal()
		c.waitFor("in force", inForceBound, func() bool { return len(c.vms["router1"].plans()) == 2 })
		if c.vms["router1"].feed.Fresh() {
			t.Error("fresh without a majority")
		}
	})
}

// A router that has just started waits for a majority: the voter that it reaches may
// lack what was acknowledged.
func TestFirstListWaitsForAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		c.waitFor("all fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
		c.propose("router1", "before")
		c.vms["vm1"].kill(c.fabric)
		c.vms["vm2"].kill(c.fabric)
		c.restart("router1")
		<-time.After(2 * testLease)
		if got := c.vms["router1"].plans(); len(got) != 0 {
			t.Errorf("a new router applies %v, which nobody has confirmed", got)
		}
	})
}
