package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// shutDown ends a VM as planned, and reports how long it took.
func (c *cluster) shutDown(id string) time.Duration {
	began := time.Now()
	c.vms[id].group.TransferLeadership(context.Background())
	c.vms[id].group.GiveUpVote(context.Background())
	c.vms[id].kill(c.fabric)
	return time.Since(began)
}

// startAgain starts a VM that is in the others' settings or known to them.
func (c *cluster) startAgain(id string) {
	known := []string{"vm1", "vm2", "vm3", "vm4"}
	c.vms[id] = startVMWith(c.t, c.fabric, id, []string{id}, c.fs[id], func(o *GroupOptions) {
		withKnownVMs(known...)(o)
		o.JoinOnly = true
	})
}

// startFour starts three voters and adds a fourth, so that one vote is to spare.
func startFour(t testing.TB) *cluster {
	c := startReplaceable(t)
	c.leader()
	c.propose("router1", "before")
	c.add("vm4")
	c.voters = append(c.voters, "vm4")
	c.waitFor("four VMs have a vote", 15*time.Second, func() bool { return len(c.votersAt("vm4")) == 4 })
	return c
}

// leads makes a VM the leader by cutting off others until it is elected.
func (c *cluster) leads(id string) {
	c.t.Helper()
	for range 100 {
		leader := c.leader()
		if leader == id {
			return
		}
		c.isolate(leader, c.voters...)
		c.waitFor("the others have a leader", 10*time.Second, func() bool { return !c.vms[leader].group.IsLeader() })
		time.Sleep(200 * time.Millisecond)
		c.heal()
		c.waitFor("all have one leader", 10*time.Second, func() bool {
			known := ""
			for _, v := range c.voters {
				st, _ := c.vms[v].group.Status()
				if st.Leader == "" || known != "" && known != st.Leader.VM() {
					return false
				}
				known = st.Leader.VM()
			}
			return true
		})
	}
	c.t.Fatalf("%s does not lead after 100 elections", id)
}

func (c *cluster) hasItems(id string, items ...string) bool {
	got := c.vms[id].items()
	return !slices.ContainsFunc(items, func(i string) bool { return !slices.Contains(got, i) })
}

// A control VM whose successor is a voter ends as planned, and another one loses its disk
// right after that. Changes must be accepted again once that one is back, and none may be
// lost. With four votes, two of them gone, nothing would ever be accepted again.
func TestDiskLostAfterAPlannedEnd(t *testing.T) {
	for _, leader := range []string{"vm1", "vm2", "vm3", "vm4"} {
		for _, away := range []time.Duration{0, 2 * time.Second} {
			t.Run(fmt.Sprint(leader, " leads, away ", away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := startFour(t)
					defer c.stop()
					c.leads(leader)
					if took := c.shutDown("vm1"); took > time.Second {
						t.Errorf("the planned end took %v, want at most 1s", took)
					}
					c.vms["vm2"].kill(c.fabric)
					c.fs["vm2"] = waltest.New()
					time.Sleep(away)
					c.startAgain("vm2")
					c.propose("vm3", "after")
					c.waitFor("vm2 has a vote and all changes", 10*time.Second, func() bool {
						return c.hasItems("vm2", "before", "after") && slices.Equal(c.votersAt("vm2"), []string{"vm2", "vm3", "vm4"})
					})
				})
			})
		}
	}
}

// A voter that gave up its vote was only restarted. It must get its vote back with its log.
func TestVoteGivenUpForARestartComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFour(t)
		defer c.stop()
		before, _ := c.vms["vm1"].group.Status()
		c.shutDown("vm1")
		c.waitFor("vm1 has no vote", time.Second, func() bool { return !slices.Contains(c.votersAt("vm3"), "vm1") })
		c.propose("vm3", "meanwhile")
		c.startAgain("vm1")
		c.waitFor("vm1 has its vote and all changes", 3*time.Second, func() bool {
			return len(c.votersAt("vm3")) == 4 && c.hasItems("vm1", "before", "meanwhile")
		})
		if now, _ := c.vms["vm1"].group.Status(); now.ID != before.ID {
			t.Errorf("got member %s, want %s with its former log", now.ID, before.ID)
		}
	})
}

// Guards against a group that shrinks below its target: two voters end at once, and one vote
// is to spare.
func TestTwoPlannedEndsLeaveTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFour(t)
		defer c.stop()
		c.leads("vm3")
		var wg sync.WaitGroup
		for _, id := range []string{"vm1", "vm2"} {
			wg.Go(func() {
				c.vms[id].group.TransferLeadership(t.Context())
				c.vms[id].group.GiveUpVote(t.Context())
			})
		}
		wg.Wait()
		if got := c.votersAt("vm3"); len(got) != 3 {
			t.Errorf("got voters %v, want three", got)
		}
	})
}

// Guards against a group of fewer than three: a VM that lost its disk has a second vote for a
// moment, which is none to spare.
func TestVoteOfALostDiskIsNoneToSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		c.leads("vm3")
		c.vms["vm2"].kill(c.fabric)
		c.fs["vm2"] = waltest.New()
		c.startAgain("vm2")
		c.waitFor("vm2 is a learner", 5*time.Second, func() bool {
			st, _ := c.vms["vm3"].group.Status()
			return len(st.Config.Learners) > 0
		})
		c.shutDown("vm1")
		want := []string{"vm1", "vm2", "vm3"}
		c.waitFor("vm2 has one vote and vm1 keeps its own", 10*time.Second, func() bool { return slices.Equal(c.votersAt("vm3"), want) })
		time.Sleep(5 * time.Second)
		if got := c.votersAt("vm3"); !slices.Equal(got, want) {
			t.Errorf("got voters %v, want %v", got, want)
		}
	})
}

// A voter of three keeps its vote at a planned end, which takes no longer than a change of
// leader.
func TestVoteOfThreeIsKeptAtAPlannedEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		c.leads("vm1")
		if took := c.shutDown("vm1"); took > 200*time.Millisecond {
			t.Errorf("the planned end took %v, want at most 200ms", took)
		}
		time.Sleep(20 * time.Second)
		if got := c.votersAt("vm2"); len(got) != 3 {
			t.Errorf("got voters %v, want three", got)
		}
	})
}

// A voter ends while its successor still catches up. It must wait for that and then give up
// its vote.
func TestPlannedEndWaitsForTheSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startReplaceable(t)
		defer c.stop()
		c.leads("vm2")
		c.add("vm4")
		c.waitFor("vm4 is a learner", 5*time.Second, func() bool {
			st, _ := c.vms["vm2"].group.Status()
			return len(st.Config.Learners) > 0
		})
		c.shutDown("vm1")
		if got, want := c.votersAt("vm2"), []string{"vm2", "vm3", "vm4"}; !slices.Equal(got, want) {
			t.Errorf("got voters %v after the planned end, want %v", got, want)
		}
	})
}

// The leader is of a version that knows no leave. A planned end must not take longer than its
// bounds, and the vote is removed later, as that version does.
func TestPlannedEndBesideAFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFour(t)
		defer c.stop()
		c.leads("vm3")
		c.mu.Lock()
		for _, id := range c.voters {
			delete(c.handlers[id], peer.KindRaft+4)
		}
		c.mu.Unlock()
		if took := c.shutDown("vm1"); took > leadershipTransferTimeout+giveUpVoteTimeout+50*time.Millisecond {
			t.Errorf("the planned end took %v", took)
		}
		c.waitFor("vm1 has no vote", 5*time.Second, func() bool { return len(c.votersAt("vm3")) == 3 })
		c.propose("vm3", "after")
	})
}

// A control VM is replaced as planned, and at a drawn moment around its end another one loses
// its disk, is killed or is cut off for a while. No acknowledged change may be lost, and
// changes must be accepted again.
func TestReplacedBesideADrawnLoss(t *testing.T) {
	for _, seed := range drawnSeeds(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replaceBesideLoss(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func replaceBesideLoss(t *testing.T, r *rand.Rand) {
	draw := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	c := startFour(t)
	defer c.stop()
	order := r.Perm(3)
	leaving, hit := testVoters[order[0]], testVoters[order[1]]
	if r.IntN(4) == 0 {
		hit = "vm4"
	}
	c.leads(c.voters[r.IntN(4)])
	for _, id := range c.voters {
		c.fs[id].DelaySync(draw(20 * time.Millisecond))
	}
	onlyRestarted, kind := r.IntN(3) == 0, r.IntN(3)
	endsAt, lossAt, away := 700*time.Millisecond, draw(4*time.Second), draw(4*time.Second)
	rest := slices.DeleteFunc(slices.Clone(c.voters), func(id string) bool { return id == leaving || id == hit })
	acked := []string{"before"}
	ending, operators := c.vms[leaving], []*vm{c.vms[rest[0]], c.vms[rest[1]]}
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(endsAt)
		ending.group.TransferLeadership(t.Context())
		ending.group.GiveUpVote(t.Context())
		ending.kill(c.fabric)
	})
	wg.Go(func() {
		time.Sleep(lossAt)
		if kind == 0 {
			c.isolate(hit, c.voters...)
			time.Sleep(away)
			c.heal()
			return
		}
		c.vms[hit].kill(c.fabric)
		if kind == 1 {
			c.fs[hit] = waltest.New()
		}
		time.Sleep(away)
		c.startAgain(hit)
	})
	wg.Go(func() {
		for i := range 60 {
			item := fmt.Sprint("change-", i)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			if _, err := Propose[int](ctx, operators[i%2].client, PlansStateMachine, item); err == nil {
				acked = append(acked, item)
			}
			cancel()
			time.Sleep(50 * time.Millisecond)
		}
	})
	wg.Wait()
	if onlyRestarted {
		c.startAgain(leaving)
		rest = append(rest, leaving)
	}
	c.propose(rest[0], "after")
	acked = append(acked, "after")
	for _, id := range append(rest, hit) {
		c.waitFor(id+" has a vote and all acknowledged changes", 20*time.Second, func() bool {
			return c.hasItems(id, acked...) && slices.Contains(c.votersAt(id), id)
		})
	}
}
