package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Message kinds beside peer.KindRaft.
const (
	kindProbe peer.Kind = peer.KindRaft + 1 // who are you, and in which group?
	kindJoin  peer.Kind = peer.KindRaft + 2
	kindChunk peer.Kind = peer.KindRaft + 3
)

const (
	// chunkBytes keeps a snapshot's chunk from delaying the heartbeats behind it.
	chunkBytes    = peer.PieceBytes
	chunkTimeout  = 5 * time.Second
	maxSnapshot   = 64 << 20
	probeTimeout  = 1 * time.Second
	probeEvery    = 50 * time.Millisecond
	joinEvery     = 250 * time.Millisecond
	rejoinCheck   = 1 * time.Second // of a member that has its vote
	rejoinTimeout = 2 * time.Second
)

type packet struct {
	Group    string    `cbor:"1,keyasint"`
	Messages []Message `cbor:"2,keyasint"`
}

type probeReply struct {
	ID     MemberID `cbor:"1,keyasint"`
	Group  string   `cbor:"2,keyasint,omitempty"`
	Leader string   `cbor:"3,keyasint,omitempty"` // a VM
	// Observer: the VM has the control role and no disk, and so no vote.
	Observer bool `cbor:"4,keyasint,omitempty"`
}

type joinRequest struct {
	Group string   `cbor:"1,keyasint"`
	ID    MemberID `cbor:"2,keyasint"`
}

type joinReply struct {
	Done   bool   `cbor:"1,keyasint,omitempty"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

type chunk struct {
	Group  string       `cbor:"1,keyasint"`
	From   MemberID     `cbor:"2,keyasint"`
	To     MemberID     `cbor:"3,keyasint"`
	Term   uint64       `cbor:"4,keyasint"`
	Meta   SnapshotMeta `cbor:"5,keyasint"`
	Offset int          `cbor:"6,keyasint"`
	Total  int          `cbor:"7,keyasint"`
	Data   []byte       `cbor:"8,keyasint"`
}

// chunkBuffer assembles one snapshot at a time.
type chunkBuffer struct {
	mu   sync.Mutex
	from MemberID
	meta SnapshotMeta
	data []byte
}

var errNotHere = errors.New("consensus: not a member of that group")

func (n *Node) handle() {
	t := n.o.Transport
	t.Handle(peer.KindRaft, n.servePacket)
	t.Handle(kindProbe, n.serveProbe)
	t.Handle(kindJoin, n.serveJoin)
	t.Handle(kindChunk, n.serveChunk)
}

func (n *Node) groupID() string { return n.group.Load().(string) }

// send groups messages by VM. A lost one is sent again by the protocol.
func (n *Node) send(messages []Message) {
	if len(messages) == 0 {
		return
	}
	byVM := map[string][]Message{}
	for _, m := range messages {
		byVM[m.To.VM()] = append(byVM[m.To.VM()], m)
	}
	for vm, list := range byVM {
		_ = n.o.Transport.Send(vm, peer.KindRaft, packet{Group: n.groupID(), Messages: list})
	}
}

func (n *Node) servePacket(_ context.Context, from string, body []byte) (any, error) {
	var p packet
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if p.Group == "" || p.Group != n.groupID() {
		return nil, errNotHere
	}
	for _, m := range p.Messages {
		if m.From.VM() != from {
			return nil, fmt.Errorf("consensus: message of %s from VM %s", m.From, from)
		}
		if err := m.validate(); err != nil {
			return nil, err
		}
		select {
		case n.inbox <- m:
		default: // the protocol sends it again
		}
	}
	return nil, nil
}

func (n *Node) serveProbe(context.Context, string, []byte) (any, error) {
	select {
	case <-n.running:
		s, _ := n.Status()
		return probeReply{ID: s.ID, Group: n.groupID(), Leader: s.Leader.VM()}, nil
	default:
	}
	if id, ok := n.formingAs.Load().(MemberID); ok {
		return probeReply{ID: id}, nil
	}
	return nil, errNotHere
}

// serveJoin takes a new member one step further. The member asks again until
// it is done, so that a change of leader needs no memory of the join.
func (n *Node) serveJoin(ctx context.Context, from string, body []byte) (any, error) {
	var q joinRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Group != n.groupID() || q.ID.VM() != from {
		return nil, errNotHere
	}
	if !n.IsLeader() {
		return joinReply{Leader: n.Leader()}, nil
	}
	done := make(chan bool, 1)
	err := n.do(ctx, func() {
		change, state := n.core.PlanJoin(q.ID)
		if state == JoinChange {
			if _, _, err := n.core.ProposeChange(change); err == nil {
				n.o.Log.Info().Str("member", string(change.ID)).Uint8("change", uint8(change.Kind)).Msg("membership changes")
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

// sendSnapshot carries the latest snapshot to a member, beside the loop.
func (n *Node) sendSnapshot(to MemberID) {
	meta, term := n.store.snap, n.core.term
	c := chunk{Group: n.groupID(), From: n.store.who.ID, To: to, Term: term, Meta: meta}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		err := n.transfer(c)
		if err != nil {
			n.o.Log.Warn().Err(err).Str("member", string(to)).Msg("snapshot not sent")
		}
		_ = n.do(n.ctx, func() { n.core.SnapshotSent(to, meta.Index, err == nil) })
	}()
}

func (n *Node) transfer(c chunk) error {
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
	var c chunk
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	s, ok := n.Status()
	if !ok || c.Group != n.groupID() || c.To != s.ID || c.From.VM() != from {
		return nil, errNotHere
	}
	whole, data, err := n.chunks.add(c)
	if err != nil || !whole {
		return nil, err
	}
	// The file is synced before the Core hears of it: its reply says that this
	// member holds the state.
	if err := n.store.writeSnapshot(snapshotFile{Meta: c.Meta, Data: data}); err != nil {
		return nil, err
	}
	return nil, n.do(ctx, func() {
		n.core.Step(Message{Kind: SnapshotInstalled, From: c.From, To: c.To, Term: c.Term, Meta: &c.Meta})
	})
}

func (b *chunkBuffer) add(c chunk) (bool, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Offset == 0 {
		b.from, b.meta, b.data = c.From, c.Meta, nil
	}
	if c.From != b.from || c.Meta.Index != b.meta.Index || c.Offset != len(b.data) ||
		c.Total > maxSnapshot || c.Offset+len(c.Data) > c.Total {
		return false, nil, errors.New("consensus: chunk out of order")
	}
	b.data = append(b.data, c.Data...)
	if len(b.data) < c.Total {
		return false, nil, nil
	}
	data := b.data
	b.data, b.from = nil, ""
	return true, data, nil
}

// handOverSnapshot writes a state taken by the applier and has the loop compact
// the log behind it.
func (n *Node) handOverSnapshot(meta SnapshotMeta, data []byte) {
	term := make(chan uint64, 1)
	if n.do(n.ctx, func() {
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
	_ = n.do(n.ctx, func() { n.compact(meta) })
}

func (n *Node) compact(meta SnapshotMeta) {
	if meta.Index <= n.store.snap.Index || meta.Term == 0 {
		return // a newer one was installed meanwhile
	}
	l := n.core.log
	n.core.Compact(l.trailing(meta.Index))
	base := l.snap
	r := record{
		Hard: n.core.saved, Base: &base, Snap: &meta,
		Entries: l.slice(base.Index+1, l.persisted, math.MaxInt),
	}
	r.Hard.Commit = max(r.Hard.Commit, meta.Index)
	err := n.store.checkpoint(r)
	if errors.Is(err, errTooLarge) {
		n.o.Log.Warn().Err(err).Msg("log not compacted; it will be behind the next snapshot")
		return
	}
	if err != nil {
		n.fail(err)
	}
}
