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

// Timings. Between zones a message takes one to several milliseconds and a sync
// of a small VM's disk up to some tens. Three heartbeats are lost in a row before
// an election starts at the earliest; a new leader stands about half a second
// after the old died. With a heartbeat each 100 ms the leader of five voters spent
// 11.4 KB/s while idle, more than the 11 KB/s that a VM has for control.
const (
	// A tick is about a round trip between zones: two candidates whose timeouts
	// differ by one seldom split the vote. With ticks of 50 ms one change of leader
	// in eight took a second election.
	tickEvery      = 10 * time.Millisecond
	heartbeatTicks = 15 // 150 ms
	electionTicks  = 45 // 450 to 900 ms
	eagerTicks     = 5  // between candidacies at the first start: nobody leads yet
	// firstTicks: 100 to 300 ms after a start. A voter that restarts alone hears its
	// leader's heartbeat before.
	firstTicks = 10
)

// Queue bounds of a Node.
const (
	inboxMessages  = 4096
	proposalsQueue = 4096
	// batchLimit is how many proposals and messages one pass takes before it
	// syncs: the group commit.
	batchLimit = 2048
)

// NodeOptions are the options of a Node.
type NodeOptions struct {
	VM  string
	VMs []string // every VM with the control role, this one included
	// Known, if set, names further control VMs that are known now. The group is
	// formed by VMs alone, and joined through either.
	KnownVMs func() []string
	// JoinOnly: a group exists, or has existed. This member never forms one: with
	// an empty folder it would begin a second history beside the first.
	JoinOnly bool
	// Target is how many voters the group keeps when one of them has fallen
	// silent; 0: none is ever removed.
	TargetVoters int
	Dir          string // folder of the log; created
	FS           wal.FS // nil: the operating system's
	// Transport reaches the other VMs by id.
	Transport    peer.Transport
	StateMachine StateMachine
	Log          zerolog.Logger
	// Failed is called once, when the member cannot go on: a failed sync, a
	// damaged log. The process must end.
	OnFailure func(error)
}

// Node is one member of the group: Core, disk, links and state machine.
type Node struct {
	o      NodeOptions
	store  *storage
	core   *Core
	apply  *applier
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	failed sync.Once

	inbox     chan Message
	proposals chan proposal
	ops       chan func()
	running   chan struct{} // closed when the member is in a group

	group     atomic.Value // string
	formingAs atomic.Value // MemberID, while no group is known
	status    atomic.Pointer[Status]

	// Of the loop alone.
	waiting  map[uint64]proposal
	reads    map[uint64]chan<- readOutcome
	nextRead uint64
	ledTerm  uint64 // term in which waiting and reads were taken
	eager    bool   // campaign at once until a leader stands
	ticks    int

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

// NewNode registers the member's message handlers; Start opens its disk.
func NewNode(o NodeOptions) *Node {
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	n := &Node{
		o: o, inbox: make(chan Message, inboxMessages), proposals: make(chan proposal, proposalsQueue),
		ops: make(chan func(), batchLimit), running: make(chan struct{}),
		waiting: map[uint64]proposal{}, reads: map[uint64]chan<- readOutcome{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.group.Store("")
	n.handle()
	return n
}

// Start opens the log, restores the state machine and joins or forms the group
// in the background. It returns an error where the folder is not usable.
func (n *Node) Start() error {
	store, state, err := openStorage(n.o.FS, n.o.Dir, n.o.VM, strings.ToLower(rand.Text()[:10]))
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
	n.group.Store(store.who.Group)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.run(state)
	}()
	return nil
}

func (n *Node) run(state State) {
	if n.store.who.Group == "" {
		formed, ok := n.form()
		if !ok {
			return
		}
		state = formed
	}
	n.core = NewCore(Options{
		ID: n.store.who.ID, ElectionTicks: electionTicks, FirstElectionTicks: firstTicks, HeartbeatTicks: heartbeatTicks, Rand: mathrand.IntN,
	}, state)
	n.apply = newApplier(n.o.StateMachine, n.store, state.Applied, n.core.log.configUpTo(state.Applied))
	n.apply.compact, n.apply.fail = n.handOverSnapshot, n.fail
	// Alone there is nobody to wait for.
	config := n.core.Config()
	n.eager = n.eager || len(config.Voters) == 1 && config.IsVoter(n.store.who.ID)
	n.publish()
	close(n.running)
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		n.apply.run(n.ctx)
	}()
	go func() {
		defer n.wg.Done()
		n.keepJoined()
	}()
	n.loop()
}

func (n *Node) loop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer n.failWaiting(ErrClosed)
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
		n.eager = false
	case n.eager && n.ticks%eagerTicks == 0:
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
		n.o.Log.Warn().Str("member", string(id)).Msg("silent voter beyond the group's size loses its vote")
	}
}

// drain takes what else has come, so that one sync serves all of it.
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

// process does what the Core asks for until it asks for nothing more.
func (n *Node) process() error {
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.send(rd.SendBeforeSync)
		if err := n.save(rd); err != nil {
			return err
		}
		n.core.Saved(rd)
		n.send(rd.SendAfterSync)
		n.handCommitted(rd)
		for _, r := range rd.Reads {
			n.finishRead(r.ID, readOutcome{index: r.Index})
		}
		for _, to := range rd.SnapshotTargets {
			n.sendSnapshot(to)
		}
	}
	if len(n.waiting)+len(n.reads) > 0 && (!n.core.IsLeader() || n.core.term != n.ledTerm) {
		n.failWaiting(ErrOutcomeUnknown)
	}
	n.logStepDown()
	n.publish()
	return nil
}

func (n *Node) logRole(before, now Status) {
	n.o.Log.Info().Str("role", now.Role.String()).Str("before", before.Role.String()).Uint64("term", now.Term).
		Str("leader_before", before.Leader.VM()).Uint64("last", now.Last).Uint64("commit", now.Commit).Msg("role in the control group")
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

func (n *Node) handCommitted(rd Ready) {
	var items []work
	if rd.Snapshot != nil {
		items = append(items, work{install: rd.Snapshot})
	}
	for _, e := range rd.Committed {
		w := work{entry: e}
		if p, ok := n.waiting[e.Index]; ok {
			delete(n.waiting, e.Index)
			if p.term == e.Term {
				w.waiter = p.done
			} else {
				p.done <- outcome{err: ErrOutcomeUnknown}
			}
		}
		items = append(items, w)
	}
	n.apply.add(items)
}

func (n *Node) propose(p proposal) {
	if n.apply.backlog.Load() > maxBacklog {
		p.done <- outcome{err: ErrBusy}
		return
	}
	index, term, err := n.core.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term, n.ledTerm = term, term
	n.waiting[index] = p
}

func (n *Node) finishRead(id uint64, out readOutcome) {
	if ch := n.reads[id]; ch != nil {
		delete(n.reads, id)
		ch <- out
	}
}

// failWaiting ends what waits: entries of a deposed leader may be committed by
// the next one or not.
func (n *Node) failWaiting(err error) {
	for index, p := range n.waiting {
		delete(n.waiting, index)
		p.done <- outcome{err: err}
	}
	for id := range n.reads {
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
	n.failed.Do(func() {
		n.o.Log.Error().Err(err).Msg("control member stops")
		n.cancel()
		if n.o.OnFailure != nil {
			go n.o.OnFailure(err)
		}
	})
}

// Close ends the member. What it acknowledged is on its disk.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	if n.store != nil {
		_ = n.store.log.Close()
	}
}
