package cluster

import (
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The load pattern. Of several hundred backend servers a few start or stop each second.
// A list of 700 rows takes 60 KB. If every control VM sent the whole list to every VM
// with each change, hundreds of VMs would each receive it several times a second, and
// the control VMs would do nothing else. Therefore a VM names the list that it holds and
// receives the changes since. If its list is no longer known, it fetches the whole list:
// see fetch.go.

// maxListHistory is how many lists a VM may lag behind. With a new list every 0.4 s it
// may miss seven replies in a row. A VM that lags further fetches the whole list.
const maxListHistory = 8

// Difference holds the changes from one list of backend servers to another.
type Difference struct {
	// Base is the digest of the list that the changes apply to; 0: the empty list.
	Base    uint64             `cbor:"1,keyasint,omitempty"`
	Rows    []upstream.Backend `cbor:"2,keyasint,omitempty"` // new or changed
	Removed []string           `cbor:"3,keyasint,omitempty"` // ids of removed rows
}

// PackedDifference is a Difference in its wire form. It is compressed because the loss
// of a zone changes a third of the rows, and hundreds of VMs receive the changes at once.
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

// ListReplica is a VM's replica of the list of backend servers with its age. Safe for
// concurrent use.
//
// Lists are ordered by age rather than by a version, because several VMs in turn read
// them from the platform and share no counter. The age is measured on the monotonic
// clock and on the wall clock, and the larger value counts. A VM that was suspended must
// not forward an old list as fresh.
type ListReplica struct {
	mu                sync.Mutex
	list              upstream.List
	digest            uint64
	hasList           bool
	onUpdate          func(upstream.List)
	keepsHistory      bool                  // whether history is recorded, for other VMs
	history           []listVersion         // oldest first; the last is the current list
	differences       map[uint64]Difference // to the current list, by base digest; cleared with each new list
	packedDifferences map[uint64]PackedDifference

	names nameTable

	packMu sync.Mutex
	packed PackedList // the list as last returned by Packed
}

type listVersion struct {
	digest uint64
	rows   []upstream.Backend
}

// NewListReplica returns an empty ListReplica that calls onUpdate with each list that
// it accepts.
func NewListReplica(onUpdate func(upstream.List)) *ListReplica {
	return &ListReplica{onUpdate: onUpdate}
}

// KeepHistory makes the replica keep former lists, from which a control VM computes the
// changes for other VMs. Other VMs don't need it and save up to eight lists of memory.
func (h *ListReplica) KeepHistory() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepsHistory = true
}

// Update replaces the list by rows. The parameter age is the time since these rows were
// read from the platform. Update does nothing if the current list was read later.
func (h *ListReplica) Update(rows []upstream.Backend, age time.Duration) {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, upstream.CompareID)
	// A duplicate row would get lost in every difference and make the digests differ.
	rows = slices.CompactFunc(rows, func(a, b upstream.Backend) bool { return a.ID == b.ID })
	h.mu.Lock()
	former := h.list.Backends
	h.mu.Unlock()
	h.names.share(rows)
	rows = reuseRows(rows, former)
	h.store(rows, digestOf(rows), age)
}

// Confirm records that the platform's list was read and had the given digest. The
// parameter age is the time since that read. Confirm updates the read time of the current
// list if that list has the same digest and was read earlier; otherwise it does nothing.
func (h *ListReplica) Confirm(digest uint64, age time.Duration) {
	h.mu.Lock()
	same := h.hasList && h.digest == digest
	rows := h.list.Backends
	h.mu.Unlock()
	if same {
		h.store(rows, digest, age)
	}
}

// Patch applies a difference that leads to the list with this digest. It returns false
// if the result has another digest: the current rows are then not those that the sender
// assumed, and the caller must fetch the whole list. A difference whose base is no
// longer the current list arrived late and is ignored.
func (h *ListReplica) Patch(d Difference, digest uint64, age time.Duration) bool {
	h.mu.Lock()
	current, rows := h.digest, h.list.Backends
	h.mu.Unlock()
	switch {
	case current == digest:
		h.Confirm(digest, age)
		return true
	case d.Base == 0:
		rows = nil
	case d.Base != current:
		return true
	}
	h.names.share(d.Rows)
	rows = d.apply(rows)
	if digestOf(rows) != digest {
		return false
	}
	h.store(rows, digest, age)
	return true
}

func (h *ListReplica) store(rows []upstream.Backend, digest uint64, age time.Duration) {
	h.mu.Lock()
	asOf := time.Now().Add(-age)
	if h.hasList && !asOf.After(h.list.AsOf) {
		h.mu.Unlock()
		return
	}
	h.list = upstream.List{Backends: rows, AsOf: asOf}
	if h.keepsHistory && digest != h.digest {
		h.appendHistory(listVersion{digest, rows})
	}
	h.digest, h.hasList = digest, true
	list := h.list
	h.mu.Unlock()
	h.onUpdate(list)
}

// appendHistory needs h.mu.
func (h *ListReplica) appendHistory(f listVersion) {
	h.differences, h.packedDifferences = map[uint64]Difference{}, map[uint64]PackedDifference{}
	h.history = append(h.history, f)
	if len(h.history) > maxListHistory {
		h.history = slices.Delete(h.history, 0, 1)
	}
}

// Current returns the current rows with their digest and age; ok is false before the
// first list. The rows must not be changed.
func (h *ListReplica) Current() (rows []upstream.Backend, digest uint64, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	age = max(now.Sub(h.list.AsOf), now.Round(0).Sub(h.list.AsOf.Round(0)))
	return h.list.Backends, h.digest, age, h.hasList
}

// DifferenceSince returns the changes from the list with this digest to the current
// list, and the digest of the latter. ok is false if the former list is no longer known
// or if the changes would have more rows than the list. The result is computed once for
// all VMs with the same list.
func (h *ListReplica) DifferenceSince(digest uint64) (d Difference, current uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok = h.differenceFrom(digest)
	return d, h.digest, ok
}

// differenceFrom returns the changes since the list with this digest. It needs h.mu.
func (h *ListReplica) differenceFrom(digest uint64) (d Difference, ok bool) {
	if d, ok := h.differences[digest]; ok {
		return d, true
	}
	for _, f := range h.history {
		if f.digest != digest {
			continue
		}
		if from := computeDifference(f, h.list.Backends); len(from.Rows)+len(from.Removed) < len(h.list.Backends) {
			h.differences[digest] = from
			return from, true
		}
	}
	return d, false
}

// PackedDifferenceSince returns DifferenceSince in its wire form, packed once for all
// VMs with the same list.
func (h *ListReplica) PackedDifferenceSince(digest uint64) (p PackedDifference, current uint64, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.packedDifferences[digest]; ok {
		return p, h.digest, true, nil
	}
	d, ok := h.differenceFrom(digest)
	if !ok {
		return p, h.digest, false, nil
	}
	if p, err = d.pack(); err != nil {
		return p, h.digest, false, err
	}
	h.packedDifferences[digest] = p
	return p, h.digest, true, nil
}
