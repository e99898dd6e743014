package control

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/consensus"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// FollowedStateMachines lists the state machines that every VM follows, in the order in
// which changes are sent. A VM learns which versions and servers may run a request before it
// learns the request's route.
var FollowedStateMachines = []StateMachineID{PlansStateMachine, FleetStateMachine, MembersStateMachine, RolloutsStateMachine, CordonsStateMachine, RoutesStateMachine}

// Timings of a watch.
const (
	// batchWindow collects polls for one confirmation. With 66 VMs at a voter, a
	// confirmation for each poll would send the leader a hundred requests a second.
	batchWindow = 250 * time.Millisecond
	// urgentBatchWindow is how long a voter still collects polls once its batch contains
	// one that cannot wait for batchWindow. This is a poll by a VM that reports other
	// versions than before, for which an operator may be waiting, or by a VM that needs a
	// lease. A VM needs one if half of its lease has passed, or if another voter has
	// refused its poll or not answered in time. The short window lets polls that arrive
	// together share one confirmation.
	urgentBatchWindow = 5 * time.Millisecond
	// unconfirmedReplyDelay is how long a poll that needs a lease waits for the
	// confirmation before it is answered with unconfirmed changes. It covers the usual
	// round trips under some load.
	unconfirmedReplyDelay = 100 * time.Millisecond
	// confirmTimeout is longer than a leader change, which takes about half a second.
	confirmTimeout = 1500 * time.Millisecond
)

// pollHold returns how long a voter holds a poll without changes. It is a quarter of the
// lease, which leaves a VM time to poll another voter when its own falls silent.
func pollHold(lease time.Duration) time.Duration { return lease / 4 }

type pollRequest struct {
	Versions map[StateMachineID]uint64 `cbor:"1,keyasint"`
	// NeedLease requests an answer with a confirmation if one can be obtained. Without
	// it, frequent changes could be answered unconfirmed until the VM's lease expires.
	NeedLease bool `cbor:"2,keyasint,omitempty"`
}

type pollReply struct {
	Confirmed bool          `cbor:"1,keyasint,omitempty"`
	Changes   []stateChange `cbor:"2,keyasint,omitempty"`
	Group     string        `cbor:"3,keyasint"`
}

type stateChange struct {
	StateMachine StateMachineID `cbor:"1,keyasint"`
	Version      uint64         `cbor:"2,keyasint"`
	Value        bulk.Value     `cbor:"3,keyasint"`
}

// watchServer answers the polls of the VMs that follow this voter.
type watchServer struct {
	g      *Group
	leader *RemoteClient

	mu       sync.Mutex
	closed   bool
	batch    *confirmation
	cache    map[changeKey]stateChange
	reported map[string]map[StateMachineID]uint64 // the last versions that the VMs reported
	pending  sync.WaitGroup
}

// confirmation is one request to the leader for a batch of polls.
type confirmation struct {
	polls []pollReport
	// urgent is set if a lease is about to expire; the next heartbeat would be too late.
	urgent bool
	flush  chan struct{} // buffered; ends the batch window early
	done   chan struct{}
	index  uint64
	err    error
}

// changeKey identifies a change by the version that a VM has before it.
type changeKey struct {
	stateMachine StateMachineID
	since        uint64
}

// maxCachedChanges bounds the cached changes. If VMs lag by more different versions, changes
// are encoded repeatedly.
const maxCachedChanges = 16

func newWatchServer(g *Group) *watchServer {
	return &watchServer{
		g: g, leader: NewRemoteClient(g.o.Transport, g.o.VM, g.o.controlVMs),
		cache: map[changeKey]stateChange{}, reported: map[string]map[StateMachineID]uint64{},
	}
}

// close waits for the confirmations in flight. Later polls start no new one.
func (w *watchServer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.pending.Wait()
}

func (w *watchServer) serve(ctx context.Context, from string, body []byte) (any, error) {
	var q pollRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	conf := w.confirm(pollReport{VM: from, Versions: q.Versions}, q.NeedLease)
	a := &pendingPoll{w: w, q: &q, done: conf.done}
	hold := time.NewTimer(pollHold(w.g.o.Lease))
	defer hold.Stop()
	confirmTimer := time.NewTimer(unconfirmedReplyDelay)
	defer confirmTimer.Stop()
	for {
		changed := w.g.o.State.Changed()
		if r, ok := a.reply(); ok {
			return r, nil
		}
		select {
		case <-changed:
		case <-a.done:
			if conf.err != nil {
				return a.unconfirmed()
			}
			// The confirmation counts once the local state includes its index.
			if err := w.g.node.WaitApplied(ctx, conf.index); err != nil {
				return nil, err
			}
			a.done, a.confirmed = nil, true
		case <-confirmTimer.C:
			a.confirmLate = true
		case <-hold.C:
			a.holdElapsed = true
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.g.ctx.Done():
			return nil, result.New(result.ShuttingDown)
		}
	}
}

// pendingPoll is a poll that has not been answered yet.
type pendingPoll struct {
	w    *watchServer
	q    *pollRequest
	done <-chan struct{} // closed at the confirmation; nil once it has been processed

	confirmed   bool
	confirmLate bool // unconfirmedReplyDelay has passed
	holdElapsed bool // pollHold has passed
}

// reply returns the answer if it can be given now.
func (a *pendingPoll) reply() (pollReply, bool) {
	changes := a.changes()
	mayAnswer := a.confirmed || a.confirmLate || !a.q.NeedLease
	if mayAnswer && len(changes) > 0 || a.confirmed && (a.holdElapsed || a.q.NeedLease) {
		return a.w.reply(a.confirmed, changes), true
	}
	return pollReply{}, false
}

// changes returns the changes that may be sent now. A VM that needs a lease and has no
// version of a state machine receives none before a majority confirms it. This voter may
// lack acknowledged changes, and a VM that has just started would serve requests by the
// state that it receives. A VM with an older version receives the newer one unconfirmed,
// because it is committed. Without it the VM would keep using the old version as long as
// there is no majority.
func (a *pendingPoll) changes() []stateChange {
	if a.confirmed || !a.q.NeedLease {
		return a.w.changes(a.q.Versions)
	}
	held := maps.Clone(a.q.Versions)
	maps.DeleteFunc(held, func(_ StateMachineID, version uint64) bool { return version == 0 })
	return a.w.changes(held)
}

// unconfirmed answers a poll that no majority has confirmed.
func (a *pendingPoll) unconfirmed() (any, error) {
	if changes := a.changes(); len(changes) > 0 {
		return a.w.reply(false, changes), nil
	}
	return nil, result.New(result.ControlUnavail)
}

func (w *watchServer) reply(confirmed bool, changes []stateChange) pollReply {
	return pollReply{Confirmed: confirmed, Changes: changes, Group: w.g.node.Group()}
}

// changes returns the changes since the versions that a VM holds. A voter that lags behind
// the VM sends none, because the versions that a VM applies never go back.
func (w *watchServer) changes(held map[StateMachineID]uint64) []stateChange {
	var out []stateChange
	versions := w.g.o.State.Versions(FollowedStateMachines)
	for _, smID := range FollowedStateMachines {
		version := versions[smID]
		if _, follows := held[smID]; !follows || version <= held[smID] {
			continue
		}
		c, err := w.change(smID, held[smID])
		if err != nil {
			w.g.o.Log.Error().Err(err).Uint8("part", uint8(smID)).Msg("change could not be encoded; leaving it out of the answer")
			continue
		}
		out = append(out, c)
	}
	return out
}

// change returns a state machine's change, encoded once for all VMs that hold the same
// version.
func (w *watchServer) change(smID StateMachineID, since uint64) (stateChange, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := changeKey{smID, since}
	c, cached := w.cache[key]
	var data []byte
	w.g.o.State.Read(smID, func(sm StateMachine) {
		if cached && c.Version == sm.Version() && w.g.o.Values.StillOffers(c.Value) {
			return
		}
		c, data = stateChange{StateMachine: smID, Version: sm.Version()}, sm.Changes(since)
	})
	if data == nil {
		return c, nil
	}
	var err error
	if c.Value, err = w.g.o.Values.Offer(data); err != nil {
		return stateChange{}, err
	}
	if !cached && len(w.cache) >= maxCachedChanges {
		clear(w.cache)
	}
	w.cache[key] = c
	return c, nil
}

// confirm adds a poll to the current batch and returns the confirmation of that batch.
func (w *watchServer) confirm(p pollReport, needLease bool) *confirmation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		c := &confirmation{done: make(chan struct{}), err: consensus.ErrClosed}
		close(c.done)
		return c
	}
	if w.batch == nil {
		c := &confirmation{done: make(chan struct{}), flush: make(chan struct{}, 1)}
		w.batch = c
		w.pending.Go(func() { w.runConfirmation(c) })
	}
	w.batch.polls = append(w.batch.polls, p)
	w.batch.urgent = w.batch.urgent || needLease
	if needLease || !maps.Equal(w.reported[p.VM], p.Versions) {
		w.reported[p.VM] = p.Versions
		select {
		case w.batch.flush <- struct{}{}:
		default:
		}
	}
	return w.batch
}

func (w *watchServer) runConfirmation(c *confirmation) {
	ctx, cancel := context.WithTimeout(w.g.ctx, batchWindow+confirmTimeout)
	defer cancel()
	defer close(c.done)
	c.err = waitForBatch(ctx, c.flush)
	// The batch is closed before the request is sent. Only polls that arrived before it
	// may rely on the confirmation.
	w.mu.Lock()
	w.batch = nil
	w.mu.Unlock()
	if c.err != nil {
		return
	}
	out, err := w.leader.callLeader(ctx, request{Op: opConfirmPolls, Polls: c.polls, Urgent: c.urgent})
	c.index, c.err = out.Index, err
}

// waitForBatch waits until the batch window has passed.
func waitForBatch(ctx context.Context, flush <-chan struct{}) error {
	select {
	case <-time.After(batchWindow):
		return nil
	case <-flush:
		return timer.Sleep(ctx, urgentBatchWindow)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// confirmPolls confirms a voter's batch of polls on the leader. Unless the batch is urgent,
// the read index is confirmed by the next regular heartbeat and needs no extra message.
func (g *Group) confirmPolls(ctx context.Context, q request) reply {
	st, ok := g.node.Status()
	if !ok {
		return reply{Status: statusNotLeader}
	}
	g.tracker.report(st.Term, q.Polls)
	index, err := g.node.ReadIndex(ctx, q.Urgent)
	if err != nil || !g.sameTerm(st.Term) {
		return reply{Status: statusNotLeader, Leader: g.node.Leader()}
	}
	return reply{Status: statusOK, Index: index}
}

func (g *Group) sameTerm(term uint64) bool {
	st, _ := g.node.Status()
	return st.Term == term && g.node.IsLeader()
}

// inForce waits on the leader for the reports of all VMs, for at most pollHold.
func (g *Group) inForce(ctx context.Context, q request) reply {
	hold := time.NewTimer(pollHold(g.o.Lease))
	defer hold.Stop()
	for {
		st, _ := g.node.Status()
		done, changed := g.tracker.inForce(st.Term, q.StateMachine, q.Version)
		if done && g.sameTerm(st.Term) {
			return reply{Status: statusOK, InForce: true}
		}
		select {
		case <-changed:
		case <-hold.C:
			return reply{Status: statusOK}
		case <-ctx.Done():
			return reply{Status: statusOK}
		case <-g.ctx.Done():
			return reply{Status: statusNotLeader}
		}
	}
}

// ErrNoTracking reports a Client that cannot determine which versions are in force.
var ErrNoTracking = errors.New("control: this client does not track what is in force")

// WaitInForce returns once every VM applies the version of a state machine or, after its
// lease has expired, may not admit work under an older version. The version must be
// committed already. The error is ErrNoTracking or that of ctx.
func WaitInForce(ctx context.Context, c Client, smID StateMachineID, version uint64) error {
	tracking, ok := c.(interface {
		waitInForce(ctx context.Context, smID StateMachineID, version uint64) error
	})
	if !ok {
		return ErrNoTracking
	}
	return tracking.waitInForce(ctx, smID, version)
}

// waitInForce succeeds without an answer from the leader after the maximum lease. By then
// the leases granted before the commit have expired on every VM, even on one that is cut
// off.
func (r *RemoteClient) waitInForce(ctx context.Context, smID StateMachineID, version uint64) error {
	limit, cancel := context.WithTimeout(ctx, expiredLease(r.lease))
	defer cancel()
	for limit.Err() == nil {
		out, err := r.callLeader(limit, request{Op: opInForce, StateMachine: smID, Version: version})
		if err == nil && out.InForce {
			return nil
		}
	}
	return ctx.Err()
}

func (s *LocalClient) waitInForce(context.Context, StateMachineID, uint64) error { return nil }
