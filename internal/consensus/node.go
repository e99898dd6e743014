package consensus

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Timings. A message between zones takes one to several milliseconds, and a disk sync
// on a small VM takes up to some tens of milliseconds. An election starts only after
// three consecutive heartbeats are lost. A new leader is elected about half a second
// after the old one failed. With a heartbeat every 100 ms an idle leader of five voters
// sent 11.4 KB/s, which exceeds a VM's budget of 11 KB/s for control traffic.
const (
	// tickInterval is about one round trip between zones. Two candidates whose timeouts
	// differ by one tick then rarely split the vote. With ticks of 50 ms one leader
	// change in eight needed a second election.
	tickInterval       = 10 * time.Millisecond
	heartbeatTicks     = 15 // 150 ms
	electionTicks      = 45 // 450 to 900 ms
	eagerCampaignTicks = 5  // 50 ms between campaigns until a leader is known
	// firstElectionTicks gives a first election timeout of 100 to 300 ms after a start.
	// A voter that restarts alone receives a heartbeat from its leader before that.
	firstElectionTicks = 10
)

// Bounds of a Node's queues and batches.
const (
	inboxCapacity         = 4096
	proposalQueueCapacity = 4096
	// batchLimit bounds the proposals and messages that one pass of the loop processes
	// before one sync (group commit).
	batchLimit = 2048
)

// NodeOptions configure a Node.
type NodeOptions struct {
	VM  string
	VMs []string // every VM with the control role, including this one
	// KnownVMs, if set, returns further control VMs that are known now. Only the VMs in
	// VMs form the group; a member can join through any VM of both lists.
	KnownVMs func() []string
	// JoinOnly is set if a group may exist or have existed. This member then forms a group
	// only if its directory is that of a founder: with an empty directory it would start
	// a second history beside the first.
	JoinOnly bool
	// TargetVoters is the number of voters at which unreachable voters are no longer
	// removed. 0 means that none is ever removed.
	TargetVoters int
	Dir          string // directory of the log; created if it is missing
	FS           wal.FS // nil means the operating system's
	// Transport sends messages to the other VMs by id.
	Transport    peer.Transport
	StateMachine StateMachine
	Log          zerolog.Logger
	// OnFailure is called once, when the member cannot continue because of a failed
	// sync or a damaged log. The process must then exit.
	OnFailure func(error)
}

// Node is one member of the group. It runs a Core with its disk, its connections to
// the other members and its state machine.
type Node struct {
	o        NodeOptions
	store    *storage
	core     *Core
	applier  *applier
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	failOnce sync.Once

	inbox     chan Message
	proposals chan proposal
	ops       chan func()
	running   chan struct{} // closed once the member is in a group

	firstConfig *Config // the group's first membership, or nil; set before running is closed

	group               atomic.Value             // string
	identityBeforeGroup atomic.Pointer[identity] // a copy; set while the member looks for a group
	status              atomic.Pointer[Status]
	leaving             atomic.Bool // the member gives up its vote and requests none

	// Used only by the protocol loop.
	pendingProposals map[uint64]proposal
	pendingReads     map[uint64]chan<- readOutcome
	lastReadID       uint64
	pendingTerm      uint64 // term in which pendingProposals and pendingReads were accepted
	eagerElection    bool   // campaign every eagerCampaignTicks until a leader is known
	ticks            int

	chunks chunkBuffer
}

type proposal struct {
	data []byte
	term uint64
	done chan outcome
}

type readOutcome struct {
	index uint64
	err   error
}

// NewNode returns a Node and registers its message handlers. Start opens its disk.
func NewNode(o NodeOptions) *Node {
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	n := &Node{
		o: o, inbox: make(chan Message, inboxCapacity), proposals: make(chan proposal, proposalQueueCapacity),
		ops: make(chan func(), batchLimit), running: make(chan struct{}),
		pendingProposals: map[uint64]proposal{}, pendingReads: map[uint64]chan<- readOutcome{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.group.Store("")
	n.registerHandlers()
	return n
}

// Start opens the log, restores the state machine and joins or forms the group in the
// background. It returns an error if the directory is not usable.
func (n *Node) Start() error {
	var founders []string
	if !n.o.JoinOnly {
		founders = n.o.VMs
	}
	store, state, err := openStorage(n.o.FS, n.o.Dir, n.o.VM, strings.ToLower(rand.Text()[:10]), founders)
	if err != nil {
		return err
	}
	n.store = store
	if store.snap.Index > 0 {
		f, err := store.readSnapshot(store.snap)
		if err == nil {
			err = n.o.StateMachine.Restore(f.Data)
		}
		if err != nil {
			return errors.Join(err, store.log.Close())
		}
	}
	n.group.Store(store.identity.Group)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.run(state)
	}()
	return nil
}

func (n *Node) run(state State) {
	if n.store.identity.Group == "" {
		formed, ok := n.joinOrForm()
		if !ok {
			return
		}
		state = formed
	}
	n.core = NewCore(Options{
		ID: n.store.identity.ID, ElectionTicks: electionTicks, FirstElectionTicks: firstElectionTicks, HeartbeatTicks: heartbeatTicks, Rand: mathrand.IntN,
	}, state)
	n.applier = newApplier(n.o.StateMachine, n.store, state.Applied, n.core.log.configUpTo(state.Applied))
	n.applier.saveSnapshot, n.applier.fail = n.saveSnapshot, n.fail
	// A single voter has no leader to wait for.
	config := n.core.Config()
	n.eagerElection = n.eagerElection || len(config.Voters) == 1 && config.IsVoter(n.store.identity.ID)
	n.firstConfig = firstConfig(state)
	n.publish()
	close(n.running)
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		n.applier.run(n.ctx)
	}()
	go func() {
		defer n.wg.Done()
		n.maintainMembership()
	}()
	n.loop()
}

func (n *Node) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer n.failPending(ErrClosed)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.tick()
		case m := <-n.inbox:
			n.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case f := <-n.ops:
			f()
		}
		n.drain()
		if err := n.process(); err != nil {
			n.fail(err)
			return
		}
	}
}

func (n *Node) tick() {
	n.core.Tick()
	n.ticks++
	switch {
	case n.core.Leader() != "":
		n.eagerElection = false
	case n.eagerElection && n.ticks%eagerCampaignTicks == 0:
		n.core.Campaign()
	}
	if n.o.TargetVoters > 0 && n.ticks%electionTicks == 0 {
		n.removeSurplus()
	}
}

func (n *Node) removeSurplus() {
	id := n.core.SurplusVoter(n.o.TargetVoters)
	if id == "" {
		return
	}
	if _, _, err := n.core.ProposeChange(Change{Remove, id}); err == nil {
		n.o.Log.Warn().Str("member", string(id)).Msg("removing the vote of an unreachable voter; the group has more voters than its target")
	}
}

// drain processes the queued messages, proposals and functions, so that a single sync
// covers all of them.
func (n *Node) drain() {
	for range batchLimit {
		select {
		case m := <-n.inbox:
			n.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case f := <-n.ops:
			f()
		default:
			return
		}
	}
}

// process performs the work of each Ready until the Core has none left.
func (n *Node) process() error {
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.send(rd.SendBeforeSync)
		if err := n.save(rd); err != nil {
			return err
		}
		n.core.Saved(rd)
		n.send(rd.SendAfterSync)
		n.applyCommitted(rd)
		for _, r := range rd.Reads {
			n.finishRead(r.ID, readOutcome{index: r.Index})
		}
		for _, to := range rd.SnapshotTargets {
			n.sendSnapshot(to)
		}
	}
	if len(n.pendingProposals)+len(n.pendingReads) > 0 && (!n.core.IsLeader() || n.core.term != n.pendingTerm) {
		n.failPending(ErrOutcomeUnknown)
	}
	n.logStepDown()
	n.publish()
	return nil
}

func (n *Node) logRole(before, now Status) {
	n.o.Log.Info().Str("role", now.Role.String()).Str("before", before.Role.String()).Uint64("term", now.Term).
		Str("leader_before", before.Leader.VM()).Uint64("last", now.Last).Uint64("commit", now.Commit).Msg("role in the control group changed")
}

func (n *Node) logStepDown() {
	if r := n.core.TakeStepDown(); r != nil {
		n.o.Log.Warn().Uint64("term", r.Term).Int("answered", r.Answered).Int("quorum", r.Quorum).
			Int("uncommitted_bytes", r.UncommittedBytes).Int("sent_bytes", r.InFlightBytes).
			Msg("leader without answers from a majority steps down")
	}
}

func (n *Node) save(rd Ready) error {
	switch {
	case rd.Snapshot != nil:
		return n.store.checkpoint(record{Hard: rd.Hard, Entries: rd.Entries, Base: rd.Snapshot, Snap: rd.Snapshot})
	case rd.MustSync:
		return n.store.append(record{Hard: rd.Hard, Entries: rd.Entries})
	}
	return nil
}

func (n *Node) applyCommitted(rd Ready) {
	var items []applyItem
	if rd.Snapshot != nil {
		items = append(items, applyItem{install: rd.Snapshot})
	}
	for _, e := range rd.Committed {
		item := applyItem{entry: e}
		if p, ok := n.pendingProposals[e.Index]; ok {
			delete(n.pendingProposals, e.Index)
			if p.term == e.Term {
				item.waiter = p.done
			} else {
				p.done <- outcome{err: ErrOutcomeUnknown}
			}
		}
		items = append(items, item)
	}
	n.applier.enqueue(items)
}

func (n *Node) propose(p proposal) {
	if n.applier.backlog.Load() > maxBacklogEntries {
		p.done <- outcome{err: ErrBusy}
		return
	}
	index, term, err := n.core.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term, n.pendingTerm = term, term
	n.pendingProposals[index] = p
}

func (n *Node) finishRead(id uint64, out readOutcome) {
	if ch := n.pendingReads[id]; ch != nil {
		delete(n.pendingReads, id)
		ch <- out
	}
}

// failPending fails all pending proposals with err and all pending reads with
// ErrNotLeader. The next leader may or may not commit the entries of a deposed one.
func (n *Node) failPending(err error) {
	for index, p := range n.pendingProposals {
		delete(n.pendingProposals, index)
		p.done <- outcome{err: err}
	}
	for id := range n.pendingReads {
		n.finishRead(id, readOutcome{err: ErrNotLeader})
	}
}

func (n *Node) publish() {
	s := n.core.Status()
	if before := n.status.Swap(&s); before != nil && before.Role != s.Role {
		n.logRole(*before, s)
	}
}

func (n *Node) fail(err error) {
	n.failOnce.Do(func() {
		n.o.Log.Error().Err(err).Msg("member of the control group failed and stops")
		n.cancel()
		if n.o.OnFailure != nil {
			go n.o.OnFailure(err)
		}
	})
}

// Close stops the member. Everything that it acknowledged is on its disk.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	if n.store != nil {
		_ = n.store.log.Close()
	}
}
