package cluster

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// The load pattern. All processes are killed at once while a content is known to crash its
// servers. Its caller sends it again, nobody remembers it, and it ends as many servers as before.
//
// Control VMs therefore save the records of suspect contents.

// contentsSaveInterval is the time between two saves, if the records have changed.
const contentsSaveInterval = 100 * time.Millisecond

// contentsFile is the name of the file in the data folder.
const contentsFile = "contents"

// LoadContents reads the records of suspect contents that a former process saved in dir. Their
// ages do not include the time since then, which only the wall clock could tell. A file that
// cannot be read is logged and ignored.
func (h *Hub) LoadContents(fsys wal.FS, dir string) {
	data, err := wal.ReadFile(fsys, filepath.Join(dir, contentsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var reports []ContentReport
	if err == nil {
		err = codec.Unmarshal(data, &reports)
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("saved records of suspect contents could not be read; contents that crash servers are tried anew")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.receive(reports, time.Now())
	h.log.Info().Int("contents", len(reports)).Msg("saved records of suspect contents loaded")
}

// RunContentsSaver saves the records of suspect contents in dir until ctx ends. A slow or full
// disk only loses records and blocks nothing else.
func (h *Hub) RunContentsSaver(ctx context.Context, fsys wal.FS, dir string) {
	saved, failing := uint64(0), false // no version is 0
	for timer.Sleep(ctx, contentsSaveInterval) == nil {
		version := h.contentsVersion()
		if version == saved {
			continue
		}
		err := h.saveContents(fsys, dir)
		if err == nil {
			saved = version
		}
		if err != nil && !failing {
			h.log.Warn().Err(err).Msg("records of suspect contents could not be saved; they are lost with this process")
		}
		failing = err != nil
	}
}

func (h *Hub) contentsVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contents.version
}

func (h *Hub) saveContents(fsys wal.FS, dir string) error {
	h.mu.Lock()
	reports := h.contents.told(time.Now())
	h.mu.Unlock()
	data, err := codec.Marshal(reports)
	if err != nil {
		return err
	}
	return wal.WriteFile(fsys, filepath.Join(dir, contentsFile), data)
}
