package membership

import (
	"fmt"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// History is a VM's replica of the list and of its recent versions. It is updated by the
// changes of the StateMachine. It is not safe for concurrent use.
type History struct {
	views    []View // newest first
	formedAt uint64
}

// Apply adds the versions of an encoded change that are newer than the newest one held.
func (h *History) Apply(data []byte) error {
	var c change
	if err := codec.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("membership: change: %w", err)
	}
	h.formedAt = c.FormedAt
	for _, v := range c.Views {
		if len(h.views) == 0 || v.Version > h.views[0].Version {
			h.views = slices.Insert(h.views, 0, v)
		}
	}
	h.trim()
	return nil
}

// trim removes the versions that the StateMachine has removed, judged by the times that the
// versions carry.
func (h *History) trim() {
	for i, v := range h.views {
		// views[i] was replaced when views[i-1] was committed.
		if i >= maxVersions || i >= minVersions && h.views[0].AtMS-h.views[i-1].AtMS >= versionRetention.Milliseconds() {
			h.views = h.views[:i]
			return
		}
		if v.Version < h.formedAt && i > 0 {
			h.views = h.views[:i]
			return
		}
	}
}

// Current returns the newest version; its Version is 0 before the first change.
func (h *History) Current() View {
	if len(h.views) == 0 {
		return View{}
	}
	return h.views[0]
}

// Formed reports whether enough VMs have joined to place journals by the current list.
func (h *History) Formed() bool {
	return h.formedAt != 0 && len(h.views) > 0 && h.views[0].Version >= h.formedAt
}

// Views returns the retained versions, newest first. The caller must not change them.
func (h *History) Views() []View { return h.views }
