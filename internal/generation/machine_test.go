package generation

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const pinnedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("AMARANTHSHELF_SEED")
	if seed == "" {
		seed = pinnedSeed
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": "120", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// process is one life of a VM.
type process struct {
	KeeperID
	keeper  *Keeper
	version int // of the list it knows
	round   uint64
	dead    bool
}

// holder is a router's work on the one journal: an opening, then an Owner.
type holder struct {
	p       *process
	epoch   Epoch
	asked   time.Time
	groups  []KeeperSet
	replies *Replies
	owner   *Owner
}

// Bounds of the modelled network, far above those of the real one: a call's
// answer counts for a second, and a message lives while its connection does.
const (
	answerCounts = 5 * time.Second
	messageLives = 10 * time.Second
)

type message struct {
	to   KeeperID
	run  func(p *process) // on the keeper
	then func()           // at the asker; set once run has been called
	sent time.Time
}

// cluster is six VMs in three zones with a network that loses, delays, repeats
// and reorders, VMs that restart empty, and a list that changes.
type cluster struct {
	t        *rapid.T
	now      time.Time
	procs    []*process
	views    []Membership // oldest first
	holders  []*holder
	bag      []*message
	released []int32
	byEpoch  map[Epoch]*Owner
	starts   int
	token    int32
}

var machineID = RequestID{Workspace: "w", Key: "k"}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, byEpoch: map[Epoch]*Owner{}}
	for i := range 6 {
		c.procs = append(c.procs, c.process(i))
	}
	c.commit()
	return c
}

func (c *cluster) process(i int) *process {
	c.starts++
	id := KeeperID{fmt.Sprint("vm", i), fmt.Sprint("life", c.starts)}
	limits := DefaultLimits(time.Hour)
	limits.AbandonedRetention = 1000 * time.Hour // every journal has an owner that will be back
	return &process{KeeperID: id, keeper: NewKeeper(id.Incarnation, limits), version: len(c.views) - 1}
}

func (c *cluster) commit() {
	m := Membership{Version: uint64(len(c.views) + 1)}
	for i, p := range c.procs {
		if !p.dead {
			m.Candidates = append(m.Candidates, Candidate{VM: p.VM, Incarnation: p.Incarnation, Zone: fmt.Sprint("z", i%3)})
		}
	}
	c.views = append(c.views, m)
	for _, p := range c.procs {
		p.version = max(p.version, 0)
	}
}

func (c *cluster) known(p *process) []Membership {
	out := slices.Clone(c.views[:p.version+1])
	slices.Reverse(out)
	return out
}

func (c *cluster) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, name) }

func (c *cluster) live() *process {
	var out []*process
	for _, p := range c.procs {
		if !p.dead {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		c.t.Skip("all dead")
	}
	return out[c.pick("vm", len(out))]
}

// seal asks every keeper of every retained set for a promise.
func (c *cluster) seal(h *holder) {
	views := c.known(h.p)
	h.groups = KeeperSets(machineID, views)
	h.replies = NewReplies(h.groups, views[0])
	h.asked = c.now
	h.p.round++
	h.epoch = Epoch{Version: views[0].Version, Round: h.p.round, VM: h.p.VM + "#" + h.p.Incarnation}
	asked := map[KeeperID]bool{}
	replies, epoch := h.replies, h.epoch
	for _, g := range h.groups {
		for _, k := range g.Keepers {
			if asked[k] {
				continue
			}
			asked[k] = true
			m := &message{to: k, sent: c.now}
			m.run = func(p *process) {
				reply := p.keeper.Promise(Promise{ID: machineID, Epoch: epoch, Incarnation: k.Incarnation}, c.now)
				m.then = func() {
					h.p.round = max(h.p.round, reply.Promised.Round)
					if replies == h.replies && c.now.Sub(h.asked) < answerCounts {
						replies.Add(k, reply)
						c.ready(h)
					}
				}
			}
			c.bag = append(c.bag, m)
		}
	}
}

// ready goes on once the promises are there. The journal then found must hold
// every token that any owner ever released.
func (c *cluster) ready(h *holder) {
	if h.replies == nil || !h.replies.Ready() {
		return
	}
	replies := h.replies
	h.replies = nil
	best, _ := replies.Best()
	if h.owner != nil {
		if h.owner.MoveTo(h.epoch, h.groups[0], replies) != nil {
			return
		}
		best.Journal = *h.owner.Journal()
	}
	if best.Journal.Len() < len(c.released) || !slices.Equal(best.Journal.Tokens[:len(c.released)], c.released) {
		c.t.Fatalf("%v found %v, but %v was released", h.epoch, best.Journal.Tokens, c.released)
	}
	if h.owner == nil {
		h.owner = NewOwner(Request{ID: machineID}, h.epoch, h.groups[0], replies, best.Journal)
	}
}

func (c *cluster) holder() *holder {
	var out []*holder
	for _, h := range c.holders {
		if !h.p.dead {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		c.t.Skip("no owner")
	}
	return out[c.pick("owner", len(out))]
}

func (c *cluster) write(h *holder) {
	if h.owner == nil {
		return
	}
	for _, k := range h.owner.KeeperSet().Keepers {
		w, ok := h.owner.NextWrite(k.VM, 2)
		if !ok {
			continue
		}
		w.Span.Tokens, w.Span.Texts = slices.Clone(w.Span.Tokens), slices.Clone(w.Span.Texts)
		m := &message{to: k, sent: c.now}
		m.run = func(p *process) {
			reply := p.keeper.Write(w, c.now)
			m.then = func() { c.ack(h, k, reply) }
		}
		c.bag = append(c.bag, m)
	}
}

func (c *cluster) ack(h *holder, k KeeperID, reply WriteReply) {
	err := h.owner.Ack(k.VM, reply)
	if _, broken := err.(*InvariantError); broken {
		c.t.Fatal(err)
	}
	o := h.owner
	for i, token := range o.Journal().Tokens[:o.Released()] {
		if i < len(c.released) && c.released[i] != token {
			c.t.Fatalf("%v released %d as token %d, which was %d", o.Epoch, token, i, c.released[i])
		}
		if i < len(c.released) {
			continue
		}
		c.released = append(c.released, token)
		if other := c.byEpoch[o.Epoch]; other != nil && other != o {
			c.t.Fatalf("two owners released in epoch %v", o.Epoch)
		}
		c.byEpoch[o.Epoch] = o
	}
}

// step delivers one message: first to the keeper, then its reply to the asker.
func (c *cluster) step(remove bool) {
	if len(c.bag) == 0 {
		c.t.Skip("nothing under way")
	}
	i := c.pick("message", len(c.bag))
	m := c.bag[i]
	if remove {
		c.bag = slices.Delete(c.bag, i, i+1)
	}
	if m.then != nil {
		m.then()
		return
	}
	for _, p := range c.procs {
		if p.VM != m.to.VM || p.dead {
			continue
		}
		reply := &message{to: m.to, sent: c.now}
		m.run(p)
		reply.then, m.then = m.then, nil
		c.bag = append(c.bag, reply)
	}
}

// A caller reads an answer while routers die, pause and take over, messages are
// lost, late, doubled and out of order, VMs restart without their memory, and
// the list of VMs changes under the journal. Whatever the order: a released
// token never changes and is found by every later owner, because each owner
// seals a majority of every keeper set that could still release.
func TestReleasedTokensStand(t *testing.T) {
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				h := &holder{p: c.live()}
				c.holders = append(c.holders, h)
				c.seal(h)
			},
			"write":   func(*rapid.T) { c.write(c.holder()) },
			"repeat":  func(*rapid.T) { c.step(false) },
			"lose":    func(*rapid.T) { c.lose() },
			"forget":  func(*rapid.T) { c.live().keeper.Sweep(c.now) },
			"wait":    func(*rapid.T) { c.wait() },
			"restart": func(*rapid.T) { c.restart() },
			"remove":  func(*rapid.T) { c.remove() },
			"learn":   func(*rapid.T) { c.learn() },
		}
		for i := range 6 {
			actions[fmt.Sprint("generate", i)] = func(*rapid.T) { c.generate() }
			actions[fmt.Sprint("deliver", i)] = func(*rapid.T) { c.step(true) }
			actions[fmt.Sprint("flow", i)] = func(*rapid.T) { c.flow() }
		}
		t.Repeat(actions)
		released += len(c.released)
	})
	want := 1000
	if testing.Short() {
		want /= 5 // rapid's short runs have a fifth of the steps
	}
	if released < want {
		t.Errorf("%d tokens were released in all runs: the schedules prove little", released)
	}
	t.Logf("%d tokens released", released)
}

// generate appends a token unlike any other: a splice of two owners' answers
// shows at the first index.
func (c *cluster) generate() {
	h := c.holder()
	if h.owner == nil {
		c.t.Skip("not open")
	}
	c.token++
	n, from := h.owner.BeginAttempt()
	_ = h.owner.Append(n.Number, Span{From: from, Tokens: []int32{c.token}, Texts: []string{"t"}}, "", Usage{})
	c.write(h)
}

// flow delivers what is under way, in order, for a stretch without faults.
func (c *cluster) flow() {
	for range min(20, len(c.bag)) {
		m := c.bag[0]
		c.bag = c.bag[1:]
		if m.then != nil {
			m.then()
			continue
		}
		for _, p := range c.procs {
			if p.VM == m.to.VM && !p.dead {
				m.run(p)
				m.then()
			}
		}
	}
}

// wait lets time pass, for messages under way as well.
func (c *cluster) wait() {
	c.now = c.now.Add(time.Duration(1+c.pick("seconds", 40)) * time.Second)
	c.bag = slices.DeleteFunc(c.bag, func(m *message) bool { return c.now.Sub(m.sent) > messageLives })
}

func (c *cluster) lose() {
	if len(c.bag) == 0 {
		c.t.Skip("nothing under way")
	}
	i := c.pick("message", len(c.bag))
	c.bag = slices.Delete(c.bag, i, i+1)
}

// restart gives a VM a new life without memory. The list learns of it at once
// or with a later change.
func (c *cluster) restart() {
	c.seldom()
	i := c.pick("vm", len(c.procs))
	c.procs[i].dead = true
	c.procs[i] = c.process(i)
	if rapid.Bool().Draw(c.t, "committed") {
		c.commit()
	}
}

// seldom skips three of four: more faults than that leave no majority anywhere.
func (c *cluster) seldom() {
	if c.pick("seldom", 4) > 0 {
		c.t.Skip("not now")
	}
}

func (c *cluster) remove() {
	c.seldom()
	alive := 0
	for _, p := range c.procs {
		if !p.dead {
			alive++
		}
	}
	if alive <= 3 {
		c.t.Skip("few left")
	}
	c.live().dead = true
	c.commit()
}

// learn shows a VM a newer list; the owners there re-place their journals.
func (c *cluster) learn() {
	p := c.live()
	if p.version == len(c.views)-1 {
		c.t.Skip("up to date")
	}
	p.version = len(c.views) - 1
	for _, h := range c.holders {
		if h.p != p || h.owner == nil || h.owner.Deposed() {
			continue
		}
		h.owner.BeginSeal()
		c.seal(h)
	}
}
