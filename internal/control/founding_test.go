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

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// founder is a control VM that is killed and started again before its group exists.
type founder struct {
	id    string
	fs    *waltest.FS
	state *ReplicatedState
	group *Group // nil while the VM is down
}

// founding is the first start of three control VMs. Unlike cluster, it allows a VM whose
// disk fails because it is killed at that moment.
type founding struct {
	*fabric
	t   *testing.T
	mu  sync.Mutex // guards the groups
	vms map[string]*founder
}

func newFounding(t *testing.T, further ...string) *founding {
	f := &founding{fabric: newFabric(), t: t, vms: map[string]*founder{}}
	for _, id := range slices.Concat(testVoters, further) {
		f.vms[id] = &founder{id: id, fs: waltest.New()}
	}
	return f
}

// start starts a VM with the given control VMs in its settings.
func (f *founding) start(id string, firstStart bool, seeds []string) {
	v := f.vms[id]
	v.state = NewReplicatedState()
	v.state.Register(PlansStateMachine, &listMachine{})
	g := NewGroup(GroupOptions{
		VM: id, Voters: seeds, JoinOnly: !firstStart, Dir: "/" + id, FS: v.fs, Transport: endpoint{f.fabric, id},
		State: v.state, Lease: testLease, Log: zerolog.Nop(), OnFailure: func(error) {},
	})
	if err := g.Start(); err != nil && !v.fs.Crashed() {
		f.t.Errorf("%s does not start: %v", id, err)
	}
	f.setGroup(id, g)
}

// kill ends a VM at the current operation of its disk.
func (f *founding) kill(id string, powerLost bool) {
	v, g := f.vms[id], f.running(id)
	if g == nil {
		return
	}
	if !v.fs.Crashed() {
		v.fs.CrashAt(1)
	}
	f.fabric.mu.Lock()
	f.handlers[id] = nil
	f.fabric.mu.Unlock()
	f.setGroup(id, nil)
	g.Close()
	if powerLost {
		v.fs.Crash(nil)
	} else {
		v.fs.Restart()
	}
}

func (f *founding) stop() {
	for id := range f.vms {
		f.kill(id, false)
	}
	f.inFlight.Wait()
}

func (f *founding) setGroup(id string, g *Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[id].group = g
}

// running returns the group of a VM, or nil.
func (f *founding) running(id string) *Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[id].group
}

func (f *founding) propose(id, item string, limit time.Duration) error {
	g := f.running(id)
	if g == nil {
		return context.Canceled
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	defer cancel()
	_, err := Propose[int](ctx, NewGroupClient(g), PlansStateMachine, item)
	return err
}

func (f *founding) items(id string) []string {
	var out []string
	f.vms[id].state.Read(PlansStateMachine, func(sm StateMachine) { out = slices.Clone(sm.(*listMachine).items) })
	return out
}

// formed reports whether all VMs are voters of one group.
func (f *founding) formed() bool {
	for _, id := range testVoters {
		st, ok := f.running(id).Status()
		if !ok || len(st.Config.Voters) != 3 || !st.Config.IsVoter(st.ID) || f.running(id).node.Group() != f.running("vm1").node.Group() {
			return false
		}
	}
	return true
}

// check fails the test unless all VMs, which run now, become voters of one group that has
// every acknowledged item.
func (f *founding) check(acked []string) {
	f.t.Helper()
	const limit = 15 * time.Second
	for end := time.Now().Add(limit); !f.formed(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, id := range testVoters {
				st, ok := f.running(id).Status()
				f.t.Errorf("%s: in a group %t, group %q, voters %v", id, ok, f.running(id).node.Group(), st.Config.Voters)
			}
			f.t.Fatalf("the three VMs are not voters of one group after %v", limit)
		}
	}
	if err := f.propose("vm2", "last", limit); err != nil {
		f.t.Fatalf("no change is accepted: %v", err)
	}
	for _, id := range testVoters {
		for end := time.Now().Add(limit); !slices.Contains(f.items(id), "last") && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		got := f.items(id)
		for _, item := range append(acked, "last") {
			if !slices.Contains(got, item) {
				f.t.Errorf("%s lacks the acknowledged item %q, has %v", id, item, got)
			}
		}
	}
}

// A founder is killed or loses power at each operation of its disk during the first start. It
// comes back with its disk, and its settings tell it that it is not the first start. All
// three must form one group.
func TestFounderDiesAtAnyOperation(t *testing.T) {
	for _, id := range testVoters {
		for _, powerLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,power lost %t", id, powerLost), func(t *testing.T) {
				crashed := true
				for op := 1; crashed; op++ {
					synctest.Test(t, func(t *testing.T) {
						crashed = founderDies(t, id, op, powerLost)
					})
					if t.Failed() {
						t.Fatalf("died at operation %d", op)
					}
				}
			})
		}
	}
}

// founderDies starts three VMs, one of which dies at an operation of its disk. It reports
// whether that was before the first change was accepted.
func founderDies(t *testing.T, id string, op int, powerLost bool) bool {
	f := newFounding(t)
	defer f.stop()
	f.vms[id].fs.CrashAt(op)
	for _, v := range testVoters {
		f.start(v, true, testVoters)
	}
	time.Sleep(time.Second)
	var acked []string
	if f.propose(testVoters[op%3], "first", 2*time.Second) == nil {
		acked = append(acked, "first")
	}
	crashed := f.vms[id].fs.Crashed()
	if crashed {
		f.kill(id, powerLost)
		time.Sleep(300 * time.Millisecond)
		f.start(id, false, testVoters)
	} else {
		f.vms[id].fs.Restart() // it does not die any more
	}
	f.check(acked)
	return crashed
}

// drawnSeeds returns the seeds from 1 to n, to a fifth of it in a short run, or the one of
// AMARANTHSHELF_SEED.
func drawnSeeds(n uint64) []uint64 {
	if s, err := strconv.ParseUint(os.Getenv("AMARANTHSHELF_SEED"), 10, 64); err == nil {
		return []uint64{s}
	}
	if testing.Short() {
		n /= 5
	}
	var seeds []uint64
	for s := range n {
		seeds = append(seeds, s+1)
	}
	return seeds
}

// Founders with slow disks start in any order, one, several or all are killed or lose power
// at drawn moments, and paths between them are cut for a while. They come back with their
// disks as VMs that do not start for the first time, one perhaps with an empty disk. They
// must form one group that keeps every acknowledged change.
func TestFoundersDieAtDrawnMoments(t *testing.T) {
	for _, seed := range drawnSeeds(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { foundAtRandom(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func foundAtRandom(t *testing.T, r *rand.Rand) {
	draw := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	f := newFounding(t)
	defer f.stop()
	// A VM that is killed before its identity is on its disk, or that loses its disk, is no
	// founder any more. This may happen to one.
	early := testVoters[r.IntN(3)]
	diskLost := r.IntN(4) == 0
	together := r.IntN(4) == 0
	togetherAt := 250*time.Millisecond + draw(time.Second)
	var wg sync.WaitGroup
	for _, id := range testVoters {
		startsAt, slow := draw(300*time.Millisecond), draw(20*time.Millisecond)
		dies, powerLost, down := r.IntN(3) > 0 || together, r.IntN(2) == 0, draw(600*time.Millisecond)
		diesAt := startsAt + 5*slow + draw(700*time.Millisecond)
		if together {
			diesAt = max(togetherAt, startsAt+5*slow)
		} else if id == early {
			diesAt = startsAt + draw(300*time.Millisecond)
		}
		wg.Go(func() {
			f.vms[id].fs.DelaySync(slow)
			time.Sleep(startsAt)
			f.start(id, true, testVoters)
			if !dies {
				return
			}
			time.Sleep(diesAt - startsAt)
			f.kill(id, powerLost)
			if id == early && diskLost {
				f.vms[id].fs = waltest.New()
			}
			time.Sleep(down)
			f.start(id, false, testVoters)
		})
	}
	cut, cutAt, cutFor := testVoters[r.IntN(3)], draw(time.Second), draw(2*time.Second)
	wg.Go(func() {
		time.Sleep(cutAt)
		f.isolate(cut, testVoters...)
		time.Sleep(cutFor)
		f.heal()
	})
	var acked []string
	wg.Go(func() {
		for i := range 20 {
			item := fmt.Sprint("change-", i)
			if f.propose(testVoters[i%3], item, 150*time.Millisecond) == nil {
				acked = append(acked, item)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	wg.Wait()
	f.check(acked)
}
