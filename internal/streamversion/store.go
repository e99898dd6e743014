package streamversion

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// The load pattern. All processes are killed at once. Every caller asks for the rest of its
// stream, and nobody remembers which version began it. Records are therefore synced to a file
// before first events go out. One sync for each of hundreds of streams a second would take
// longer than they arrive apart: records that arrive during a sync share the next one. They are
// written at once, since a sync may last for seconds on a disk that others keep busy, and what is
// written survives the end of the process.

const (
	// checkpointBytes is how much is appended to the file before it is written anew with the
	// records that are still of use.
	checkpointBytes = 2 << 20
	// reopenPause is the time after a failure of the disk until the file is opened again.
	reopenPause = 2 * time.Second
	// slowSync is the duration from which a sync is logged.
	slowSync = time.Second
	// maxPendingBatches bounds what waits for a disk that does not answer. Further records are
	// held in memory only.
	maxPendingBatches = 4096
	// batchCheckpointRecords bounds the records of one entry of a checkpoint.
	batchCheckpointRecords = 100_000
)

// Store keeps records in memory and, if it has a folder, on disk. It is safe for concurrent
// use.
type Store struct {
	fs  wal.FS
	dir string // empty: records are held in memory only
	log zerolog.Logger

	mu      sync.Mutex
	table   *Table
	pending []pendingBatch // to be written
	written []pendingBatch // to be synced
	wake    chan struct{}  // something is to be written
	sync    chan struct{}  // something is to be synced
	stats   StoreStats
	loaded  bool // the folder was read, or there is none
	failed  bool // the disk failed, and the file is not open
}

// pendingBatch waits for a sync.
type pendingBatch struct {
	records []Record
	synced  chan bool // receives whether the records are on disk
}

// StoreStats counts the records of a Store.
type StoreStats struct {
	Records int    // in memory
	Dropped uint64 // that did not fit
	// Unsynced counts the batches that a failure of the disk left in memory only, until the file
	// is opened again.
	Unsynced uint64
}

// NewStore returns a Store. With a folder, Run reads and writes it.
func NewStore(fs wal.FS, dir string, log zerolog.Logger) *Store {
	return &Store{fs: fs, dir: dir, log: log, table: NewTable(time.Now()), wake: make(chan struct{}, 1), sync: make(chan struct{}, 1), loaded: dir == ""}
}

// Put adds records. The returned channel receives true once they are synced, or false if they are
// held in memory only; nil: they are from the start.
func (s *Store) Put(records []Record) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(records)
	if s.dir == "" || s.failed || len(s.pending) >= maxPendingBatches {
		return nil
	}
	synced := make(chan bool, 1)
	s.pending = append(s.pending, pendingBatch{records, synced})
	raise(s.wake)
	return synced
}

// raise announces work and does not block.
func raise(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// putLocked needs s.mu.
func (s *Store) putLocked(records []Record) {
	now := time.Now()
	for i := range records {
		if s.table.Put(&records[i], now) {
			continue
		}
		if s.stats.Dropped++; s.stats.Dropped == 1 {
			s.log.Error().Int("records", s.table.Len()).Msg("records of streams' versions exceed their memory; streams without one cannot be resumed")
		}
	}
}

// ErrNotLoaded means that the folder was not read yet, and may hold a record.
var ErrNotLoaded = errors.New("streamversion: records are not loaded yet")

// Find returns the origin of a stream. The error is ErrNotLoaded or nil.
func (s *Store) Find(k Key) (Origin, Finding, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin, finding := s.table.Find(k, time.Now())
	if finding == Unknown && !s.loaded {
		return origin, finding, ErrNotLoaded
	}
	return origin, finding, nil
}

// Streams returns how many streams with a content have begun and may still be asked for. The error
// is ErrNotLoaded or nil.
func (s *Store) Streams(content uint32) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return 0, ErrNotLoaded
	}
	return s.table.Streams(content), nil
}

// Stats returns the number of records, and how many were not kept.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Records = s.table.Len()
	return out
}

// open opens the file and adds its records. A record gets its whole life again: the wall clock,
// which may be wrong, is not used.
func (s *Store) open() (*wal.Log, error) {
	l, entries, err := wal.Open(s.fs, s.dir)
	var damaged *wal.DamageError
	if errors.As(err, &damaged) {
		s.log.Error().Err(err).Msg("records of streams' versions are damaged; beginning anew")
		if err := s.removeAll(); err != nil {
			return nil, err
		}
		l, entries, err = wal.Open(s.fs, s.dir)
	}
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range entries {
		var b Batch
		err := codec.Unmarshal(data, &b)
		var records []Record
		if err == nil {
			records, err = b.Records()
		}
		if err != nil {
			s.log.Error().Err(err).Msg("records of streams' versions could not be decoded; they are skipped")
			continue
		}
		s.putLocked(records)
	}
	if !s.loaded {
		s.loaded = true
		s.log.Info().Int("records", s.table.Len()).Msg("records of streams' versions loaded")
	}
	return l, nil
}

func (s *Store) removeAll() error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("streamversion: %w", err)
	}
	for _, name := range names {
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("streamversion: %w", err)
		}
	}
	return nil
}

// Run reads the folder, and writes records to it until ctx ends. After a failure of the disk it
// opens the file again and writes what is of use.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.write(ctx)
		if ctx.Err() != nil {
			return
		}
		s.fail(err)
		if timer.Sleep(ctx, reopenPause) != nil {
			return
		}
	}
}

// fail tells those who wait for the disk that their records are held in memory only. The next
// checkpoint writes them.
func (s *Store) fail(err error) {
	s.mu.Lock()
	s.failed = true
	batches := append(s.written, s.pending...)
	s.written, s.pending = nil, nil
	s.stats.Unsynced += uint64(len(batches))
	s.mu.Unlock()
	s.log.Warn().Err(err).Int("batches", len(batches)).Msg("records of streams' versions could not be written; they are held in memory")
	release(batches, false)
}

// write opens the file and writes batches until ctx ends or the disk fails.
func (s *Store) write(ctx context.Context) error {
	l, err := s.open()
	if err != nil {
		return err
	}
	defer l.Close()
	s.mu.Lock()
	s.failed = false // before the checkpoint: what comes meanwhile is written after it
	s.mu.Unlock()
	if err := s.checkpoint(l); err != nil {
		return err
	}
	syncFailed := make(chan error, 1)
	syncCtx, stop := context.WithCancel(ctx)
	var syncer sync.WaitGroup
	syncer.Go(func() { syncFailed <- s.syncBatches(syncCtx, l) })
	defer syncer.Wait()
	defer stop()
	appended := 0
	for {
		select {
		case <-s.wake:
		case err := <-syncFailed:
			return err
		case <-ctx.Done():
			return nil
		}
		n, err := s.writeBatches(l)
		if err != nil {
			return err
		}
		if appended += n; appended >= checkpointBytes {
			if err := s.checkpoint(l); err != nil {
				return err
			}
			appended = 0
		}
	}
}

// writeBatches writes what is pending, in one entry, and leaves it to syncBatches.
func (s *Store) writeBatches(l *wal.Log) (bytes int, err error) {
	batches := s.take(&s.pending)
	var records []Record
	for _, b := range batches {
		records = append(records, b.records...)
	}
	var data []byte
	if len(records) > 0 {
		if data, err = codec.Marshal(Pack(records)); err == nil {
			err = l.Write(data)
		}
	}
	s.mu.Lock()
	s.written = append(s.written, batches...)
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	raise(s.sync)
	return len(data), nil
}

// syncBatches syncs what was written until ctx ends or the disk fails.
func (s *Store) syncBatches(ctx context.Context, l *wal.Log) error {
	for {
		select {
		case <-s.sync:
		case <-ctx.Done():
			return nil
		}
		batches, began := s.take(&s.written), time.Now()
		err := l.Sync()
		if took := time.Since(began); took > slowSync {
			s.log.Warn().Dur("took", took).Int("batches", len(batches)).Msg("disk syncs records of streams' versions slowly")
		}
		release(batches, err == nil)
		if err != nil {
			return err
		}
	}
}

func (s *Store) take(from *[]pendingBatch) []pendingBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batches := *from
	*from = nil
	return batches
}

// release tells those who wait whether their records are on disk.
func release(batches []pendingBatch, synced bool) {
	for _, b := range batches {
		b.synced <- synced
	}
}

// checkpoint writes the live records and drops the older part of the file.
func (s *Store) checkpoint(l *wal.Log) error {
	s.mu.Lock()
	records := s.table.all(time.Now())
	s.mu.Unlock()
	var entries [][]byte
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), batchCheckpointRecords)
		data, err := codec.Marshal(Pack(records[:n]))
		if err != nil {
			return err
		}
		entries = append(entries, data)
		records = records[n:]
	}
	return l.Checkpoint(entries...)
}
