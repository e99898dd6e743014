package relay

import (
	"context"
	"sync"
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

type link struct {
	j     *journals
	vm    string
	mu    sync.Mutex
	dirty map[*Run]struct{}
	wake  chan struct{}
}

func newJournals(ctx context.Context, t peer.Transport, self string, local func(WriteBatch) WriteReplies) *journals {
	return &journals{transport: t, ctx: ctx, self: self, local: local, links: map[string]*link{}}
}

// mark notes that a run may have something for its keepers.
func (j *journals) mark(r *Run) {
	for _, vm := range r.keepers() {
		j.link(vm).mark(r)
	}
}

func (j *journals) link(vm string) *link {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.links[vm]
	if l == nil {
		l = &link{j: j, vm: vm, dirty: map[*Run]struct{}{}, wake: make(chan struct{}, 1)}
		j.links[vm] = l
		go l.loop()
	}
	return l
}

func (l *link) mark(r *Run) {
	l.mu.Lock()
	l.dirty[r] = struct{}{}
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
	runs, batch := l.take()
	if len(runs) == 0 {
		return false
	}
	replies, err := l.send(batch)
	if err != nil || len(replies.Replies) != len(runs) {
		l.retry(runs)
		return true
	}
	for i, r := range runs {
		if r.ack(l.vm, replies.Replies[i]) {
			l.mark(r)
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

func (l *link) take() ([]*Run, WriteBatch) {
	l.mu.Lock()
	marked := make([]*Run, 0, min(len(l.dirty), maxBatchWrites))
	for r := range l.dirty {
		if len(marked) == maxBatchWrites {
			break
		}
		marked = append(marked, r)
		delete(l.dirty, r)
	}
	l.mu.Unlock()
	var batch WriteBatch
	runs := marked[:0]
	for _, r := range marked {
		if w, ok := r.next(l.vm); ok {
			runs = append(runs, r)
			batch.Writes = append(batch.Writes, w)
		}
	}
	return runs, batch
}

func (l *link) retry(runs []*Run) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.j.ctx.Done():
	}
	for _, r := range runs {
		l.mark(r)
	}
}
