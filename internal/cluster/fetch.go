package cluster

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The load pattern. Hundreds of VMs start within a second, and none holds the list of
// backend servers. A list of three thousand rows takes 200 KB. If every control VM put
// it into every heartbeat reply, each VM would receive a megabyte over a link that needs
// a second for it. The heartbeats would time out first and be sent again, each with
// another list in its reply, and no VM would ever complete one.
//
// Therefore the whole list has its own request, sent to one control VM at a time with a
// longer timeout. It is encoded and compressed once for all requests.
//
// All VMs ask the first control VM that holds a list. Each reply waits for the link in
// memory, of which the process has a few dozen MB. The control VM therefore limits the
// bytes of lists that it sends per second. A VM that receives an empty reply asks again,
// and by then other control VMs hold the list.

const (
	// listFetchTimeout is the time after which the link counts as lost rather than slow.
	listFetchTimeout = 1 * time.Second
	// maxListBytes bounds the size of an unpacked list.
	maxListBytes = 32 << 20
	// listBytesPerSecond limits the whole lists that a control VM sends, to half of the
	// capacity of a 100 Mbit/s link. listBurstBytes is how much it may send at once.
	listBytesPerSecond = 6 << 20
	listBurstBytes     = 2 << 20
)

// PackedList is a complete list of backend servers in its wire form.
type PackedList struct {
	Digest uint64 `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	Rows   []byte `cbor:"3,keyasint"` // encoded and compressed
}

// Packed returns the complete current list in its wire form; ok is false while there
// is none.
func (h *ListReplica) Packed() (p PackedList, ok bool, err error) {
	rows, digest, age, ok := h.Current()
	if !ok {
		return p, false, nil
	}
	h.packMu.Lock()
	defer h.packMu.Unlock()
	if h.packed.Rows == nil || h.packed.Digest != digest {
		data, err := codec.MarshalPacked(rows)
		if err != nil {
			return p, true, err
		}
		h.packed = PackedList{Digest: digest, Rows: data}
	}
	p = h.packed
	p.AgeMS = age.Milliseconds()
	return p, true, nil
}

// serveList replies with the list, or with an empty one while the rate limit is
// exhausted. Control VMs always get the list: they are few, and other VMs can then ask
// them.
func (h *Hub) serveList(_ context.Context, from string, _ []byte) (any, error) {
	p, ok, err := h.list.Packed()
	if err != nil || !ok {
		return p, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.vms[from].heartbeat.Control && !h.listLimiter.take(len(p.Rows), time.Now()) {
		return PackedList{}, nil
	}
	return p, nil
}

// listLimiter is a token bucket over the bytes of whole lists that are sent.
type listLimiter struct {
	available float64
	updatedAt time.Time
}

func (l *listLimiter) take(bytes int, now time.Time) bool {
	l.available = min(listBurstBytes, l.available+listBytesPerSecond*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	if l.available < 0 {
		return false
	}
	l.available -= float64(bytes) // becomes negative after a list larger than the burst
	return true
}

// listFetch names a list that a control VM holds and this VM lacks.
type listFetch struct {
	vm     string
	digest uint64
}

// requestList schedules a fetch of the whole list from a control VM. It does not block.
func (m *Member) requestList(vm string, digest uint64) {
	m.mu.Lock()
	m.pendingFetch = listFetch{vm, digest}
	m.mu.Unlock()
	m.fetchSignal.raise()
}

// fetchList fetches the requested list unless it has arrived in the meantime.
func (m *Member) fetchList(ctx context.Context) {
	m.mu.Lock()
	w := m.pendingFetch
	m.mu.Unlock()
	if _, digest, _, ok := m.list.Current(); ok && digest == w.digest {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listFetchTimeout)
	defer cancel()
	sent := time.Now()
	var p PackedList
	err := m.t.Call(ctx, w.vm, peer.KindBackendList, nil, &p)
	if err == nil && len(p.Rows) > 0 {
		err = m.applyPacked(&p, time.Since(sent))
	}
	if err != nil {
		// The next reply that announces a newer list triggers another fetch.
		m.log.Warn().Err(err).Str("control", w.vm).Msg("list of backend servers could not be fetched; waiting for the next heartbeat reply")
	}
}

func (m *Member) applyPacked(p *PackedList, roundTrip time.Duration) error {
	var rows []upstream.Backend
	if err := codec.UnmarshalPacked(p.Rows, maxListBytes, &rows); err != nil {
		return err
	}
	age := time.Duration(p.AgeMS)*time.Millisecond + roundTrip
	if !m.list.Patch(Difference{Rows: rows}, p.Digest, age) {
		m.log.Error().Int("rows", len(rows)).Msg("fetched list of backend servers does not match its digest; keeping the current list")
	}
	return nil
}

// recordListAge records the age of a control VM's list of backend servers.
func (m *Member) recordListAge(vm string, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listAges[vm] = age
}

// chooseListSource selects the control VM that is asked for changes of the list: the one
// with the youngest list in this round, which usually reads it from the platform itself.
// Any other control VM is one interval later, and restarted engines would be used that
// much later.
func (m *Member) chooseListSource() {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := ""
	for vm, age := range m.listAges {
		if best == "" || age < m.listAges[best] {
			best = vm
		}
	}
	// Reported ages of the same read differ by the latency of the replies.
	if age, ok := m.listAges[m.listSource]; !ok || age > m.listAges[best]+listAgeTolerance {
		m.listSource = best
	}
	clear(m.listAges)
}

// applyChanges applies what a heartbeat reply says about the list of backend servers.
// roundTrip is added to the list's age, which grew while the reply was in flight.
func (m *Member) applyChanges(vm string, heartbeat *Heartbeat, reply *HeartbeatReply, roundTrip time.Duration) {
	age := time.Duration(reply.ListAgeMS)*time.Millisecond + roundTrip
	if reply.HasList {
		m.recordListAge(vm, age)
	}
	switch {
	case !reply.HasList:
	case reply.Changes != nil:
		m.applyDifference(vm, reply, age)
	case reply.ListDigest == heartbeat.ListDigest:
		m.list.Confirm(reply.ListDigest, age)
	case heartbeat.ListDigest == 0 || heartbeat.WantChanges && reply.ListAgeMS < heartbeat.ListAgeMS:
		m.requestList(vm, reply.ListDigest)
	}
}

// applyDifference applies the changes of a heartbeat reply. If the result is not the
// control VM's list, the whole list is fetched.
func (m *Member) applyDifference(vm string, reply *HeartbeatReply, age time.Duration) {
	d, err := reply.Changes.unpack()
	if err == nil && m.list.Patch(d, reply.ListDigest, age) {
		return
	}
	m.log.Error().Err(err).Str("control", vm).Int("rows", len(d.Rows)).Int("gone", len(d.Removed)).Msg("changes of the list of backend servers do not match its digest; fetching the whole list")
	m.requestList(vm, reply.ListDigest)
}
