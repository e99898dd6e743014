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

// Links of VMs, in bytes a second.
const (
	mbit10   = 10e6 / 8
	mbit100  = 100e6 / 8
	mbit1000 = 1000e6 / 8
)

var sixVoters = []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6"}

// startOnLinks starts six voters and routers whose links carry so much.
func startOnLinks(t *testing.T, voters, routers float64, followers int) *cluster {
	c := startClusterOf(t, sixVoters, followers)
	c.mu.Lock()
	for _, id := range c.ids {
		c.rate[id] = routers
	}
	for _, id := range sixVoters {
		c.rate[id] = voters
	}
	c.mu.Unlock()
	c.until("all fresh", 5*time.Second, func() bool { return c.fresh() == len(c.ids) })
	return c
}

// noise is text that no compression makes smaller by much.
func noise(size int) string {
	rng := rand.New(rand.NewPCG(1, uint64(size)))
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(' ' + rng.IntN(95))
	}
	return string(text)
}

// Guards against heartbeats that wait behind a large command until followers elect.
func TestLargeCommandKeepsItsLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		link float64
		size int
	}{{"100 Mbit/s", mbit100, 2 << 20}, {"10 Mbit/s", mbit10, 256 << 10}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startOnLinks(t, test.link, test.link, 1)
				defer c.stop()
				term := c.term()
				c.propose("router1", noise(test.size))
				<-time.After(time.Second)
				if now := c.term(); now != term {
					t.Errorf("term %d after the command, %d before", now, term)
				}
			})
		})
	}
}

// Guards against a VM that fetches one change from many voters at once and gets none.
// The change comes at different moments of the routers' polls.
func TestLargeChangeOverSlowLinksIsInForce(t *testing.T) {
	const (
		size    = 1500 << 10
		routers = 24
	)
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startOnLinks(t, mbit1000, mbit10, routers)
				defer c.stop()
				<-time.After(after)
				before := c.carried("router1")
				c.propose("vm1", noise(size))
				began := time.Now()
				c.until("in force", 20*time.Second, func() bool { return c.holders(routers) == routers })
				if took := time.Since(began); took > inForceBound {
					t.Errorf("in force after %v, at most %v", took, inForceBound)
				}
				if got := c.carried("router1") - before; got > size*3/2 {
					t.Errorf("a router's link carried %d bytes for a change of %d", got, size)
				}
			})
		})
	}
}

// carried is how many bytes a VM has sent and received.
func (c *cluster) carried(vm string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[vm]
}

// holders is how many of the routers hold a change.
func (c *cluster) holders(routers int) int {
	n := 0
	for i := range routers {
		if len(c.vms[fmt.Sprintf("router%d", i+1)].plans()) > 0 {
			n++
		}
	}
	return n
}

// Guards against a retry that puts a command into the log beside its first copy.
func TestSlowCommandIsInTheLogOnce(t *testing.T) {
	const size = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		c := startOnLinks(t, mbit10, mbit10, 1)
		defer c.stop()
		before := c.logged("vm1")
		c.propose("router1", noise(size))
		<-time.After(5 * time.Second)
		if got := c.logged("vm1") - before; got > size*3/2 {
			t.Errorf("the log took %d bytes for a command of %d", got, size)
		}
	})
}

// term is the highest term that a voter knows.
func (c *cluster) term() uint64 {
	highest := uint64(0)
	for _, id := range c.voters {
		if st, ok := c.vms[id].group.Status(); ok {
			highest = max(highest, st.Term)
		}
	}
	return highest
}

// logged is the size of a voter's folder, in bytes.
func (c *cluster) logged(vm string) int {
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

// Guards against a list that crosses five links as long as the operator wrote it.
func TestLargeCommandIsPackedInTheLog(t *testing.T) {
	text := strings.Repeat("a route like the one before. ", 30_000)
	synctest.Test(t, func(t *testing.T) {
		c := startOnLinks(t, mbit10, mbit10, 1)
		defer c.stop()
		before := c.logged("vm1")
		began := time.Now()
		c.propose("router1", text)
		if took := time.Since(began); took > time.Second {
			t.Errorf("committed after %v", took)
		}
		c.until("in force", inForceBound, func() bool { return slices.Equal(c.vms["router1"].plans(), []string{text}) })
		if got := c.logged("vm1") - before; got > len(text)/5 {
			t.Errorf("the log took %d bytes for a command of %d", got, len(text))
		}
	})
}

// Guards against a command that is refused only after it has crossed every link.
func TestTooLargeCommandIsRefusedAtOnce(t *testing.T) {
	r := NewRemoteClient(nil, "router1", FixedVMs(nil))
	_, err := r.Propose(t.Context(), PlansStateMachine, make([]byte, maxCommandBytes+1))
	var coded *result.Error
	if !errors.As(err, &coded) || coded.Code != result.BodyTooLarge {
		t.Errorf("error %v", err)
	}
}

// Guards against a packed command that unpacks to more than a control VM has room for.
func TestPackedCommandIsBounded(t *testing.T) {
	bomb, err := codec.Pack(make([]byte, maxCommandBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	entry, err := codec.Marshal(Envelope{StateMachine: PlansStateMachine, ID: "a", AtMS: 1, Packed: bomb})
	if err != nil {
		t.Fatal(err)
	}
	m := NewReplicatedState()
	m.Register(PlansStateMachine, &list{})
	if _, err := m.Apply(entry); !errors.Is(err, ErrNotApplied) {
		t.Errorf("error %v", err)
	}
	if v := m.Versions([]StateMachineID{PlansStateMachine})[PlansStateMachine]; v != 0 {
		t.Errorf("version %d after a command that was not executed", v)
	}
}
