package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Link rates of VMs, in bytes a second.
const (
	mbit10   = 10e6 / 8
	mbit100  = 100e6 / 8
	mbit1000 = 1000e6 / 8
)

var sixVoters = []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6"}

// startWithLinkRates starts six voters and a number of routers with the given link rates.
func startWithLinkRates(t *testing.T, voterRate, routerRate float64, followers int) *cluster {
	c := startClusterOf(t, sixVoters, followers)
	c.mu.Lock()
	for _, id := range c.ids {
		c.linkRate[id] = routerRate
	}
	for _, id := range sixVoters {
		c.linkRate[id] = voterRate
	}
	c.mu.Unlock()
	c.waitFor("all VMs are fresh", 5*time.Second, func() bool { return c.countFresh() == len(c.ids) })
	return c
}

// incompressibleText returns pseudorandom text that compression barely shrinks.
func incompressibleText(size int) string {
	rng := rand.New(rand.NewPCG(1, uint64(size)))
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(' ' + rng.IntN(95))
	}
	return string(text)
}

// Guards against heartbeats that queue behind a large command until followers start an
// election.
func TestLargeCommandKeepsItsLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		link float64
		size int
	}{{"100 Mbit/s", mbit100, 2 << 20}, {"10 Mbit/s", mbit10, 256 << 10}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithLinkRates(t, test.link, test.link, 1)
				defer c.stop()
				term := c.term()
				c.propose("router1", incompressibleText(test.size))
				<-time.After(time.Second)
				if now := c.term(); now != term {
					t.Errorf("got term %d after the command, want the term %d from before", now, term)
				}
			})
		})
	}
}

// Guards against VMs that fetch one large change from many voters at once over slow links
// and receive none in time. The change is committed at different phases of the routers'
// polls.
func TestLargeChangeOverSlowLinksIsInForce(t *testing.T) {
	const (
		size    = 1500 << 10
		routers = 24
	)
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithLinkRates(t, mbit1000, mbit10, routers)
				defer c.stop()
				<-time.After(after)
				before := c.linkBytes("router1")
				c.propose("vm1", incompressibleText(size))
				began := time.Now()
				c.waitFor("all routers apply the change", 20*time.Second, func() bool { return c.countHolders(routers) == routers })
				if took := time.Since(began); took > inForceBound {
					t.Errorf("change in force after %v, want at most %v", took, inForceBound)
				}
				if got := c.linkBytes("router1") - before; got > size*3/2 {
					t.Errorf("a router's link carried %d bytes for a change of %d bytes, want at most 1.5 times its size", got, size)
				}
			})
		})
	}
}

// linkBytes returns how many bytes a VM has sent and received.
func (c *cluster) linkBytes(vm string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[vm]
}

// countHolders returns how many routers apply at least one change.
func (c *cluster) countHolders(routers int) int {
	n := 0
	for i := range routers {
		if len(c.vms[fmt.Sprintf("router%d", i+1)].appliedItems()) > 0 {
			n++
		}
	}
	return n
}

// Guards against a retry that appends a second copy of a slow command to the log.
func TestSlowCommandIsInTheLogOnce(t *testing.T) {
	const size = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		c := startWithLinkRates(t, mbit10, mbit10, 1)
		defer c.stop()
		before := c.logBytes("vm1")
		c.propose("router1", incompressibleText(size))
		<-time.After(5 * time.Second)
		if got := c.logBytes("vm1") - before; got > size*3/2 {
			t.Errorf("log grew by %d bytes for a command of %d bytes, want at most 1.5 times its size", got, size)
		}
	})
}

// term returns the highest term that a voter knows.
func (c *cluster) term() uint64 {
	highest := uint64(0)
	for _, id := range c.voters {
		if st, ok := c.vms[id].group.Status(); ok {
			highest = max(highest, st.Term)
		}
	}
	return highest
}

// logBytes returns the size of a voter's data directory.
func (c *cluster) logBytes(vm string) int {
	names, err := c.fs[vm].List("/" + vm)
	if err != nil {
		c.t.Fatal(err)
	}
	size := 0
	for _, name := range names {
		data, err := c.fs[vm].ReadFile("/" + vm + "/" + name)
		if err != nil {
			c.t.Fatal(err)
		}
		size += len(data)
	}
	return size
}

// Guards against a large command that is replicated uncompressed. The leader sends it to five
// followers over a slow link, which would delay the commit.
func TestLargeCommandIsPackedInTheLog(t *testing.T) {
	text := strings.Repeat("a route like the one before. ", 30_000)
	synctest.Test(t, func(t *testing.T) {
		c := startWithLinkRates(t, mbit10, mbit10, 1)
		defer c.stop()
		before := c.logBytes("vm1")
		began := time.Now()
		c.propose("router1", text)
		if took := time.Since(began); took > time.Second {
			t.Errorf("command committed after %v, want at most 1s", took)
		}
		c.waitFor("router1 applies the change", inForceBound, func() bool { return slices.Equal(c.vms["router1"].appliedItems(), []string{text}) })
		if got := c.logBytes("vm1") - before; got > len(text)/5 {
			t.Errorf("log grew by %d bytes for a command of %d bytes, want at most a fifth of its size", got, len(text))
		}
	})
}

// Guards against an oversized command that is refused only after it was sent over every link.
func TestTooLargeCommandIsRefusedAtOnce(t *testing.T) {
	r := NewRemoteClient(nil, "router1", FixedVMs(nil))
	_, err := r.Propose(t.Context(), PlansStateMachine, make([]byte, maxCommandBytes+1))
	var coded *result.Error
	if !errors.As(err, &coded) || coded.Code != result.BodyTooLarge {
		t.Errorf("got error %v, want the code BodyTooLarge", err)
	}
}

// Guards against a compressed command that decompresses to more data than a control VM has
// memory for.
func TestPackedCommandIsBounded(t *testing.T) {
	bomb, err := codec.Pack(make([]byte, maxCommandBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	entry, err := codec.Marshal(Envelope{StateMachine: PlansStateMachine, ID: "a", AtMS: 1, Packed: bomb})
	if err != nil {
		t.Fatal(err)
	}
	state := NewReplicatedState()
	state.Register(PlansStateMachine, &listMachine{})
	if _, err := state.Apply(entry); !errors.Is(err, ErrNotApplied) {
		t.Errorf("got error %v, want ErrNotApplied", err)
	}
	if v := state.Versions([]StateMachineID{PlansStateMachine})[PlansStateMachine]; v != 0 {
		t.Errorf("got version %d after a command that was not executed, want 0", v)
	}
}
