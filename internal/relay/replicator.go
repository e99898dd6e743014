package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Constants of replication. Each keeper has at most one batch in flight. Meanwhile the
// tokens of all generations accumulate for the next batch, and the message rate is
// bounded by the round trip time instead of the token rate.
const (
	writeTimeout   = 1 * time.Second
	retryPause     = 50 * time.Millisecond
	maxWriteTokens = 512
	maxBatchWrites = 256
	maxBatchBytes  = 1 << 20 // exceeded by at most one write; an installation carries a complete prompt
)

// WriteBatch carries the writes of many journals to one keeper.
type WriteBatch struct {
	Writes []generation.Write `cbor:"1,keyasint"`
}

// WriteReplies holds the replies to the writes of a WriteBatch, in order.
type WriteReplies struct {
	Replies []generation.WriteReply `cbor:"1,keyasint"`
}

// replicator sends the writes of this VM's own journals to their keepers.
type replicator struct {
	transport peer.Transport
	ctx       context.Context
	self      string
	local     func(WriteBatch) WriteReplies // this VM's own keeper

	mu    sync.Mutex
	links map[string]*link
}

// link sends writes to one keeper, one batch at a time.
type link struct {
	replicator *replicator
	vm         string
	mu         sync.Mutex
	due        []*target
	wake       chan struct{}
}

// target is a run on the link to one of its keepers. While the target is due, a
// further token costs one atomic load.
type target struct {
	run  *Run
	link *link
	due  atomic.Bool
}

func newReplicator(ctx context.Context, t peer.Transport, self string, local func(WriteBatch) WriteReplies) *replicator {
	return &replicator{transport: t, ctx: ctx, self: self, local: local, links: map[string]*link{}}
}

// targets returns a run's targets on the links to its keepers.
func (rep *replicator) targets(r *Run, keepers []generation.KeeperID) *[]*target {
	out := make([]*target, 0, len(keepers))
	for _, k := range keepers {
		out = append(out, &target{run: r, link: rep.link(k.VM)})
	}
	return &out
}

// mark schedules a run's links, because the run may have writes for its keepers.
func (rep *replicator) mark(r *Run) {
	for _, t := range *r.targets.Load() {
		t.mark()
	}
}

func (rep *replicator) link(vm string) *link {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	l := rep.links[vm]
	if l == nil {
		l = &link{replicator: rep, vm: vm, wake: make(chan struct{}, 1)}
		rep.links[vm] = l
		go l.loop()
	}
	return l
}

func (t *target) mark() {
	if t.due.Load() || !t.due.CompareAndSwap(false, true) {
		return
	}
	l := t.link
	l.mu.Lock()
	l.due = append(l.due, t)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) loop() {
	for {
		select {
		case <-l.wake:
		case <-l.replicator.ctx.Done():
			return
		}
		for l.flush() {
			if l.replicator.ctx.Err() != nil {
				return
			}
		}
	}
}

// flush sends one batch and reports whether more writes may be due.
func (l *link) flush() bool {
	marked := l.take()
	targets, batch := collect(marked)
	if len(targets) == 0 {
		return len(marked) > 0
	}
	replies, err := l.send(batch)
	if err != nil || len(replies.Replies) != len(targets) {
		l.retry(targets)
		return true
	}
	for i, t := range targets {
		more, later := t.run.ack(l.vm, replies.Replies[i])
		if more {
			t.mark()
		}
		if later {
			time.AfterFunc(retryPause, t.mark)
		}
	}
	return true
}

// send calls this VM's own keeper without encoding the batch, because the keeper
// copies what it keeps.
func (l *link) send(batch WriteBatch) (WriteReplies, error) {
	if l.vm == l.replicator.self {
		return l.replicator.local(batch), nil
	}
	ctx, cancel := context.WithTimeout(l.replicator.ctx, writeTimeout)
	defer cancel()
	var replies WriteReplies
	err := l.replicator.transport.Call(ctx, l.vm, peer.KindJournal, batch, &replies)
	return replies, err
}

func (l *link) take() []*target {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.due), maxBatchWrites)
	out := slices.Clone(l.due[:n])
	l.due = slices.Delete(l.due, 0, n)
	return out
}

// collect builds the writes of one batch. Targets that would make the frame too large
// are marked again for the next batch. A target's due flag is cleared before its write
// is built, and a token that arrives in between marks the target again.
func collect(marked []*target) ([]*target, WriteBatch) {
	var batch WriteBatch
	targets := make([]*target, 0, len(marked))
	size := 0
	for _, t := range marked {
		t.due.Store(false)
		if size >= maxBatchBytes {
			t.mark()
			continue
		}
		w, ok := t.run.next(t.link.vm)
		if !ok {
			continue
		}
		size += w.Size()
		targets = append(targets, t)
		batch.Writes = append(batch.Writes, w)
	}
	return targets, batch
}

func (l *link) retry(targets []*target) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.replicator.ctx.Done():
	}
	for _, t := range targets {
		t.mark()
	}
}
