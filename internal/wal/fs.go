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

// FS is what the log needs of a file system. Names are full paths.
type FS interface {
	MkdirAll(dir string) error
	// Lock keeps a folder for this process until it is closed or ends.
	Lock(dir string) (io.Closer, error)
	// List returns the names of the files in dir, sorted, without the path.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing and empties it.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creations, renames and removals in dir durable.
	SyncDir(dir string) error
}

// File is a file open for writing at its end.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// OS is the FS of the operating system.
type OS struct{}

const (
	dirMode  fs.FileMode = 0o700
	fileMode fs.FileMode = 0o600
)

// MkdirAll implements FS. The parent of each new folder is synced: a folder that
// vanishes with a crash takes every synced file in it along.
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

// ErrInUse reports a folder that another process has locked.
var ErrInUse = errors.New("folder in use by another process")

// Lock implements FS. Two processes on one log would both answer for one voter.
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
