// Package waltest is a file system in memory that forgets at a crash what was
// not synced, and fails where a test tells it to.
package waltest

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Errors that FS returns.
var (
	ErrCrashed = errors.New("waltest: crashed")
	ErrSync    = errors.New("waltest: sync failed")
	ErrFull    = errors.New("waltest: no space left")
)

type node struct {
	data   []byte
	synced []byte
}

// FS implements wal.FS. Operations are counted, so that a test can crash at each.
type FS struct {
	mu       sync.Mutex
	live     map[string]*node // what the process sees
	durable  map[string]*node // the names that survive a crash
	ops      int
	crashAt  int // 0: never
	crashed  bool
	failSync bool
	space    int // bytes that can still be written; negative: no limit
}

// New returns an empty FS.
func New() *FS {
	return &FS{live: map[string]*node{}, durable: map[string]*node{}, space: -1}
}

// CrashAt makes the op-th operation from now, and all after it, fail.
func (f *FS) CrashAt(op int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops, f.crashAt = 0, op
}

// FailSync makes every sync of a file fail, or succeed again.
func (f *FS) FailSync(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = on
}

// Space bounds the bytes that can still be written; negative: no limit.
func (f *FS) LimitSpace(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.space = bytes
}

// Crashed reports whether the crash set by CrashAt has come.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// Crash drops what is not synced and starts anew. keep says how many of a
// file's unsynced bytes reached the disk all the same.
func (f *FS) Crash(keep func(unsynced int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = map[string]*node{}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		n := f.durable[name]
		data := slices.Clone(n.synced)
		if len(n.data) > len(n.synced) && keep != nil {
			rest := n.data[len(n.synced):]
			data = append(data, rest[:min(keep(len(rest)), len(rest))]...)
		}
		f.live[name] = &node{data: data, synced: slices.Clone(data)}
	}
	f.durable = maps.Clone(f.live)
	f.crashed, f.crashAt = false, 0
}

// Damage changes one byte of a file.
func (f *FS) CorruptByte(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[name].data[offset] ^= 0xFF
}

// step counts an operation and reports a crash.
func (f *FS) step() error {
	f.ops++
	if f.crashAt > 0 && f.ops >= f.crashAt {
		f.crashed = true
	}
	if f.crashed {
		return ErrCrashed
	}
	return nil
}

// MkdirAll implements wal.FS.
func (f *FS) MkdirAll(string) error { return nil }

// Lock implements wal.FS; a test has one process.
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
	if err := f.step(); err != nil {
		return nil, err
	}
	n := &node{}
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
	if err := f.step(); err != nil {
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
	if err := f.step(); err != nil {
		return err
	}
	delete(f.live, name)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(); err != nil {
		return err
	}
	inDir := func(name string, _ *node) bool { return filepath.Dir(name) == filepath.Clean(dir) }
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
	n  *node
}

// Write implements wal.File. A full disk takes the bytes that fit.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step(); err != nil {
		// The crash may come in mid-write: the bytes count as written, unsynced.
		f.n.data = append(f.n.data, p...)
		return 0, err
	}
	if f.fs.space >= 0 && len(p) > f.fs.space {
		f.n.data = append(f.n.data, p[:f.fs.space]...)
		written := f.fs.space
		f.fs.space = 0
		return written, ErrFull
	}
	if f.fs.space >= 0 {
		f.fs.space -= len(p)
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step(); err != nil {
		return err
	}
	f.n.data = f.n.data[:size:size]
	return nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step(); err != nil {
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
