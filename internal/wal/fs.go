package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// FS is the interface of the file system that the log uses. Names are full paths.
type FS interface {
	MkdirAll(dir string) error
	// Lock locks a directory for this process until the returned Closer is closed or
	// the process exits.
	Lock(dir string) (io.Closer, error)
	// List returns the names of the files in dir, sorted, without the path.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one, and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creations, renames and removals in dir durable.
	SyncDir(dir string) error
}

// File is a file that is open for appending.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// OS implements FS on the operating system's file system.
type OS struct{}

const (
	dirMode  fs.FileMode = 0o700
	fileMode fs.FileMode = 0o600
)

// MkdirAll implements FS. It syncs the parent of each new directory. Otherwise a crash
// could remove a new directory together with the synced files in it.
func (OS) MkdirAll(dir string) error {
	var parents []string
	for d := filepath.Clean(dir); ; d = filepath.Dir(d) {
		parents = append(parents, filepath.Dir(d))
		if _, err := os.Stat(filepath.Dir(d)); err == nil {
			break
		}
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	for _, p := range parents {
		if err := (OS{}).SyncDir(p); err != nil {
			return err
		}
	}
	return nil
}

// ErrInUse reports a directory that another process has locked.
var ErrInUse = errors.New("folder in use by another process")

// Lock implements FS. Without the lock two processes could act as the same voter.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_WRONLY|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %s", ErrInUse, dir), f.Close())
	}
	return f, nil
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
