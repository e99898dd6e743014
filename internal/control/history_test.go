package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// history collects what operators asked and were told.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// counting is the list seen from outside: an append is told its position, a read
// how many there are.
var counting = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int)
		if input != "" {
			return output == nil || output == n+1, n + 1
		}
		return output == n, n
	},
}

// operate proposes and reads on one VM until told to stop.
func (c *cluster) operate(client int, v *vm, h *history, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		op := porcupine.Operation{ClientId: client, Input: "", Call: time.Now().UnixNano(), Return: 1 << 62}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		if i%3 == 2 {
			if err := v.client.Barrier(ctx); err == nil {
				op.Output, op.Return = len(v.plans()), time.Now().UnixNano()
				h.add(op)
			}
		} else {
			op.Input = fmt.Sprintf("%d-%d", client, i)
			if n, err := Propose[int](ctx, v.client, PlansStateMachine, op.Input); err == nil {
				op.Output, op.Return = n, time.Now().UnixNano()
			}
			h.add(op)
		}
		cancel()
	}
}

// fault breaks or mends something; at most one control VM is down or replaced at
// a time, cuts come on top.
func (c *cluster) fault(rng *rand.Rand, down *string) {
	id := c.voters[rng.IntN(len(c.voters))]
	switch rng.IntN(9) {
	case 0, 1:
		if *down == "" {
			*down = id
			c.vms[id].kill(c.fabric)
			c.fs[id].Crash(func(n int) int { return rng.IntN(n + 1) })
		}
	case 2:
		if *down == "" {
			*down = id
			c.vms[id].kill(c.fabric)
			c.fs[id] = waltest.New()
		}
	case 3:
		c.isolate(id, c.ids...)
	case 8:
		for _, id := range c.voters {
			if c.vms[id].group.IsLeader() {
				c.isolate(id, c.voters...) // operators still reach it
			}
		}
	case 4:
		c.mu.Lock()
		c.cut[[2]string{id, c.ids[rng.IntN(len(c.ids))]}] = true
		c.mu.Unlock()
	case 5:
		c.mu.Lock()
		c.loseOf, c.lose = peer.KindControl, rng.IntN(4)
		c.mu.Unlock()
	default:
		c.mend(down)
	}
}

// mend ends all faults and waits until every control VM has its vote.
func (c *cluster) mend(down *string) {
	c.heal()
	if *down != "" {
		c.vms[*down] = startVM(c.t, c.fabric, *down, c.voters, c.fs[*down])
		*down = ""
	}
	c.until("every control VM has its vote and leads or follows", 30*time.Second, func() bool {
		for _, id := range c.voters {
			st, ok := c.vms[id].group.Status()
			if !ok || st.Leader == "" || !st.Config.IsVoter(st.ID) || len(st.Config.Voters) != len(c.voters) {
				return false
			}
		}
		return true
	})
}

// Four operators on four VMs change the list and read it while control VMs lose
// power, lose their disks, are cut off and answers are lost. What they were told
// is the history of one list: no change lost, none made twice, no stale read.
func TestOperatorsHistoryIsLinearizable(t *testing.T) {
	seed := uint64(5)
	if v, err := strconv.ParseUint(os.Getenv("AMARANTHSHELF_SEED"), 10, 64); err == nil {
		seed = v
	}
	for run := range uint64(8) {
		t.Run(strconv.FormatUint(run, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, run))
				c := startCluster(t, 4)
				defer c.stop()
				c.leader()
				var h history
				var operators sync.WaitGroup
				stop := make(chan struct{})
				for i := range 4 {
					v := c.vms[fmt.Sprintf("router%d", i+1)]
					operators.Go(func() { c.operate(i, v, &h, stop) })
				}
				down := ""
				for range 25 {
					<-time.After(time.Duration(rng.IntN(1200)) * time.Millisecond)
					c.fault(rng, &down)
				}
				c.mend(&down)
				close(stop)
				operators.Wait()
				c.propose("router1", "last")
				c.checkHistory(h.ops)
			})
		})
	}
}

// checkHistory leaves out changes without an answer that were never made.
func (c *cluster) checkHistory(ops []porcupine.Operation) {
	c.t.Helper()
	final := c.vms[c.leader()].items()
	var checked []porcupine.Operation
	answered := 0
	for _, op := range ops {
		if op.Output != nil {
			answered++
		}
		if op.Output != nil || slices.Contains(final, op.Input.(string)) {
			checked = append(checked, op)
		}
	}
	if answered < 100 {
		c.t.Errorf("only %d operations were answered", answered)
	}
	c.t.Logf("%d operations, %d answered", len(ops), answered)
	if res := porcupine.CheckOperationsTimeout(counting, checked, 20*time.Second); res != porcupine.Ok {
		c.t.Errorf("%d operations: %v", len(checked), res)
	}
}

// A leader is cut off from the other voters, together with one VM. For some hundred
// milliseconds it does not know that another leads already. An operator who reads
// on that VM gets an error; an answer would miss what another operator was told is
// accepted.
func TestDeposedLeaderAnswersNoRead(t *testing.T) {
	overlaps := 0
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 1)
			defer c.stop()
			old := c.leader()
			c.propose("router1", "a") // router1 now asks this leader first
			c.until("router1 holds a", time.Second, func() bool { return len(c.vms["router1"].plans()) == 1 })
			c.isolate(old, c.voters...)
			for _, id := range c.voters {
				if id != old {
					c.isolate("router1", id)
				}
			}
			next := ""
			c.until("another leader", 5*time.Second, func() bool {
				for _, id := range c.voters {
					if id != old && c.vms[id].group.IsLeader() {
						next = id
					}
				}
				return next != ""
			})
			c.propose(next, "b")
			if c.vms[old].group.IsLeader() {
				overlaps++
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if err := c.vms["router1"].client.Barrier(ctx); err == nil {
				t.Errorf("a read after the answer to b sees %v", c.vms["router1"].plans())
			}
		})
	}
	if overlaps == 0 {
		t.Error("in no run did two believe to lead")
	}
}

// allVMs are the control VMs that a test with replacements may have had.
var allVMs = []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"}

// Operators change the list and read it while control VMs are lost for good, one
// after the other, and empty ones come at other addresses; links are cut meanwhile.
// In the end none of the first three is left. What operators were told is the
// history of one list.
func TestHistoryOverReplacedVoters(t *testing.T) {
	for run := range uint64(6) {
		t.Run(strconv.FormatUint(run, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(20261203, run))
				c := &cluster{fabric: newFabric(), t: t, voters: slices.Clone(testVoters), vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
				for _, id := range testVoters {
					c.fs[id] = waltest.New()
					c.vms[id] = startVMWith(t, c.fabric, id, testVoters, c.fs[id], learning(allVMs...))
				}
				for _, id := range []string{"router1", "router2"} {
					c.vms[id] = startVM(t, c.fabric, id, allVMs, nil)
				}
				defer c.stop()
				c.leader()
				var h history
				var operators sync.WaitGroup
				stop := make(chan struct{})
				for i, id := range []string{"router1", "router2"} {
					operators.Go(func() { c.operate(i, c.vms[id], &h, stop) })
				}
				for _, id := range allVMs[3:6] {
					c.replaceOldest(rng, id)
				}
				close(stop)
				operators.Wait()
				c.propose("router1", "last")
				c.checkHistory(h.ops)
			})
		})
	}
}

// replaceOldest loses the control VM that has been there longest, under cuts, and
// waits until an empty one at another address has its vote.
func (c *cluster) replaceOldest(rng *rand.Rand, id string) {
	c.t.Helper()
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	lost := c.voters[0]
	c.vms[lost].kill(c.fabric)
	delete(c.vms, lost)
	c.voters = append(c.voters[1:], id)
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	c.fs[id] = waltest.New()
	c.vms[id] = startVMWith(c.t, c.fabric, id, []string{id}, c.fs[id], func(o *GroupOptions) {
		learning(allVMs...)(o)
		o.JoinOnly = true
	})
	c.isolate(c.voters[rng.IntN(2)], c.voters...)
	time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	c.heal()
	want := slices.Sorted(slices.Values(c.voters))
	c.until("the new one votes and the lost one does not", 40*time.Second, func() bool { return slices.Equal(c.votersAt(id), want) })
}
