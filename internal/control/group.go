package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/consensus"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// maxCommandBytes bounds a command. Every voter writes it to disk and sends it in one
// message over the link that also carries heartbeats. The largest command is a route list
// with thousands of workspaces.
const maxCommandBytes = 8 << 20

// GroupOptions configures a Group.
type GroupOptions struct {
	VM           string
	Voters       []string        // VMs with the control role, this one included
	KnownVMs     func() []string // further control VMs that are currently known; nil: none
	JoinOnly     bool            // never form a group, because one exists already
	TargetVoters int             // number of voters to keep when one falls silent; 0: never remove a voter
	Dir          string          // directory of the member's log
	FS           wal.FS          // nil: the operating system's
	Transport    peer.Transport
	// Values stores the large changes that other VMs fetch. Its owner serves it. nil:
	// the Group creates and serves a store itself.
	Values    *bulk.Store
	State     *ReplicatedState
	Lease     time.Duration // freshness lease of the VMs that follow
	Log       zerolog.Logger
	OnFailure func(error) // called when the log is unusable; the process must then end
}

// controlVMs returns all control VMs that are currently known.
func (o *GroupOptions) controlVMs() []string {
	if o.KnownVMs == nil {
		return o.Voters
	}
	all := slices.Concat(o.Voters, o.KnownVMs())
	slices.Sort(all)
	return slices.Compact(all)
}

// Group is a control VM's side of the control group. It consists of the VM's
// consensus.Node and the service for the VMs that propose and follow.
type Group struct {
	o    GroupOptions
	node *consensus.Node
	// ctx ends when the Group is closed.
	ctx      context.Context
	stop     context.CancelFunc
	watch    *watchServer
	tracker  *tracker
	inflight inflightProposals
	uploads  uploads
}

// NewGroup returns a Group and registers its message handlers. The state machines must be
// registered before Start, which replays the log into them.
func NewGroup(o GroupOptions) *Group {
	if o.Values == nil {
		o.Values = bulk.NewStore()
		o.Transport.Handle(peer.KindPiece, o.Values.Serve)
	}
	g := &Group{o: o, tracker: newTracker(o.Lease)}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.node = consensus.NewNode(consensus.NodeOptions{
		VM: o.VM, VMs: o.Voters, KnownVMs: o.KnownVMs, JoinOnly: o.JoinOnly, TargetVoters: o.TargetVoters, Dir: o.Dir, FS: o.FS, Transport: o.Transport, StateMachine: o.State, Log: o.Log, OnFailure: o.OnFailure,
	})
	g.watch = newWatchServer(g)
	o.Transport.Handle(peer.KindControl, g.serve)
	o.Transport.Handle(peer.KindWatch, g.watch.serve)
	return g
}

// Start opens the log and joins or forms the group in the background. It returns an error
// if the data directory is not usable.
func (g *Group) Start() error { return g.node.Start() }

// leadershipTransferTimeout bounds the delay of a shutdown. After it the other members
// elect a leader without a transfer.
const leadershipTransferTimeout = 500 * time.Millisecond

// TransferLeadership transfers the leadership to another voter before a planned shutdown,
// which spares the other members the election timeout. It does nothing on a follower.
func (g *Group) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	g.node.TransferLeadership(ctx)
}

// giveUpVoteTimeout bounds the delay of a shutdown by a leave. It allows for an election
// and for a change of membership that is in progress.
const giveUpVoteTimeout = 2 * time.Second

// GiveUpVote gives up the member's vote before a planned shutdown if the group has more
// voters than its target. A member that is only restarted joins again.
func (g *Group) GiveUpVote(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpVoteTimeout)
	defer cancel()
	g.node.GiveUpVote(ctx)
}

// Close stops the member and ends all requests that wait for it.
func (g *Group) Close() {
	g.stop()
	g.node.Close()
	g.watch.close()
}

// Status returns the state of the member, or false while it has not joined a group.
func (g *Group) Status() (consensus.Status, bool) { return g.node.Status() }

// MemberStats holds the metrics of a control VM's member.
type MemberStats struct {
	Member   string   `cbor:"1,keyasint" json:"member"`
	Role     string   `cbor:"2,keyasint" json:"role"`
	Term     uint64   `cbor:"3,keyasint" json:"term"`
	Commit   uint64   `cbor:"4,keyasint" json:"commit"`
	Applied  uint64   `cbor:"5,keyasint" json:"applied"`
	Last     uint64   `cbor:"6,keyasint" json:"last"`
	Snapshot uint64   `cbor:"7,keyasint" json:"snapshot"`
	Voters   []string `cbor:"8,keyasint" json:"voters"`
	Learners []string `cbor:"9,keyasint" json:"learners"`
	// LagEntries is set on the leader: the number of log entries that each other member
	// lacks.
	LagEntries map[string]uint64 `cbor:"10,keyasint" json:"behind,omitempty"`
}

// Stats returns the current metrics.
func (g *Group) Stats() MemberStats {
	st, ok := g.node.Status()
	if !ok {
		return MemberStats{Role: "joining"}
	}
	out := MemberStats{
		Member: string(st.ID), Role: st.Role.String(), Term: st.Term, Commit: st.Commit,
		Applied: g.node.Applied(), Last: st.Last, Snapshot: st.Snapshot,
	}
	for _, id := range st.Config.Voters {
		out.Voters = append(out.Voters, string(id))
	}
	for _, id := range st.Config.Learners {
		out.Learners = append(out.Learners, string(id))
	}
	if len(st.Match) > 0 {
		out.LagEntries = map[string]uint64{}
	}
	for id, match := range st.Match {
		out.LagEntries[string(id)] = st.Last - min(match, st.Last)
	}
	return out
}

// IsLeader reports whether this VM believes that it is the leader. A deposed leader may not
// know it yet.
func (g *Group) IsLeader() bool { return g.node.IsLeader() }

func (g *Group) serve(ctx context.Context, from string, body []byte) (any, error) {
	var q request
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if !g.node.IsLeader() {
		return reply{Status: statusNotLeader, Leader: g.node.Leader()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	switch q.Op {
	case opPropose:
		return g.inflight.join(ctx, q.ID, func() reply { return g.propose(q) }), nil
	case opPiece:
		return g.handlePiece(ctx, from, q), nil
	case opOffer:
		return g.handleOffer(ctx, q.ID), nil
	case opRead:
		return g.read(ctx), nil
	case opInForce:
		return g.inForce(ctx, q), nil
	case opConfirmPolls:
		return g.confirmPolls(ctx, q), nil
	case opRemove:
		return g.remove(ctx, q.VM), nil
	case opMembers:
		return g.members(), nil
	}
	return reply{Status: statusRefused, Error: "control: unknown operation"}, nil
}

func (g *Group) remove(ctx context.Context, vm string) reply {
	err := g.node.Remove(ctx, vm)
	switch {
	case err == nil, errors.Is(err, consensus.ErrNoMember):
		return reply{Status: statusOK}
	case errors.Is(err, consensus.ErrBadChange):
		return reply{Status: statusRefused, Error: err.Error()}
	case errors.Is(err, consensus.ErrNotLeader):
		return reply{Status: statusNotLeader, Leader: g.node.Leader()}
	}
	return reply{Status: statusBusy}
}

func (g *Group) members() reply {
	body, err := codec.Marshal(g.Stats())
	if err != nil {
		return reply{Status: statusRefused, Error: err.Error()}
	}
	return reply{Status: statusOK, Body: body}
}

// handlePiece collects the pieces of a large command and proposes it once it is complete.
func (g *Group) handlePiece(ctx context.Context, from string, q request) reply {
	if q.Total > maxCommandBytes {
		return reply{Status: statusRefused, Error: "control: command too large"}
	}
	command, s := g.uploads.add(from, q, time.Now())
	if command == nil {
		return reply{Status: s}
	}
	complete := request{Op: opPropose, StateMachine: q.StateMachine, ID: q.ID, Body: command, Packed: q.Packed}
	return g.inflight.join(ctx, q.ID, func() reply { return g.propose(complete) })
}

// handleOffer returns the outcome of a proposal that is in flight here or was executed,
// and otherwise requests its body.
func (g *Group) handleOffer(ctx context.Context, id string) reply {
	if out, ok := g.inflight.wait(ctx, id); ok {
		return out
	}
	if body, ok := g.o.State.CachedReply(id); ok {
		return reply{Status: statusOK, Body: body}
	}
	return reply{Status: statusWanted}
}

// propose stamps a command with the group's clock and commits it. The clock never goes
// back after a leader change, because ReplicatedState takes the maximum of both values.
// propose returns when the command is executed or the leadership is lost.
func (g *Group) propose(q request) reply {
	at := max(time.Now().UnixMilli(), g.o.State.NowMS())
	envelope := Envelope{StateMachine: q.StateMachine, ID: q.ID, AtMS: at}
	if q.Packed {
		envelope.Packed = q.Body
	} else {
		envelope.Body = q.Body
	}
	entry, err := codec.Marshal(envelope)
	if err != nil {
		return reply{Status: statusRefused, Error: err.Error()}
	}
	if len(entry) > maxCommandBytes {
		return reply{Status: statusRefused, Error: "control: command too large"}
	}
	g.logLarge(q, len(entry))
	out, err := g.node.Propose(g.ctx, entry)
	switch {
	case err == nil:
		return reply{Status: statusOK, Body: out}
	case errors.Is(err, consensus.ErrNotLeader):
		return reply{Status: statusNotLeader, Leader: g.node.Leader()}
	case errors.Is(err, consensus.ErrBusy):
		return reply{Status: statusBusy}
	case errors.Is(err, ErrNotApplied):
		return reply{Status: statusRefused, Error: err.Error()}
	}
	return reply{Status: statusUnknown}
}

// largeCommandBytes is the size from which a command is logged. Such commands are rare, and
// slow enough that an operator may search for one.
const largeCommandBytes = 64 << 10

// logLarge logs a large command with a hash of its content, which reveals a command that
// is proposed again under a different ID.
func (g *Group) logLarge(q request, size int) {
	if size < largeCommandBytes {
		return
	}
	g.o.Log.Info().Uint8("part", uint8(q.StateMachine)).Str("id", q.ID).Int("bytes", size).
		Uint64("content", xxhash.Sum64(q.Body)).Msg("large command proposed")
}

// read confirms the leadership of this VM and returns the index and versions that a
// linearizable read must include.
func (g *Group) read(ctx context.Context) reply {
	index, err := g.node.ReadIndex(ctx, true)
	if err == nil {
		err = g.node.WaitApplied(ctx, index)
	}
	if err != nil {
		return reply{Status: statusNotLeader, Leader: g.node.Leader()}
	}
	return reply{Status: statusOK, Index: index, Versions: g.o.State.Versions(FollowedStateMachines)}
}

// catchUp implements localView. A control VM reads its own replicated state.
func (g *Group) catchUp(ctx context.Context, index uint64, _ map[StateMachineID]uint64) error {
	return g.node.WaitApplied(ctx, index)
}
