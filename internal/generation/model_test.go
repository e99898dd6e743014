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

// process is one incarnation of a VM.
type process struct {
	KeeperID
	keeper  *Keeper
	version int // index in views of the newest list that it knows
	round   uint64
	dead    bool
}

// modelRouter is a router that opens the one journal and then runs it as Owner.
type modelRouter struct {
	p           *process
	epoch       Epoch
	requestedAt time.Time
	sets        []KeeperSet
	replies     *Replies
	owner       *Owner
}

// Bounds of the modelled network, far above those of the real one. In the real
// one a reply counts for a second, and a message lives as long as its connection.
const (
	replyTimeout    = 5 * time.Second
	messageLifetime = 10 * time.Second
)

type message struct {
	to      KeeperID
	handle  func(p *process) // executes the message at the keeper
	onReply func()           // executes the reply at the router; set by handle
	sent    time.Time
}

// modelCluster models six VMs in three zones. Its network loses, delays, repeats
// and reorders messages, VMs restart without their memory, and the list of VMs
// changes.
type modelCluster struct {
	t        *rapid.T
	now      time.Time
	procs    []*process
	views    []Membership // oldest first
	routers  []*modelRouter
	inFlight []*message
	released []int32
	byEpoch  map[Epoch]*Owner
	starts   int
	token    int32
}

var journalID = RequestID{Workspace: "w", Key: "k"}

func newCluster(t *rapid.T) *modelCluster {
	c := &modelCluster{t: t, byEpoch: map[Epoch]*Owner{}}
	for i := range 6 {
		c.procs = append(c.procs, c.process(i))
	}
	c.commit()
	return c
}

func (c *modelCluster) process(i int) *process {
	c.starts++
	id := KeeperID{fmt.Sprint("vm", i), fmt.Sprint("life", c.starts)}
	limits := DefaultLimits(time.Hour)
	limits.AbandonedRetention = 1000 * time.Hour // every journal has an owner that will resume
	return &process{KeeperID: id, keeper: NewKeeper(id.Incarnation, limits), version: len(c.views) - 1}
}

func (c *modelCluster) commit() {
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

func (c *modelCluster) knownViews(p *process) []Membership {
	out := slices.Clone(c.views[:p.version+1])
	slices.Reverse(out)
	return out
}

func (c *modelCluster) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, name) }

func (c *modelCluster) pickLive() *process {
	var out []*process
	for _, p := range c.procs {
		if !p.dead {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		c.t.Skip("all VMs are dead")
	}
	return out[c.pick("vm", len(out))]
}

// requestPromises asks every keeper of every retained set for a promise.
func (c *modelCluster) requestPromises(router *modelRouter) {
	views := c.knownViews(router.p)
	router.sets = KeeperSets(journalID, views)
	router.replies = NewReplies(router.sets, views[0])
	router.requestedAt = c.now
	router.p.round++
	router.epoch = Epoch{Version: views[0].Version, Round: router.p.round, VM: router.p.VM + "#" + router.p.Incarnation}
	asked := map[KeeperID]bool{}
	replies, epoch := router.replies, router.epoch
	for _, g := range router.sets {
		for _, k := range g.Keepers {
			if asked[k] {
				continue
			}
			asked[k] = true
			m := &message{to: k, sent: c.now}
			m.handle = func(p *process) {
				reply := p.keeper.Promise(Promise{ID: journalID, Epoch: epoch, Incarnation: k.Incarnation}, c.now)
				m.onReply = func() {
					router.p.round = max(router.p.round, reply.Promised.Round)
					if replies == router.replies && c.now.Sub(router.requestedAt) < replyTimeout {
						replies.Add(k, reply)
						c.open(router)
					}
				}
			}
			c.inFlight = append(c.inFlight, m)
		}
	}
}

// open continues once the needed promises have arrived. The journal found must
// contain every token that any owner has ever released.
func (c *modelCluster) open(router *modelRouter) {
	if router.replies == nil || !router.replies.Ready() {
		return
	}
	replies := router.replies
	router.replies = nil
	best, _ := replies.Best()
	if router.owner != nil {
		if router.owner.MoveTo(router.epoch, router.sets[0], replies) != nil {
			return
		}
		best.Journal = *router.owner.Journal()
	}
	if best.Journal.Len() < len(c.released) || !slices.Equal(best.Journal.Tokens[:len(c.released)], c.released) {
		c.t.Fatalf("epoch %v: journal found has tokens %v, want prefix %v, which was released", router.epoch, best.Journal.Tokens, c.released)
	}
	if router.owner == nil {
		router.owner = NewOwner(Request{ID: journalID}, router.epoch, router.sets[0], replies, best.Journal)
	}
}

func (c *modelCluster) pickRouter() *modelRouter {
	var out []*modelRouter
	for _, router := range c.routers {
		if !router.p.dead {
			out = append(out, router)
		}
	}
	if len(out) == 0 {
		c.t.Skip("no router has opened the journal")
	}
	return out[c.pick("owner", len(out))]
}

func (c *modelCluster) write(router *modelRouter) {
	if router.owner == nil {
		return
	}
	for _, k := range router.owner.KeeperSet().Keepers {
		w, ok := router.owner.NextWrite(k.VM, 2)
		if !ok {
			continue
		}
		w.Span.Tokens, w.Span.Texts = slices.Clone(w.Span.Tokens), slices.Clone(w.Span.Texts)
		m := &message{to: k, sent: c.now}
		m.handle = func(p *process) {
			reply := p.keeper.Write(w, c.now)
			m.onReply = func() { c.ack(router, k, reply) }
		}
		c.inFlight = append(c.inFlight, m)
	}
}

func (c *modelCluster) ack(router *modelRouter, k KeeperID, reply WriteReply) {
	err := router.owner.Ack(k.VM, reply)
	if _, broken := err.(*InvariantError); broken {
		c.t.Fatal(err)
	}
	o := router.owner
	for i, token := range o.Journal().Tokens[:o.Released()] {
		if i < len(c.released) && c.released[i] != token {
			c.t.Fatalf("epoch %v: released %d as token %d, want %d, which was released before", o.Epoch, token, i, c.released[i])
		}
		if i < len(c.released) {
			continue
		}
		c.released = append(c.released, token)
		if other := c.byEpoch[o.Epoch]; other != nil && other != o {
			c.t.Fatalf("two owners released tokens in epoch %v, want one", o.Epoch)
		}
		c.byEpoch[o.Epoch] = o
	}
}

// deliver delivers one message to its keeper, or one reply to its router.
func (c *modelCluster) deliver(remove bool) {
	if len(c.inFlight) == 0 {
		c.t.Skip("no message in flight")
	}
	i := c.pick("message", len(c.inFlight))
	m := c.inFlight[i]
	if remove {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	if m.onReply != nil {
		m.onReply()
		return
	}
	for _, p := range c.procs {
		if p.VM != m.to.VM || p.dead {
			continue
		}
		reply := &message{to: m.to, sent: c.now}
		m.handle(p)
		reply.onReply, m.onReply = m.onReply, nil
		c.inFlight = append(c.inFlight, reply)
	}
}

// A released token must never change, and every later owner must find it: each
// owner seals a majority of every keeper set that could still release. The test
// covers routers that die, pause and take over, messages that are lost, late,
// duplicated and reordered, VMs that restart without their memory, and changes of
// the list of VMs.
func TestReleasedTokensNeverChange(t *testing.T) {
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				router := &modelRouter{p: c.pickLive()}
				c.routers = append(c.routers, router)
				c.requestPromises(router)
			},
			"write":   func(*rapid.T) { c.write(c.pickRouter()) },
			"repeat":  func(*rapid.T) { c.deliver(false) },
			"lose":    func(*rapid.T) { c.drop() },
			"forget":  func(*rapid.T) { c.pickLive().keeper.Sweep(c.now) },
			"wait":    func(*rapid.T) { c.wait() },
			"restart": func(*rapid.T) { c.restart() },
			"remove":  func(*rapid.T) { c.remove() },
			"learn":   func(*rapid.T) { c.updateView() },
		}
		for i := range 6 {
			actions[fmt.Sprint("generate", i)] = func(*rapid.T) { c.generate() }
			actions[fmt.Sprint("deliver", i)] = func(*rapid.T) { c.deliver(true) }
			actions[fmt.Sprint("flow", i)] = func(*rapid.T) { c.deliverInOrder() }
		}
		t.Repeat(actions)
		released += len(c.released)
	})
	want := 1000
	if testing.Short() {
		want /= 5 // rapid runs a fifth of the steps in short mode
	}
	if released < want {
		t.Errorf("got %d released tokens in all runs, too few for the schedules to cover the failures", released)
	}
	t.Logf("%d tokens released", released)
}

// generate appends a unique token, which exposes a splice of two owners' answers
// at its first index.
func (c *modelCluster) generate() {
	router := c.pickRouter()
	if router.owner == nil {
		c.t.Skip("journal is not open")
	}
	c.token++
	n, from := router.owner.BeginAttempt()
	_ = router.owner.Append(n.Number, Span{From: from, Tokens: []int32{c.token}, Texts: []string{"t"}}, "", Usage{})
	c.write(router)
}

// deliverInOrder delivers up to 20 messages in order and without faults.
func (c *modelCluster) deliverInOrder() {
	for range min(20, len(c.inFlight)) {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if m.onReply != nil {
			m.onReply()
			continue
		}
		for _, p := range c.procs {
			if p.VM == m.to.VM && !p.dead {
				m.handle(p)
				m.onReply()
			}
		}
	}
}

// wait advances the time and drops messages that have expired in flight.
func (c *modelCluster) wait() {
	c.now = c.now.Add(time.Duration(1+c.pick("seconds", 40)) * time.Second)
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m *message) bool { return c.now.Sub(m.sent) > messageLifetime })
}

func (c *modelCluster) drop() {
	if len(c.inFlight) == 0 {
		c.t.Skip("no message in flight")
	}
	i := c.pick("message", len(c.inFlight))
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
}

// restart restarts a VM without its memory. The list of VMs includes the new
// incarnation at once or with a later change.
func (c *modelCluster) restart() {
	c.skipMostly()
	i := c.pick("vm", len(c.procs))
	c.procs[i].dead = true
	c.procs[i] = c.process(i)
	if rapid.Bool().Draw(c.t, "committed") {
		c.commit()
	}
}

// skipMostly skips three of four calls: more faults would leave no majority
// anywhere.
func (c *modelCluster) skipMostly() {
	if c.pick("seldom", 4) > 0 {
		c.t.Skip("fault skipped")
	}
}

func (c *modelCluster) remove() {
	c.skipMostly()
	alive := 0
	for _, p := range c.procs {
		if !p.dead {
			alive++
		}
	}
	if alive <= 3 {
		c.t.Skip("too few VMs are alive")
	}
	c.pickLive().dead = true
	c.commit()
}

// updateView gives a VM the newest list. Its owners then move their journals.
func (c *modelCluster) updateView() {
	p := c.pickLive()
	if p.version == len(c.views)-1 {
		c.t.Skip("list is up to date")
	}
	p.version = len(c.views) - 1
	for _, router := range c.routers {
		if router.p != p || router.owner == nil || router.owner.Deposed() {
			continue
		}
		router.owner.BeginSeal()
		c.requestPromises(router)
	}
}
