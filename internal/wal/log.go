// Package wal keeps the consensus group's log and snapshots on a VM's disk.
//
// Safeguards. Append returns only after the file is synced, and a new file's
// folder too: otherwise a crash forgets a vote or an acknowledged entry. Every
// append is one frame under one checksum, so that a crash in mid-write leaves
// exactly one broken frame, at the end: it was never acknowledged and is cut. A
// broken frame with a whole one after it cannot come from a crash: it is an
// error. After a failed write or sync the log takes nothing more: the kernel may
// have dropped the dirty pages and report success at the next sync.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
)

const (
	segmentPrefix = "segment-"
	segmentSuffix = ".log"
	tempSuffix    = ".tmp"
	// segmentBytes is when a new file is begun: small enough that a checkpoint
	// frees space soon, large enough that folder syncs are rare.
	segmentBytes = 8 << 20
)

// ErrUnusable is wrapped by each error after a failed write or sync. The process
// must end and open the log again.
var ErrUnusable = errors.New("wal: log unusable")

// Log is an append-only log of opaque entries. Safe for concurrent use.
type Log struct {
	fs   FS
	dir  string
	lock io.Closer

	mu       sync.Mutex
	file     File
	size     int64
	next     uint64   // sequence number of the next frame
	segments []string // oldest first; the last is open
	buf      []byte
	broken   error
}

// Open reads the log in dir, which is created where it is missing, and returns
// the payloads from the last checkpoint on. A torn tail is cut.
func Open(fs FS, dir string) (*Log, [][]byte, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	lock, err := fs.Lock(dir)
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	l := &Log{fs: fs, dir: dir, lock: lock, next: 1}
	frames, err := l.read()
	if err == nil && l.file == nil {
		err = l.begin()
	}
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	return l, payloads(frames), nil
}

func payloads(frames []frame) [][]byte {
	var out [][]byte
	for _, f := range frames {
		if f.kind == kindCheckpoint {
			out = nil
		}
		out = append(out, f.payload)
	}
	return out
}

func (l *Log) read() ([]frame, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix) {
			l.segments = append(l.segments, name)
		}
	}
	var all []frame
	for i, name := range l.segments {
		frames, err := l.readSegment(name, i == 0, i == len(l.segments)-1)
		if err != nil {
			return nil, err
		}
		all = append(all, frames...)
	}
	return all, nil
}

func (l *Log) readSegment(name string, first, last bool) ([]frame, error) {
	path := filepath.Join(l.dir, name)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	var start uint64
	if _, err := fmt.Sscanf(name, segmentPrefix+"%x"+segmentSuffix, &start); err != nil {
		return nil, &DamageError{File: path, Reason: "the name is no segment's"}
	}
	if first {
		l.next = start
	}
	if start != l.next {
		return nil, &DamageError{File: path, Reason: fmt.Sprintf("begins at entry %d; entry %d is missing", start, l.next)}
	}
	frames, good, err := l.parse(path, data, last)
	if err != nil {
		return nil, err
	}
	if last {
		return frames, l.reopen(path, good, int64(len(data)))
	}
	return frames, nil
}

// parse returns the whole frames and where they end.
func (l *Log) parse(path string, data []byte, last bool) ([]frame, int64, error) {
	var frames []frame
	at := 0
	for at < len(data) {
		f, size, ok := parseFrame(data[at:])
		if !ok {
			if last && !wholeFrameAfter(data[at+1:]) {
				break // a torn tail
			}
			return nil, 0, &DamageError{File: path, Offset: int64(at), Reason: "checksum or header wrong"}
		}
		if f.seq != l.next {
			return nil, 0, &DamageError{File: path, Offset: int64(at), Reason: fmt.Sprintf("entry %d where %d belongs", f.seq, l.next)}
		}
		frames = append(frames, f)
		l.next++
		at += size
	}
	return frames, int64(at), nil
}

// reopen cuts what follows the last whole frame and syncs before anything is
// appended: bytes of the torn frame must not stand behind a later one. The sync
// also covers frames that were written but not synced before a crash of the
// process alone: they are about to be acted upon.
func (l *Log) reopen(path string, good, size int64) error {
	file, err := l.fs.Append(path)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if good < size {
		if err := file.Truncate(good); err != nil {
			return errors.Join(fmt.Errorf("wal: %w", err), file.Close())
		}
	}
	if err := errors.Join(file.Sync(), l.fs.SyncDir(l.dir)); err != nil {
		return errors.Join(fmt.Errorf("wal: %w", err), file.Close())
	}
	l.file, l.size = file, good
	return nil
}

// begin opens a new segment and makes its name durable.
func (l *Log) begin() error {
	name := fmt.Sprintf("%s%016x%s", segmentPrefix, l.next, segmentSuffix)
	file, err := l.fs.Create(filepath.Join(l.dir, name))
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return errors.Join(fmt.Errorf("wal: %w", err), file.Close())
	}
	l.file, l.size = file, 0
	l.segments = append(l.segments, name)
	return nil
}

// Append writes payload and syncs it. It is durable once nil is returned; after
// an error the log is unusable.
func (l *Log) Append(payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.size >= segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	return l.write(frame{kind: kindEntry, payload: payload})
}

// Checkpoint replaces the log's content by payload and frees the space.
func (l *Log) Checkpoint(payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.roll(); err != nil {
		return err
	}
	if err := l.write(frame{kind: kindCheckpoint, payload: payload}); err != nil {
		return err
	}
	return l.removeOld()
}

// removeOld removes oldest first, so that a crash in between leaves no hole.
func (l *Log) removeOld() error {
	for len(l.segments) > 1 {
		if err := l.fs.Remove(filepath.Join(l.dir, l.segments[0])); err != nil {
			return l.fail(err)
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) roll() error {
	if l.broken != nil {
		return l.broken
	}
	if l.size == 0 {
		return nil
	}
	if err := l.file.Close(); err != nil {
		return l.fail(err)
	}
	if err := l.begin(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) write(f frame) error {
	if l.broken != nil {
		return l.broken
	}
	if len(f.payload) > MaxFrameBytes {
		return fmt.Errorf("wal: entry of %d bytes exceeds %d", len(f.payload), MaxFrameBytes)
	}
	f.seq = l.next
	l.buf = appendFrame(l.buf[:0], f)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.next++
	l.size += int64(len(l.buf))
	return nil
}

func (l *Log) fail(err error) error {
	l.broken = fmt.Errorf("%w: %w", ErrUnusable, err)
	return l.broken
}

// Close closes the files. What was appended is durable already.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken == nil {
		l.broken = fmt.Errorf("%w: closed", ErrUnusable)
	}
	return errors.Join(l.file.Close(), l.lock.Close())
}
