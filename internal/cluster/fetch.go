package cluster

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The load pattern. Hundreds of VMs start within a second, and none holds the list of
// backend servers. A list of three thousand rows is 200 KB. Told by each control VM in
// answer to each notice, it is a megabyte for every VM, over a link that takes a second
// for that; the notices time out before and are sent again, each with a list in answer,
// and no VM ever gets one.
//
// So the whole list is asked for by itself, from one control VM at a time, with the
// time that it takes; it is encoded and compressed once for all who ask.
//
// The first control VM that holds a list is asked by all of them. Each answer waits for the
// link in memory, of which the process has a few dozen MB. So it gives out so many bytes a
// second; whoever gets nothing asks again, and others hold the list by then.

const (
	// fetchTimeout: beyond it the link is lost, not slow.
	fetchTimeout = 1 * time.Second
	// maxListBytes bounds a list once it is unpacked.
	maxListBytes = 32 << 20
	// listRate is how many bytes of whole lists a control VM gives out a second, half of
	// what a link of 100 Mbit/s carries, and listBurst how many at once.
	listRate  = 6 << 20
	listBurst = 2 << 20
)

// PackedList is a list of backend servers as it is sent whole.
type PackedList struct {
	Digest uint64 `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	Rows   []byte `cbor:"3,keyasint"` // encoded and compressed
}

// Packed returns the list held as it is sent whole; ok is false before the first.
func (h *ListReplica) Packed() (p PackedList, ok bool, err error) {
	rows, digest, age, ok := h.Current()
	if !ok {
		return p, false, nil
	}
	h.packing.Lock()
	defer h.packing.Unlock()
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

// serveList answers with the list, or with none where too many are on their way. Control
// VMs get it always: they are few, and the others ask them then.
func (h *Hub) serveList(_ context.Context, from string, _ []byte) (any, error) {
	p, ok, err := h.held.Packed()
	if err != nil || !ok {
		return p, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.vms[from].notice.Control && !h.lists.take(len(p.Rows), time.Now()) {
		return PackedList{}, nil
	}
	return p, nil
}

// listPace bounds the bytes of whole lists that are given out.
type listPace struct {
	left float64
	at   time.Time
}

func (l *listPace) take(bytes int, now time.Time) bool {
	l.left = min(listBurst, l.left+listRate*now.Sub(l.at).Seconds())
	l.at = now
	if l.left < 0 {
		return false
	}
	l.left -= float64(bytes) // a list larger than the burst goes out too
	return true
}

// wanted is a list that a control VM holds and this VM lacks.
type wanted struct {
	vm     string
	digest uint64
}

// wantList has the whole list fetched from a control VM. It does not wait.
func (m *Member) wantList(vm string, digest uint64) {
	m.mu.Lock()
	m.wanted = wanted{vm, digest}
	m.mu.Unlock()
	m.lists.raise()
}

// fetchList fetches the list that is wanted, unless it has come meanwhile.
func (m *Member) fetchList(ctx context.Context) {
	m.mu.Lock()
	w := m.wanted
	m.mu.Unlock()
	if _, digest, _, ok := m.held.Current(); ok && digest == w.digest {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	var p PackedList
	err := m.t.Call(ctx, w.vm, peer.KindList, nil, &p)
	if err == nil && len(p.Rows) > 0 {
		err = m.takePacked(&p, time.Since(sent))
	}
	if err != nil {
		// The next answer that tells of a newer list has it asked for again.
		m.log.Warn().Err(err).Str("control", w.vm).Msg("list of backend servers not fetched")
	}
}

func (m *Member) takePacked(p *PackedList, onTheWay time.Duration) error {
	var rows []upstream.Backend
	if err := codec.UnmarshalPacked(p.Rows, maxListBytes, &rows); err != nil {
		return err
	}
	age := time.Duration(p.AgeMS)*time.Millisecond + onTheWay
	if !m.held.Patch(Difference{Rows: rows}, p.Digest, age) {
		m.log.Error().Int("rows", len(rows)).Msg("the list fetched is not what it says")
	}
	return nil
}

// noteList notes how old a control VM's list of backend servers is.
func (m *Member) noteList(vm string, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listAges[vm] = age
}

// chooseListSource has the control VM asked for changes of the list that had the youngest
// one in this round: it reads the list itself, as a rule. Another one lags behind it by
// an interval, and engines that restart would be used as much later.
func (m *Member) chooseListSource() {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := ""
	for vm, age := range m.listAges {
		if best == "" || age < m.listAges[best] {
			best = vm
		}
	}
	// Ages of one reading differ by the time that answers take.
	if age, ok := m.listAges[m.listSource]; !ok || age > m.listAges[best]+sameReading {
		m.listSource = best
	}
	clear(m.listAges)
}

// takeChanges takes what an answer says of the list of backend servers. The list's age
// grew on the way here: counted from before the question.
func (m *Member) takeChanges(vm string, n *Heartbeat, a *HeartbeatReply, onTheWay time.Duration) {
	age := time.Duration(a.ListAgeMS)*time.Millisecond + onTheWay
	if a.HasList {
		m.noteList(vm, age)
	}
	switch {
	case !a.HasList:
	case a.Changes != nil:
		m.patch(vm, a, age)
	case a.ListDigest == n.ListDigest:
		m.held.Confirm(a.ListDigest, age)
	case n.ListDigest == 0 || n.WantChanges && a.ListAgeMS < n.ListAgeMS:
		m.wantList(vm, a.ListDigest)
	}
}

// patch takes what has changed in the list. Where that does not lead to the control
// VM's list, all of it is fetched.
func (m *Member) patch(vm string, a *HeartbeatReply, age time.Duration) {
	d, err := a.Changes.unpack()
	if err == nil && m.held.Patch(d, a.ListDigest, age) {
		return
	}
	m.log.Error().Err(err).Str("control", vm).Int("rows", len(d.Rows)).Int("gone", len(d.Removed)).Msg("changes do not lead to the list")
	m.wantList(vm, a.ListDigest)
}
