// Package waltest provides an in-memory file system for tests. A simulated crash drops
// data that was not synced, and tests can inject failures.
package waltest

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Errors that FS returns for injected failures.
var (
	ErrCrashed = errors.New("waltest: crashed")
	ErrSync    = errors.New("waltest: sync failed")
	ErrFull    = errors.New("waltest: no space left")
)

type inode struct {
	data   []byte
	synced []byte
}

// FS implements wal.FS in memory. It counts the operations that change the disk, which
// lets a test crash at each of them. It is safe for concurrent use.
type FS struct {
	mu             sync.Mutex
	live           map[string]*inode // the files as the process sees them
	durable        map[string]*inode // the directory entries that survive a crash
	operations     int
	crashAt        int // 0 means never
	crashed        bool
	failSync       bool
	stalled        chan struct{} // syncs wait until it is closed; nil: they do not
	syncDelay      time.Duration // how long each sync of a file takes
	remainingBytes int           // bytes that can still be written; negative means no limit
}

// New returns an empty FS without injected failures.
func New() *FS {
	return &FS{live: map[string]*inode{}, durable: map[string]*inode{}, remainingBytes: -1}
}

// CrashAt makes the op-th operation from now on, and all later ones, fail with
// ErrCrashed.
func (f *FS) CrashAt(op int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operations, f.crashAt = 0, op
}

// FailSync makes every sync of a file fail with ErrSync while on is true.
func (f *FS) FailSync(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = on
}

// StallSync makes every sync of a file wait while on is true.
func (f *FS) StallSync(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.stalled == nil:
		f.stalled = make(chan struct{})
	case !on && f.stalled != nil:
		close(f.stalled)
		f.stalled = nil
	}
}

// DelaySync makes every sync of a file take d, in the time of testing/synctest.
func (f *FS) DelaySync(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncDelay = d
}

// awaitSync waits for the delay of a sync and while syncs are stalled.
func (f *FS) awaitSync() {
	f.mu.Lock()
	stalled, delay := f.stalled, f.syncDelay
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if stalled != nil {
		<-stalled
	}
}

// LimitSpace sets the number of bytes that can still be written; negative means no
// limit. Writes beyond it fail with ErrFull.
func (f *FS) LimitSpace(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remainingBytes = bytes
}

// Crashed reports whether the crash set by CrashAt has occurred.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// Crash drops all data that is not synced and makes the FS usable again, as after a
// restart. keep returns how many of a file's unsynced bytes reached the disk
// nevertheless; nil means none.
func (f *FS) Crash(keep func(unsynced int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		n := f.durable[name]
		data := slices.Clone(n.synced)
		if len(n.data) > len(n.synced) && keep != nil {
			rest := n.data[len(n.synced):]
			data = append(data, rest[:min(keep(len(rest)), len(rest))]...)
		}
		f.live[name] = &inode{data: data, synced: slices.Clone(data)}
	}
	f.durable = maps.Clone(f.live)
	f.crashed, f.crashAt = false, 0
}

// Restart makes the FS usable again after the process was killed. All that was written
// is kept.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed, f.crashAt = false, 0
}

// CorruptByte inverts one byte of a file. A second call with the same arguments
// restores it.
func (f *FS) CorruptByte(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[name].data[offset] ^= 0xFF
}

// countOperation counts an operation and returns ErrCrashed at and after the crash.
func (f *FS) countOperation() error {
	f.operations++
	if f.crashAt > 0 && f.operations >= f.crashAt {
		f.crashed = true
	}
	if f.crashed {
		return ErrCrashed
	}
	return nil
}

// MkdirAll implements wal.FS.
func (f *FS) MkdirAll(string) error { return nil }

// Lock implements wal.FS. It always succeeds, because a test has one process.
func (f *FS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.live {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.live[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.live[name] = n
	return &file{fs: f, n: n}, nil
}

// Append implements wal.FS.
func (f *FS) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.live[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{fs: f, n: n}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	f.live[to] = f.live[from]
	delete(f.live, from)
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	delete(f.live, name)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	inDir := func(name string, _ *inode) bool { return filepath.Dir(name) == filepath.Clean(dir) }
	maps.DeleteFunc(f.durable, inDir)
	for name, n := range f.live {
		if inDir(name, n) {
			f.durable[name] = n
		}
	}
	return nil
}

type file struct {
	fs *FS
	n  *inode
}

// Write implements wal.File. On a full disk it writes the bytes that fit.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOperation(); err != nil {
		// The crash may occur during the write: the bytes count as written but not
		// synced.
		f.n.data = append(f.n.data, p...)
		return 0, err
	}
	if f.fs.remainingBytes >= 0 && len(p) > f.fs.remainingBytes {
		f.n.data = append(f.n.data, p[:f.fs.remainingBytes]...)
		written := f.fs.remainingBytes
		f.fs.remainingBytes = 0
		return written, ErrFull
	}
	if f.fs.remainingBytes >= 0 {
		f.fs.remainingBytes -= len(p)
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	f.n.data = f.n.data[:size:size]
	return nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.fs.awaitSync()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	if f.fs.failSync {
		return ErrSync
	}
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
