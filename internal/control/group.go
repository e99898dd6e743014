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

// maxCommandBytes bounds a command: every voter writes it to its disk and sends
// it in one message, beside the heartbeats. The largest is a route list with
// thousands of workspaces.
const maxCommandBytes = 8 << 20

// GroupOptions are the options of a Group.
type GroupOptions struct {
	VM           string
	Voters       []string        // VMs with the control role, this one included
	KnownVMs     func() []string // further control VMs known now; nil: none
	JoinOnly     bool            // never form a group, a group exists
	TargetVoters int             // voters to keep when one falls silent; 0: never remove any
	Dir          string          // folder of the log
	FS           wal.FS          // nil: the operating system's
	Transport    peer.Transport
	// Values holds what the VMs that follow fetch; its owner serves it. nil: one of
	// the Group's own.
	Values    *bulk.Store
	State     *ReplicatedState
	Lease     time.Duration // freshness lease of the VMs that watch
	Log       zerolog.Logger
	OnFailure func(error) // the process must end: the log is unusable
}

// controlVMs are all control VMs known now.
func (o *GroupOptions) controlVMs() []string {
	if o.KnownVMs == nil {
		return o.Voters
	}
	all := slices.Concat(o.Voters, o.KnownVMs())
	slices.Sort(all)
	return slices.Compact(all)
}

// Group is a control VM's side of the control group: its member of the
// consensus group, and the service for the VMs that propose and watch.
type Group struct {
	o    GroupOptions
	node *consensus.Node
	// stop ends what waits when the Group is closed.
	ctx     context.Context
	stop    context.CancelFunc
	watch   *watchServer
	tracker *tracker
	flights flights
	uploads uploads
}

// NewGroup registers the handlers. Register the Machine's parts before Start:
// it replays the log into them.
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

// Start opens the log and takes part. An error means that the data folder is not
// usable, and says why.
func (g *Group) Start() error { return g.node.Start() }

// handOverTimeout bounds what a shutdown waits for: after it the others elect.
const handOverTimeout = 500 * time.Millisecond

// HandOver gives the leadership up before a planned end, so that the others need
// not miss it first.
func (g *Group) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	g.node.TransferLeadership(ctx)
}

// Close ends the member and all that waits on it.
func (g *Group) Close() {
	g.stop()
	g.node.Close()
	g.watch.close()
}

// Status describes the member; false while it is in no group yet.
func (g *Group) Status() (consensus.Status, bool) { return g.node.Status() }

// MemberStats are a control VM's metrics.
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
	// Behind is, on the leader, how many entries each other member lacks.
	LagEntries map[string]uint64 `cbor:"10,keyasint" json:"behind,omitempty"`
}

// Stats returns the member's metrics.
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

// IsLeader reports whether this VM leads the group, as far as it knows.
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
		return g.flights.join(ctx, q.ID, func() reply { return g.propose(q) }), nil
	case opPiece:
		return g.takePiece(ctx, from, q), nil
	case opOffer:
		return g.offered(ctx, q.ID), nil
	case opRead:
		return g.read(ctx), nil
	case opInForce:
		return g.inForce(ctx, q), nil
	case opWatched:
		return g.watched(ctx, q), nil
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

// takePiece collects a large command and proposes it once it is whole.
func (g *Group) takePiece(ctx context.Context, from string, q request) reply {
	if q.Total > maxCommandBytes {
		return reply{Status: statusRefused, Error: "control: command too large"}
	}
	command, s := g.uploads.add(from, q, time.Now())
	if command == nil {
		return reply{Status: s}
	}
	whole := request{Op: opPropose, Part: q.Part, ID: q.ID, Body: command, Packed: q.Packed}
	return g.flights.join(ctx, q.ID, func() reply { return g.propose(whole) })
}

// offered answers for a proposal that is under way here or was executed.
func (g *Group) offered(ctx context.Context, id string) reply {
	if out, ok := g.flights.wait(ctx, id); ok {
		return out
	}
	if body, ok := g.o.State.CachedReply(id); ok {
		return reply{Status: statusOK, Body: body}
	}
	return reply{Status: statusWanted}
}

// propose stamps the group's clock. It never goes back, whatever the new
// leader's clock says, since Machine takes the larger of both. It returns when the
// command is executed or the leadership is lost.
func (g *Group) propose(q request) reply {
	at := max(time.Now().UnixMilli(), g.o.State.NowMS())
	envelope := Envelope{StateMachine: q.Part, ID: q.ID, AtMS: at}
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

// largeCommandBytes: a command of this size is rare, and slow enough to be looked for.
const largeCommandBytes = 64 << 10

// logLarge names a large command by its content, so that one that is proposed again
// under another id shows.
func (g *Group) logLarge(q request, size int) {
	if size < largeCommandBytes {
		return
	}
	g.o.Log.Info().Uint8("part", uint8(q.Part)).Str("id", q.ID).Int("bytes", size).
		Uint64("content", xxhash.Sum64(q.Body)).Msg("large command proposed")
}

// read confirms that this VM leads, and tells what a reader must hold.
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

// catchUp implements viewer: a control VM reads its own Machine.
func (g *Group) catchUp(ctx context.Context, index uint64, _ map[StateMachineID]uint64) error {
	return g.node.WaitApplied(ctx, index)
}
