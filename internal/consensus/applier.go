package consensus

import (
	"context"
	"sync"
	"sync/atomic"
)

// StateMachine executes committed commands. All methods are called from one goroutine
// at a time, but concurrently with reads of the state.
type StateMachine interface {
	Apply(entry []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// A snapshot is taken after this many entries or bytes. A restart then replays at most
// some thousand entries, which takes a fraction of a second, and the log stays within
// a few segments.
const (
	snapshotEntries = 8192
	snapshotBytes   = 8 << 20
	// trailingEntries and trailingBytes bound the entries before a snapshot that stay
	// in the log. Members that lag slightly get these entries instead of a snapshot.
	trailingEntries = 1024
	trailingBytes   = 4 << 20
	// maxBacklogEntries bounds the committed entries that wait to be applied. Beyond it
	// a leader refuses proposals.
	maxBacklogEntries = 16384
)

// outcome is the result of a proposal: the state machine's reply or an error.
type outcome struct {
	reply []byte
	err   error
}

type applyItem struct {
	entry   Entry
	waiter  chan<- outcome
	install *SnapshotMeta
}

// applier applies committed entries in its own goroutine. A slow command or a large
// snapshot therefore does not delay heartbeats.
type applier struct {
	sm           StateMachine
	store        *storage
	saveSnapshot func(meta SnapshotMeta, data []byte) // called after a snapshot was taken; meta.Term is not set yet
	fail         func(error)

	mu             sync.Mutex
	queue          []applyItem
	wake           chan struct{}
	appliedChanged chan struct{} // closed and replaced when applied changes
	applied        atomic.Uint64
	backlog        atomic.Int64

	reassembler          reassembler
	config               Config
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

func newApplier(sm StateMachine, store *storage, applied uint64, config Config) *applier {
	a := &applier{sm: sm, store: store, config: config, wake: make(chan struct{}, 1), appliedChanged: make(chan struct{})}
	a.applied.Store(applied)
	return a
}

func (a *applier) enqueue(items []applyItem) {
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
		for _, item := range items {
			if ctx.Err() != nil {
				return
			}
			a.applyOne(item)
		}
		a.backlog.Add(-int64(len(items)))
		a.notifyWaiters()
		a.maybeSnapshot()
	}
}

func (a *applier) applyOne(item applyItem) {
	if item.install != nil {
		a.install(*item.install)
		return
	}
	var out outcome
	if command, ok := a.reassembler.add(item.entry); ok {
		out.reply, out.err = a.sm.Apply(command)
	}
	if item.entry.Kind == EntryConfig {
		a.config = decodeConfig(item.entry.Data)
	}
	a.applied.Store(item.entry.Index)
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += len(item.entry.Data)
	if item.waiter != nil {
		item.waiter <- out // buffered
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
	a.reassembler, a.config, a.entriesSinceSnapshot, a.bytesSinceSnapshot = reassembler{}, meta.Config, 0, 0
	a.applied.Store(meta.Index)
}

func (a *applier) notifyWaiters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.appliedChanged)
	a.appliedChanged = make(chan struct{})
}

// wait returns nil once the entry at index is applied. It returns the error of ctx if ctx
// ends first, and ErrClosed if closed ends first.
func (a *applier) wait(ctx, closed context.Context, index uint64) error {
	for {
		a.mu.Lock()
		moved := a.appliedChanged
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
	if a.entriesSinceSnapshot < snapshotEntries && a.bytesSinceSnapshot < snapshotBytes || a.reassembler.pending() {
		return
	}
	data, err := a.sm.Snapshot()
	if err != nil {
		a.fail(err)
		return
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.saveSnapshot(SnapshotMeta{Index: a.applied.Load(), Config: a.config}, data)
}
