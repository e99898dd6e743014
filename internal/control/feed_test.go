package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// inForceBound is the maximum time from the acknowledgement of a change until a VM that
// reaches a majority of the voters applies it.
const inForceBound = 2 * time.Second

// Guards against a router that applies an acknowledged change too late. The three of seven
// voters that the router prefers fail, and the other voters acknowledge a change. One of
// the failed voters holds the router's poll, and the next two would hold it as well. The
// router must not wait for them one after the other.
func TestChangeIsInForceDespiteLostVoters(t *testing.T) {
	voters := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"}
	for _, test := range []struct {
		name   string
		silent bool // the lost voters do not answer the router either
	}{{"cut off from the majority", false}, {"silent", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startClusterOf(t, voters, 12)
				defer c.stop()
				c.waitFor("all VMs are fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
				router, lost, other := c.routerAwayFrom(c.leader())
				c.propose(other, "before")
				c.waitFor("the router applies the first change", inForceBound, func() bool { return len(c.vms[router].plans()) == 1 })
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
				c.waitFor("the router applies the second change", 10*time.Second, func() bool { return len(c.vms[router].plans()) == 2 })
				if took := time.Since(began); took > inForceBound {
					t.Errorf("change in force after %v, want at most %v", took, inForceBound)
				}
			})
		})
	}
}

// routerAwayFrom returns a router whose three preferred voters do not include the leader,
// these voters, and another router.
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
		c.t.Fatal("the leader is a preferred voter of every router, want one router without")
	}
	return router, preferred, other
}

// Guards against a router that keeps an old list although a reachable voter has the new
// one. A router is cut off from all voters while a change is committed on every voter.
// Then a majority fails, and the router reaches only the remaining voter. It must apply the
// committed change and must not count as fresh.
func TestCommittedChangeComesWithoutAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 2)
		defer c.stop()
		c.waitFor("all VMs are fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
		c.propose("router2", "before")
		c.waitFor("the router applies the first change", inForceBound, func() bool { return len(c.vms["router1"].plans()) == 1 })
		c.isolate("router1", testVoters...)
		c.propose("router2", "after")
		<-time.After(testLease)
		c.vms["vm1"].kill(c.fabric)
		c.vms["vm2"].kill(c.fabric)
		c.heal()
		c.waitFor("the router applies the second change", inForceBound, func() bool { return len(c.vms["router1"].plans()) == 2 })
		if c.vms["router1"].feed.Fresh() {
			t.Error("router is fresh without a majority, want not fresh")
		}
	})
}

// Guards against a router that starts with unconfirmed state. The only voter that it
// reaches may lack acknowledged changes, and the router must wait for a majority.
func TestFirstListWaitsForAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		c.waitFor("all VMs are fresh", 3*time.Second, func() bool { return c.countFresh() == len(c.ids) })
		c.propose("router1", "before")
		c.vms["vm1"].kill(c.fabric)
		c.vms["vm2"].kill(c.fabric)
		c.restart("router1")
		<-time.After(2 * testLease)
		if got := c.vms["router1"].plans(); len(got) != 0 {
			t.Errorf("new router applies unconfirmed changes %v, want none", got)
		}
	})
}
