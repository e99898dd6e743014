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

// FollowedParts are the parts that every VM follows, in the order in which changes are
// told: which versions may run a request is known before its route is.
var FollowedStateMachines = []StateMachineID{PlansStateMachine, FleetStateMachine, MembersStateMachine, RolloutsStateMachine, RoutesStateMachine}

// Timings of a watch.
const (
	// batchWindow gathers polls for one confirmation: with 66 VMs at a voter a
	// poll each would ask the leader a hundred times a second.
	batchWindow = 250 * time.Millisecond
	// hurryWindow gathers polls that report a new version, for which an operator
	// waits, or that need their lease, after another voter failed them.
	hurryWindow = 5 * time.Millisecond
	// confirmSoon is how long a poll that needs its lease waits for it before it is
	// told what has changed: the usual round trips, with some load on them.
	confirmSoon = 100 * time.Millisecond
	// confirmTimeout outlasts a leader change of about half a second.
	confirmTimeout = 1500 * time.Millisecond
)

// holdFor is how long a voter holds a poll that has nothing to tell. A quarter
// of the lease: a VM whose voter falls silent has the time to ask another.
func holdFor(lease time.Duration) time.Duration { return lease / 4 }

type pollRequest struct {
	Versions map[StateMachineID]uint64 `cbor:"1,keyasint"`
	// NeedLease: answer with a confirmation, as long as one can be had. Without it a
	// stream of changes could keep a VM busy and let its lease run out.
	NeedLease bool `cbor:"2,keyasint,omitempty"`
}

type pollReply struct {
	Confirmed bool         `cbor:"1,keyasint,omitempty"`
	Changes   []partChange `cbor:"2,keyasint,omitempty"`
	Group     string       `cbor:"3,keyasint"`
}

type partChange struct {
	Part    StateMachineID `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Value   bulk.Value     `cbor:"3,keyasint"`
}

// watchServer answers the polls of the VMs that chose this voter.
type watchServer struct {
	g      *Group
	leader *RemoteClient

	mu      sync.Mutex
	closed  bool
	batch   *confirmation
	cache   map[changeKey]partChange
	known   map[string]map[StateMachineID]uint64 // what the VMs reported last
	pending sync.WaitGroup
}

// confirmation is one round for many polls.
type confirmation struct {
	polls []pollReport
	// urgent: a lease is near its end, the next heartbeat would be late.
	urgent bool
	hurry  chan struct{} // buffered
	done   chan struct{}
	index  uint64
	err    error
}

// changeKey names a change by what a VM holds before it.
type changeKey struct {
	part  StateMachineID
	since uint64
}

// maxCachedChanges is how many different versions the VMs may be behind by before
// changes are encoded again.
const maxCachedChanges = 16

func newWatchServer(g *Group) *watchServer {
	return &watchServer{
		g: g, leader: NewRemoteClient(g.o.Transport, g.o.VM, g.o.controlVMs),
		cache: map[changeKey]partChange{}, known: map[string]map[StateMachineID]uint64{},
	}
}

// close waits for the rounds under way; a poll that comes later starts none.
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
	a := &watchAnswer{w: w, q: &q, done: conf.done}
	hold := time.NewTimer(holdFor(w.g.o.Lease))
	defer hold.Stop()
	overdue := time.NewTimer(confirmSoon)
	defer overdue.Stop()
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
			// The state must hold what the confirmation covers before it counts.
			if err := w.g.node.WaitApplied(ctx, conf.index); err != nil {
				return nil, err
			}
			a.done, a.confirmed = nil, true
		case <-overdue.C:
			a.overdue = true
		case <-hold.C:
			a.over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.g.ctx.Done():
			return nil, result.New(result.ShuttingDown)
		}
	}
}

// watchAnswer is a poll that is being answered.
type watchAnswer struct {
	w    *watchServer
	q    *pollRequest
	done <-chan struct{} // the confirmation's; nil once it is there

	confirmed bool
	overdue   bool // the confirmation is late
	over      bool // the hold is
}

// reply returns the answer if there is one by now.
func (a *watchAnswer) reply() (pollReply, bool) {
	changes := a.changes()
	wanted := a.confirmed || a.overdue || !a.q.NeedLease
	if wanted && len(changes) > 0 || a.confirmed && (a.over || a.q.NeedLease) {
		return a.w.reply(a.confirmed, changes), true
	}
	return pollReply{}, false
}

// changes are those that may be told now. A VM without a lease that holds nothing is
// told nothing before a majority confirms it: this voter may lack what was
// acknowledged, and a VM that has just started would serve by that. One that holds an
// older version is better off with a newer one, which is committed: it would else go
// on by the old one for as long as there is no majority.
func (a *watchAnswer) changes() []partChange {
	if a.confirmed || !a.q.NeedLease {
		return a.w.changes(a.q.Versions)
	}
	held := maps.Clone(a.q.Versions)
	maps.DeleteFunc(held, func(_ StateMachineID, version uint64) bool { return version == 0 })
	return a.w.changes(held)
}

// unconfirmed answers a poll that no majority confirms.
func (a *watchAnswer) unconfirmed() (any, error) {
	if changes := a.changes(); len(changes) > 0 {
		return a.w.reply(false, changes), nil
	}
	return nil, result.New(result.ControlUnavail)
}

func (w *watchServer) reply(confirmed bool, changes []partChange) pollReply {
	return pollReply{Confirmed: confirmed, Changes: changes, Group: w.g.node.Group()}
}

// changes returns what is newer here. A voter that is behind the VM sends
// nothing: what a VM applies never goes back.
func (w *watchServer) changes(held map[StateMachineID]uint64) []partChange {
	var out []partChange
	versions := w.g.o.State.Versions(FollowedStateMachines)
	for _, part := range FollowedStateMachines {
		version := versions[part]
		if _, follows := held[part]; !follows || version <= held[part] {
			continue
		}
		c, err := w.change(part, held[part])
		if err != nil {
			w.g.o.Log.Error().Err(err).Uint8("part", uint8(part)).Msg("change not encoded")
			continue
		}
		out = append(out, c)
	}
	return out
}

// change encodes a part's change once for all VMs that hold the same version.
func (w *watchServer) change(part StateMachineID, since uint64) (partChange, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := changeKey{part, since}
	c, cached := w.cache[key]
	var data []byte
	w.g.o.State.Read(part, func(p StateMachine) {
		if cached && c.Version == p.Version() && w.g.o.Values.StillOffers(c.Value) {
			return
		}
		c, data = partChange{Part: part, Version: p.Version()}, p.Changes(since)
	})
	if data == nil {
		return c, nil
	}
	var err error
	if c.Value, err = w.g.o.Values.Offer(data); err != nil {
		return partChange{}, err
	}
	if !cached && len(w.cache) >= maxCachedChanges {
		clear(w.cache)
	}
	w.cache[key] = c
	return c, nil
}

// confirm adds a poll to the round that is gathering.
func (w *watchServer) confirm(p pollReport, needLease bool) *confirmation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		c := &confirmation{done: make(chan struct{}), err: consensus.ErrClosed}
		close(c.done)
		return c
	}
	if w.batch == nil {
		c := &confirmation{done: make(chan struct{}), hurry: make(chan struct{}, 1)}
		w.batch = c
		w.pending.Go(func() { w.run(c) })
	}
	w.batch.polls = append(w.batch.polls, p)
	w.batch.urgent = w.batch.urgent || needLease
	if needLease || !maps.Equal(w.known[p.VM], p.Versions) {
		w.known[p.VM] = p.Versions
		select {
		case w.batch.hurry <- struct{}{}:
		default:
		}
	}
	return w.batch
}

func (w *watchServer) run(c *confirmation) {
	ctx, cancel := context.WithTimeout(w.g.ctx, batchWindow+confirmTimeout)
	defer cancel()
	defer close(c.done)
	c.err = gather(ctx, c.hurry)
	// Only polls that arrived before the round begins may rely on it.
	w.mu.Lock()
	w.batch = nil
	w.mu.Unlock()
	if c.err != nil {
		return
	}
	out, err := w.leader.ask(ctx, request{Op: opWatched, Polls: c.polls, Urgent: c.urgent})
	c.index, c.err = out.Index, err
}

// gather waits for the window's end.
func gather(ctx context.Context, hurry <-chan struct{}) error {
	select {
	case <-time.After(batchWindow):
		return nil
	case <-hurry:
		return timer.Sleep(ctx, hurryWindow)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watched confirms, on the leader, a voter's batch of polls. Unless it is urgent
// the read rides on the next regular heartbeat and costs no message of its own.
func (g *Group) watched(ctx context.Context, q request) reply {
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

// inForce waits on the leader for every VM's report, for a hold's time.
func (g *Group) inForce(ctx context.Context, q request) reply {
	hold := time.NewTimer(holdFor(g.o.Lease))
	defer hold.Stop()
	for {
		st, _ := g.node.Status()
		done, changed := g.tracker.inForce(st.Term, q.Part, q.Version)
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

// ErrNoTracking reports a Client that cannot tell what is in force.
var ErrNoTracking = errors.New("control: this client does not track what is in force")

// InForce returns once every VM applies the version of a part, or may no longer
// admit work by an older one because its lease has run out. The version must be
// committed already. The error is ctx's.
func WaitInForce(ctx context.Context, c Client, part StateMachineID, version uint64) error {
	t, ok := c.(interface {
		inForce(ctx context.Context, part StateMachineID, version uint64) error
	})
	if !ok {
		return ErrNoTracking
	}
	return t.inForce(ctx, part, version)
}

// inForce needs no answer from the leader in the worst case: leases given before
// the commit have run out by then on every VM, a VM that is cut off included.
func (r *RemoteClient) inForce(ctx context.Context, part StateMachineID, version uint64) error {
	limit, cancel := context.WithTimeout(ctx, outlived(r.lease))
	defer cancel()
	for limit.Err() == nil {
		out, err := r.ask(limit, request{Op: opInForce, Part: part, Version: version})
		if err == nil && out.InForce {
			return nil
		}
	}
	return ctx.Err()
}

func (s *LocalClient) inForce(context.Context, StateMachineID, uint64) error { return nil }
