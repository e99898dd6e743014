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

// Replication figures. One batch at a time is under way to each keeper: while
// it travels, the tokens of all generations gather for the next, so the
// messages per second are bounded by the round trip and not by the tokens.
const (
	writeTimeout   = 1 * time.Second
	retryPause     = 50 * time.Millisecond
	maxWriteTokens = 512
	maxBatchWrites = 256
	maxBatchBytes  = 1 << 20 // and one write more; installations carry whole prompts
)

// WriteBatch carries the writes of many journals to one keeper.
type WriteBatch struct {
	Writes []generation.Write `cbor:"1,keyasint"`
}

// WriteReplies answers a WriteBatch, in order.
type WriteReplies struct {
	Replies []generation.WriteReply `cbor:"1,keyasint"`
}

// journals replicates the owned journals of this VM.
type journals struct {
	transport peer.Transport
	ctx       context.Context
	self      string
	local     func(WriteBatch) WriteReplies // this VM's own keeper

	mu    sync.Mutex
	links map[string]*link
}

// link carries the writes to one keeper, one batch at a time.
type link struct {
	j    *journals
	vm   string
	mu   sync.Mutex
	due  []*target
	wake chan struct{}
}

// target is one run's place on one link. A run that is due already costs the
// next token one atomic load.
type target struct {
	run  *Run
	link *link
	due  atomic.Bool
}

func newJournals(ctx context.Context, t peer.Transport, self string, local func(WriteBatch) WriteReplies) *journals {
	return &journals{transport: t, ctx: ctx, self: self, local: local, links: map[string]*link{}}
}

// targets are a run's places on the links to its keepers.
func (j *journals) targets(r *Run, keepers []generation.KeeperID) *[]*target {
	out := make([]*target, 0, len(keepers))
	for _, k := range keepers {
		out = append(out, &target{run: r, link: j.link(k.VM)})
	}
	return &out
}

// mark notes that a run may have something for its keepers.
func (j *journals) mark(r *Run) {
	for _, t := range *r.targets.Load() {
		t.mark()
	}
}

func (j *journals) link(vm string) *link {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.links[vm]
	if l == nil {
		l = &link{j: j, vm: vm, wake: make(chan struct{}, 1)}
		j.links[vm] = l
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
		case <-l.j.ctx.Done():
			return
		}
		for l.flush() {
			if l.j.ctx.Err() != nil {
				return
			}
		}
	}
}

// flush sends one batch and reports whether there may be more.
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

// send spares the own keeper the codec: it copies what it keeps.
func (l *link) send(batch WriteBatch) (WriteReplies, error) {
	if l.vm == l.j.self {
		return l.j.local(batch), nil
	}
	ctx, cancel := context.WithTimeout(l.j.ctx, writeTimeout)
	defer cancel()
	var replies WriteReplies
	err := l.j.transport.Call(ctx, l.vm, peer.KindJournal, batch, &replies)
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

// collect gathers the writes of one batch. What would make the frame too large
// is marked again for the next one. A run is no longer due before its write is
// made: a token that comes in between marks it again.
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
	case <-l.j.ctx.Done():
	}
	for _, t := range targets {
		t.mark()
	}
}
