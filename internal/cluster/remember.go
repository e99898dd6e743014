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

// The load pattern. All processes are killed at once and are back within a second
// or two. The engines went on meanwhile and still keep the copies of all streams,
// but nobody knows any more where. Every caller asks for the rest, and all prompts
// are read anew at the very moment when the system has most to catch up with.
//
// So a control process writes down where copies are kept, some times a second.

// rememberEvery is how often that is written, where it has changed. A stream that
// began since is read anew.
const rememberEvery = 400 * time.Millisecond

// keptFile is the file's name in the data folder.
const keptFile = "copies"

// remembered is the file's content. SavedMS is of the wall clock: nothing rests on
// it, an engine that has dropped a copy refuses it.
type remembered struct {
	SavedMS int64                  `cbor:"1,keyasint"`
	Kept    []forward.ResumableRun `cbor:"2,keyasint"`
}

// Recall reads what was written before this process started.
func (h *Hub) LoadRuns(fsys wal.FS, dir string) {
	data, err := wal.ReadFile(fsys, filepath.Join(dir, keptFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var r remembered
	if err == nil {
		err = codec.Unmarshal(data, &r)
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("copies not recalled")
		return
	}
	age := time.Since(time.UnixMilli(r.SavedMS))
	h.mu.Lock()
	defer h.mu.Unlock()
	if age < forgetAfter {
		now := time.Now()
		h.recalled, h.copiesTo, h.recalledTo = r.Kept, now.Add(keptFor-max(age, 0)), now.Add(forgetAfter-max(age, 0))
	}
	h.log.Info().Int("copies", len(h.recalled)).Dur("age", age).Msg("copies recalled")
}

// Remember writes where copies are kept until ctx ends. A disk that is slow or full
// costs the memory of copies, and holds nothing else up.
func (h *Hub) RunSaver(ctx context.Context, fsys wal.FS, dir string) {
	var last []byte
	failing := false
	for timer.Sleep(ctx, rememberEvery) == nil {
		h.mu.Lock()
		kept := h.allKept(time.Now())
		h.mu.Unlock()
		slices.SortFunc(kept, func(a, b forward.ResumableRun) int {
			return cmp.Or(cmp.Compare(a.Identity, b.Identity), strings.Compare(a.Copy.ID, b.Copy.ID), strings.Compare(a.PrefillEngine, b.PrefillEngine))
		})
		data, err := codec.Marshal(kept)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		err = h.save(fsys, dir, kept)
		if err != nil && !failing {
			h.log.Warn().Err(err).Msg("copies not written down")
		}
		failing = err != nil
		last = data
	}
}

func (h *Hub) save(fsys wal.FS, dir string, kept []forward.ResumableRun) error {
	data, err := codec.Marshal(remembered{SavedMS: time.Now().UnixMilli(), Kept: kept})
	if err != nil {
		return err
	}
	return wal.WriteFile(fsys, filepath.Join(dir, keptFile), data)
}
