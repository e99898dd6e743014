package consensus

import (
	"context"
	"sync"
	"sync/atomic"
)

// StateMachine executes committed commands. Apply is called from one goroutine;
// the others may be called at the same time as reads of the state.
type StateMachine interface {
	Apply(entry []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// When a snapshot is taken: so that a restart replays some thousand entries at
// most, a fraction of a second, and the log stays within a few segments.
const (
	snapshotEntries = 8192
	snapshotBytes   = 8 << 20
	// trailingEntries stay in the log behind a snapshot, for members that are a
	// little behind.
	trailingEntries = 1024
	trailingBytes   = 4 << 20
	// maxBacklog bounds the committed entries that wait to be applied on a leader.
	maxBacklog = 16384
)

// outcome is what a proposer gets.
type outcome struct {
	reply []byte
	err   error
}

type work struct {
	entry   Entry
	waiter  chan<- outcome
	install *SnapshotMeta
}

// applier applies committed entries beside the protocol loop, so that a slow
// command or a large snapshot does not delay heartbeats.
type applier struct {
	sm      StateMachine
	store   *storage
	compact func(meta SnapshotMeta, data []byte) // the loop fills in the term
	fail    func(error)

	mu      sync.Mutex
	queue   []work
	wake    chan struct{}
	moved   chan struct{} // closed when applied moves
	applied atomic.Uint64
	backlog atomic.Int64

	pieces    pieces
	config    Config
	sinceSnap int
	sinceByte int
}

func newApplier(sm StateMachine, store *storage, applied uint64, config Config) *applier {
	a := &applier{sm: sm, store: store, config: config, wake: make(chan struct{}, 1), moved: make(chan struct{})}
	a.applied.Store(applied)
	return a
}

func (a *applier) add(items []work) {
	if len(items) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, items...)
	a.mu.Unlock()
	a.backlog.Add(int64(len(items)))
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		a.mu.Lock()
		items := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, w := range items {
			if ctx.Err() != nil {
				return
			}
			a.do(w)
		}
		a.backlog.Add(-int64(len(items)))
		a.announce()
		a.maybeSnapshot()
	}
}

func (a *applier) do(w work) {
	if w.install != nil {
		a.install(*w.install)
		return
	}
	var out outcome
	if command, ok := a.pieces.add(w.entry); ok {
		out.reply, out.err = a.sm.Apply(command)
	}
	if w.entry.Kind == EntryConfig {
		a.config = decodeConfig(w.entry.Data)
	}
	a.applied.Store(w.entry.Index)
	a.sinceSnap++
	a.sinceByte += len(w.entry.Data)
	if w.waiter != nil {
		w.waiter <- out // buffered
	}
}

func (a *applier) install(meta SnapshotMeta) {
	f, err := a.store.readSnapshot(meta)
	if err == nil {
		err = a.sm.Restore(f.Data)
	}
	if err != nil {
		a.fail(err)
		return
	}
	a.pieces, a.config, a.sinceSnap, a.sinceByte = pieces{}, meta.Config, 0, 0
	a.applied.Store(meta.Index)
}

func (a *applier) announce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.moved)
	a.moved = make(chan struct{})
}

// wait returns once the entry index is applied.
func (a *applier) wait(ctx, closed context.Context, index uint64) error {
	for {
		a.mu.Lock()
		moved := a.moved
		a.mu.Unlock()
		if a.applied.Load() >= index {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		case <-closed.Done():
			return ErrClosed
		}
	}
}

func (a *applier) maybeSnapshot() {
	if a.sinceSnap < snapshotEntries && a.sinceByte < snapshotBytes || a.pieces.pending() {
		return
	}
	data, err := a.sm.Snapshot()
	if err != nil {
		a.fail(err)
		return
	}
	a.sinceSnap, a.sinceByte = 0, 0
	a.compact(SnapshotMeta{Index: a.applied.Load(), Config: a.config}, data)
}
