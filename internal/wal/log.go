// Package wal stores the control group's log and snapshots on a VM's disk.
//
// Append returns only after the file is synced and, for a new file, its directory too.
// Otherwise a crash could lose a vote or an acknowledged entry. Every append is one
// frame with one checksum. A crash during a write therefore leaves exactly one
// incomplete frame at the end of the log, which was never acknowledged and is
// truncated. A damaged frame that is followed by a complete one cannot result from a
// crash and is reported as an error. After a failed write or sync the log refuses all
// further writes: the kernel may have dropped the dirty pages and may report success
// for the next sync.
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
	// segmentBytes is the size from which on a new segment file is started. It is small
	// enough that a checkpoint frees space soon, and large enough that directory syncs
	// are rare.
	segmentBytes = 8 << 20
)

// ErrUnusable is wrapped by every error after a failed write or sync. The process must
// exit and open the log again.
var ErrUnusable = errors.New("wal: log unusable")

// Log is an append-only log of opaque entries. It is safe for concurrent use.
type Log struct {
	fs   FS
	dir  string
	lock io.Closer

	mu       sync.Mutex
	file     File
	size     int64
	nextSeq  uint64   // sequence number of the next frame
	segments []string // file names, oldest first; the last one is open for writing
	buf      []byte
	unsynced bool // frames were written without a sync
	failure  error
}

// Open opens the log in dir and returns the payloads from the last checkpoint on. It
// creates dir if it is missing, locks it, and truncates an incomplete last frame. The
// caller must close the log.
func Open(fs FS, dir string) (*Log, [][]byte, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	lock, err := fs.Lock(dir)
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	l := &Log{fs: fs, dir: dir, lock: lock, nextSeq: 1}
	frames, err := l.readSegments()
	if err == nil && l.file == nil {
		err = l.createSegment()
	}
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	return l, payloads(frames), nil
}

func payloads(frames []frame) [][]byte {
	var out, parts [][]byte
	for _, f := range frames {
		switch f.kind {
		case kindCheckpointPart:
			parts = append(parts, f.payload)
			continue
		case kindCheckpoint:
			out = parts
		}
		out, parts = append(out, f.payload), nil
	}
	return out
}

func (l *Log) readSegments() ([]frame, error) {
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
		return nil, &DamageError{File: path, Reason: "file name is not a segment name"}
	}
	if first {
		l.nextSeq = start
	}
	if start != l.nextSeq {
		return nil, &DamageError{File: path, Reason: fmt.Sprintf("segment begins at entry %d, but entry %d is missing", start, l.nextSeq)}
	}
	frames, validBytes, err := l.parse(path, data, last)
	if err != nil {
		return nil, err
	}
	if last {
		return frames, l.reopen(path, validBytes, int64(len(data)))
	}
	return frames, nil
}

// parse returns the complete frames in data and the offset at which they end.
func (l *Log) parse(path string, data []byte, last bool) ([]frame, int64, error) {
	var frames []frame
	at := 0
	for at < len(data) {
		f, size, ok := parseFrame(data[at:])
		if !ok {
			if last && !containsFrame(data[at+1:]) {
				break // incomplete last frame
			}
			return nil, 0, &DamageError{File: path, Offset: int64(at), Reason: "checksum or header wrong"}
		}
		if f.seq != l.nextSeq {
			return nil, 0, &DamageError{File: path, Offset: int64(at), Reason: fmt.Sprintf("got entry %d, want entry %d", f.seq, l.nextSeq)}
		}
		frames = append(frames, f)
		l.nextSeq++
		at += size
	}
	return frames, int64(at), nil
}

// reopen opens the last segment for writing. It truncates the file after the last
// complete frame and syncs it before anything is appended, because bytes of an
// incomplete frame must not remain behind a later frame. The sync also covers frames
// that were written but not synced when only the process crashed: the caller is about
// to act on them.
func (l *Log) reopen(path string, validBytes, size int64) error {
	file, err := l.fs.Append(path)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if validBytes < size {
		if err := file.Truncate(validBytes); err != nil {
			return errors.Join(fmt.Errorf("wal: %w", err), file.Close())
		}
	}
	if err := errors.Join(file.Sync(), l.fs.SyncDir(l.dir)); err != nil {
		return errors.Join(fmt.Errorf("wal: %w", err), file.Close())
	}
	l.file, l.size = file, validBytes
	return nil
}

// createSegment creates a new segment file and syncs the directory.
func (l *Log) createSegment() error {
	name := fmt.Sprintf("%s%016x%s", segmentPrefix, l.nextSeq, segmentSuffix)
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

// Append writes payload and syncs it. The payload is durable once Append returns nil.
// After a failed write or sync the log is unusable. A payload of more than
// MaxFrameBytes is refused and leaves the log usable.
func (l *Log) Append(payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.size >= segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	return l.write(frame{kind: kindEntry, payload: payload})
}

// Write writes payload without a sync. It survives the end of the process, and a loss of power
// only after a Sync. Entries that were not synced may then be damaged, and the log is reported
// as damaged if a later one is not.
func (l *Log) Write(payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.size >= segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	l.unsynced = true
	return l.writeFrame(frame{kind: kindEntry, payload: payload})
}

// Sync makes durable what was written before. Others may write meanwhile.
func (l *Log) Sync() error {
	l.mu.Lock()
	file, failure := l.file, l.failure
	l.mu.Unlock()
	if failure != nil {
		return failure
	}
	err := file.Sync()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && l.file == file { // a file that was closed meanwhile was synced before
		return l.fail(err)
	}
	return nil
}

// Checkpoint replaces the content of the log by the payloads and removes the old segments.
// The payloads are durable once Checkpoint returns nil. A crash before leaves the former content
// or the payloads.
func (l *Log) Checkpoint(payloads ...[]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.rotate(); err != nil {
		return err
	}
	if err := l.writeCheckpoint(payloads); err != nil {
		return err
	}
	return l.removeOldSegments()
}

// writeCheckpoint writes and syncs the frames of a checkpoint. The last one puts it in force.
func (l *Log) writeCheckpoint(payloads [][]byte) error {
	last := len(payloads) - 1
	for _, payload := range payloads[:last] {
		if err := l.writeFrame(frame{kind: kindCheckpointPart, payload: payload}); err != nil {
			return err
		}
	}
	return l.write(frame{kind: kindCheckpoint, payload: payloads[last]})
}

// removeOldSegments removes all segments but the last. It starts with the oldest one,
// so a crash in between leaves no gap.
func (l *Log) removeOldSegments() error {
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

func (l *Log) rotate() error {
	if l.failure != nil {
		return l.failure
	}
	if l.size == 0 {
		return nil
	}
	if l.unsynced {
		if err := l.file.Sync(); err != nil {
			return l.fail(err)
		}
		l.unsynced = false
	}
	if err := l.file.Close(); err != nil {
		return l.fail(err)
	}
	if err := l.createSegment(); err != nil {
		return l.fail(err)
	}
	return nil
}

// write writes a frame and syncs it.
func (l *Log) write(f frame) error {
	if err := l.writeFrame(f); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.unsynced = false
	return nil
}

func (l *Log) writeFrame(f frame) error {
	if l.failure != nil {
		return l.failure
	}
	if len(f.payload) > MaxFrameBytes {
		return fmt.Errorf("wal: entry of %d bytes exceeds the limit of %d bytes", len(f.payload), MaxFrameBytes)
	}
	f.seq = l.nextSeq
	l.buf = appendFrame(l.buf[:0], f)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.fail(err)
	}
	l.nextSeq++
	l.size += int64(len(l.buf))
	return nil
}

func (l *Log) fail(err error) error {
	l.failure = fmt.Errorf("%w: %w", ErrUnusable, err)
	return l.failure
}

// Close closes the log and unlocks its directory. All appended entries are already
// durable.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = fmt.Errorf("%w: closed", ErrUnusable)
	}
	return errors.Join(l.file.Close(), l.lock.Close())
}
