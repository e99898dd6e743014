package wal

import (
	"errors"
	"fmt"
	iofs "io/fs"
	"path/filepath"
	"strings"
)

// WriteFile replaces a file atomically: it writes and syncs a temporary file, renames
// it and syncs the directory. After a crash the file has either its old or its new
// content.
func WriteFile(fs FS, name string, payload []byte) error {
	temp := name + tempSuffix
	file, err := fs.Create(temp)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	_, err = file.Write(appendFrame(nil, frame{kind: kindEntry, payload: payload}))
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := fs.Rename(temp, name); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}

// ReadFile returns the payload of a file that WriteFile wrote. The error wraps
// fs.ErrNotExist if the file does not exist, and is a DamageError if the file is
// incomplete or damaged.
func ReadFile(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	f, size, ok := parseFrame(data)
	if !ok || size != len(data) {
		return nil, &DamageError{File: name, Reason: "checksum or header wrong"}
	}
	return f.payload, nil
}

// RemoveBefore removes the files in dir whose names start with prefix and sort before
// the name keep.
func RemoveBefore(fs FS, dir, prefix, keep string) error {
	names, err := fs.List(dir)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	for _, name := range names {
		if name >= keep || !strings.HasPrefix(name, prefix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, iofs.ErrNotExist) {
			return fmt.Errorf("wal: %w", err)
		}
	}
	return fs.SyncDir(dir)
}
