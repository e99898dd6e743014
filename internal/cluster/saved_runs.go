package cluster

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// The load pattern. All processes are killed at once and restart within a second or two.
// The engines kept running and still hold the backup copies of all streams, but no process
// knows where they are. Every caller asks for the rest of its stream, and all prompts are
// prefilled again at the moment of the largest backlog.
//
// Therefore a control process saves the locations of the copies several times a second.

// saveInterval is the time between two saves, if the locations have changed. The prompt
// of a stream that started after the last save is prefilled again.
const saveInterval = 400 * time.Millisecond

// copiesFile is the name of the file in the data folder.
const copiesFile = "copies"

// copiesRecord is the content of the file. SavedMS is wall clock time. Correctness does
// not depend on it, because an engine refuses a copy that it has dropped.
type copiesRecord struct {
	SavedMS int64                 `cbor:"1,keyasint"`
	Runs    []forward.ReportedRun `cbor:"2,keyasint"`
}

// LoadRuns reads the stream runs that a former process saved in dir, unless they are older
// than forgetAfter. A file that cannot be read is logged and ignored.
func (h *Hub) LoadRuns(fsys wal.FS, dir string) {
	data, err := wal.ReadFile(fsys, filepath.Join(dir, copiesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var r copiesRecord
	if err == nil {
		err = codec.Unmarshal(data, &r)
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("saved locations of backup copies could not be read; affected prompts are computed again")
		return
	}
	age := time.Since(time.UnixMilli(r.SavedMS))
	h.mu.Lock()
	defer h.mu.Unlock()
	if age < forgetAfter {
		now := time.Now()
		h.savedRuns, h.copiesExpireAt, h.savedRunsExpireAt = r.Runs, now.Add(copyLifetime-max(age, 0)), now.Add(forgetAfter-max(age, 0))
	}
	h.log.Info().Int("copies", len(h.savedRuns)).Dur("age", age).Msg("saved locations of backup copies loaded")
}

// RunSaver saves the stream runs of all VMs in dir until ctx ends. A slow or full disk
// only loses the locations of copies and blocks nothing else.
func (h *Hub) RunSaver(ctx context.Context, fsys wal.FS, dir string) {
	var last []byte
	failing := false
	for timer.Sleep(ctx, saveInterval) == nil {
		h.mu.Lock()
		runs := slices.Collect(h.allRuns(time.Now()))
		h.mu.Unlock()
		slices.SortFunc(runs, func(a, b forward.ReportedRun) int {
			return cmp.Or(cmp.Compare(a.Content, b.Content), cmp.Compare(a.Stream, b.Stream), strings.Compare(a.Router, b.Router), strings.Compare(a.Copy.ID, b.Copy.ID), strings.Compare(a.PrefillEngine, b.PrefillEngine))
		})
		data, err := codec.Marshal(runs)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		err = h.save(fsys, dir, runs)
		if err != nil && !failing {
			h.log.Warn().Err(err).Msg("locations of backup copies could not be saved; they are lost with this process")
		}
		failing = err != nil
		last = data
	}
}

func (h *Hub) save(fsys wal.FS, dir string, runs []forward.ReportedRun) error {
	data, err := codec.Marshal(copiesRecord{SavedMS: time.Now().UnixMilli(), Runs: runs})
	if err != nil {
		return err
	}
	return wal.WriteFile(fsys, filepath.Join(dir, copiesFile), data)
}
