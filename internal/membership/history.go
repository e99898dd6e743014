package membership

import (
	"fmt"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// History is a VM's copy of the list and of its recent versions, fed by the
// part's changes. It is not safe for concurrent use.
type History struct {
	views    []View // newest first
	formedAt uint64
}

// Take adds an encoded change.
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

// trim keeps what the part keeps, by the times that the versions carry.
func (h *History) trim() {
	for i, v := range h.views {
		// views[i] ended when views[i-1] came.
		if i >= keepAtMost || i >= keepAtLeast && h.views[0].AtMS-h.views[i-1].AtMS >= keepFor.Milliseconds() {
			h.views = h.views[:i]
			return
		}
		if v.Version < h.formedAt && i > 0 {
			h.views = h.views[:i]
			return
		}
	}
}

// Present is the newest version; its Version is 0 before the first.
func (h *History) Current() View {
	if len(h.views) == 0 {
		return View{}
	}
	return h.views[0]
}

// Formed reports whether enough VMs have joined to place journals by the list.
func (h *History) Formed() bool {
	return h.formedAt != 0 && len(h.views) > 0 && h.views[0].Version >= h.formedAt
}

// Views are the kept versions, newest first. The caller must not change them.
func (h *History) Views() []View { return h.views }
