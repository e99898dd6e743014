package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Message kinds in addition to peer.KindRaft.
const (
	kindProbe peer.Kind = peer.KindRaft + 1 // asks for a member's identity and group
	kindJoin  peer.Kind = peer.KindRaft + 2
	kindChunk peer.Kind = peer.KindRaft + 3
	kindLeave peer.Kind = peer.KindRaft + 4
)

const (
	// chunkBytes is small enough that heartbeats queued behind a chunk are not late.
	chunkBytes              = peer.PieceBytes
	chunkTimeout            = 5 * time.Second
	maxSnapshotBytes        = 64 << 20
	probeTimeout            = 1 * time.Second
	probeInterval           = 50 * time.Millisecond
	joinInterval            = 250 * time.Millisecond
	membershipCheckInterval = 1 * time.Second // of a member that has a vote
	joinTimeout             = 2 * time.Second
)

type messageBatch struct {
	Group    string    `cbor:"1,keyasint"`
	Messages []Message `cbor:"2,keyasint"`
}

type probeReply struct {
	ID     MemberID `cbor:"1,keyasint"`
	Group  string   `cbor:"2,keyasint,omitempty"`
	Leader string   `cbor:"3,keyasint,omitempty"` // id of the leader's VM
	// Observer is set if the VM has the control role but no disk, and so no vote.
	Observer bool `cbor:"4,keyasint,omitempty"`
	// JoinOnly is set if the VM is in no group and is no founder, so it forms none.
	JoinOnly bool `cbor:"5,keyasint,omitempty"`
	// First is the first membership of the group, if the log still begins with it. With it
	// the members can go on without the VM that formed the group, which may have lost its
	// disk before it sent them any entry.
	First *Config `cbor:"6,keyasint,omitempty"`
}

type joinRequest struct {
	Group string   `cbor:"1,keyasint"`
	ID    MemberID `cbor:"2,keyasint"`
}

type joinReply struct {
	Done   bool   `cbor:"1,keyasint,omitempty"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

type snapshotChunk struct {
	Group  string       `cbor:"1,keyasint"`
	From   MemberID     `cbor:"2,keyasint"`
	To     MemberID     `cbor:"3,keyasint"`
	Term   uint64       `cbor:"4,keyasint"`
	Meta   SnapshotMeta `cbor:"5,keyasint"`
	Offset int          `cbor:"6,keyasint"`
	Total  int          `cbor:"7,keyasint"`
	Data   []byte       `cbor:"8,keyasint"`
}

// chunkBuffer assembles the chunks of one snapshot at a time.
type chunkBuffer struct {
	mu   sync.Mutex
	from MemberID
	meta SnapshotMeta
	data []byte
}

var errNotMember = errors.New("consensus: not a member of the group")

func (n *Node) registerHandlers() {
	t := n.o.Transport
	t.Handle(peer.KindRaft, n.serveMessages)
	t.Handle(kindProbe, n.serveProbe)
	t.Handle(kindJoin, n.serveJoin)
	t.Handle(kindChunk, n.serveChunk)
	t.Handle(kindLeave, n.serveLeave)
}

func (n *Node) groupID() string { return n.group.Load().(string) }

// send sends messages grouped by VM. It ignores errors, because the protocol resends
// lost messages.
func (n *Node) send(messages []Message) {
	if len(messages) == 0 {
		return
	}
	byVM := map[string][]Message{}
	for _, m := range messages {
		byVM[m.To.VM()] = append(byVM[m.To.VM()], m)
	}
	for vm, list := range byVM {
		_ = n.o.Transport.Send(vm, peer.KindRaft, messageBatch{Group: n.groupID(), Messages: list})
	}
}

func (n *Node) serveMessages(_ context.Context, from string, body []byte) (any, error) {
	var batch messageBatch
	if err := codec.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	if batch.Group == "" || batch.Group != n.groupID() {
		return nil, errNotMember
	}
	for _, m := range batch.Messages {
		if m.From.VM() != from {
			return nil, fmt.Errorf("consensus: message of member %s received from VM %s", m.From, from)
		}
		if err := m.validate(); err != nil {
			return nil, err
		}
		select {
		case n.inbox <- m:
		default: // dropped; the protocol resends it
		}
	}
	return nil, nil
}

func (n *Node) serveProbe(context.Context, string, []byte) (any, error) {
	select {
	case <-n.running:
		s, _ := n.Status()
		return probeReply{ID: s.ID, Group: n.groupID(), Leader: s.Leader.VM(), First: n.firstConfig}, nil
	default:
	}
	if i := n.identityBeforeGroup.Load(); i != nil {
		return probeReply{ID: i.ID, JoinOnly: !slices.Contains(i.Founders, n.o.VM)}, nil
	}
	return nil, errNotMember
}

// serveJoin proposes the next step of a member's join. The member repeats its request
// until the join is complete, so a new leader needs no state about the join.
func (n *Node) serveJoin(ctx context.Context, from string, body []byte) (any, error) {
	var q joinRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Group != n.groupID() || q.ID.VM() != from {
		return nil, errNotMember
	}
	if !n.IsLeader() {
		return joinReply{Leader: n.Leader()}, nil
	}
	done := make(chan bool, 1)
	err := n.runInLoop(ctx, func() {
		change, state := n.core.PlanJoin(q.ID)
		if state == JoinChange {
			if _, _, err := n.core.ProposeChange(change); err == nil {
				n.o.Log.Info().Str("member", string(change.ID)).Uint8("change", uint8(change.Kind)).Msg("membership change proposed")
			}
		}
		done <- state == JoinDone && n.core.IsLeader()
	})
	if err != nil {
		return nil, err
	}
	ok, err := await(ctx, n, done)
	if err != nil {
		return nil, err
	}
	return joinReply{Done: ok, Leader: n.o.VM}, nil
}

// sendSnapshot sends the latest snapshot to a member outside the protocol loop.
func (n *Node) sendSnapshot(to MemberID) {
	meta, term := n.store.snap, n.core.term
	c := snapshotChunk{Group: n.groupID(), From: n.store.identity.ID, To: to, Term: term, Meta: meta}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		err := n.sendChunks(c)
		if err != nil {
			n.o.Log.Warn().Err(err).Str("member", string(to)).Msg("snapshot transfer failed; retrying after some heartbeats")
		}
		_ = n.runInLoop(n.ctx, func() { n.core.SnapshotSent(to, meta.Index, err == nil) })
	}()
}

func (n *Node) sendChunks(c snapshotChunk) error {
	f, err := n.store.readSnapshot(c.Meta)
	if err != nil {
		return err
	}
	c.Total = len(f.Data)
	for {
		c.Data = f.Data[c.Offset:min(c.Offset+chunkBytes, c.Total)]
		ctx, cancel := context.WithTimeout(n.ctx, chunkTimeout)
		err := n.o.Transport.Call(ctx, c.To.VM(), kindChunk, c, nil)
		cancel()
		if err != nil {
			return err
		}
		c.Offset += len(c.Data)
		if c.Offset >= c.Total {
			return nil
		}
	}
}

func (n *Node) serveChunk(ctx context.Context, from string, body []byte) (any, error) {
	var c snapshotChunk
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	s, ok := n.Status()
	if !ok || c.Group != n.groupID() || c.To != s.ID || c.From.VM() != from {
		return nil, errNotMember
	}
	complete, data, err := n.chunks.add(c)
	if err != nil || !complete {
		return nil, err
	}
	// The file is synced before the Core receives the message, because the Core's
	// reply acknowledges the state.
	if err := n.store.writeSnapshot(snapshotFile{Meta: c.Meta, Data: data}); err != nil {
		return nil, err
	}
	return nil, n.runInLoop(ctx, func() {
		n.core.Step(Message{Kind: SnapshotInstalled, From: c.From, To: c.To, Term: c.Term, Meta: &c.Meta})
	})
}

func (b *chunkBuffer) add(c snapshotChunk) (bool, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Offset == 0 {
		b.from, b.meta, b.data = c.From, c.Meta, nil
	}
	if c.From != b.from || c.Meta.Index != b.meta.Index || c.Offset != len(b.data) ||
		c.Total > maxSnapshotBytes || c.Offset+len(c.Data) > c.Total {
		return false, nil, errors.New("consensus: snapshot chunk is out of order or exceeds the size limit")
	}
	b.data = append(b.data, c.Data...)
	if len(b.data) < c.Total {
		return false, nil, nil
	}
	data := b.data
	b.data, b.from = nil, ""
	return true, data, nil
}

// saveSnapshot writes a state taken by the applier to disk and then compacts the log
// in the protocol loop.
func (n *Node) saveSnapshot(meta SnapshotMeta, data []byte) {
	term := make(chan uint64, 1)
	if n.runInLoop(n.ctx, func() {
		t, _ := n.core.log.term(meta.Index)
		term <- t
	}) != nil {
		return
	}
	var err error
	if meta.Term, err = await(n.ctx, n, term); err != nil {
		return
	}
	if err := n.store.writeSnapshot(snapshotFile{Meta: meta, Data: bytes.Clone(data)}); err != nil {
		n.fail(err)
		return
	}
	_ = n.runInLoop(n.ctx, func() { n.compact(meta) })
}

func (n *Node) compact(meta SnapshotMeta) {
	if meta.Index <= n.store.snap.Index || meta.Term == 0 {
		return // a newer snapshot was installed in the meantime
	}
	l := n.core.log
	n.core.Compact(l.compactionIndex(meta.Index))
	base := l.snap
	r := record{
		Hard: n.core.savedHardState, Base: &base, Snap: &meta,
		Entries: l.entriesBetween(base.Index+1, l.persisted, math.MaxInt),
	}
	r.Hard.Commit = max(r.Hard.Commit, meta.Index)
	err := n.store.checkpoint(r)
	if errors.Is(err, errCheckpointTooLarge) {
		n.o.Log.Warn().Err(err).Msg("log could not be compacted; trying again with the next snapshot")
		return
	}
	if err != nil {
		n.fail(err)
	}
}
