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

// listMachine is a state machine that stores every command and replies with their number.
type listMachine struct{ items []string }

func (l *listMachine) Apply(nowMS int64, cmd []byte) []byte {
	var s string
	if err := codec.Unmarshal(cmd, &s); err != nil || nowMS <= 0 {
		panic(fmt.Sprint("bad command: ", err))
	}
	l.items = append(l.items, s)
	data, _ := codec.Marshal(len(l.items))
	return data
}
func (l *listMachine) Version() uint64 { return uint64(len(l.items)) }
func (l *listMachine) Changes(since uint64) []byte {
	data, _ := codec.Marshal(l.items[since:])
	return data
}
func (l *listMachine) Snapshot() ([]byte, error) { return codec.Marshal(l.items) }
func (l *listMachine) Restore(data []byte) error {
	l.items = nil
	return codec.Unmarshal(data, &l.items)
}

// vm is a VM of a test. It is a voter if it has a group.
type vm struct {
	id      string
	state   *ReplicatedState
	group   *Group
	feed    *Feed
	client  *RemoteClient
	t       testing.TB
	failed  chan error // why its member stopped; a test that expects a failure receives it
	mu      sync.Mutex
	applied []string
}

func (v *vm) appliedItems() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.applied)
}

// kill stops a VM as a crash does.
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
		v.t.Errorf("%s: member stopped unexpectedly: %v", v.id, err)
	default:
	}
}

const testLease = 3 * time.Second

var testVoters = []string{"vm1", "vm2", "vm3"}

func startVM(t testing.TB, f *fabric, id string, voters []string, fs *waltest.FS) *vm {
	t.Helper()
	return startVMWith(t, f, id, voters, fs, func(*GroupOptions) {})
}

// startVMWith is startVM with changed options for a control VM's group.
func startVMWith(t testing.TB, f *fabric, id string, voters []string, fs *waltest.FS, change func(*GroupOptions)) *vm {
	t.Helper()
	v := &vm{id: id, t: t, state: NewReplicatedState(), failed: make(chan error, 1)}
	v.state.Register(PlansStateMachine, &listMachine{})
	v.state.Register(RolloutsStateMachine, rollout.NewStateMachine())
	v.feed = NewFeed(FeedOptions{Self: id, Voters: FixedVMs(voters), Transport: endpoint{f, id}, Lease: testLease, Log: zerolog.Nop()})
	v.feed.OnChange(PlansStateMachine, func(data []byte) {
		var items []string
		if err := codec.Unmarshal(data, &items); err != nil {
			t.Error(err)
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		v.applied = append(v.applied, items...)
	})
	if slices.Contains(voters, id) {
		o := GroupOptions{
			VM: id, Voters: voters, Dir: "/" + id, FS: fs, Transport: endpoint{f, id}, State: v.state,
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

// startCluster starts three voters and a number of VMs that only follow.
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
	c.inFlight.Wait()
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

// waitFor waits for a condition in the fake time of synctest.
func (c *cluster) waitFor(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !ok(); {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (c *cluster) leader() string {
	c.t.Helper()
	id := ""
	c.waitFor("there is a leader", 5*time.Second, func() bool {
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

// An operator's change is accepted, but the reply is lost twice, and then the leader
// crashes. The retry carries the same envelope ID. The change must be applied once, and the
// operator must get the first reply, also from the next leader.
func TestRetryRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		began := time.Now()
		leader := c.leader()
		if took := time.Since(began); took > time.Second {
			t.Errorf("first leader elected after %v, want at most 1s", took)
		}
		c.propose("router1", "a")
		c.mu.Lock()
		c.lostReplyKind, c.lostReplies = peer.KindControl, 2
		c.mu.Unlock()
		died := make(chan struct{})
		go func() {
			<-time.After(3 * time.Second)
			c.vms[leader].kill(c.fabric)
			close(died)
		}()
		if n := c.propose("router1", "b"); n != 2 {
			t.Errorf("retried change: got number %d, want 2", n)
		}
		<-died
		if n := c.propose("router1", "c"); n != 3 {
			t.Errorf("next change: got number %d, want 3; a retry was executed twice", n)
		}
	})
}

// All control VMs lose power after hundreds of changes and start again. Every accepted
// change must be present, in order, the group's clock must not go back, and the VMs that
// follow must receive each change once.
func TestRestartKeepsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 1)
		defer c.stop()
		var want []string
		for i := range 300 {
			want = append(want, fmt.Sprint("change-", i))
			c.propose("router1", want[i])
		}
		before := c.vms["vm1"].state.NowMS()
		for _, id := range testVoters {
			c.vms[id].kill(c.fabric)
			c.fs[id].Crash(nil)
		}
		for _, id := range testVoters {
			c.vms[id] = startVM(t, c.fabric, id, testVoters, c.fs[id])
		}
		want = append(want, "after")
		if n := c.propose("router1", "after"); n != 301 {
			t.Errorf("got %d changes after the restart, want 301", n)
		}
		c.waitFor("the follower applies all changes", 2*time.Second, func() bool { return slices.Equal(c.vms["router1"].appliedItems(), want) })
		if now := c.vms["vm1"].state.NowMS(); now < before {
			t.Errorf("the group's clock went back from %d to %d", before, now)
		}
	})
}

// The leader's disk is full, or a sync fails. Its member must stop at once and permanently,
// report the cause and acknowledge nothing more, while the others continue. After the fault
// is repaired and the process restarted, every accepted change must be present.
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
					t.Errorf("member stopped with error %v, want the disk fault and wal.ErrUnusable", err)
				}
				c.vms[leader].kill(c.fabric)
				c.fs[leader].Crash(nil)
				fault.end(c.fs[leader])
				c.vms[leader] = startVM(t, c.fabric, leader, testVoters, c.fs[leader])
				c.waitFor("the restarted member has all changes", 5*time.Second, func() bool { return len(c.vms[leader].items()) == 20 })
			})
		})
	}
}

// A control VM returns with an empty disk while operators propose changes. It must not vote
// under its old identity and joins as a new member. Right after that a second control VM is
// lost. No change may be lost, and the group must continue.
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
		c.waitFor("vm2 has a vote and its former identity has none", 10*time.Second, func() bool {
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
			t.Errorf("got %d changes, want %d", got, n+1)
		}
	})
}

func (v *vm) items() []string {
	var out []string
	v.state.Read(PlansStateMachine, func(sm StateMachine) { out = slices.Clone(sm.(*listMachine).items) })
	return out
}

// There are more changes than a log keeps, and the voters take snapshots and compact the log.
// A VM with a new disk receives the state as a snapshot in chunks, and another one restarts
// from its own snapshot. Both must have every change. Both must also answer a retry of an
// old envelope with the first reply, because the replies belong to the state.
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
			c.waitFor(id+" has all changes", 20*time.Second, func() bool { return slices.Equal(c.vms[id].items(), want) })
			st, _ := c.vms[id].group.Status()
			if len(want) != workers*each+1 || st.Snapshot == 0 {
				t.Errorf("%s: got %d changes and snapshot index %d, want 10001 changes and a snapshot", id, len(want), st.Snapshot)
			}
			if again, err := c.vms[id].state.Apply(entry); err != nil || !slices.Equal(again, first) {
				t.Errorf("%s: got reply %x and error %v to the retry, want the first reply %x", id, again, err, first)
			}
		}
	})
}
