package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// list is a part that keeps every command and says how many it holds.
type list struct{ items []string }

func (l *list) Apply(nowMS int64, cmd []byte) []byte {
	var s string
	if err := codec.Unmarshal(cmd, &s); err != nil || nowMS <= 0 {
		panic(fmt.Sprint("bad command: ", err))
	}
	l.items = append(l.items, s)
	data, _ := codec.Marshal(len(l.items))
	return data
}
func (l *list) Version() uint64 { return uint64(len(l.items)) }
func (l *list) Changes(since uint64) []byte {
	data, _ := codec.Marshal(l.items[since:])
	return data
}
func (l *list) Snapshot() ([]byte, error) { return codec.Marshal(l.items) }
func (l *list) Restore(data []byte) error { l.items = nil; return codec.Unmarshal(data, &l.items) }

// vm is one VM of a test: a voter where it has a group.
type vm struct {
	id      string
	machine *ReplicatedState
	group   *Group
	feed    *Feed
	client  *RemoteClient
	t       testing.TB
	failed  chan error // why its member stopped; a test that expects it takes it
	mu      sync.Mutex
	seen    []string
}

func (v *vm) plans() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.seen)
}

// kill ends a VM as a crash does.
func (v *vm) kill(f *fabric) {
	f.mu.Lock()
	f.handlers[v.id] = nil
	f.mu.Unlock()
	v.feed.Close()
	if v.group != nil {
		v.group.Close()
	}
	select {
	case err := <-v.failed:
		v.t.Errorf("%s stopped by itself: %v", v.id, err)
	default:
	}
}

const testLease = 3 * time.Second

var testVoters = []string{"vm1", "vm2", "vm3"}

func startVM(t testing.TB, f *fabric, id string, voters []string, fs *waltest.FS) *vm {
	t.Helper()
	return startVMWith(t, f, id, voters, fs, func(*GroupOptions) {})
}

// startVMWith is startVM with other options of a control VM's group.
func startVMWith(t testing.TB, f *fabric, id string, voters []string, fs *waltest.FS, change func(*GroupOptions)) *vm {
	t.Helper()
	v := &vm{id: id, t: t, machine: NewReplicatedState(), failed: make(chan error, 1)}
	v.machine.Register(PlansStateMachine, &list{})
	v.machine.Register(RolloutsStateMachine, rollout.NewStateMachine())
	v.feed = NewFeed(FeedOptions{Self: id, Voters: FixedVMs(voters), Transport: port{f, id}, Lease: testLease, Log: zerolog.Nop()})
	v.feed.OnChange(PlansStateMachine, func(data []byte) {
		var items []string
		if err := codec.Unmarshal(data, &items); err != nil {
			t.Error(err)
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		v.seen = append(v.seen, items...)
	})
	if slices.Contains(voters, id) {
		o := GroupOptions{
			VM: id, Voters: voters, Dir: "/" + id, FS: fs, Transport: port{f, id}, State: v.machine,
			Lease: testLease, Log: zerolog.Nop(), OnFailure: func(err error) { v.failed <- err },
		}
		change(&o)
		v.group = NewGroup(o)
		if err := v.group.Start(); err != nil {
			t.Fatal(err)
		}
	}
	v.client = v.feed.Client(v.group)
	v.feed.Start()
	return v
}

type cluster struct {
	*fabric
	t      testing.TB
	voters []string
	vms    map[string]*vm
	fs     map[string]*waltest.FS
	ids    []string
}

// startCluster starts three voters and other VMs that only follow.
func startCluster(t testing.TB, followers int) *cluster {
	return startClusterOf(t, testVoters, followers)
}

func startClusterOf(t testing.TB, voters []string, followers int) *cluster {
	c := &cluster{fabric: newFabric(), t: t, voters: voters, vms: map[string]*vm{}, fs: map[string]*waltest.FS{}}
	c.ids = slices.Clone(voters)
	for i := range followers {
		c.ids = append(c.ids, fmt.Sprintf("router%d", i+1))
	}
	for _, id := range c.ids {
		c.fs[id] = waltest.New()
		c.vms[id] = startVM(t, c.fabric, id, voters, c.fs[id])
	}
	return c
}

func (c *cluster) stop() {
	for _, v := range c.vms {
		v.kill(c.fabric)
	}
	c.flying.Wait()
}

func (c *cluster) restart(id string) {
	c.vms[id].kill(c.fabric)
	c.vms[id] = startVM(c.t, c.fabric, id, testVoters, c.fs[id])
}

func (c *cluster) propose(from, item string) int {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	n, err := Propose[int](ctx, c.vms[from].client, PlansStateMachine, item)
	if err != nil {
		c.t.Fatalf("propose %.40s from %s: %v", item, from, err)
	}
	return n
}

// until waits in the bubble's time.
func (c *cluster) until(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !ok(); {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (c *cluster) leader() string {
	c.t.Helper()
	id := ""
	c.until("one leader", 5*time.Second, func() bool {
		for _, v := range c.voters {
			if c.vms[v].group.IsLeader() {
				id = v
				return true
			}
		}
		return false
	})
	return id
}

// An operator's change is accepted, but its answer is lost, twice, and then the
// leader dies. The retry carries the same envelope ID: the change is applied once
// and the operator gets the first answer, also from the next leader.
func TestRetryRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		began := time.Now()
		leader := c.leader()
		if took := time.Since(began); took > time.Second {
			t.Errorf("first leader after %v", took)
		}
		c.propose("router1", "a")
		c.mu.Lock()
		c.loseOf, c.lose = peer.KindControl, 2
		c.mu.Unlock()
		died := make(chan struct{})
		go func() {
			<-time.After(3 * time.Second)
			c.vms[leader].kill(c.fabric)
			close(died)
		}()
		if n := c.propose("router1", "b"); n != 2 {
			t.Errorf("the retried change was number %d", n)
		}
		<-died
		if n := c.propose("router1", "c"); n != 3 {
			t.Errorf("the next change was number %d: a retry ran twice", n)
		}
	})
}

// All control VMs lose power after hundreds of changes and start again: every
// accepted change is there, in order, the clock has not gone back, and the VMs
// that follow get each change once.
func TestRestartKeepsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		var want []string
		for i := range 300 {
			want = append(want, fmt.Sprint("change-", i))
			c.propose("router1", want[i])
		}
		before := c.vms["vm1"].machine.NowMS()
		for _, id := range testVoters {
			c.vms[id].kill(c.fabric)
			c.fs[id].Crash(nil)
		}
		for _, id := range testVoters {
			c.vms[id] = startVM(t, c.fabric, id, testVoters, c.fs[id])
		}
		want = append(want, "after")
		if n := c.propose("router1", "after"); n != 301 {
			t.Errorf("after the restart there are %d changes", n)
		}
		c.until("the follower has all", 2*time.Second, func() bool { return slices.Equal(c.vms["router1"].plans(), want) })
		if now := c.vms["vm1"].machine.NowMS(); now < before {
			t.Errorf("the group's clock went back: %d to %d", before, now)
		}
	})
}

// The leader's disk is full, or a sync fails. Its member stops at once and for
// good, with the cause; it acknowledges nothing more, and the others go on. After
// the cause is gone and the process started again every accepted change is there.
func TestDiskFaultStopsTheMember(t *testing.T) {
	faults := map[string]struct {
		begin, end func(*waltest.FS)
		cause      error
	}{
		"full":        {func(f *waltest.FS) { f.LimitSpace(300) }, func(f *waltest.FS) { f.LimitSpace(-1) }, waltest.ErrFull},
		"sync failed": {func(f *waltest.FS) { f.FailSync(true) }, func(f *waltest.FS) { f.FailSync(false) }, waltest.ErrSync},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 1)
				defer c.stop()
				leader := c.leader()
				fault.begin(c.fs[leader])
				for i := range 20 {
					c.propose("router1", fmt.Sprint("change-", i))
				}
				err := <-c.vms[leader].failed
				if !errors.Is(err, fault.cause) || !errors.Is(err, wal.ErrUnusable) {
					t.Errorf("stopped by %v", err)
				}
				c.vms[leader].kill(c.fabric)
				c.fs[leader].Crash(nil)
				fault.end(c.fs[leader])
				c.vms[leader] = startVM(t, c.fabric, leader, testVoters, c.fs[leader])
				c.until("all changes are back", 5*time.Second, func() bool { return len(c.vms[leader].items()) == 20 })
			})
		})
	}
}

// A control VM comes back with an empty disk. It must not vote under its old
// identity: it joins as a new member while operators go on, and right after the
// repair a second control VM is lost. No change is lost and the group goes on.
func TestLostDiskJoinsAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		c.leader()
		old, _ := c.vms["vm2"].group.Status()
		for i := range 50 {
			c.propose("router1", fmt.Sprint(i))
		}
		c.fs["vm2"] = waltest.New()
		c.restart("vm2")
		n := 50
		c.until("vm2 has a vote again and its former identity none", 10*time.Second, func() bool {
			n++
			c.propose("router1", "x")
			st, ok := c.vms["vm2"].group.Status()
			return ok && st.ID != old.ID && st.Config.IsVoter(st.ID) && !st.Config.IsVoter(old.ID) && len(st.Config.Voters) == 3
		})
		lost := c.leader()
		if lost == "vm2" {
			lost = "vm1"
		}
		c.vms[lost].kill(c.fabric)
		if got := c.propose("router1", "after"); got != n+1 {
			t.Errorf("%d changes, want %d", got, n+1)
		}
	})
}

func (v *vm) items() []string {
	var out []string
	v.machine.Read(PlansStateMachine, func(p StateMachine) { out = slices.Clone(p.(*list).items) })
	return out
}

// More changes than a log keeps: the voters take snapshots and compact. A VM with
// a new disk gets the state by a snapshot in chunks; another restarts from its
// own. Both hold every change, and both answer a retry of an old envelope as the
// first time: the replies are part of the state.
func TestSnapshotCarriesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		retried := Envelope{StateMachine: PlansStateMachine, ID: "retried", AtMS: 1, Body: []byte{0x61, 'x'}}
		entry, err := codec.Marshal(retried)
		if err != nil {
			t.Fatal(err)
		}
		leader := c.vms[c.leader()]
		first, err := leader.group.node.Propose(t.Context(), entry)
		if err != nil {
			t.Fatal(err)
		}
		const workers, each = 100, 100
		var wg sync.WaitGroup
		for w := range workers {
			wg.Go(func() {
				for i := range each {
					c.propose("router1", fmt.Sprintf("%100d-%d", w, i))
				}
			})
		}
		wg.Wait()
		var behind []string
		for _, id := range testVoters {
			if id != leader.id {
				behind = append(behind, id)
			}
		}
		c.fs[behind[0]] = waltest.New()
		c.restart(behind[0])
		c.restart(behind[1])
		want := leader.items()
		for _, id := range behind {
			c.until(id+" holds all", 20*time.Second, func() bool { return slices.Equal(c.vms[id].items(), want) })
			st, _ := c.vms[id].group.Status()
			if len(want) != workers*each+1 || st.Snapshot == 0 {
				t.Errorf("%s: %d changes, snapshot %d", id, len(want), st.Snapshot)
			}
			if again, err := c.vms[id].machine.Apply(entry); err != nil || !slices.Equal(again, first) {
				t.Errorf("%s answers the retry with %x, %v; first %x", id, again, err, first)
			}
		}
	})
}
