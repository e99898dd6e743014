package cluster

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Held is a VM's copy of the list of backend servers with its age. Safe for
// concurrent use.
//
// Age, not a version, orders lists: they are read from the platform by one VM
// after another, which share no counter. It is counted on the monotonic clock and
// on the wall clock, and the larger counts: a VM that was suspended must not pass
// a list on as fresh.
type Held struct {
	mu     sync.Mutex
	list   upstream.List
	digest uint64
	listed bool
	took   func(upstream.List)
}

// NewHeld returns an empty Held; took gets each list that is taken.
func NewHeld(took func(upstream.List)) *Held { return &Held{took: took} }

// Take takes rows that were read age ago, unless what is held was read later.
func (h *Held) Take(rows []upstream.Backend, age time.Duration) { h.take(rows, digestOf(rows), age) }

// Confirm notes that the rows held were still the platform's age ago.
func (h *Held) Confirm(digest uint64, age time.Duration) {
	h.mu.Lock()
	same := h.listed && h.digest == digest
	rows := h.list.Backends
	h.mu.Unlock()
	if same {
		h.take(rows, digest, age)
	}
}

func (h *Held) take(rows []upstream.Backend, digest uint64, age time.Duration) {
	h.mu.Lock()
	asOf := time.Now().Add(-age)
	if h.listed && !asOf.After(h.list.AsOf) {
		h.mu.Unlock()
		return
	}
	h.list = upstream.List{Backends: rows, AsOf: asOf}
	h.digest, h.listed = digest, true
	list := h.list
	h.mu.Unlock()
	h.took(list)
}

// Now returns the rows held with their digest and age; ok is false before the
// first.
func (h *Held) Now() (rows []upstream.Backend, digest uint64, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	age = max(now.Sub(h.list.AsOf), now.Round(0).Sub(h.list.AsOf.Round(0)))
	return h.list.Backends, h.digest, age, h.listed
}

func digestOf(rows []upstream.Backend) uint64 {
	data, err := codec.Marshal(rows)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return xxhash.Sum64(data)
}
