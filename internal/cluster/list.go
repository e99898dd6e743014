package cluster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The load pattern. Of several hundred backend servers some start or leave each
// second. Sent whole to every VM with each change, by every control VM that it asks,
// a list of 700 rows is 60 KB some times a second for each of hundreds of VMs, and
// the control VMs do nothing else. So a VM says which list it holds, and gets what has
// changed since; where that is not known any more it fetches the whole: see fetch.go.

// formerLists is how many lists back a VM may be: with one more every 0.4 s it may
// miss seven answers in a row. One further back fetches the list whole.
const formerLists = 8

// Difference is what leads from one list of backend servers to another.
type Difference struct {
	// Base is the digest of the list that it starts from; 0: from none.
	Base    uint64             `cbor:"1,keyasint,omitempty"`
	Rows    []upstream.Backend `cbor:"2,keyasint,omitempty"` // new or changed
	Removed []string           `cbor:"3,keyasint,omitempty"` // ids
}

// PackedDifference is a Difference as it is sent: a zone's loss changes a third of the
// rows, which hundreds of VMs are told at once.
type PackedDifference struct {
	Data []byte `cbor:"2,keyasint"` // encoded and compressed
}

func (d Difference) pack() (PackedDifference, error) {
	data, err := codec.MarshalPacked(d)
	return PackedDifference{Data: data}, err
}

func (p *PackedDifference) unpack() (d Difference, err error) {
	err = codec.UnmarshalPacked(p.Data, maxListBytes, &d)
	return d, err
}

// Held is a VM's copy of the list of backend servers with its age. Safe for
// concurrent use.
//
// Age, not a version, orders lists: they are read from the platform by one VM
// after another, which share no counter. It is counted on the monotonic clock and
// on the wall clock, and the larger counts: a VM that was suspended must not pass
// a list on as fresh.
type ListReplica struct {
	mu     sync.Mutex
	list   upstream.List
	digest uint64
	listed bool
	took   func(upstream.List)
	keeps  bool                  // former lists, for other VMs
	former []former              // with the one held as the last
	since  map[uint64]Difference // to the one held, by base; kept until the next
	told   map[uint64]PackedDifference

	packing sync.Mutex
	packed  PackedList // of the list held when it was last asked for whole
}

type former struct {
	digest uint64
	rows   []upstream.Backend
}

// NewHeld returns an empty Held; took gets each list that is taken.
func NewListReplica(took func(upstream.List)) *ListReplica { return &ListReplica{took: took} }

// KeepFormer has former lists kept, for a control VM to tell others what has changed.
// A VM that only follows has no use for them, and up to eight lists less in memory.
func (h *ListReplica) KeepHistory() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeps = true
}

// Take takes rows that were read age ago, unless what is held was read later.
func (h *ListReplica) Update(rows []upstream.Backend, age time.Duration) {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, byID)
	// A row named twice would be lost in every difference, and the digest with it.
	rows = slices.CompactFunc(rows, func(a, b upstream.Backend) bool { return a.ID == b.ID })
	h.take(rows, digestOf(rows), age)
}

func byID(a, b upstream.Backend) int { return strings.Compare(a.ID, b.ID) }

// Confirm notes that the rows held were still the platform's age ago.
func (h *ListReplica) Confirm(digest uint64, age time.Duration) {
	h.mu.Lock()
	same := h.listed && h.digest == digest
	rows := h.list.Backends
	h.mu.Unlock()
	if same {
		h.take(rows, digest, age)
	}
}

// Patch takes the list that a difference leads to, by its digest. It reports false
// where the outcome is another list: the rows held are not what they were taken for,
// and the list is to be asked for whole. A difference from a list that is not held any
// more is late, and changes nothing.
func (h *ListReplica) Patch(d Difference, digest uint64, age time.Duration) bool {
	h.mu.Lock()
	held, rows := h.digest, h.list.Backends
	h.mu.Unlock()
	switch {
	case held == digest:
		h.Confirm(digest, age)
		return true
	case d.Base == 0:
		rows = nil
	case d.Base != held:
		return true
	}
	rows = d.apply(rows)
	if digestOf(rows) != digest {
		return false
	}
	h.take(rows, digest, age)
	return true
}

func (h *ListReplica) take(rows []upstream.Backend, digest uint64, age time.Duration) {
	h.mu.Lock()
	asOf := time.Now().Add(-age)
	if h.listed && !asOf.After(h.list.AsOf) {
		h.mu.Unlock()
		return
	}
	h.list = upstream.List{Backends: rows, AsOf: asOf}
	if h.keeps && digest != h.digest {
		h.remember(former{digest, rows})
	}
	h.digest, h.listed = digest, true
	list := h.list
	h.mu.Unlock()
	h.took(list)
}

// remember needs h.mu.
func (h *ListReplica) remember(f former) {
	h.since, h.told = map[uint64]Difference{}, map[uint64]PackedDifference{}
	h.former = append(h.former, f)
	if len(h.former) > formerLists {
		h.former = slices.Delete(h.former, 0, 1)
	}
}

// Now returns the rows held with their digest and age; ok is false before the
// first.
func (h *ListReplica) Current() (rows []upstream.Backend, digest uint64, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	age = max(now.Sub(h.list.AsOf), now.Round(0).Sub(h.list.AsOf.Round(0)))
	return h.list.Backends, h.digest, age, h.listed
}

// Since is what leads to the list held, whose digest it returns, from the one with
// a digest; false where that is not known any more or would be longer than the list. It
// is worked out once for all VMs that hold the same.
func (h *ListReplica) DifferenceSince(digest uint64) (d Difference, held uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok = h.differenceFrom(digest)
	return d, h.digest, ok
}

// differenceFrom needs h.mu.
func (h *ListReplica) differenceFrom(digest uint64) (d Difference, ok bool) {
	if d, ok := h.since[digest]; ok {
		return d, true
	}
	for _, f := range h.former {
		if f.digest != digest {
			continue
		}
		if from := between(f, h.list.Backends); len(from.Rows)+len(from.Removed) < len(h.list.Backends) {
			h.since[digest] = from
			return from, true
		}
	}
	return d, false
}

// PackedSince is Since as it is sent, packed once for all VMs that hold the same.
func (h *ListReplica) PackedDifferenceSince(digest uint64) (p PackedDifference, held uint64, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.told[digest]; ok {
		return p, h.digest, true, nil
	}
	d, ok := h.differenceFrom(digest)
	if !ok {
		return p, h.digest, false, nil
	}
	if p, err = d.pack(); err != nil {
		return p, h.digest, false, err
	}
	h.told[digest] = p
	return p, h.digest, true, nil
}

// between works out what leads from a list to rows.
func between(base former, rows []upstream.Backend) Difference {
	was := rowsByID(base.rows)
	d := Difference{Base: base.digest}
	for _, row := range rows {
		if old, ok := was[row.ID]; !ok || old != row {
			d.Rows = append(d.Rows, row)
		}
		delete(was, row.ID)
	}
	d.Removed = slices.Sorted(maps.Keys(was))
	return d
}

// apply returns the rows after the difference, in order of id.
func (d Difference) apply(rows []upstream.Backend) []upstream.Backend {
	next := rowsByID(rows)
	for _, id := range d.Removed {
		delete(next, id)
	}
	for _, row := range d.Rows {
		next[row.ID] = row
	}
	return slices.SortedFunc(maps.Values(next), byID)
}

func rowsByID(rows []upstream.Backend) map[string]upstream.Backend {
	out := make(map[string]upstream.Backend, len(rows))
	for _, row := range rows {
		out[row.ID] = row
	}
	return out
}

func digestOf(rows []upstream.Backend) uint64 {
	data, err := codec.Marshal(rows)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return xxhash.Sum64(data)
}
